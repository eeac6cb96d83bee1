//! Key claims at one daemon against simulated platform answers.

use std::time::Duration;

use shalehinge::core::claims::{ClaimBook, ClaimResult, ClaimStep};
use shalehinge::core::objects::{Claim, ClaimPartition, ClaimState, KeyHash, Versioned};
use shalehinge::core::types::{OperationId, RequestId, Timestamp, Version};
use shalehinge::settings::claims::ClaimSettings;

const KEY: KeyHash = KeyHash(1);
const WALL: u64 = 1_000_000;

/// A claim table with one partition, and the current time.
struct Book {
    book: ClaimBook,
    now: Timestamp,
}

impl Book {
    fn new() -> Self {
        let settings = ClaimSettings {
            partitions: 1,
            ..ClaimSettings::default()
        };
        Self {
            book: ClaimBook::new(settings),
            now: Timestamp::from_millis(1_000),
        }
    }

    fn claim(&mut self, number: u64) {
        let (request, claimant) = (RequestId(number), OperationId(number));
        self.book.claim(self.now, request, KEY, claimant);
    }

    fn poll_after(&mut self, time: Duration) -> (Vec<ClaimStep>, Vec<(RequestId, ClaimResult)>) {
        self.now = self.now + time;
        self.book.poll(self.now, WALL)
    }

    /// Returns the value of the next step, which must be a write.
    fn write(&mut self) -> ClaimPartition {
        let (steps, _) = self.poll_after(Duration::from_millis(100));
        match steps.into_iter().next() {
            Some(ClaimStep::Write { value, .. }) => value,
            other => panic!("expected a write step, got {other:?}"),
        }
    }

    fn read(&mut self) {
        let (steps, _) = self.poll_after(Duration::from_millis(100));
        assert_eq!(steps, [ClaimStep::Read(0)]);
    }
}

fn partition(version: u64, claims: &[(u64, ClaimState)]) -> Option<Versioned<ClaimPartition>> {
    let mut value = ClaimPartition::default();
    for (claimant, state) in claims {
        let claim = Claim {
            claimant: OperationId(*claimant),
            claimed_at: WALL,
            state: *state,
        };
        value.claims.insert(KEY, claim);
    }
    let version = Version::without_era(version);
    Some(Versioned { version, value })
}

#[test]
fn a_key_is_granted_once_its_write_took_effect() {
    let mut book = Book::new();
    book.claim(7);
    book.read();
    assert_eq!(book.book.on_read(0, None), []);
    assert_eq!(book.write().claims[&KEY].claimant, OperationId(7));
    let results = book.book.on_written(0, Version::without_era(1));
    assert_eq!(results, [(RequestId(7), ClaimResult::Granted)]);
}

#[test]
fn after_an_unclear_write_the_claimant_in_the_object_decides() {
    for (found, expected) in [
        (7, ClaimResult::Granted),
        (8, ClaimResult::InProgressOrUnknown),
    ] {
        let mut book = Book::new();
        book.claim(7);
        book.read();
        book.book.on_read(0, None);
        book.write();
        book.book.on_unclear(0);
        book.read();
        let state = ClaimState::Claimed;
        let results = book.book.on_read(0, partition(1, &[(found, state)]));
        assert_eq!(results, [(RequestId(7), expected)]);
    }
}

#[test]
fn a_key_whose_request_completed_is_told_so() {
    let mut book = Book::new();
    book.claim(7);
    book.read();
    let results = book
        .book
        .on_read(0, partition(3, &[(8, ClaimState::Completed)]));
    assert_eq!(results, [(RequestId(7), ClaimResult::Completed)]);
}

#[test]
fn a_claim_that_was_given_up_while_its_write_was_on_its_way_is_taken_back() {
    let mut book = Book::new();
    book.claim(7);
    book.read();
    book.book.on_read(0, None);
    book.write();
    let (_, results) = book.poll_after(Duration::from_secs(3));
    assert_eq!(results, [(RequestId(7), ClaimResult::Unavailable)]);
    assert_eq!(book.book.on_written(0, Version::without_era(1)), []);
    assert!(book.write().claims.is_empty());
}

#[test]
fn claims_that_wait_share_one_write() {
    let mut book = Book::new();
    for number in 0..50 {
        let (request, claimant) = (RequestId(number), OperationId(number));
        let key = KeyHash(u128::from(number));
        book.book.claim(book.now, request, key, claimant);
    }
    book.read();
    book.book.on_read(0, None);
    assert_eq!(book.write().claims.len(), 50);
}

#[test]
fn an_old_claim_is_forgotten() {
    let mut book = Book::new();
    book.claim(7);
    book.read();
    let mut old = partition(3, &[(8, ClaimState::Completed)]).expect("claim is present");
    let day = 24 * 3_600;
    for claim in old.value.claims.values_mut() {
        claim.claimed_at = WALL - day - 1;
    }
    let other = KeyHash(2);
    let claim = old.value.claims.remove(&KEY).expect("claim is present");
    old.value.claims.insert(other, claim);
    book.book.on_read(0, Some(old));
    let written = book.write();
    assert!(!written.claims.contains_key(&other));
    assert!(written.claims.contains_key(&KEY));
}
