//! Tests of hosts that answer nothing for a while and then go on, and of hosts that are lost. The
//! simulated routers report every silent group as suspect, as real ones do when output stops.

mod ordered_support;

use std::time::Duration;

use ordered_support::{Domain, LARGE, host};
use shalehinge::core::types::{GroupNumber, HostId};

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
