//! Writes that a store has received and not answered, and carries out later if their condition
//! holds then.

#![allow(dead_code)] // Each stand-in uses only some of the items.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shalehinge::core::objects::{Object, ObjectKey};
use shalehinge::core::platform::EraScope;
use shalehinge::core::types::Version;

/// Time from the receipt of a write until it is carried out, in milliseconds.
const DELAY_MS: Range<u64> = 1_000..10_000;
/// Time from the write that gave the object the named number until the held write is carried out,
/// in milliseconds.
const DELAY_AFTER_MEETING_MS: Range<u64> = 20..1_500;

/// Name under which the store keeps an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredName {
    /// Key of the object.
    pub key: ObjectKey,
    /// Which of the objects with this key.
    pub scope: EraScope,
}

/// A write that the store has received and not answered.
#[derive(Clone, Debug)]
pub struct HeldWrite {
    /// Name of the sender.
    pub sender: String,
    /// The object.
    pub name: StoredName,
    /// The version that the sender expects; its number alone is compared.
    pub expect: Version,
    /// The new value.
    pub object: Box<Object>,
    due: Duration,
    has_met: bool,
}

/// What happened to held writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldWriteCounts {
    /// Writes that were held.
    pub held: usize,
    /// Revisions raised to the number that a held write of an earlier era names.
    pub met: usize,
    /// Held writes that took effect in the era that they name.
    pub in_their_era: usize,
    /// Held writes that took effect in a later era.
    pub across_eras: usize,
    /// Those of them that replaced a lease or made one.
    pub leases_across_eras: usize,
    /// Those of them that replaced an assignment or made one.
    pub assignments_across_eras: usize,
    /// Held writes whose condition did not hold.
    pub refused: usize,
}

/// The writes that a store holds, chosen by a seed.
pub struct HeldWrites {
    /// Share of received writes that are held.
    pub share: f64,
    /// Share of held writes of an earlier era whose number the next write of their object gets.
    pub meeting_share: f64,
    /// What happened so far.
    pub counts: HeldWriteCounts,
    /// What happened so far, one line an event.
    pub trace: Vec<String>,
    /// Simulated time.
    now: Duration,
    rng: SmallRng,
    held: Vec<HeldWrite>,
}

impl HeldWrites {
    /// A store that holds no write until a share is set.
    pub fn new(seed: u64) -> Self {
        Self {
            share: 0.0,
            meeting_share: 0.0,
            counts: HeldWriteCounts::default(),
            trace: Vec::new(),
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            held: Vec::new(),
        }
    }

    /// Advances simulated time.
    pub fn set_now(&mut self, now: Duration) {
        self.now = now;
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, text: &str) {
        let line = format!("{:9.3} {text}", self.now.as_secs_f64());
        self.trace.push(line);
    }

    /// Whether the write that arrives now is held.
    pub fn holds_next(&mut self) -> bool {
        let share = self.share;
        share > 0.0 && self.rng.random_bool(share)
    }

    /// Holds a write.
    pub fn hold(&mut self, sender: &str, name: &StoredName, expect: Version, object: &Object) {
        let delay = self.rng.random_range(DELAY_MS);
        self.counts.held += 1;
        self.note(&format!(
            "held: {sender} writes {name:?} at {expect}: {}",
            summary(object)
        ));
        self.held.push(HeldWrite {
            sender: sender.to_owned(),
            name: name.clone(),
            expect,
            object: Box::new(object.clone()),
            due: self.now + Duration::from_millis(delay),
            has_met: false,
        });
    }

    /// The revision of the write that is carried out now: the next one, or the one that a held
    /// write of an earlier era names for the same object, as other writers have raised the counter.
    pub fn next_revision(&mut self, key: &ObjectKey, revision: Version) -> u64 {
        let next = revision.number + 1;
        let share = self.meeting_share;
        let is_candidate = |write: &&mut HeldWrite| {
            let is_earlier = write.expect.era < revision.era;
            is_earlier && !write.has_met && write.name.key == *key && write.expect.number >= next
        };
        let Some(write) = self.held.iter_mut().find(is_candidate) else {
            return next;
        };
        if share <= 0.0 || !self.rng.random_bool(share) {
            return next;
        }
        let delay = self.rng.random_range(DELAY_AFTER_MEETING_MS);
        write.has_met = true;
        write.due = self.now + Duration::from_millis(delay);
        let number = write.expect.number;
        self.counts.met += 1;
        number
    }

    /// Takes the writes that are to be carried out now.
    pub fn take_due(&mut self) -> Vec<HeldWrite> {
        let now = self.now;
        let is_due = |write: &HeldWrite| write.due <= now;
        let held = std::mem::take(&mut self.held);
        let (due, waiting): (Vec<HeldWrite>, Vec<HeldWrite>) = held.into_iter().partition(is_due);
        self.held = waiting;
        due
    }

    /// Records a held write that took effect at `written`, or was refused.
    pub fn record(&mut self, write: &HeldWrite, written: Option<Version>) {
        let HeldWrite {
            sender,
            name,
            expect,
            object,
            ..
        } = write;
        let Some(version) = written else {
            self.counts.refused += 1;
            self.note(&format!("late, refused: {sender} {name:?} at {expect}"));
            return;
        };
        self.note(&format!(
            "late, carried out as {version}: {sender} {name:?} at {expect}: {}",
            summary(object)
        ));
        if version.era == expect.era {
            self.counts.in_their_era += 1;
            return;
        }
        self.counts.across_eras += 1;
        match name.key {
            ObjectKey::Lease(_) => self.counts.leases_across_eras += 1,
            ObjectKey::Assignment(_) => self.counts.assignments_across_eras += 1,
            _ => {}
        }
    }
}

/// A short description of a value, for the trace.
pub fn summary(object: &Object) -> String {
    match object {
        Object::Lease(lease) => format!(
            "holder {:?} epoch {} released {} {:?}",
            lease.holder, lease.epoch.0, lease.released, lease.operation
        ),
        Object::Assignment(assignment) => format!(
            "assignment of epoch {} with {} groups",
            assignment.epoch.0,
            assignment.groups.len()
        ),
        Object::Claims(partition) => {
            let keys: Vec<u128> = partition.claims.keys().map(|key| key.0).collect();
            format!("claims of the keys {keys:?}")
        }
        Object::Fleet(fleet) => format!("configuration {}", fleet.generation),
        _ => "other".to_owned(),
    }
}
