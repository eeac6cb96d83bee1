//! Second attempts beside attempts at silent upstreams: which one is kept, and when none is made.

mod silence_support;

use std::time::Duration;

use shalehinge::core::router::request::{AttemptEnd, Outcome, UnknownReason};
use shalehinge::core::types::AttemptId;
use shalehinge::settings::router::RouterSettings;
use silence_support::stream::SimulatedStream;
use silence_support::{FAR, SilenceSimulation, replica};

const EVENTS: u32 = 100;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One stream at one of `replicas`, which is silent from now on.
fn silent_stream(replicas: u64) -> SilenceSimulation {
    let mut simulation = SilenceSimulation::with_replicas(replicas);
    simulation.submit(0, EVENTS, FAR);
    simulation.advance(ms(500));
    simulation.silence(&simulation.first_replica(0), ms(0), FAR);
    simulation
}

/// A silent stream with a second attempt, at a replica that is silent too.
fn stream_with_two_silent_attempts() -> SilenceSimulation {
    let mut simulation = silent_stream(2);
    for number in 0..2 {
        simulation.silence(&replica(number), ms(0), FAR);
    }
    simulation.step_until(ms(2_000), |simulation| {
        stream(simulation).attempts.len() == 2
    });
    simulation
}

fn attempt(simulation: &SilenceSimulation, index: usize) -> AttemptId {
    stream(simulation).attempts[index].id
}

fn stream(simulation: &SilenceSimulation) -> &SimulatedStream {
    &simulation.streams[&0]
}

#[test]
fn a_stream_goes_on_by_its_first_attempt_if_the_second_one_ends() {
    let mut simulation = stream_with_two_silent_attempts();
    simulation.end(0, attempt(&simulation, 1), AttemptEnd::Lost);
    simulation.advance(ms(100));
    assert_eq!(stream(&simulation).outcome, None);
    assert_eq!(stream(&simulation).abandoned, 0);
}

#[test]
fn a_stream_goes_on_by_its_second_attempt_if_the_first_one_ends() {
    let mut simulation = stream_with_two_silent_attempts();
    simulation.end(0, attempt(&simulation, 0), AttemptEnd::Lost);
    simulation.advance(ms(100));
    assert_eq!(stream(&simulation).outcome, None);
    assert_eq!(stream(&simulation).abandoned, 0);
}

#[test]
fn a_stream_ends_when_both_attempts_have_ended() {
    let mut simulation = stream_with_two_silent_attempts();
    simulation.end(0, attempt(&simulation, 0), AttemptEnd::Lost);
    simulation.end(0, attempt(&simulation, 1), AttemptEnd::Lost);
    let reason = UnknownReason::Lost;
    let expected = Some(Outcome::Unknown { reason });
    assert_eq!(stream(&simulation).outcome, expected);
}

#[test]
fn a_deadline_ends_both_attempts() {
    let mut simulation = SilenceSimulation::with_replicas(2);
    simulation.submit(0, EVENTS, ms(3_000));
    simulation.advance(ms(500));
    for number in 0..2 {
        simulation.silence(&replica(number), ms(0), FAR);
    }
    simulation.advance(ms(3_000));
    let reason = UnknownReason::DeadlinePassed;
    assert_eq!(
        stream(&simulation).outcome,
        Some(Outcome::Unknown { reason })
    );
    assert_eq!(stream(&simulation).abandoned, 2);
    assert!(simulation.router.upstreams().all(|u| u.in_flight() == 0));
}

#[test]
fn a_caller_that_leaves_ends_both_attempts() {
    let mut simulation = stream_with_two_silent_attempts();
    simulation.cancel(0);
    assert_eq!(stream(&simulation).abandoned, 2);
    assert!(simulation.router.upstreams().all(|u| u.in_flight() == 0));
}

#[test]
fn no_second_attempt_is_made_without_a_retry_left() {
    let settings = RouterSettings {
        retry_burst: 0.0,
        retry_ratio: 0.0,
        ..RouterSettings::default()
    };
    let mut simulation = SilenceSimulation::with_settings(2, 1, settings);
    simulation.submit(0, EVENTS, FAR);
    simulation.advance(ms(500));
    simulation.silence(&simulation.first_replica(0), ms(0), ms(5_000));
    simulation.advance(ms(5_000));
    assert_eq!(stream(&simulation).attempts.len(), 1);
    simulation.advance(ms(10_000));
    simulation.assert_all_whole();
}

#[test]
fn streams_wait_longer_for_a_second_attempt_while_most_upstreams_are_silent() {
    let stall_after = RouterSettings::default().stall_after;
    let mut simulation = SilenceSimulation::with_replicas(8);
    for request in 0..32 {
        simulation.submit(request, EVENTS, FAR);
    }
    simulation.advance(ms(500));
    for number in 0..6 {
        simulation.silence(&replica(number), ms(0), FAR);
    }
    simulation.advance(stall_after * 2);
    let attempts = |simulation: &SilenceSimulation| -> usize {
        let streams = simulation.streams.values();
        streams.map(|stream| stream.attempts.len()).sum()
    };
    assert_eq!(attempts(&simulation), 32);
    simulation.advance(stall_after * 2);
    assert!(attempts(&simulation) > 32);
}
