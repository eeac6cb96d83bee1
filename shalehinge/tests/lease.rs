//! The control lease at one candidate whose reads may be stale.

use std::time::Duration;

use shalehinge::core::lease::{ControlLease, LeaseStep};
use shalehinge::core::objects::{LeaseRecord, Versioned};
use shalehinge::core::platform::Freshness;
use shalehinge::core::types::{
    DaemonId, Epoch, Incarnation, OperationId, StoreEra, Timestamp, Version,
};
use shalehinge::settings::lease::LeaseSettings;

const TERM: Duration = Duration::from_secs(4);

fn candidate() -> ControlLease {
    let settings = LeaseSettings {
        term: TERM,
        margin: Duration::from_millis(700),
        interval: Duration::from_millis(1_400),
    };
    ControlLease::new(settings, DaemonId::new("candidate"), Incarnation(1))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// The lease as held by another daemon, at this version.
fn held_by_other(version: u64) -> Option<Versioned<LeaseRecord>> {
    Some(Versioned {
        version: Version::without_era(version),
        value: LeaseRecord {
            operation: OperationId(1),
            holder: DaemonId::new("holder"),
            incarnation: Incarnation(1),
            epoch: Epoch(3),
            term_ms: TERM.as_millis() as u64,
            released: false,
        },
    })
}

fn step(lease: &mut ControlLease, millis: u64) -> Option<LeaseStep> {
    lease.step(at(millis), true, OperationId(2))
}

#[test]
fn a_stale_answer_does_not_delay_the_takeover() {
    let mut lease = candidate();
    step(&mut lease, 0);
    lease.on_read(at(10), held_by_other(5));
    step(&mut lease, 1_400);
    lease.on_read(at(1_410), held_by_other(4));
    step(&mut lease, 2_800);
    lease.on_read(at(2_810), held_by_other(5));
    let taken = step(&mut lease, 4_200);
    let expect = Version::without_era(5);
    assert!(
        matches!(taken, Some(LeaseStep::Write { expect: version, .. }) if version == expect),
        "{taken:?}"
    );
}

#[test]
fn a_conflict_with_an_unseen_renewal_leads_to_an_exact_read() {
    let mut lease = candidate();
    let first = step(&mut lease, 0);
    assert_eq!(first, Some(LeaseStep::Read(Freshness::MayBeStale)));
    lease.on_read(at(10), held_by_other(5));
    step(&mut lease, 1_400);
    lease.on_read(at(1_410), held_by_other(5));
    step(&mut lease, 4_200);
    // The lease holder's renewal to version 6 was not visible in the stale answers.
    lease.on_conflict(at(4_210));
    assert_eq!(lease.held(at(4_220)), None);
    let again = step(&mut lease, 4_220);
    assert_eq!(again, Some(LeaseStep::Read(Freshness::Exact)));
}

#[test]
fn a_write_without_an_answer_is_resolved_by_an_exact_read() {
    let mut lease = candidate();
    step(&mut lease, 0);
    lease.on_read(at(10), None);
    assert!(matches!(
        step(&mut lease, 1_400),
        Some(LeaseStep::Write { .. })
    ));
    lease.on_unknown_outcome();
    let read = step(&mut lease, 2_800);
    assert_eq!(read, Some(LeaseStep::Read(Freshness::Exact)));
}

#[test]
fn an_overwritten_lease_is_taken_after_a_term_with_a_higher_epoch() {
    let mut lease = candidate();
    step(&mut lease, 0);
    lease.on_read(at(10), held_by_other(5));
    step(&mut lease, 1_400);
    lease.on_foreign(at(1_410), Version::without_era(6));
    step(&mut lease, 2_800);
    lease.on_foreign(at(2_810), Version::without_era(6));
    let early = step(&mut lease, 4_200);
    assert!(matches!(early, Some(LeaseStep::Read(_))), "{early:?}");
    lease.on_foreign(at(4_210), Version::without_era(6));
    let Some(LeaseStep::Write { expect, record }) = step(&mut lease, 5_600) else {
        panic!("expected a write a full term after the record was overwritten");
    };
    assert_eq!((expect, record.epoch), (Version::without_era(6), Epoch(4)));
}

#[test]
fn a_restarted_lease_is_raised_above_the_stored_epoch_before_use() {
    let mut lease = candidate();
    step(&mut lease, 0);
    lease.on_foreign(at(10), Version::without_era(6));
    let taken = step(&mut lease, 4_200);
    assert!(matches!(taken, Some(LeaseStep::Write { .. })), "{taken:?}");
    lease.on_written(at(4_210), Version::without_era(7));
    assert_eq!(lease.held(at(4_220)), Some(Epoch(6)));
    lease.note_epoch(Epoch(7));
    assert_eq!(lease.held(at(4_230)), None);
    let Some(LeaseStep::Write { expect, record }) = step(&mut lease, 4_240) else {
        panic!("expected a write that raises the epoch at once");
    };
    assert_eq!((expect, record.epoch), (Version::without_era(7), Epoch(8)));
    lease.on_written(at(4_250), Version::without_era(8));
    assert_eq!(lease.held(at(4_260)), Some(Epoch(8)));
}

// Guards against fencing tokens below those of orders that were sent before the record was
// overwritten.
#[test]
fn a_lease_overwritten_before_it_was_read_is_taken_above_all_its_epochs() {
    /// Number of writes before the record was overwritten. Each can have raised the epoch.
    const WRITES: u64 = 40;
    for era in [StoreEra::UNREPORTED, StoreEra::new(2)] {
        let last_epoch = Epoch(Epoch::first_of(era).0 + WRITES);
        let mut lease = candidate();
        lease.note_era(at(0), era, false);
        let mut taken = None;
        for millis in (0..12_000).step_by(100) {
            match step(&mut lease, millis) {
                Some(LeaseStep::Read(_)) => {
                    lease.on_foreign(at(millis), Version::new(era, WRITES + 1));
                }
                Some(LeaseStep::Write { record, .. }) => {
                    taken = Some(record.epoch);
                    break;
                }
                None => {}
            }
        }
        assert!(taken > Some(last_epoch), "{taken:?} after {last_epoch:?}");
    }
}

// Guards against epochs that count as those of a later era.
#[test]
fn an_overwritten_lease_of_a_store_with_many_writes_keeps_to_the_epochs_of_its_era() {
    let era = StoreEra::new(2);
    let mut lease = candidate();
    lease.note_era(at(0), era, false);
    for millis in (0..12_000).step_by(100) {
        match step(&mut lease, millis) {
            Some(LeaseStep::Read(_)) => {
                lease.on_foreign(at(millis), Version::new(era, u64::MAX));
            }
            Some(LeaseStep::Write { record, .. }) => {
                assert!(record.epoch.is_before(StoreEra::new(3)));
                return;
            }
            None => {}
        }
    }
    panic!("the lease was not taken");
}
