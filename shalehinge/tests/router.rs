//! Tests of the router alone, without daemons, platform or network.

mod router_support;

use std::time::Duration;

use router_support::{RouterHarness, request};
use shalehinge::core::router::request::{AttemptEnd, NotRunReason, Outcome, UnknownReason};

#[test]
fn a_refused_retry_does_not_hide_that_the_first_attempt_may_have_run() {
    let mut harness = RouterHarness::with_replicas(2);
    harness.submit(1, request().repeatable());
    harness.end_attempt(1, AttemptEnd::Lost);
    harness.end_attempt(1, AttemptEnd::Refused);
    harness.advance(Duration::from_millis(100));
    harness.end_attempt(1, AttemptEnd::Refused);
    let reason = UnknownReason::Lost;
    assert_eq!(harness.answer(1), Some(Outcome::Unknown { reason }));
}

#[test]
fn a_retry_without_an_upstream_is_not_answered_as_not_run() {
    let mut harness = RouterHarness::with_replicas(1);
    harness.submit(1, request().repeatable());
    harness.end_attempt(1, AttemptEnd::Lost);
    harness.fail_all_reports();
    harness.advance(Duration::from_millis(100));
    let reason = UnknownReason::Lost;
    assert_eq!(harness.answer(1), Some(Outcome::Unknown { reason }));
}

#[test]
fn a_request_that_may_not_be_repeated_gets_one_attempt() {
    let mut harness = RouterHarness::with_replicas(3);
    harness.submit(1, request());
    harness.end_attempt(1, AttemptEnd::Lost);
    assert_eq!(harness.attempts(1), 1);
    let reason = UnknownReason::Lost;
    assert_eq!(harness.answer(1), Some(Outcome::Unknown { reason }));
}

#[test]
fn a_request_that_was_refused_is_tried_elsewhere_even_if_it_may_not_be_repeated() {
    let mut harness = RouterHarness::with_replicas(2);
    harness.submit(1, request());
    harness.end_attempt(1, AttemptEnd::Refused);
    assert_eq!(harness.attempts(1), 2);
    harness.end_attempt(1, AttemptEnd::Completed { output_tokens: 4 });
    assert_eq!(harness.answer(1), Some(Outcome::Completed));
}

#[test]
fn the_end_of_another_attempt_is_ignored() {
    let mut harness = RouterHarness::with_replicas(2);
    harness.submit(1, request());
    harness.submit(2, request());
    harness.end_with_attempt_of(1, 2, AttemptEnd::Completed { output_tokens: 4 });
    assert_eq!(harness.answer(1), None);
}

#[test]
fn without_a_replica_a_request_is_refused_at_once() {
    let mut harness = RouterHarness::with_replicas(0);
    harness.submit(1, request());
    let Some(Outcome::NotRun {
        reason,
        retry_after,
    }) = harness.answer(1)
    else {
        panic!("the request was not refused");
    };
    assert_eq!(reason, NotRunReason::NoUpstream);
    assert!(retry_after > Duration::ZERO);
}

#[test]
fn a_replica_without_fresh_evidence_gets_no_requests() {
    let mut harness = RouterHarness::with_replicas(1);
    harness.advance_without_reports(Duration::from_secs(3));
    harness.submit(1, request());
    assert_eq!(harness.attempts(1), 0);
}

#[test]
fn a_report_based_on_an_old_member_check_is_no_evidence() {
    let mut harness = RouterHarness::with_replicas(1);
    harness.advance_without_reports(Duration::from_secs(3));
    harness.report_with_check_age(0, Duration::from_secs(5));
    harness.submit(1, request());
    assert_eq!(harness.attempts(1), 0);
}

#[test]
fn a_retry_storm_is_bounded_by_the_budget() {
    let mut harness = RouterHarness::with_replicas(24);
    let mut attempts = 0;
    for number in 0..100 {
        harness.submit(number, request().repeatable());
        while harness.answer(number).is_none() {
            harness.end_attempt(number, AttemptEnd::Failed { status: 500 });
        }
        attempts += harness.attempts(number);
    }
    assert!(attempts <= 100 + 10 + 10, "{attempts} attempts");
}

#[test]
fn a_large_customer_does_not_delay_a_small_one() {
    let mut harness = RouterHarness::with_replicas(1);
    for number in 0..200 {
        harness.submit(number, request().with_customer("large"));
    }
    harness.submit(1_000, request().with_customer("small"));
    for number in 0..200 {
        if harness.attempts(1_000) > 0 {
            break;
        }
        harness.end_attempt(number, AttemptEnd::Completed { output_tokens: 8 });
    }
    let large_before_small = (0..200).filter(|n| harness.attempts(*n) > 0).count();
    assert!(
        large_before_small < 50,
        "{large_before_small} requests of the large customer were sent first"
    );
}

#[test]
fn an_upstream_that_keeps_failing_is_ejected_and_returns_on_probation() {
    let mut harness = RouterHarness::with_replicas(3);
    let failing = harness.submit(0, request());
    for number in 0..30 {
        if number > 0 {
            harness.submit(number, request());
        }
        let end = if harness.upstream_of(number) == failing {
            AttemptEnd::Failed { status: 500 }
        } else {
            AttemptEnd::Completed { output_tokens: 8 }
        };
        harness.end_attempt(number, end);
    }
    let to_failing = |harness: &RouterHarness, numbers: std::ops::Range<u64>| {
        let sent = numbers.filter(|n| harness.upstream_of(*n) == failing);
        sent.count()
    };
    assert_eq!(
        to_failing(&harness, 0..30),
        3,
        "ejected after three consecutive failures"
    );
    harness.advance(Duration::from_secs(6));
    for number in 100..130 {
        harness.submit(number, request());
    }
    assert_eq!(
        to_failing(&harness, 100..130),
        1,
        "only one request at a time on probation"
    );
}

#[test]
fn a_request_that_was_lost_twice_is_not_retried_and_is_refused_when_repeated() {
    let mut harness = RouterHarness::with_replicas(4);
    harness.upstreams_crash = true;
    harness.submit(1, request().repeatable());
    harness.end_attempt(1, AttemptEnd::Lost);
    harness.end_attempt(1, AttemptEnd::Lost);
    assert_eq!(harness.attempts(1), 2, "the settings allow three attempts");
    let reason = UnknownReason::Lost;
    assert_eq!(harness.answer(1), Some(Outcome::Unknown { reason }));
    harness.submit(2, request().repeatable().with_fingerprint(1));
    assert_eq!(harness.attempts(2), 0);
    let Some(Outcome::NotRun {
        reason,
        retry_after,
    }) = harness.answer(2)
    else {
        panic!("the request was not refused");
    };
    assert_eq!(reason, NotRunReason::Quarantined);
    assert!(retry_after > Duration::from_secs(1));
    harness.submit(3, request().repeatable());
    assert_eq!(harness.attempts(3), 1, "other requests are served");
}

#[test]
fn a_request_that_waits_while_the_same_one_is_quarantined_is_not_sent() {
    let mut harness = RouterHarness::with_replicas(4);
    harness.upstreams_crash = true;
    harness.submit(1, request());
    harness.submit(2, request().with_fingerprint(1));
    harness.fill_upstreams();
    harness.submit(3, request().with_fingerprint(1));
    assert_eq!(harness.attempts(3), 0, "it must wait for room");
    harness.end_attempt(1, AttemptEnd::Lost);
    harness.end_attempt(2, AttemptEnd::Lost);
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.attempts(3), 0);
    let outcome = harness.answer(3);
    let is_refused = matches!(
        outcome,
        Some(Outcome::NotRun {
            reason: NotRunReason::Quarantined,
            ..
        })
    );
    assert!(is_refused, "{outcome:?}");
}

#[test]
fn losses_at_upstreams_that_keep_running_quarantine_nothing() {
    let mut harness = RouterHarness::with_replicas(4);
    for number in 1..6 {
        harness.submit(number, request().with_fingerprint(1));
        harness.end_attempt(number, AttemptEnd::Lost);
        assert_eq!(harness.attempts(number), 1, "it must be sent each time");
        harness.advance(Duration::from_secs(1));
    }
}

/// The attempt was lost, and the check whether its upstream crashed is still under way, so the
/// request may have run.
#[test]
fn a_request_that_waits_for_the_check_of_its_upstream_is_not_answered_as_not_run() {
    let mut harness = RouterHarness::with_replicas(4);
    harness.upstreams_crash = true;
    harness.submit(1, request());
    harness.end_attempt(1, AttemptEnd::Lost);
    harness.defers_checks = true;
    harness.submit(2, request().with_fingerprint(1).with_key());
    harness.end_attempt(2, AttemptEnd::Lost);
    assert_eq!(harness.answer(2), None, "it must wait for the check");
    harness.revoke_keys();
    let reason = UnknownReason::Lost;
    assert_eq!(harness.answer(2), Some(Outcome::Unknown { reason }));
}

#[test]
fn a_caller_that_leaves_during_the_check_of_its_upstream_is_told_that_the_request_may_have_run() {
    let mut harness = RouterHarness::with_replicas(4);
    harness.upstreams_crash = true;
    harness.submit(1, request());
    harness.end_attempt(1, AttemptEnd::Lost);
    harness.defers_checks = true;
    harness.submit(2, request().with_fingerprint(1));
    harness.end_attempt(2, AttemptEnd::Lost);
    harness.cancel(2);
    let reason = UnknownReason::Lost;
    assert_eq!(harness.answer(2), Some(Outcome::Unknown { reason }));
}

/// A harness in which two upstreams crashed while running fingerprint 7, and a trial of it is
/// due.
fn with_a_suspect() -> RouterHarness {
    let mut harness = RouterHarness::with_replicas(6);
    harness.upstreams_crash = true;
    for number in 1..=2 {
        harness.submit(number, request().with_fingerprint(7));
        harness.end_attempt(number, AttemptEnd::Lost);
    }
    harness.advance(Duration::from_secs(2));
    harness
}

#[test]
fn a_trial_that_crashes_an_upstream_proves_the_request_and_no_concurrent_one() {
    let mut harness = with_a_suspect();
    harness.submit(3, request().with_fingerprint(7));
    let trial_upstream = harness.upstream_of(3).expect("a trial");
    // Requests with another fingerprint on the same upstream. If their losses counted as crashes,
    // they would become suspected.
    let concurrent: Vec<u64> = (10..30)
        .filter(|number| {
            harness.submit(*number, request().with_fingerprint(8)) == Some(trial_upstream.clone())
        })
        .collect();
    assert!(!concurrent.is_empty());
    for number in concurrent {
        harness.end_attempt(number, AttemptEnd::Lost);
    }
    harness.end_attempt(3, AttemptEnd::Lost);
    harness.advance(Duration::from_secs(10));
    harness.submit(4, request().with_fingerprint(7));
    assert_eq!(harness.attempts(4), 0);
    let Some(Outcome::NotRun { retry_after, .. }) = harness.answer(4) else {
        panic!("the request was not refused");
    };
    assert!(
        retry_after > Duration::from_secs(30),
        "retrying soon is useless for a proven request"
    );
}

#[test]
fn a_suspect_without_a_trial_gets_a_short_retry_after() {
    let mut harness = with_a_suspect();
    harness.grants_trials = false;
    harness.submit(3, request().with_fingerprint(7));
    assert_eq!(harness.answer(3), None, "it must wait for a trial");
    harness.advance(Duration::from_secs(1));
    let Some(Outcome::NotRun { retry_after, .. }) = harness.answer(3) else {
        panic!("the request was not refused");
    };
    assert!(retry_after <= Duration::from_secs(1));
    harness.submit(4, request());
    assert_eq!(
        harness.attempts(4),
        1,
        "other requests must not wait for the trial"
    );
}

#[test]
fn a_suspect_cleared_by_another_daemon_is_sent_at_once() {
    let mut harness = with_a_suspect();
    harness.grants_trials = false;
    harness.submit(3, request().with_fingerprint(7));
    harness.report_remote_completion(7);
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.attempts(3), 1);
}

#[test]
fn a_trial_waits_while_upstreams_are_missing_but_not_forever() {
    let mut harness = RouterHarness::with_replicas(6);
    harness.upstreams_crash = true;
    for number in 1..=2 {
        harness.submit(number, request().with_fingerprint(7));
        harness.end_attempt(number, AttemptEnd::Lost);
    }
    harness.keep_replicas(5);
    harness.advance(Duration::from_secs(3));
    harness.submit(3, request().with_fingerprint(7));
    assert_eq!(harness.attempts(3), 0, "one of six upstreams is missing");
    harness.advance(Duration::from_secs(4));
    harness.submit(4, request().with_fingerprint(7));
    assert_eq!(harness.attempts(4), 1);
}
