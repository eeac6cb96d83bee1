//! Guards against upstreams that warm up and get the usual share of every daemon at once.

mod relay_support;

use std::time::Duration;

use relay_support::configuration::fleet_config;
use relay_support::load_simulation::LoadSimulation;
use shalehinge::core::advertised_limit::RequestRate;
use shalehinge::core::objects::{FleetConfig, WarmUpLimit};
use shalehinge::core::router::request::Outcome;
use shalehinge::core::types::ServiceName;

/// Requests per second that a replica accepts while it warms up.
const RATE: f64 = 14.0;
/// Window in which the requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests in a window above which a replica falls over.
const FATAL: usize = 26;
/// Time until the daemons know of a changed host.
const SPREAD: Duration = Duration::from_secs(2);
/// Number and port of the first group.
const FIRST_PORT: u16 = 100;

fn with_limit(duration: Duration) -> FleetConfig {
    let limit = WarmUpLimit {
        rate: RequestRate::per_second(RATE).expect("a valid rate"),
        duration_ms: duration.as_millis() as u64,
    };
    FleetConfig {
        warm_ups: [(ServiceName::new("engines"), limit)].into(),
        ..fleet_config(0)
    }
}

/// A fleet under load whose upstreams warm up for up to `duration`.
fn simulation(daemons: u16, groups: u16, every: usize, duration: Duration) -> LoadSimulation {
    let mut simulation = LoadSimulation::new(daemons, groups, every);
    simulation.fleet.platform.configure(with_limit(duration));
    simulation.serve_seconds(3);
    simulation
}

fn begin_warm_up(simulation: &mut LoadSimulation, groups: u16, duration: Duration) {
    for group in 0..groups {
        simulation
            .fleet
            .platform
            .begin_warm_up(FIRST_PORT + group, duration);
    }
}

/// The highest number of requests to a group in any window between two times.
fn max_in_window(
    simulation: &LoadSimulation,
    index: u64,
    since: Duration,
    until: Duration,
) -> usize {
    let times = simulation.times(index, since);
    let count_from = |start: &Duration| {
        let end = (*start + WINDOW).min(until);
        times.iter().filter(|at| (*start..end).contains(at)).count()
    };
    times.iter().map(count_from).max().unwrap_or(0)
}

/// Numbers of daemons and groups, and rounds between two requests of a daemon: each group usually
/// gets between 36 and 60 requests per second.
const SIZES: [(u16, u16, usize); 3] = [(9, 4, 1), (90, 30, 1), (340, 60, 2)];

#[test]
fn daemons_together_keep_the_limit_of_upstreams_that_warm_up() {
    for (daemons, groups, every) in SIZES {
        assert_limit_is_kept_and_used(daemons, groups, every);
    }
}

#[test]
#[ignore = "takes minutes"]
fn a_thousand_daemons_together_keep_the_limit_of_upstreams_that_warm_up() {
    assert_limit_is_kept_and_used(1_000, 100, 4);
}

fn assert_limit_is_kept_and_used(daemons: u16, groups: u16, every: usize) {
    let duration = Duration::from_secs(6);
    let mut simulation = simulation(daemons, groups, every, duration);
    begin_warm_up(&mut simulation, 2, duration);
    let begun = simulation.fleet.now;
    simulation.serve_seconds(6);
    for index in 0..2 {
        let max = max_in_window(&simulation, index, begun + SPREAD, begun + duration);
        assert!(
            max <= FATAL,
            "{max} requests in a second from {daemons} daemons, {FATAL} are fatal"
        );
        let rate = simulation.rate_since(index, begun + SPREAD);
        assert!(
            rate >= RATE / 4.0,
            "{rate} of {RATE} per second used with {daemons} daemons"
        );
    }
    simulation.serve_seconds(3);
    let since = simulation.fleet.now;
    simulation.serve_seconds(2);
    let (warm, other) = (
        simulation.rate_since(0, since),
        simulation.rate_since(2, since),
    );
    assert!(
        warm > other / 2.0,
        "{warm} per second after the warm-up with {daemons} daemons, another group gets {other}"
    );
    let (completed, submitted) = simulation.served();
    assert_eq!(
        completed, submitted,
        "the other upstreams must serve all requests"
    );
}

#[test]
fn a_group_that_appears_while_it_warms_up_gets_no_more_than_its_limit() {
    let duration = Duration::from_secs(4);
    let mut simulation = simulation(90, 30, 1, duration);
    simulation
        .fleet
        .platform
        .begin_warm_up(FIRST_PORT + 30, duration);
    let begun = simulation.fleet.now;
    simulation.serve_seconds(4);
    let max = max_in_window(&simulation, 30, begun, begun + duration);
    assert!(max > 0, "the new group must get requests");
    assert!(
        max <= FATAL,
        "{max} requests in a second, {FATAL} are fatal"
    );
}

#[test]
fn the_limit_holds_while_daemons_of_one_side_of_a_cut_die() {
    let duration = Duration::from_secs(8);
    let mut simulation = simulation(90, 30, 1, duration);
    simulation.fleet.partitioned = (0..30).collect();
    simulation.fleet.dead = (30..45).collect();
    begin_warm_up(&mut simulation, 3, duration);
    let begun = simulation.fleet.now;
    simulation.serve_seconds(8);
    for index in 0..3 {
        let max = max_in_window(&simulation, index, begun + SPREAD, begun + duration);
        assert!(
            max <= FATAL,
            "{max} requests in a second, {FATAL} are fatal"
        );
    }
}

#[test]
fn daemons_that_restart_together_keep_the_limit() {
    let duration = Duration::from_secs(8);
    let mut simulation = LoadSimulation::starting(90, 30, 1);
    simulation.fleet.platform.configure(with_limit(duration));
    begin_warm_up(&mut simulation, 3, duration);
    let begun = simulation.fleet.now;
    simulation.serve_seconds(8);
    for index in 0..3 {
        let max = max_in_window(&simulation, index, begun, begun + duration);
        assert!(
            max <= FATAL,
            "{max} requests in a second, {FATAL} are fatal"
        );
    }
}

#[test]
fn if_all_upstreams_warm_up_callers_are_served_or_told_when_to_return() {
    let duration = Duration::from_secs(4);
    let mut simulation = simulation(9, 18, 1, duration);
    begin_warm_up(&mut simulation, 18, duration);
    simulation.serve_seconds(2);
    let before = simulation.served().0;
    simulation.serve_seconds(2);
    let served = simulation.served().0 - before;
    assert!(
        served as f64 > 18.0 * RATE * 0.5 * 2.0 * 0.5,
        "{served} served in 2 s"
    );
    for outcome in &simulation.fleet.outcomes {
        match outcome {
            Outcome::Completed => {}
            Outcome::NotRun { retry_after, .. } => assert!(*retry_after > Duration::ZERO),
            other => panic!("{other:?}"),
        }
    }
}
