//! Requests that fail on every upstream, and upstreams that fail every request.
//!
//! Guards against one caller's request ejecting upstreams that other callers need. Three failures
//! in a row eject an upstream, and they used to count even if the same request also failed
//! elsewhere: after 30 requests that every upstream answers with status 500, a daemon had ejected
//! 4 of 10 upstreams, the maximum, and refused or delayed requests that these could have served.

mod router_support;

use std::time::Duration;

use router_support::{RouterHarness, request};
use shalehinge::core::router::request::{AttemptEnd, Outcome, UpstreamId};

/// Fingerprint of a request that always fails.
const ALWAYS_FAILS: u64 = 1_000_000;
const FAILED: AttemptEnd = AttemptEnd::Failed { status: 500 };
const COMPLETED: AttemptEnd = AttemptEnd::Completed { output_tokens: 8 };

/// Submits a request with this fingerprint and fails all its attempts.
fn fail(harness: &mut RouterHarness, number: u64, fingerprint: u64) {
    harness.submit(number, request().repeatable().with_fingerprint(fingerprint));
    while harness.answer(number).is_none() {
        harness.end_attempt(number, FAILED);
    }
}

/// Submits a harmless request with this fingerprint, which fails on the upstreams in `failing`
/// and completes on others.
fn serve(harness: &mut RouterHarness, number: u64, fingerprint: u64, failing: &[UpstreamId]) {
    harness.submit(number, request().with_fingerprint(fingerprint));
    let runs_at = harness.upstream_of(number);
    let fails = runs_at.is_some_and(|upstream| failing.contains(&upstream));
    harness.end_attempt(number, if fails { FAILED } else { COMPLETED });
}

/// The first `count` different upstreams that an otherwise idle daemon selects.
fn some_upstreams(harness: &mut RouterHarness, count: usize) -> Vec<UpstreamId> {
    let mut chosen: Vec<UpstreamId> = Vec::new();
    for number in 900_000..900_100 {
        harness.submit(number, request());
        let upstream = harness.upstream_of(number).expect("an upstream with room");
        harness.end_attempt(number, COMPLETED);
        if chosen.len() < count && !chosen.contains(&upstream) {
            chosen.push(upstream);
        }
    }
    chosen
}

#[test]
fn a_request_that_fails_everywhere_ejects_at_most_one_upstream() {
    let mut harness = RouterHarness::with_replicas(10);
    for number in 0..30 {
        fail(&mut harness, number, ALWAYS_FAILS);
    }
    let ejected = harness.ejected();
    assert!(ejected.len() <= 1, "{} of 10 ejected", ejected.len());
}

#[test]
fn several_requests_that_fail_everywhere_eject_at_most_one_upstream_each() {
    let mut harness = RouterHarness::with_replicas(30);
    for number in 0..90 {
        fail(&mut harness, number, ALWAYS_FAILS + number % 3);
    }
    let ejected = harness.ejected();
    assert!(ejected.len() <= 3, "{} of 30 ejected", ejected.len());
}

#[test]
fn a_request_that_fails_everywhere_does_not_eject_an_upstream_on_probation() {
    let mut harness = RouterHarness::with_replicas(4);
    for number in 0..12 {
        fail(&mut harness, number, ALWAYS_FAILS);
    }
    for round in 1..=5 {
        harness.advance(Duration::from_secs(11));
        fail(&mut harness, round * 100, ALWAYS_FAILS);
        let ejected = harness.ejected();
        assert!(
            ejected.is_empty(),
            "{} of 4 ejected in round {round}",
            ejected.len()
        );
    }
}

#[test]
fn an_upstream_that_fails_every_request_is_ejected_even_if_all_requests_are_identical() {
    let mut harness = RouterHarness::with_replicas(3);
    let failing = some_upstreams(&mut harness, 1);
    for number in 0..30 {
        serve(&mut harness, number, ALWAYS_FAILS, &failing);
    }
    assert_eq!(harness.ejected(), failing);
}

#[test]
fn two_upstreams_that_fail_every_request_are_ejected_even_if_all_requests_are_identical() {
    let mut harness = RouterHarness::with_replicas(10);
    let mut failing = some_upstreams(&mut harness, 2);
    for number in 0..100 {
        serve(&mut harness, number, ALWAYS_FAILS, &failing);
    }
    failing.sort();
    let mut ejected = harness.ejected();
    ejected.sort();
    assert_eq!(ejected, failing);
}

#[test]
fn upstreams_that_fail_every_request_are_ejected_despite_a_request_that_always_fails() {
    let mut harness = RouterHarness::with_replicas(10);
    let mut failing = some_upstreams(&mut harness, 3);
    for number in 0..100 {
        fail(&mut harness, 1_000 + number, ALWAYS_FAILS);
        serve(&mut harness, number, number, &failing);
    }
    failing.sort();
    let mut ejected = harness.ejected();
    ejected.sort();
    let missed = failing
        .iter()
        .filter(|upstream| !ejected.contains(upstream));
    assert_eq!(
        missed.count(),
        0,
        "ejected {ejected:?}, failing {failing:?}"
    );
    assert!(
        ejected.len() <= 4,
        "ejected {ejected:?}, failing {failing:?}"
    );
}

// Guards against retries of such a request using up the retry budget that all callers share.
#[test]
fn a_request_that_fails_everywhere_leaves_retries_to_others() {
    let mut harness = RouterHarness::with_replicas(10);
    for number in 0..300 {
        fail(&mut harness, number, ALWAYS_FAILS);
    }
    harness.submit(1_000, request().repeatable().with_fingerprint(1));
    harness.end_attempt(1_000, FAILED);
    assert_eq!(harness.answer(1_000), None, "the other request is retried");
    harness.end_attempt(1_000, COMPLETED);
    assert_eq!(harness.answer(1_000), Some(Outcome::Completed));
}
