//! Guards against a daemon that was paused itself taking its peers for dead when it wakes.

mod relay_support;

use std::time::Duration;

use relay_support::Fleet;
use shalehinge::core::types::Timestamp;

/// Number of daemons.
const DAEMONS: u16 = 9;
/// The daemon that is paused.
const PAUSED: usize = 3;
/// How long it is paused: longer than a heartbeat may be missing.
const PAUSE: Duration = Duration::from_secs(12);

#[test]
fn a_daemon_that_wakes_from_a_pause_does_not_take_its_peers_for_dead() {
    let mut fleet = Fleet::new(DAEMONS);
    fleet.run(Duration::from_secs(8));
    fleet.pause(PAUSED);
    fleet.run(PAUSE);
    fleet.resume(PAUSED);
    // One tick, before any reply to a pull can arrive.
    fleet.run(Duration::from_millis(50));
    let now = Timestamp::from_duration(fleet.now);
    let known = fleet.daemons[PAUSED].membership().live_peers(now);
    assert_eq!(known.count(), usize::from(DAEMONS) - 1);
}

#[test]
fn a_daemon_that_dies_during_the_pause_of_another_is_known_to_be_dead_later() {
    let mut fleet = Fleet::new(DAEMONS);
    fleet.run(Duration::from_secs(8));
    fleet.pause(PAUSED);
    fleet.dead.insert(0);
    fleet.run(PAUSE);
    fleet.resume(PAUSED);
    fleet.run(Duration::from_secs(12));
    let now = Timestamp::from_duration(fleet.now);
    let known = fleet.daemons[PAUSED].membership().live_peers(now);
    assert_eq!(known.count(), usize::from(DAEMONS) - 2);
}
