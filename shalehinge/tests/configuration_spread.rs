//! A large configuration reaches all daemons in time, even over slow links.

mod relay_support;

use std::time::Duration;

use relay_support::configuration::{fleet_config, with_keys};
use relay_support::platform::json_bytes;
use relay_support::{BytesReceived, Fleet};
use shalehinge::core::types::FleetVersion;

/// Bandwidth of a small entry host's link in bytes per second: 20 Mbit/s.
const SMALL_LINK: f64 = 2_500_000.0;
/// Maximum time from the platform's acceptance of a configuration until all daemons have it in
/// force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// Time between two configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_800);
const ROUTES: usize = 2_040;
const GROUPS: u16 = 24;
const DAEMONS: u16 = 68;
/// Index of the daemon whose request traffic leaves only a twentieth of its link's bandwidth, and
/// later a fifth.
const BUSY: usize = 7;

/// Guards against pull replies that saturate the link of a daemon that is behind. An operator adds
/// 1,800 routes and then revokes keys, one change every 1.8 s. Every pull reply, whatever its
/// topic, once carried all newer objects (145 kB), from several peers a second. The replies took
/// longer than a pull's time-out of 1 s: all were abandoned and requested again, with 24 pulls
/// open at a time. One of 68 daemons sent requests with a revoked key for more than six seconds:
/// its link received 2.5 MB/s, its full 20 Mbit/s, for nine seconds, while the platform was
/// healthy, the processor nearly idle, and ticks at most 6 ms late.
#[test]
fn a_daemon_that_is_behind_catches_up_over_a_busy_link() {
    let mut fleet = Fleet::new(DAEMONS);
    fleet.platform.open_groups(GROUPS);
    fleet.run(Duration::from_secs(10));
    fleet.limit_links(SMALL_LINK);
    run_with_lost_replicas(&mut fleet, CHANGE_INTERVAL);
    set_link(&mut fleet, BUSY, SMALL_LINK / 20.0);
    let mut last = FleetVersion::NONE;
    for keys in (6..10).rev() {
        let config = with_keys(fleet_config(ROUTES), keys);
        last = fleet.platform.configure(config);
        run_with_lost_replicas(&mut fleet, CHANGE_INTERVAL);
        set_link(&mut fleet, BUSY, SMALL_LINK / 5.0);
    }
    run_with_lost_replicas(&mut fleet, IN_FORCE_WITHIN - CHANGE_INTERVAL);
    assert_eq!(
        fleet.daemons_without_configuration(last),
        Vec::<usize>::new()
    );
}

fn set_link(fleet: &mut Fleet, daemon: usize, bytes_per_second: f64) {
    fleet.links.as_mut().expect("limited")[daemon] = bytes_per_second;
}

/// Runs the fleet while the busy daemon receives streams that stall, so that it suspects replicas
/// of all failure domains.
fn run_with_lost_replicas(fleet: &mut Fleet, span: Duration) {
    const INTERVAL: Duration = Duration::from_millis(300);
    let end = fleet.now + span;
    while fleet.now < end {
        fleet.send_stalling_streams(BUSY, 4);
        fleet.run(INTERVAL.min(end - fleet.now));
    }
}

/// Guards against repeated transfers of the same configuration: in the same incident 0.3 GB
/// crossed failure domains in 34 s.
#[test]
fn each_daemon_receives_a_configuration_about_once() {
    let mut fleet = Fleet::new(DAEMONS);
    fleet.run(Duration::from_secs(10));
    let config = with_keys(fleet_config(ROUTES), 8);
    let of_a_peer = rmp_serde::to_vec(&config).expect("encodes").len() as f64;
    let of_the_platform = json_bytes(&config) as f64;
    fleet.limit_links(SMALL_LINK);
    let version = fleet.platform.configure(config);
    fleet.bytes_received.fill(BytesReceived::default());
    fleet.run(IN_FORCE_WITHIN);
    assert_eq!(
        fleet.daemons_without_configuration(version),
        Vec::<usize>::new()
    );
    for (daemon, bytes) in fleet.bytes_received.iter().enumerate() {
        let times = bytes.from_peers / of_a_peer;
        assert!(
            times < 2.0,
            "daemon {daemon} received {times:.1} configurations from peers"
        );
        let times = bytes.from_platform / of_the_platform;
        assert!(
            times < 2.0,
            "daemon {daemon} read {times:.1} configurations from the platform"
        );
    }
}

/// Run by hand. Measures how long a configuration takes to be in force at all daemons, by the
/// number of daemons and routes.
#[test]
#[ignore = "measurement, run by hand"]
fn time_until_a_configuration_is_in_force_everywhere() {
    for (daemons, routes) in [(68, 240), (68, 2_040), (340, 240), (340, 2_040)] {
        let mut fleet = Fleet::new(daemons);
        fleet.run(Duration::from_secs(10));
        fleet.limit_links(SMALL_LINK);
        let version = fleet.platform.configure(with_keys(fleet_config(routes), 8));
        fleet.bytes_received.fill(BytesReceived::default());
        let began = fleet.now;
        while !fleet.daemons_without_configuration(version).is_empty() {
            fleet.run(Duration::from_millis(50));
            assert!(
                fleet.now - began < Duration::from_secs(60),
                "not in force at all daemons after 60 s"
            );
        }
        let of_peers: f64 = fleet
            .bytes_received
            .iter()
            .map(|bytes| bytes.from_peers)
            .sum();
        let of_platform: f64 = fleet
            .bytes_received
            .iter()
            .map(|bytes| bytes.from_platform)
            .sum();
        println!(
            "{daemons} daemons, {routes} routes: {:?}, {:.1} MB between daemons, \
             {:.1} MB from the platform",
            fleet.now - began,
            of_peers / 1e6,
            of_platform / 1e6
        );
    }
}
