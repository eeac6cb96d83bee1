//! What holds for a request that was taken before the configuration changes, the platform becomes
//! silent or the daemon is paused.

mod router_support;

use std::time::Duration;

use router_support::{RouterHarness, request};
use shalehinge::core::router::request::{AttemptEnd, Outcome};

/// The end of an attempt whose response was complete.
const COMPLETED: AttemptEnd = AttemptEnd::Completed { output_tokens: 8 };
/// How long the daemon is paused: longer than reports of upstreams count.
const PAUSE: Duration = Duration::from_secs(3);
/// How long keys are valid after the last answer of the platform.
const KEYS_VALID_FOR: Duration = Duration::from_secs(1);

#[test]
fn a_request_runs_to_its_end_after_its_replica_left_the_configuration() {
    let mut harness = RouterHarness::with_replicas(2);
    harness.submit(1, request());
    harness.keep_replicas(0);
    harness.advance(Duration::from_secs(5));
    assert_eq!(harness.answer(1), None);
    harness.end_attempt(1, COMPLETED);
    assert_eq!(harness.answer(1), Some(Outcome::Completed));
}

#[test]
fn a_request_runs_to_its_end_after_its_service_left_the_configuration() {
    let mut harness = RouterHarness::with_replicas(2);
    harness.submit(1, request());
    harness.remove_all_targets();
    harness.advance(Duration::from_secs(5));
    assert_eq!(harness.answer(1), None);
    harness.end_attempt(1, COMPLETED);
    assert_eq!(harness.answer(1), Some(Outcome::Completed));
}

#[test]
fn a_running_request_is_not_ended_by_the_revocation_of_its_key() {
    let mut harness = RouterHarness::with_replicas(2);
    harness.submit(1, request().with_key());
    harness.revoke_keys();
    harness.advance(Duration::from_secs(5));
    assert_eq!(harness.answer(1), None);
    harness.end_attempt(1, COMPLETED);
    assert_eq!(harness.answer(1), Some(Outcome::Completed));
}

#[test]
fn a_request_is_retried_although_the_platform_has_been_silent_since_it_was_taken() {
    let mut harness = RouterHarness::with_replicas(2);
    let valid_until = harness.now() + KEYS_VALID_FOR;
    harness.router.set_keys_valid_until(Some(valid_until));
    harness.submit(1, request().repeatable().with_key());
    harness.advance(KEYS_VALID_FOR * 2);
    harness.end_attempt(1, AttemptEnd::Lost);
    assert_eq!(harness.answer(1), None);
    assert_eq!(harness.attempts(1), 2);
    let attempt = harness.last_attempt(1).expect("it was sent");
    assert!(attempt.valid_until > harness.now(), "it may still be sent");
}

#[test]
fn a_request_that_waits_for_its_second_attempt_outlasts_a_pause_of_the_daemon() {
    let mut harness = RouterHarness::with_replicas(2);
    harness.submit(1, request().repeatable());
    harness.fill_upstreams();
    harness.end_attempt(1, AttemptEnd::Lost);
    assert_eq!((harness.attempts(1), harness.answer(1)), (1, None));
    harness.pause(PAUSE);
    // The first tick after a pause comes before any report.
    harness.advance_without_reports(Duration::from_millis(50));
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.answer(1), None);
}
