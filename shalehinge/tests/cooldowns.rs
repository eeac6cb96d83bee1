//! Upstreams that refuse requests and ask each daemon for a cooldown.

mod relay_support;

use std::time::Duration;

use relay_support::load_simulation::{LoadSimulation, group};
use relay_support::{Arrival, RefusedAttempt};
use shalehinge::core::router::request::Outcome;

/// The cooldown that upstreams request.
const COOLDOWN: Duration = Duration::from_secs(3);
/// Time after a cooldown was requested during which requests already in flight may still arrive.
/// Also the length of the window in which the burst after a cooldown is counted.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// Number of requests per daemon that users tolerate in the rest of a cooldown.
const MAX_DURING_COOLDOWN: usize = 2;

/// The highest number of requests from one daemon to one upstream during a cooldown that the
/// upstream had requested from it.
fn max_during_cooldown(simulation: &LoadSimulation) -> usize {
    let within = |turned: &RefusedAttempt, arrival: &&Arrival| {
        let is_same = (arrival.daemon, arrival.group) == (turned.daemon, turned.group);
        let from = turned.at + IN_FLIGHT_GRACE;
        is_same && arrival.at > from && arrival.at < turned.at + turned.cooldown
    };
    let counts = simulation.fleet.refused_attempts.iter().map(|turned| {
        let arrivals = simulation.fleet.arrivals.iter();
        arrivals.filter(|arrival| within(turned, arrival)).count()
    });
    counts.max().unwrap_or(0)
}

/// The longest time a request waits for an upstream, as in the settings.
const MAX_WAIT: Duration = Duration::from_secs(2);

fn start_cooldowns(
    simulation: &mut LoadSimulation,
    groups: std::ops::Range<u64>,
    cooldown: Duration,
) {
    let cooldowns = groups.map(|index| (group(index), cooldown));
    simulation.fleet.cooldowns.extend(cooldowns);
}

#[test]
fn no_upstream_gets_requests_during_its_cooldown_from_nine_daemons() {
    let mut simulation = LoadSimulation::small();
    simulation.serve_seconds(2);
    start_cooldowns(&mut simulation, 0..6, COOLDOWN);
    simulation.serve_seconds(8);
    let max = max_during_cooldown(&simulation);
    assert!(
        max <= MAX_DURING_COOLDOWN,
        "{max} requests during a cooldown, allowed {MAX_DURING_COOLDOWN}"
    );
    assert!(!simulation.fleet.refused_attempts.is_empty());
}

#[test]
fn no_upstream_gets_requests_during_its_cooldown_from_340_daemons() {
    let mut simulation = LoadSimulation::new(340, 60, 5);
    start_cooldowns(&mut simulation, 0..20, COOLDOWN);
    simulation.serve_seconds(8);
    let max = max_during_cooldown(&simulation);
    assert!(
        max <= MAX_DURING_COOLDOWN,
        "{max} requests during a cooldown, allowed {MAX_DURING_COOLDOWN}"
    );
}

/// A simulation in which every upstream has requested this cooldown once. Also returns when the
/// first cooldown ends.
fn all_in_cooldown_once(cooldown: Duration) -> (LoadSimulation, Duration) {
    let mut simulation = LoadSimulation::small();
    simulation.serve_seconds(2);
    start_cooldowns(&mut simulation, 0..18, cooldown);
    simulation.serve_seconds(1);
    simulation.fleet.cooldowns.clear();
    simulation.fleet.outcomes.clear();
    let cooldowns = simulation.fleet.refused_attempts.iter();
    let ends = cooldowns.map(|turned| turned.at + turned.cooldown).min();
    (simulation, ends.expect("a cooldown was requested"))
}

#[test]
fn callers_get_an_accurate_retry_after_if_every_upstream_is_in_a_cooldown() {
    let (mut simulation, ends) = all_in_cooldown_once(2 * COOLDOWN);
    simulation.serve(Duration::from_millis(500));
    let wait = ends - simulation.fleet.now;
    let latest = wait + Duration::from_millis(600);
    for outcome in &simulation.fleet.outcomes {
        let Outcome::NotRun { retry_after, .. } = outcome else {
            panic!("{outcome:?}");
        };
        assert!(
            (wait..=latest).contains(retry_after),
            "retry after {retry_after:?}, expected at least {wait:?}"
        );
    }
    assert_eq!(
        simulation.fleet.outcomes.len(),
        90,
        "no request may wait for its deadline"
    );
}

#[test]
fn callers_wait_for_a_cooldown_that_ends_soon() {
    let (mut simulation, ends) = all_in_cooldown_once(COOLDOWN);
    let left = ends - simulation.fleet.now;
    simulation.serve(left - MAX_WAIT / 2);
    simulation.fleet.outcomes.clear();
    simulation.serve_seconds(4);
    let (completed, submitted) = simulation.served();
    assert_eq!(completed, submitted);
}

#[test]
fn callers_are_served_again_after_a_cooldown() {
    let mut simulation = LoadSimulation::small();
    start_cooldowns(&mut simulation, 0..18, COOLDOWN);
    simulation.serve_seconds(1);
    simulation.fleet.cooldowns.clear();
    simulation.serve_seconds(3);
    simulation.fleet.outcomes.clear();
    let since = simulation.fleet.now;
    simulation.serve_seconds(4);
    let (completed, submitted) = simulation.served();
    assert_eq!(completed, submitted);
    for index in 0..18 {
        assert!(
            simulation.rate_since(index, since) > 5.0,
            "the upstream must get its share again"
        );
    }
}

#[test]
fn other_upstreams_keep_their_share_during_a_cooldown() {
    let mut simulation = LoadSimulation::small();
    start_cooldowns(&mut simulation, 0..1, COOLDOWN);
    let since = simulation.fleet.now;
    simulation.serve_seconds(8);
    let (completed, submitted) = simulation.served();
    assert_eq!(
        completed, submitted,
        "the other upstreams must serve all requests"
    );
    for index in 1..18 {
        assert!(simulation.rate_since(index, since) > 5.0);
    }
}

#[test]
fn no_upstream_gets_requests_after_it_announced_leaving() {
    let mut simulation = LoadSimulation::small();
    simulation.serve_seconds(2);
    simulation.fleet.leaving.extend((0..3).map(group));
    simulation.serve_seconds(2);
    let since = simulation.fleet.now;
    simulation.serve_seconds(6);
    let late: usize = (0..3)
        .map(|index| simulation.times(index, since).len())
        .sum();
    assert_eq!(late, 0);
    let (completed, submitted) = simulation.served();
    assert_eq!(
        completed, submitted,
        "the other upstreams must serve all requests"
    );
}

/// The highest number of requests in half a second from `since` on, at the busiest of these
/// upstreams.
fn max_in_half_a_second(
    simulation: &LoadSimulation,
    groups: std::ops::Range<u64>,
    since: Duration,
) -> usize {
    let busiest = |index| {
        let times = simulation.times(index, since);
        let from = |start: &Duration| {
            let within = |at: &&Duration| **at >= *start && **at < *start + IN_FLIGHT_GRACE;
            times.iter().filter(within).count()
        };
        times.iter().map(from).max().unwrap_or(0)
    };
    groups.map(busiest).max().unwrap_or(0)
}

#[test]
#[ignore = "prints a table; run by hand with --nocapture"]
fn table_of_cooldowns() {
    for (daemons, groups, every, in_cooldown_count) in [
        (9, 18, 1, 6),
        (9, 18, 1, 18),
        (90, 60, 4, 20),
        (340, 60, 5, 20),
        (340, 60, 5, 60),
    ] {
        let mut simulation = LoadSimulation::new(daemons, groups, every);
        simulation.serve_seconds(2);
        simulation.fleet.outcomes.clear();
        let notices = simulation.fleet.notices;
        start_cooldowns(&mut simulation, 0..in_cooldown_count, COOLDOWN);
        simulation.serve_seconds(9);
        let messages = simulation.fleet.notices - notices;
        let turned_away = simulation.fleet.refused_attempts.len();
        let (completed, submitted) = simulation.served();
        let in_cooldown = max_during_cooldown(&simulation);
        simulation.fleet.cooldowns.clear();
        let end = simulation.fleet.now;
        simulation.serve_seconds(4);
        let burst = max_in_half_a_second(&simulation, 0..in_cooldown_count, end);
        println!(
            "{daemons} daemons, {in_cooldown_count} of {groups} upstreams in a cooldown: {turned_away} requests refused in 9 s, {completed} of {submitted} served, \
             at most {in_cooldown} in a cooldown, at most {burst} in half a second afterwards, {messages} messages"
        );
    }
}
