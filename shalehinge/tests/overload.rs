//! More requests than the upstreams can serve, where no upstream reports its load.
//!
//! Guards against queues at the upstreams that make all requests late: each daemon sent what came,
//! as its share of each upstream's room was never less than two requests.

mod relay_support;

use std::time::Duration;

use relay_support::load_simulation::LoadSimulation;
use shalehinge::core::router::request::Outcome;

/// Target time of the first output.
const TARGET: Duration = Duration::from_millis(400);
/// Time from the first output to the end of an answer.
const OUTPUT_TIME: Duration = Duration::from_millis(250);
/// Requests per second that one group serves.
const GROUP_RATE: f64 = 20.0;

/// What callers got in a time, as numbers of requests.
#[derive(Debug)]
struct Received {
    in_time: usize,
    late: usize,
    not_run: usize,
    failed: usize,
}

/// Serves for `seconds` and returns what the callers got whose requests ended then.
fn serve(simulation: &mut LoadSimulation, seconds: u64) -> Received {
    let before = simulation.fleet.outcomes.len();
    simulation.serve_seconds(seconds);
    let outcomes = simulation.fleet.outcomes[before..].iter();
    let ended = outcomes.zip(&simulation.fleet.answer_times[before..]);
    let mut received = Received {
        in_time: 0,
        late: 0,
        not_run: 0,
        failed: 0,
    };
    for (outcome, time) in ended {
        match outcome {
            Outcome::Completed if *time <= TARGET + OUTPUT_TIME => received.in_time += 1,
            Outcome::Completed => received.late += 1,
            Outcome::NotRun { retry_after, .. } => {
                assert!(*retry_after > Duration::ZERO);
                received.not_run += 1;
            }
            _ => received.failed += 1,
        }
    }
    received
}

/// A fleet whose groups serve `capacity` times the requests that arrive.
fn simulation(daemons: u16, every: usize, capacity: f64) -> LoadSimulation {
    let arriving = f64::from(daemons) * 20.0 / every as f64;
    let groups = (arriving * capacity / GROUP_RATE).round();
    let mut simulation = LoadSimulation::new(daemons, groups as u16, every);
    simulation.fleet.service_rate = Some(GROUP_RATE);
    simulation.fleet.target_latency = Some(TARGET);
    simulation
}

/// Numbers of daemons, and rounds between two requests of a daemon. A daemon always has one request
/// in flight, so it must get more than one while it waits for an answer.
const SIZES: [(u16, usize); 2] = [(9, 1), (40, 1)];

#[test]
fn under_overload_what_is_sent_is_mostly_on_time() {
    for (daemons, every) in SIZES {
        let mut simulation = simulation(daemons, every, 0.6);
        serve(&mut simulation, 8);
        let received = serve(&mut simulation, 12);
        println!("{daemons} daemons: {received:?}");
        let Received { in_time, late, .. } = received;
        assert!(in_time > late, "{daemons} daemons: {received:?}");
        assert_eq!(received.failed, 0, "{daemons} daemons: {received:?}");
    }
}

#[test]
fn with_enough_capacity_nothing_is_refused() {
    for (daemons, every) in SIZES {
        let mut simulation = simulation(daemons, every, 1.6);
        serve(&mut simulation, 4);
        let received = serve(&mut simulation, 8);
        println!("{daemons} daemons: {received:?}");
        assert_eq!(received.not_run + received.failed, 0, "{received:?}");
        assert!(received.late * 20 < received.in_time, "{received:?}");
    }
}

#[test]
fn after_an_overload_all_requests_are_on_time_again() {
    for (daemons, every) in SIZES {
        let mut simulation = simulation(daemons, every, 0.6);
        serve(&mut simulation, 8);
        simulation.fleet.service_rate = Some(GROUP_RATE * 4.0);
        serve(&mut simulation, 6);
        let received = serve(&mut simulation, 6);
        println!("{daemons} daemons: {received:?}");
        assert_eq!(received.not_run + received.failed, 0, "{received:?}");
        assert!(received.late * 20 < received.in_time, "{received:?}");
    }
}
