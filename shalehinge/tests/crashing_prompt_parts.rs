//! Guards against parts of prompts that crash one upstream after the other.

mod router_support;

use std::time::Duration;

use router_support::{RouterHarness, request};
use shalehinge::core::router::prefix;
use shalehinge::core::router::request::{AttemptEnd, NotRunReason, Outcome};

/// Time after which a trial no longer waits for upstreams to return.
const TRIAL_IS_DUE: Duration = Duration::from_secs(7);
/// Time after which an answer is no evidence for the parts of its prompt any more.
const ANSWER_IS_OLD: Duration = Duration::from_secs(2);
const COMPLETED: AttemptEnd = AttemptEnd::Completed { output_tokens: 8 };

fn harness() -> RouterHarness {
    let mut harness = RouterHarness::with_replicas(8);
    harness.upstreams_crash = true;
    harness
}

/// Lets an upstream crash while it runs a request with these parts.
fn crash(harness: &mut RouterHarness, number: u64, parts: &[&str]) {
    harness.submit(number, request().with_parts(parts));
    harness.end_attempt(number, AttemptEnd::Lost);
}

/// Whether a request with these parts is sent to an upstream; if so, it is completed.
fn is_served(harness: &mut RouterHarness, number: u64, parts: &[&str]) -> bool {
    harness.submit(number, request().with_parts(parts));
    let is_sent = harness.attempts(number) > 0;
    harness.end_attempt(number, COMPLETED);
    is_sent
}

#[test]
fn requests_with_a_part_that_crashed_two_upstreams_are_refused_though_no_two_are_alike() {
    let mut harness = harness();
    assert!(is_served(&mut harness, 1, &["common"]));
    crash(&mut harness, 2, &["common", "bad"]);
    crash(&mut harness, 3, &["common", "bad"]);
    assert!(!is_served(&mut harness, 4, &["common", "bad"]));
    let reason = match harness.answer(4) {
        Some(Outcome::NotRun { reason, .. }) => Some(reason),
        _ => None,
    };
    assert_eq!(reason, Some(NotRunReason::Quarantined));
    assert!(is_served(&mut harness, 5, &["common"]));
}

#[test]
fn a_part_that_is_answered_all_the_time_is_not_suspected() {
    let mut harness = harness();
    assert!(is_served(&mut harness, 1, &["common"]));
    for number in 2..6 {
        crash(&mut harness, number, &["common"]);
    }
    assert!(is_served(&mut harness, 6, &["common"]));
}

#[test]
fn a_part_that_is_not_answered_any_more_is_suspected() {
    let mut harness = harness();
    assert!(is_served(&mut harness, 1, &["once-good"]));
    harness.advance(ANSWER_IS_OLD);
    crash(&mut harness, 2, &["once-good"]);
    crash(&mut harness, 3, &["once-good"]);
    assert!(!is_served(&mut harness, 4, &["once-good"]));
}

#[test]
fn a_trial_proves_the_part_and_clears_those_that_crashed_with_it() {
    let mut harness = harness();
    crash(&mut harness, 1, &["rare", "bad"]);
    crash(&mut harness, 2, &["rare", "bad"]);
    assert!(!is_served(&mut harness, 3, &["rare"]));
    harness.advance(TRIAL_IS_DUE);
    crash(&mut harness, 4, &["bad"]);
    assert_eq!(harness.attempts(4), 1, "it is tried");
    assert!(!is_served(&mut harness, 5, &["bad"]));
    assert!(is_served(&mut harness, 6, &["rare"]));
}

#[test]
fn an_answer_clears_a_suspected_part_everywhere() {
    let mut harness = harness();
    crash(&mut harness, 1, &["suspect"]);
    crash(&mut harness, 2, &["suspect"]);
    harness.advance(TRIAL_IS_DUE);
    assert!(is_served(&mut harness, 3, &["suspect"]), "it is tried");
    assert!(is_served(&mut harness, 4, &["suspect"]));
    let update = harness.router.take_quarantine_update(harness.now());
    assert!(!update.completions.is_empty(), "other daemons are notified");
}

#[test]
fn prompts_of_the_own_interface_share_parts_up_to_the_last_block() {
    let prompt = |end: u8| {
        let mut bytes = vec![b'x'; 4 * prefix::BLOCK_BYTES];
        bytes.extend(vec![end; prefix::BLOCK_BYTES]);
        prefix::shared_parts(&prefix::chain_of(&bytes))
    };
    assert_eq!(prompt(b'a').len(), 3, "of 1, 2 and 4 blocks");
    assert_eq!(prompt(b'a'), prompt(b'b'));
    assert!(prompt(b'a').iter().all(|part| part.is_prompt_part()));
}

// Guards against a trial that takes a part of sound prompts for the one that crashes upstreams.
#[test]
fn a_trial_of_two_suspected_parts_proves_neither_alone() {
    let mut harness = harness();
    crash(&mut harness, 1, &["bad", "shared"]);
    crash(&mut harness, 2, &["bad", "shared"]);
    harness.advance(TRIAL_IS_DUE);
    crash(&mut harness, 3, &["bad", "shared"]);
    assert_eq!(harness.attempts(3), 1, "it is tried");
    harness.advance(TRIAL_IS_DUE);
    assert!(!is_served(&mut harness, 4, &["bad", "shared"]));
    assert!(
        is_served(&mut harness, 5, &["good", "shared"]),
        "a sound request"
    );
    assert!(is_served(&mut harness, 6, &["good", "shared"]));
    assert!(!is_served(&mut harness, 7, &["bad", "other"]));
}

// Guards against a part that crashes replicas of one model after the other.
#[test]
fn a_part_that_crashes_replicas_is_held_back_for_all_models() {
    let mut harness = RouterHarness::with_replicas(16);
    harness.upstreams_crash = true;
    harness.split_replicas(&["one", "two", "three", "four"]);
    let mut number = 0;
    let mut late = 0;
    for model in ["one", "two", "three", "four"] {
        for _ in 0..10 {
            number += 1;
            let bad = request().with_parts(&["bad", "shared"]).for_model(model);
            harness.submit(number, bad);
            harness.end_attempt(number, AttemptEnd::Lost);
            late += if model == "one" {
                0
            } else {
                harness.attempts(number)
            };
            harness.advance(TRIAL_IS_DUE);
        }
        number += 1;
        let sound = request().with_parts(&["good", "shared"]).for_model(model);
        harness.submit(number, sound);
        assert_eq!(harness.attempts(number), 1, "a sound request for {model}");
        harness.end_attempt(number, COMPLETED);
    }
    assert!(late <= 3, "{late} reached replicas of further models");
}

// Guards against answers of one model that hide crashes of another.
#[test]
fn a_part_that_crashes_replicas_of_one_model_is_served_by_another() {
    let mut harness = RouterHarness::with_replicas(8);
    harness.upstreams_crash = true;
    harness.split_replicas(&["one", "two"]);
    let mut reached = 0;
    for number in 1..40 {
        let bad = request().with_parts(&["bad"]).for_model("one");
        harness.submit(number, bad);
        reached += harness.attempts(number);
        harness.end_attempt(number, AttemptEnd::Lost);
        let sound = request().with_parts(&["bad"]).for_model("two");
        harness.submit(100 + number, sound);
        harness.end_attempt(100 + number, COMPLETED);
        harness.advance(TRIAL_IS_DUE);
    }
    assert!(reached <= 5, "{reached} reached replicas of the model");
    let sound = request().with_parts(&["bad"]).for_model("two");
    harness.submit(200, sound);
    assert_eq!(harness.attempts(200), 1);
}
