//! Key claims at one daemon against simulated platform answers.

use std::time::Duration;

use shalehinge::core::claims::{ClaimResult, ClaimStep, ClaimTracker};
use shalehinge::core::objects::{Claim, ClaimPartition, ClaimState, KeyHash, Versioned};
use shalehinge::core::types::{OperationId, RequestId, Timestamp, Version};
use shalehinge::settings::claims::ClaimSettings;

const KEY: KeyHash = KeyHash(1);
const WALL_SECONDS: u64 = 1_000_000;

/// A claim table with one partition, and the current time.
struct Fixture {
    tracker: ClaimTracker,
    now: Timestamp,
}

impl Fixture {
    fn new() -> Self {
        let settings = ClaimSettings {
            partitions: 1,
            ..ClaimSettings::default()
        };
        Self {
            tracker: ClaimTracker::new(settings),
            now: Timestamp::from_millis(1_000),
        }
    }

    fn claim(&mut self, number: u64) {
        let (request, claimant) = (RequestId(number), OperationId(number));
        self.tracker.claim(self.now, request, KEY, claimant);
    }

    fn poll_after(&mut self, time: Duration) -> (Vec<ClaimStep>, Vec<(RequestId, ClaimResult)>) {
        self.now = self.now + time;
        self.tracker.poll(self.now, WALL_SECONDS)
    }

    /// Returns the value of the next step, which must be a write.
    fn next_write(&mut self) -> ClaimPartition {
        let (steps, _) = self.poll_after(Duration::from_millis(100));
        match steps.into_iter().next() {
            Some(ClaimStep::Write { value, .. }) => value,
            other => panic!("expected a write step, got {other:?}"),
        }
    }

    fn expect_read(&mut self) {
        let (steps, _) = self.poll_after(Duration::from_millis(100));
        assert_eq!(steps, [ClaimStep::Read(0)]);
    }
}

fn partition(version: u64, claims: &[(u64, ClaimState)]) -> Option<Versioned<ClaimPartition>> {
    let mut value = ClaimPartition::default();
    for (claimant, state) in claims {
        let claim = Claim {
            claimant: OperationId(*claimant),
            claimed_at: WALL_SECONDS,
            state: *state,
        };
        value.claims.insert(KEY, claim);
    }
    let version = Version::without_era(version);
    Some(Versioned { version, value })
}

#[test]
fn a_key_is_granted_once_its_write_took_effect() {
    let mut fixture = Fixture::new();
    fixture.claim(7);
    fixture.expect_read();
    assert_eq!(fixture.tracker.on_read(0, None), []);
    assert_eq!(fixture.next_write().claims[&KEY].claimant, OperationId(7));
    let results = fixture.tracker.on_written(0, Version::without_era(1));
    assert_eq!(results, [(RequestId(7), ClaimResult::Granted)]);
}

#[test]
fn after_a_write_of_unknown_outcome_the_stored_claimant_decides() {
    for (found, expected) in [
        (7, ClaimResult::Granted),
        (8, ClaimResult::InProgressOrUnknown),
    ] {
        let mut fixture = Fixture::new();
        fixture.claim(7);
        fixture.expect_read();
        fixture.tracker.on_read(0, None);
        fixture.next_write();
        fixture.tracker.on_call_failed(0);
        fixture.expect_read();
        let state = ClaimState::Claimed;
        let results = fixture.tracker.on_read(0, partition(1, &[(found, state)]));
        assert_eq!(results, [(RequestId(7), expected)]);
    }
}

#[test]
fn a_claim_of_a_completed_key_reports_completed() {
    let mut fixture = Fixture::new();
    fixture.claim(7);
    fixture.expect_read();
    let results = fixture
        .tracker
        .on_read(0, partition(3, &[(8, ClaimState::Completed)]));
    assert_eq!(results, [(RequestId(7), ClaimResult::Completed)]);
}

#[test]
fn a_claim_that_times_out_during_its_write_is_withdrawn() {
    let mut fixture = Fixture::new();
    fixture.claim(7);
    fixture.expect_read();
    fixture.tracker.on_read(0, None);
    fixture.next_write();
    let (_, results) = fixture.poll_after(Duration::from_secs(3));
    assert_eq!(results, [(RequestId(7), ClaimResult::Unavailable)]);
    assert_eq!(fixture.tracker.on_written(0, Version::without_era(1)), []);
    assert!(fixture.next_write().claims.is_empty());
}

#[test]
fn queued_claims_share_one_write() {
    let mut fixture = Fixture::new();
    for number in 0..50 {
        let (request, claimant) = (RequestId(number), OperationId(number));
        let key = KeyHash(u128::from(number));
        fixture.tracker.claim(fixture.now, request, key, claimant);
    }
    fixture.expect_read();
    fixture.tracker.on_read(0, None);
    assert_eq!(fixture.next_write().claims.len(), 50);
}

#[test]
fn expired_claims_are_removed() {
    let mut fixture = Fixture::new();
    fixture.claim(7);
    fixture.expect_read();
    let mut old = partition(3, &[(8, ClaimState::Completed)]).expect("claim is present");
    let day = 24 * 3_600;
    for claim in old.value.claims.values_mut() {
        claim.claimed_at = WALL_SECONDS - day - 1;
    }
    let other = KeyHash(2);
    let claim = old.value.claims.remove(&KEY).expect("claim is present");
    old.value.claims.insert(other, claim);
    fixture.tracker.on_read(0, Some(old));
    let written = fixture.next_write();
    assert!(!written.claims.contains_key(&other));
    assert!(written.claims.contains_key(&KEY));
}

// Guards against two grants of one key, as a write of an earlier era is carried out late.
#[test]
fn an_own_claim_in_the_value_of_an_earlier_era_is_granted_only_once_written_again() {
    let mut fixture = Fixture::new();
    fixture.claim(7);
    fixture.expect_read();
    assert_eq!(fixture.tracker.on_read(0, None), []);
    fixture.next_write();
    fixture.tracker.on_call_failed(0);
    fixture.expect_read();
    let of_earlier_era = partition(0, &[(7, ClaimState::Claimed)]);
    assert_eq!(fixture.tracker.on_read(0, of_earlier_era), []);
    assert_eq!(fixture.next_write().claims[&KEY].claimant, OperationId(7));
    let results = fixture.tracker.on_written(0, Version::without_era(1));
    assert_eq!(results, [(RequestId(7), ClaimResult::Granted)]);
}

#[test]
fn a_key_claimed_in_an_earlier_era_is_refused() {
    let mut fixture = Fixture::new();
    fixture.claim(8);
    fixture.expect_read();
    let of_earlier_era = partition(0, &[(7, ClaimState::Completed)]);
    let results = fixture.tracker.on_read(0, of_earlier_era);
    assert_eq!(results, [(RequestId(8), ClaimResult::Completed)]);
}
