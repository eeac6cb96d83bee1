//! The watch over an owner that does not answer: when it is probed, and from when it counts as
//! unreachable.

use std::time::Duration;

use shalehinge::core::owner_watch::OwnerWatch;
use shalehinge::core::types::{Address, Timestamp};

fn owner() -> Address {
    ([10, 0, 0, 1], 1).into()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_duration(Duration::from_millis(millis))
}

#[test]
fn an_owner_counts_as_unreachable_once_a_probe_timed_out() {
    let mut watch = OwnerWatch::default();
    let first = watch.watch(at(5_000), owner());
    assert!(first.is_new && first.is_probe_due);
    assert_eq!(first.unreachable_since, None);
    let early = watch.watch(at(5_900), owner());
    assert!(!early.is_new && !early.is_probe_due);
    assert_eq!(early.unreachable_since, None);
    let late = watch.watch(at(6_000), owner());
    assert!(late.is_probe_due);
    assert_eq!(late.unreachable_since, Some(at(5_000)));
}

#[test]
fn an_owner_that_is_heard_from_is_watched_anew() {
    let mut watch = OwnerWatch::default();
    watch.watch(at(5_000), owner());
    assert!(watch.on_heard(owner()));
    assert!(!watch.on_heard(owner()));
    let step = watch.watch(at(6_500), owner());
    assert!(step.is_new);
    assert_eq!(step.unreachable_since, None);
}

/// Guards against taking an owner for dead by a probe that dates from long ago.
#[test]
fn a_watch_without_recent_probes_starts_over() {
    let mut watch = OwnerWatch::default();
    watch.watch(at(5_000), owner());
    let step = watch.watch(at(9_000), owner());
    assert!(step.is_new && step.is_probe_due);
    assert_eq!(step.unreachable_since, None);
}
