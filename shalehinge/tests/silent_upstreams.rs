//! Streams at sound replicas that are silent for some time and go on where each stream is: silence
//! ends no stream that its deadline leaves time for.

mod silence_support;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shalehinge::core::router::request::{RequestMeta, UpstreamId};
use shalehinge::settings::router::RouterSettings;
use silence_support::{FAR, SilenceSimulation, TICK, replica, resumable_stream};

/// Events of a stream, one a tick: two seconds.
const EVENTS: u32 = 40;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stall_after() -> Duration {
    RouterSettings::default().stall_after
}

/// Streams with output, four for each replica.
fn running_streams(replicas: u64) -> SilenceSimulation {
    let mut simulation = SilenceSimulation::with_replicas(replicas);
    for request in 0..4 * replicas {
        simulation.submit(request, EVENTS, FAR);
    }
    simulation.advance(ms(500));
    simulation
}

#[test]
fn streams_are_whole_when_their_only_replica_is_silent_for_a_second() {
    let mut simulation = running_streams(1);
    simulation.silence(&replica(0), ms(0), ms(1_300));
    simulation.advance(ms(10_000));
    simulation.assert_all_whole();
    simulation.assert_no_pause_beyond(ms(1_300));
}

#[test]
fn streams_are_whole_when_all_replicas_are_silent_for_a_second() {
    let mut simulation = running_streams(6);
    for number in 0..6 {
        simulation.silence(&replica(number), ms(0), ms(1_300));
    }
    simulation.advance(ms(10_000));
    simulation.assert_all_whole();
    simulation.assert_no_pause_beyond(ms(1_300));
}

#[test]
fn streams_are_whole_when_most_replicas_are_silent_for_a_second() {
    let mut simulation = running_streams(10);
    for number in 0..6 {
        simulation.silence(&replica(number), ms(0), ms(1_100));
    }
    simulation.advance(ms(10_000));
    simulation.assert_all_whole();
    simulation.assert_no_pause_beyond(ms(1_100));
}

#[test]
fn a_stream_is_whole_when_its_second_replica_turns_out_silent_too() {
    let mut simulation = running_streams(4);
    simulation.silence(&simulation.first_replica(0), ms(0), ms(3_000));
    simulation.step_until(ms(3_000), |simulation| {
        simulation.streams[&0].attempts.len() > 1
    });
    let second = simulation.streams[&0].attempts[1].upstream.clone();
    simulation.silence(&second, ms(0), ms(2_500));
    simulation.advance(ms(15_000));
    simulation.assert_all_whole();
    simulation.assert_no_pause_beyond(ms(3_000));
}

#[test]
fn streams_are_whole_when_replicas_are_silent_again_and_again() {
    let mut simulation = SilenceSimulation::with_replicas(6);
    for number in 0..6 {
        for round in 0..10 {
            let begin = ms(500 + 300 * number + 2_000 * round);
            simulation.silence(&replica(number), begin, ms(1_000));
        }
    }
    for request in 0..24 {
        simulation.submit(request, 3 * EVENTS, FAR);
    }
    simulation.advance(ms(40_000));
    simulation.assert_all_whole();
    simulation.assert_no_pause_beyond(ms(1_000));
}

#[test]
fn a_stream_is_whole_when_its_replica_is_silent_before_the_first_event() {
    let mut simulation = SilenceSimulation::with_replicas(1);
    simulation.silence(&replica(0), ms(0), ms(4_000));
    simulation.submit(0, EVENTS, FAR);
    simulation.advance(ms(10_000));
    simulation.assert_all_whole();
}

#[test]
fn streams_sent_to_a_replica_that_is_already_silent_are_whole() {
    let mut simulation = running_streams(1);
    simulation.silence(&replica(0), ms(0), ms(1_300));
    simulation.advance(ms(100));
    for request in 4..7 {
        simulation.submit(request, EVENTS, FAR);
    }
    simulation.advance(ms(10_000));
    simulation.assert_all_whole();
    simulation.assert_no_pause_beyond(ms(1_300));
}

#[test]
fn a_stream_is_whole_when_its_replica_is_silent_before_the_last_event() {
    let mut simulation = running_streams(1);
    simulation.step_until(ms(3_000), |simulation| {
        simulation.streams[&0].received == EVENTS - 1
    });
    simulation.silence(&replica(0), ms(0), ms(1_300));
    simulation.advance(ms(10_000));
    simulation.assert_all_whole();
    simulation.assert_no_pause_beyond(ms(1_300));
}

#[test]
fn streams_of_a_replica_that_is_dark_for_good_go_on_elsewhere_without_delay() {
    let mut simulation = running_streams(4);
    let silent_from = simulation.now;
    let dark = simulation.first_replica(0);
    simulation.silence(&dark, ms(0), FAR);
    simulation.advance(ms(10_000));
    println!("{}", simulation.figures());
    let at_dark = simulation
        .streams
        .values()
        .filter(|stream| stream.attempts[0].upstream == dark);
    for stream in at_dark {
        assert!(stream.is_whole(), "{stream:?}");
        let waited = stream.attempts[1].sent_at.since(silent_from);
        assert!(waited <= stall_after() + 2 * TICK, "{waited:?}");
    }
}

#[test]
fn streams_of_a_dark_replica_are_kept_there_until_another_one_has_gone_on() {
    let mut simulation = running_streams(4);
    let dark = simulation.first_replica(0);
    simulation.silence(&dark, ms(0), FAR);
    simulation.advance(ms(10_000));
    simulation.assert_all_whole();
}

#[test]
fn streams_are_whole_when_a_replica_is_silent_and_no_retries_are_left() {
    let settings = RouterSettings {
        retry_ratio: 0.0,
        retry_burst: 0.0,
        ..SilenceSimulation::settings()
    };
    let mut simulation = SilenceSimulation::with_settings(4, 1, settings);
    for request in 0..16 {
        simulation.submit(request, EVENTS, FAR);
    }
    simulation.advance(ms(500));
    simulation.silence(&simulation.first_replica(0), ms(0), ms(1_300));
    simulation.advance(ms(10_000));
    simulation.assert_all_whole();
    assert_eq!(simulation.figures().attempts, 16);
}

#[test]
fn streams_that_may_not_be_sent_again_are_whole_when_their_replica_is_silent() {
    let mut simulation = SilenceSimulation::with_replicas(4);
    let deadline = simulation.now + FAR;
    for request in 0..16 {
        let meta = RequestMeta {
            max_attempts: Some(1),
            ..resumable_stream(request, deadline)
        };
        simulation.submit_as(request, EVENTS, meta);
    }
    simulation.advance(ms(500));
    for number in 0..4 {
        simulation.silence(&replica(number), ms(0), ms(1_300));
    }
    simulation.advance(ms(10_000));
    simulation.assert_all_whole();
    assert_eq!(simulation.figures().attempts, 16);
}

#[test]
fn new_streams_do_not_go_to_a_replica_that_is_silent() {
    let mut simulation = running_streams(4);
    let silent = simulation.first_replica(0);
    simulation.silence(&silent, ms(0), ms(3_000));
    simulation.advance(stall_after() + 2 * TICK);
    for request in 100..110 {
        simulation.submit(request, EVENTS, FAR);
        assert_ne!(simulation.first_replica(request), silent);
    }
}

#[test]
fn second_attempts_do_not_go_to_replicas_that_are_silent() {
    let mut simulation = running_streams(10);
    let silent: Vec<UpstreamId> = (0..4).map(replica).collect();
    for upstream in &silent {
        simulation.silence(upstream, ms(0), ms(3_000));
    }
    simulation.advance(ms(10_000));
    println!("{}", simulation.figures());
    assert!(simulation.figures().moved > 0);
    for stream in simulation.streams.values() {
        let second = stream.attempts.get(1);
        assert!(second.is_none_or(|second| !silent.contains(&second.upstream)));
    }
}

#[test]
fn streams_are_not_sent_twice_when_most_replicas_are_silent_at_once() {
    let mut simulation = running_streams(10);
    for number in 0..6 {
        simulation.silence(&replica(number), ms(0), ms(1_300));
    }
    simulation.advance(ms(10_000));
    println!("{}", simulation.figures());
    assert_eq!(simulation.figures().attempts, 40);
}

#[test]
fn streams_are_whole_for_silences_of_any_length_at_any_share_of_replicas() {
    let mut failures = Vec::new();
    for length in [300, 700, 1_000, 1_500, 2_500, 5_000] {
        for share in 1..=10 {
            for seed in 1..=2 {
                let simulation = simulation_with_silences(seed, share, ms(length));
                if !simulation.is_as_required() {
                    let summary = simulation.figures();
                    failures.push(format!(
                        "{length} ms, {share} of 10, seed {seed}: {summary}"
                    ));
                }
            }
        }
    }
    assert!(
        failures.is_empty(),
        "{} of 120: {failures:#?}",
        failures.len()
    );
}

/// Forty streams at ten replicas, of which `share` are silent for `length` from about a second on.
fn simulation_with_silences(seed: u64, share: u64, length: Duration) -> SilenceSimulation {
    let mut rng = SmallRng::seed_from_u64(seed);
    let settings = SilenceSimulation::settings();
    let mut simulation = SilenceSimulation::with_settings(10, seed, settings);
    for number in 0..share {
        let begin = ms(1_000 + rng.random_range(0..300));
        simulation.silence(&replica(number), begin, length);
    }
    for request in 0..40 {
        simulation.submit(request, EVENTS, FAR);
        simulation.advance(ms(rng.random_range(0..50)));
    }
    simulation.advance(ms(20_000));
    simulation
}
