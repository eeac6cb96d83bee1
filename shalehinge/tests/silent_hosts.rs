//! Tests of hosts that answer nothing for a while and then go on, and of hosts that are lost. The
//! simulated routers report every silent group as suspect, as real ones do when output stops.

mod ordered_support;

use std::time::Duration;

use ordered_support::{Domain, LARGE, SILENCE_CONFIRM, host};
use shalehinge::core::types::{GroupNumber, HostId, Timestamp};

/// Interval at which routers report suspected groups.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Silences that every serving group must survive.
const PAUSES_MS: [u64; 4] = [300, 1_000, 1_300, 2_000];

/// Serving groups that contain one of these hosts.
fn groups_with(domain: &Domain, hosts: &[HostId]) -> Vec<GroupNumber> {
    let groups = domain.stored.value.groups.iter();
    groups
        .filter(|(_, group)| hosts.iter().any(|host| group.contains(host)))
        .map(|(number, _)| *number)
        .collect()
}

/// Runs the simulation for this time while routers suspect these groups.
fn run_suspected(domain: &mut Domain, suspects: &[GroupNumber], time: Duration) {
    let end = domain.now + time;
    while domain.now < end {
        let now = domain.now;
        for number in suspects {
            domain.controller.suspect(now, *number);
        }
        domain.run_for(REPORT_INTERVAL.min(end.since(now)));
    }
}

/// Pauses the hosts for this time, and runs for some more seconds.
fn pause(domain: &mut Domain, hosts: &[HostId], time: Duration) {
    let suspects = groups_with(domain, hosts);
    for id in hosts {
        domain.cut_off(id);
    }
    run_suspected(domain, &suspects, time);
    for id in hosts {
        domain.engine(id).is_reachable = true;
    }
    domain.run_for(Duration::from_secs(5));
}

/// Pauses hosts of a failure domain, and asserts that all its groups serve on without any order.
fn assert_pause_changes_nothing(domain: &mut Domain, hosts: &[HostId], time: Duration) {
    let groups = domain.stored.value.groups.clone();
    let order_count = domain.order_count;
    pause(domain, hosts, time);
    assert_eq!(domain.stored.value.groups, groups, "{hosts:?}, {time:?}");
    assert_eq!(domain.reported_lost, [], "{hosts:?}, {time:?}");
    assert_eq!(domain.order_count, order_count, "{hosts:?}, {time:?}");
}

#[test]
fn silent_for_a_second_is_no_loss() {
    for ms in PAUSES_MS {
        let mut domain = Domain::serving(&[9]);
        let (_, members) = domain.group_of(LARGE);
        let time = Duration::from_millis(ms);
        assert_pause_changes_nothing(&mut domain, &members[2..3], time);
    }
}

#[test]
fn a_rank_zero_that_is_silent_for_a_second_is_no_loss() {
    for ms in PAUSES_MS {
        let mut domain = Domain::serving(&[9]);
        let (_, members) = domain.group_of(LARGE);
        let time = Duration::from_millis(ms);
        assert_pause_changes_nothing(&mut domain, &members[..1], time);
    }
}

#[test]
fn most_hosts_silent_for_a_second_are_no_loss() {
    for ms in PAUSES_MS {
        for silent_count in [9, 11, 15] {
            let mut domain = Domain::serving(&[9, 9]);
            let silent: Vec<HostId> = (0..silent_count).map(host).collect();
            let time = Duration::from_millis(ms);
            assert_pause_changes_nothing(&mut domain, &silent, time);
        }
    }
}

/// Guards against silences that are added up although the host answered between them.
#[test]
fn repeated_short_silences_are_no_loss() {
    let mut domain = Domain::serving(&[9]);
    let (_, members) = domain.group_of(LARGE);
    let groups = domain.stored.value.groups.clone();
    for _ in 0..5 {
        pause(&mut domain, &members[1..2], Duration::from_secs(1));
    }
    assert_eq!(domain.stored.value.groups, groups);
}

/// Longest time from the first report of a router until routers are notified of a silent group.
const NOTICE_BOUND: Duration = Duration::from_millis(600);

/// Times since `from` at which routers were notified that the group is silent.
fn notices(domain: &Domain, group: GroupNumber, from: Timestamp) -> Vec<Duration> {
    let notices = domain.reported_silent.iter();
    let of_group = notices.filter(|(_, number)| *number == group);
    of_group.map(|(at, _)| at.since(from)).collect()
}

#[test]
fn routers_are_notified_of_a_silent_group_until_its_host_answers() {
    let mut domain = Domain::serving(&[9]);
    let (number, members) = domain.group_of(LARGE);
    let began = domain.now;
    pause(&mut domain, &members[1..2], Duration::from_secs(2));
    let notices = notices(&domain, number, began);
    assert!(notices[0] <= NOTICE_BOUND, "{notices:?}");
    let gaps = notices.windows(2).map(|pair| pair[1] - pair[0]);
    let longest = gaps.max().expect("repeated");
    assert!(longest <= Duration::from_millis(600), "{notices:?}");
    let last = notices[notices.len() - 1];
    assert!(last <= Duration::from_millis(2_300), "{notices:?}");
}

/// Guards against a dark host that is noticed late because routers stop reporting it.
#[test]
fn a_dark_host_is_notified_at_once_and_replaced_after_the_silence() {
    for rank in [0, 2] {
        let mut domain = Domain::serving(&[9]);
        let (number, members) = domain.group_of(LARGE);
        domain.cut_off(&members[rank]);
        let began = domain.now;
        run_suspected(&mut domain, &[number], Duration::from_millis(500));
        domain.run_until("group dissolved", |domain| {
            !domain.stored.value.groups.contains_key(&number)
        });
        let took = domain.now.since(began);
        assert!(took <= SILENCE_CONFIRM + NOTICE_BOUND, "{took:?}");
        let notices = notices(&domain, number, began);
        assert!(notices[0] <= NOTICE_BOUND, "{notices:?}");
        assert_eq!(domain.reported_lost, [number]);
    }
}

#[test]
fn a_host_whose_process_ended_is_lost_at_once() {
    for rank in [0, 2] {
        let mut domain = Domain::serving(&[9]);
        let (number, members) = domain.group_of(LARGE);
        domain.end_process(&members[rank]);
        let now = domain.now;
        domain.controller.suspect(now, number);
        let took = domain.run_until("group dissolved", |domain| {
            !domain.stored.value.groups.contains_key(&number)
        });
        assert!(took <= NOTICE_BOUND, "{took:?}");
        assert_eq!(domain.reported_lost, [number]);
    }
}

/// Guards against an ended process whose requests fail at once, so that no router sees a stall.
#[test]
fn a_host_whose_process_ended_is_lost_without_a_stall() {
    let mut domain = Domain::serving(&[9]);
    let (number, members) = domain.group_of(LARGE);
    domain.end_process(&members[0]);
    let now = domain.now;
    domain.controller.on_order_unanswered(now, now, &members[0]);
    let took = domain.run_until("group dissolved", |domain| {
        !domain.stored.value.groups.contains_key(&number)
    });
    assert!(took <= Duration::from_secs(1), "{took:?}");
}

/// Guards against connections that a network refuses on behalf of hosts that it cuts off.
#[test]
fn a_holder_whose_connections_are_all_refused_dissolves_nothing() {
    let mut domain = Domain::serving(&[9, 9]);
    let groups = domain.stored.value.groups.clone();
    let hosts: Vec<HostId> = domain.engines.keys().cloned().collect();
    for id in &hosts {
        domain.end_process(id);
    }
    let suspects = groups_with(&domain, &hosts);
    run_suspected(&mut domain, &suspects, Duration::from_secs(5));
    assert_eq!(domain.stored.value.groups, groups);
}

/// Ends the process of a member of a group in which another one is silent.
/// Returns the silent host once the group is dissolved.
fn lose_second_member(domain: &mut Domain) -> HostId {
    let (number, members) = domain.group_of(LARGE);
    domain.cut_off(&members[1]);
    run_suspected(domain, &[number], Duration::from_secs(1));
    domain.end_process(&members[2]);
    domain.run_until("group dissolved", |domain| {
        !domain.stored.value.groups.contains_key(&number)
    });
    members[1].clone()
}

#[test]
fn a_silent_host_joins_no_new_group() {
    let mut domain = Domain::serving(&[9, 9]);
    let silent = lose_second_member(&mut domain);
    domain.run_for(Duration::from_secs(5));
    let mut groups = domain.stored.value.groups.values();
    assert!(!groups.any(|group| group.contains(&silent)));
}

/// Guards against other hosts that are not probed because the lost ones stand for them.
#[test]
fn two_lost_members_of_a_group_are_noticed_in_a_single_fabric_domain() {
    let mut domain = Domain::serving(&[9]);
    lose_second_member(&mut domain);
}

/// Guards against silence that is counted from before the group was suspected.
#[test]
fn a_member_unreachable_for_long_is_no_loss_when_another_pauses() {
    let mut domain = Domain::serving(&[9]);
    let (number, members) = domain.group_of(LARGE);
    domain.cut_off(&members[1]);
    let now = domain.now;
    domain.controller.on_order_unanswered(now, now, &members[1]);
    domain.run_for(Duration::from_secs(5));
    domain.cut_off(&members[2]);
    run_suspected(&mut domain, &[number], Duration::from_secs(1));
    domain.engine(&members[2]).is_reachable = true;
    domain.producing_output = vec![number];
    domain.run_for(Duration::from_secs(5));
    assert!(domain.stored.value.groups.contains_key(&number));
}
