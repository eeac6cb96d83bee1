//! The order among requests at overloaded upstreams, as a router determines it.

mod router_support;

use std::time::Duration;

use router_support::{RouterHarness, request};
use shalehinge::core::admission::counted_event::CountedEvent;
use shalehinge::core::router::request::{Attempt, AttemptEnd, Target};
use shalehinge::core::types::ModelName;
use shalehinge::settings::router::RouterSettings;

const TARGET_TIME: Duration = Duration::from_millis(300);

fn harness(overload_order: bool) -> RouterHarness {
    let settings = RouterSettings {
        overload_order,
        ..RouterSettings::default()
    };
    RouterHarness::with_settings(2, settings)
}

fn is_overloaded(harness: &RouterHarness) -> bool {
    let target = Target::Model(ModelName::new("m"));
    harness.router.is_overloaded(&target)
}

fn urgency(harness: &RouterHarness, number: u64) -> Option<u8> {
    harness
        .last_attempt(number)
        .and_then(|attempt: &Attempt| attempt.urgency)
}

fn is_deprioritized(harness: &RouterHarness, number: u64) -> bool {
    urgency(harness, number).is_some_and(|urgency| urgency < 4)
}

/// Submits requests of the first rank, each with its first output after this time. Returns their
/// urgencies.
fn serve(harness: &mut RouterHarness, numbers: std::ops::Range<u64>, first: Duration) -> Vec<u8> {
    let mut urgencies = Vec::new();
    for number in numbers {
        harness.submit(number, request().with_priority(9).due_within(TARGET_TIME));
        harness.advance(first);
        harness.output(number);
        harness.end_attempt(number, AttemptEnd::Completed { output_tokens: 8 });
        urgencies.extend(urgency(harness, number));
    }
    urgencies
}

/// Guards against any change on the wire, and any state, while the setting is off.
#[test]
fn without_the_setting_requests_have_no_urgency() {
    let mut harness = harness(false);
    let urgencies = serve(&mut harness, 0..30, Duration::from_millis(400));
    assert_eq!(urgencies, Vec::<u8>::new());
    assert!(!is_overloaded(&harness));
}

/// Guards against an order without an overload, and against one that stays after it.
#[test]
fn late_first_outputs_spread_requests_over_bands_until_they_are_on_time_again() {
    let mut harness = harness(true);
    let urgencies = serve(&mut harness, 0..30, Duration::from_millis(100));
    assert!(urgencies.iter().all(|urgency| *urgency == 4));
    serve(&mut harness, 30..40, Duration::from_millis(400));
    assert!(is_overloaded(&harness));
    let mut urgencies = serve(&mut harness, 40..140, Duration::from_millis(400));
    urgencies.sort_unstable();
    urgencies.dedup();
    assert_eq!(urgencies, [0, 1, 2, 3, 5, 6, 7, 8]);
    serve(&mut harness, 140..190, Duration::from_millis(100));
    let urgencies = serve(&mut harness, 190..200, Duration::from_millis(100));
    assert!(urgencies.iter().all(|urgency| *urgency == 4));
    assert!(!is_overloaded(&harness));
}

/// Guards against an overload that is noticed only when overdue requests end.
#[test]
fn overdue_requests_count_before_they_have_output() {
    let mut harness = harness(true);
    for number in 0..3 {
        harness.submit(number, request().with_priority(9).due_within(TARGET_TIME));
    }
    harness.advance(Duration::from_millis(250));
    assert!(!is_overloaded(&harness));
    harness.advance(Duration::from_millis(100));
    assert!(is_overloaded(&harness));
}

/// Guards against a retry that waits behind new requests although a part of it may have run, and
/// against a refused request that gets ahead by its refusal.
#[test]
fn only_retries_of_requests_that_may_have_run_are_most_urgent() {
    let mut harness = harness(true);
    harness.submit(1, request().with_priority(7).repeatable());
    assert_eq!(urgency(&harness, 1), Some(4));
    harness.end_attempt(1, AttemptEnd::Refused);
    assert_eq!((harness.attempts(1), urgency(&harness, 1)), (2, Some(4)));
    harness.submit(2, request().with_priority(7).repeatable());
    harness.end_attempt(2, AttemptEnd::WrongAnswer);
    assert_eq!((harness.attempts(2), urgency(&harness, 2)), (2, Some(9)));
}

/// Guards against counters that miss requests or count one twice: what is sent after others is
/// counted when it is first sent, and a preferred request at its first output or once it is overdue.
#[test]
fn each_request_is_counted_once_by_preference_and_time() {
    let mut harness = harness(true);
    let urgencies = serve(&mut harness, 0..10, Duration::from_millis(100));
    assert_eq!(urgencies.len(), 10);
    assert_eq!(harness.counted, [CountedEvent::PreferredOnTime; 10]);
    harness.counted.clear();

    let urgencies = serve(&mut harness, 10..60, Duration::from_millis(400));
    let deprioritized = urgencies.iter().filter(|urgency| **urgency < 4).count();
    let count = |event| harness.counted.iter().filter(|e| **e == event).count();
    assert!(deprioritized > 0);
    assert_eq!(count(CountedEvent::Deprioritized), deprioritized);
    assert_eq!(count(CountedEvent::PreferredLate), 50 - deprioritized);
    assert_eq!(count(CountedEvent::PreferredOnTime), 0);
    harness.counted.clear();

    // A request that is refused keeps its preference, which is counted once.
    for number in 60..80 {
        harness.submit(number, request().with_priority(9).due_within(TARGET_TIME));
        // The retry budget is too small for all of them.
        if is_deprioritized(&harness, number) {
            harness.end_attempt(number, AttemptEnd::Refused);
        }
        harness.end_attempt(number, AttemptEnd::Completed { output_tokens: 8 });
    }
    let deprioritized: Vec<u64> = (60..80)
        .filter(|number| is_deprioritized(&harness, *number))
        .collect();
    let retried = |number: &u64| harness.attempts(*number) > 1;
    assert!(deprioritized.iter().any(retried));
    let expected = vec![CountedEvent::Deprioritized; deprioritized.len()];
    assert_eq!(harness.counted, expected);
}

/// Guards against a change of metrics while the setting is off.
#[test]
fn without_the_setting_nothing_is_counted() {
    let mut harness = harness(false);
    serve(&mut harness, 0..30, Duration::from_millis(400));
    assert_eq!(harness.counted, []);
}
