//! Changes on the platform reach all daemons of a fleet although few read the platform themselves.

mod relay_support;

use std::time::Duration;

use relay_support::Fleet;
use shalehinge::core::objects::HostState;
use shalehinge::core::types::{HostId, Timestamp};

/// Number of platform calls of a fleet in ten seconds without changes.
fn calls_without_changes(daemons: u16) -> usize {
    let mut fleet = Fleet::new(daemons);
    fleet.run(Duration::from_secs(15));
    let before = fleet.platform.calls;
    fleet.run(Duration::from_secs(10));
    fleet.platform.calls - before
}

#[test]
fn few_daemons_read_the_host_list_and_all_receive_it() {
    let mut fleet = Fleet::new(60);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.daemons_behind(), Vec::<usize>::new());
    assert!(fleet.platform.lists <= 12, "{} lists", fleet.platform.lists);
}

#[test]
fn platform_calls_do_not_grow_with_the_number_of_daemons() {
    let (few, many) = (calls_without_changes(60), calls_without_changes(240));
    assert!(
        many <= few + few / 20,
        "{few} calls of 60 daemons and {many} of 240 in ten seconds"
    );
}

#[test]
fn a_leaving_host_is_known_to_all_daemons_in_time() {
    let mut fleet = Fleet::new(120);
    fleet.run(Duration::from_secs(5));
    fleet.platform.change(3, HostState::Leaving);
    fleet.run(Duration::from_millis(1_800));
    assert_eq!(fleet.daemons_behind(), Vec::<usize>::new());
    let hosts = fleet.daemons[7].state().hosts().expect("host list known");
    assert_eq!(
        hosts.value.hosts[&HostId::new("h3")].state,
        HostState::Leaving
    );
}

#[test]
fn a_restarted_fleet_knows_the_host_list_at_once() {
    let mut fleet = Fleet::start(60, false);
    fleet.run(Duration::from_millis(500));
    assert_eq!(fleet.daemons_behind(), Vec::<usize>::new());
}

#[test]
fn host_changes_reach_all_daemons_after_the_death_of_all_watchers() {
    let mut fleet = Fleet::new(60);
    fleet.run(Duration::from_secs(8));
    fleet.dead = fleet.watchers().into_iter().collect();
    fleet.platform.change(3, HostState::Leaving);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.daemons_behind(), Vec::<usize>::new());
}

#[test]
fn watchers_refused_by_the_platform_learn_changes_from_peers() {
    let mut fleet = Fleet::new(60);
    fleet.run(Duration::from_secs(8));
    fleet.refused = fleet.watchers().into_iter().collect();
    fleet.platform.change(3, HostState::Leaving);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.daemons_behind(), Vec::<usize>::new());
    fleet.refused.clear();
    fleet.platform.change(4, HostState::Leaving);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.daemons_behind(), Vec::<usize>::new());
}

#[test]
fn the_age_of_the_host_list_is_never_underestimated() {
    let mut fleet = Fleet::new(60);
    fleet.run(Duration::from_secs(8));
    fleet.refused = (0..60).collect();
    fleet.run(Duration::from_secs(3));
    // Watches that waited when the platform began to refuse calls are still answered.
    let last = Timestamp::from_duration(fleet.last_host_reply_at);
    let now = Timestamp::from_duration(fleet.now);
    assert!(now > last + Duration::from_secs(2), "refused for a while");
    for daemon in &fleet.daemons {
        let answered_at = daemon.host_list_answered_at().expect("host list known");
        assert!(
            answered_at <= last,
            "{answered_at:?} is later than the last reply, at {now:?}"
        );
    }
}
