//! The control lease of a failure domain: at most one daemon acts for the domain at a time.
//!
//! The lease holder counts its term from before it sent the write, and stops a safety margin
//! before the end. A candidate counts a full term from when it last saw the lease change. Both use
//! their own monotonic clock, so clocks are never compared. The epoch rises with each new lease
//! holder and serves as the fencing token of orders to engines.
//!
//! A store that is restored from a backup may have lost the lease, or hold an older one. The lease
//! holder stops immediately, and may take the lease again without a wait while its former term
//! lasts. No other daemon takes a lease that is missing or released until a full term after it
//! first saw the new era: by then the last lease holder of the previous era has stopped.

use std::time::Duration;

use super::objects::{LeaseRecord, Versioned};
use super::platform::Freshness;
use super::types::{DaemonId, Epoch, Incarnation, OperationId, StoreEra, Timestamp, Version};
use crate::settings::lease::LeaseSettings;

/// Number of terms for which a shared lease must stay unchanged before that of an era is taken.
const SHARED_LEASE_TERMS: u32 = 2;

/// The next platform call that the lease needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the lease object with this freshness.
    Read(Freshness),
    /// Write this record if the object still has this version.
    Write {
        /// Version that the stored object must have.
        expect: Version,
        /// The record to write.
        record: LeaseRecord,
    },
}

/// The latest version of the lease that this daemon has seen.
#[derive(Clone, Debug)]
struct Observation {
    /// The lease; `None` if the object did not exist.
    lease: Option<Versioned<LeaseRecord>>,
    /// When this version was first seen.
    changed_at: Timestamp,
}

/// The current era of the store, as known to this daemon.
#[derive(Clone, Copy, Debug)]
struct KnownEra {
    era: StoreEra,
    /// When this daemon first saw the era; `None` if no daemon can have held a lease in a
    /// previous one.
    seen_at: Option<Timestamp>,
}

/// A write in flight, or one whose outcome is unknown.
#[derive(Clone, Debug)]
struct PendingWrite {
    operation: OperationId,
    sent_at: Timestamp,
    record: LeaseRecord,
}

/// The lease that daemons of versions without objects of eras use, while they may hold control.
#[derive(Clone, Copy, Debug)]
struct SharedLease {
    version: Version,
    /// When this version was first read.
    changed_at: Timestamp,
    /// When it was last read.
    read_at: Timestamp,
}

/// One daemon's state of the control lease.
#[derive(Clone, Debug)]
pub struct ControlLease {
    settings: LeaseSettings,
    own_id: DaemonId,
    incarnation: Incarnation,
    observation: Option<Observation>,
    pending: Option<PendingWrite>,
    /// The epoch under which this daemon holds the lease until `valid_until`.
    held_epoch: Option<Epoch>,
    /// The highest epoch known to have been in use.
    highest_epoch: Epoch,
    /// End of the time in which this daemon may act, if `held_epoch` is set.
    valid_until: Timestamp,
    era: Option<KnownEra>,
    /// The shared lease, in an era that has a lease of its own.
    shared_lease: Option<SharedLease>,
    /// End of this daemon's validity in the previous era; in the past if it did not hold the
    /// lease.
    former_valid_until: Timestamp,
    next_step_at: Timestamp,
    in_flight: bool,
    /// Freshness of the next read while the lease is not known.
    next_read_freshness: Freshness,
    /// Whether this daemon gave up the lease and the store has not recorded it yet.
    is_releasing: bool,
}

impl ControlLease {
    /// Creates the state of a daemon that has not read the lease yet.
    pub fn new(settings: LeaseSettings, own_id: DaemonId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            own_id,
            incarnation,
            observation: None,
            pending: None,
            held_epoch: None,
            highest_epoch: Epoch(0),
            valid_until: Timestamp::ZERO,
            era: None,
            shared_lease: None,
            former_valid_until: Timestamp::ZERO,
            next_step_at: Timestamp::ZERO,
            in_flight: false,
            next_read_freshness: Freshness::MayBeStale,
            is_releasing: false,
        }
    }

    /// The epoch under which this daemon may act now, if it holds the lease.
    pub fn held(&self, now: Timestamp) -> Option<Epoch> {
        if now < self.valid_until {
            self.held_epoch
        } else {
            None
        }
    }

    /// Time until which orders may be sent, if the lease is held.
    pub fn valid_until(&self) -> Timestamp {
        self.valid_until
    }

    /// The last known lease holder, for status pages and for reports to it.
    pub fn holder(&self) -> Option<&DaemonId> {
        let lease = self.observation.as_ref()?.lease.as_ref()?;
        Some(&lease.value.holder)
    }

    /// Records the era of the store; eras that are not newer are ignored. `is_first_start` states
    /// that the whole fleet starts for the first time, so that no lease was held in a previous
    /// era.
    pub fn note_era(&mut self, now: Timestamp, era: StoreEra, is_first_start: bool) {
        if self.era.is_some_and(|known| era <= known.era) {
            return;
        }
        let is_first = self.store_era() == StoreEra::UNREPORTED;
        let is_settled = is_first && (is_first_start || era == StoreEra::UNREPORTED);
        self.era = Some(KnownEra {
            era,
            seen_at: (!is_settled).then_some(now),
        });
        if !is_first {
            self.begin_era(now);
        }
    }

    /// Stops using the lease of the previous era, and reads that of the new one.
    pub fn begin_era(&mut self, now: Timestamp) {
        if self.held(now).is_some() {
            self.former_valid_until = self.valid_until;
        }
        self.held_epoch = None;
        self.observation = None;
        self.pending = None;
        self.shared_lease = None;
        self.next_read_freshness = Freshness::Exact;
        self.next_step_at = now;
    }

    fn store_era(&self) -> StoreEra {
        self.era.map_or(StoreEra::UNREPORTED, |known| known.era)
    }

    /// Whether a missing lease is taken without a wait as the fleet starts for the first time.
    pub fn assumes_no_earlier_holder(&self) -> bool {
        self.era.is_some_and(|known| known.seen_at.is_none())
    }

    /// Handles a lease of an earlier era: a missing one is not taken until its holder has stopped.
    pub fn on_earlier_lease(&mut self, now: Timestamp) {
        if let Some(known) = &mut self.era {
            known.seen_at.get_or_insert(now);
        }
    }

    /// Handles the shared lease, which daemons of earlier versions may hold and renew.
    pub fn on_shared_lease(&mut self, now: Timestamp, version: Version) {
        let unchanged = self.shared_lease.filter(|known| known.version == version);
        self.shared_lease = Some(SharedLease {
            version,
            changed_at: unchanged.map_or(now, |known| known.changed_at),
            read_at: now,
        });
    }

    /// Handles that no daemon uses the shared lease any more.
    pub fn forget_shared_lease(&mut self) {
        self.shared_lease = None;
    }

    /// Whether a daemon may still hold the shared lease, or take it. A write of this era's lease
    /// is not refused then, so the shared one must just have been read, unchanged for as long as
    /// its holder may act and as another daemon needs to take it.
    fn may_be_held_by_earlier_version(&self, now: Timestamp) -> bool {
        let Some(lease) = self.shared_lease else {
            return false;
        };
        let unchanged_for = lease.read_at.since(lease.changed_at);
        let is_outdated = now.since(lease.read_at) >= self.settings.interval;
        is_outdated || unchanged_for < self.settings.term * SHARED_LEASE_TERMS
    }

    /// Whether a lease that is missing or released may be taken without a wait, as no daemon can
    /// still hold one from a previous era.
    fn is_certainly_unheld(&self, now: Timestamp) -> bool {
        let seen_at = self.era.and_then(|known| known.seen_at);
        let is_settled = seen_at.is_none_or(|seen_at| now.since(seen_at) >= self.settings.term);
        is_settled && !self.may_be_held_by_earlier_version(now) || self.may_resume(now)
    }

    /// Whether this daemon held the lease when the era changed and its former term has not ended.
    pub fn may_resume(&self, now: Timestamp) -> bool {
        now < self.former_valid_until
    }

    /// The next call, if one is due. `candidate` states whether this daemon should try to take
    /// the lease.
    pub fn step(
        &mut self,
        now: Timestamp,
        candidate: bool,
        operation: OperationId,
    ) -> Option<LeaseStep> {
        if self.in_flight || now < self.next_step_at {
            return None;
        }
        if self.is_releasing {
            return self.release_step(now, operation);
        }
        if !candidate && self.held(now).is_none() {
            return None;
        }
        self.next_step_at = now + self.settings.interval;
        self.in_flight = true;
        Some(self.choose_step(now, operation))
    }

    /// Makes the next call due.
    pub fn step_now(&mut self, now: Timestamp) {
        self.next_step_at = now;
    }

    fn choose_step(&mut self, now: Timestamp, operation: OperationId) -> LeaseStep {
        let Some(observation) = &self.observation else {
            return LeaseStep::Read(self.next_read_freshness);
        };
        if self.pending.is_some() {
            return LeaseStep::Read(Freshness::Exact);
        }
        let is_certainly_unheld = self.is_certainly_unheld(now);
        let next_epoch = self.highest_epoch.next_in(self.store_era());
        let Some(lease) = &observation.lease else {
            if !is_certainly_unheld {
                return LeaseStep::Read(Freshness::Exact);
            }
            let expect = Version::absent(self.store_era());
            return self.write(now, expect, next_epoch, operation);
        };
        let version = lease.version;
        let epoch = lease.value.epoch;
        if self.held(now).is_some() {
            return self.write(now, version, epoch, operation);
        }
        // The lease was last written before the restore.
        let is_from_backup = epoch.is_before(self.store_era());
        if self.may_resume(now) && is_from_backup {
            return self.write(now, version, next_epoch, operation);
        }
        let is_below_highest = self.is_own(&lease.value) && epoch < self.highest_epoch;
        if is_below_highest && !is_from_backup {
            return self.write(now, version, next_epoch, operation);
        }
        let term = Duration::from_millis(lease.value.term_ms);
        let is_expired = now.since(observation.changed_at) >= term;
        if is_expired || lease.value.released && is_certainly_unheld {
            return self.write(now, version, next_epoch, operation);
        }
        // A stale answer only delays what this daemon sees of the lease holder's writes. A lease
        // that was renewed meanwhile can't be taken, as the write is conditional on this version.
        LeaseStep::Read(Freshness::MayBeStale)
    }

    fn write(
        &mut self,
        now: Timestamp,
        expect: Version,
        epoch: Epoch,
        operation: OperationId,
    ) -> LeaseStep {
        let record = LeaseRecord {
            operation,
            holder: self.own_id.clone(),
            incarnation: self.incarnation,
            epoch,
            term_ms: self.settings.term.as_millis() as u64,
            released: false,
        };
        self.pending = Some(PendingWrite {
            operation,
            sent_at: now,
            record: record.clone(),
        });
        LeaseStep::Write { expect, record }
    }

    /// Gives up the lease on a planned stop, if it is held, and returns the first call to release
    /// it. While a write is in flight its outcome must be known first, as a release of the version
    /// before it would be refused; [`Self::step`] returns the calls that follow.
    pub fn release(&mut self, now: Timestamp, operation: OperationId) -> Option<LeaseStep> {
        self.held(now)?;
        self.held_epoch = None;
        self.is_releasing = true;
        self.next_step_at = now;
        if self.in_flight && self.pending.is_some() {
            return None;
        }
        self.release_step(now, operation)
    }

    /// Whether this daemon gave up the lease and the store has not recorded it yet.
    pub fn is_releasing(&self) -> bool {
        self.is_releasing
    }

    fn release_step(&mut self, now: Timestamp, operation: OperationId) -> Option<LeaseStep> {
        self.next_step_at = now + self.settings.interval;
        self.in_flight = true;
        let is_known = self.pending.is_none() && self.observation.is_some();
        if !is_known {
            return Some(LeaseStep::Read(Freshness::Exact));
        }
        let lease = self
            .observation
            .as_ref()
            .and_then(|seen| seen.lease.clone());
        let Some(lease) = lease.filter(|lease| self.is_own(&lease.value) && !lease.value.released)
        else {
            self.in_flight = false;
            self.is_releasing = false;
            return None;
        };
        let record = LeaseRecord {
            operation,
            released: true,
            ..lease.value
        };
        self.pending = Some(PendingWrite {
            operation,
            sent_at: now,
            record: record.clone(),
        });
        let expect = lease.version;
        Some(LeaseStep::Write { expect, record })
    }

    /// Handles the answer to a read; `None` means that the object does not exist.
    pub fn on_read(&mut self, now: Timestamp, lease: Option<Versioned<LeaseRecord>>) {
        self.in_flight = false;
        if let Some(pending) = self.pending.take() {
            self.resolve_pending(&pending, lease.as_ref());
        }
        let is_free = lease.is_none() && self.shared_lease.is_some();
        let is_free_now = is_free && self.is_certainly_unheld(now);
        if self.may_resume(now) || self.is_releasing || is_free_now {
            self.next_step_at = now;
        }
        self.observe(now, lease);
    }

    /// Handles an object that is not a lease record, as another writer overwrote it. It counts as
    /// held by an unknown daemon until it has stayed unchanged for a term: the former lease
    /// holder can't renew the lease, so its term is over by then.
    pub fn on_foreign(&mut self, now: Timestamp, version: Version) {
        self.in_flight = false;
        self.pending = None;
        let value = LeaseRecord {
            operation: OperationId(0),
            holder: DaemonId::new(""),
            incarnation: Incarnation(0),
            epoch: self.highest_epoch_before(version),
            term_ms: self.settings.term.as_millis() as u64,
            released: false,
        };
        self.observe(now, Some(Versioned { version, value }));
    }

    /// Upper bound on the epochs that were in use before the record was overwritten at `version`:
    /// each write since the last known record can have raised the epoch once.
    fn highest_epoch_before(&self, version: Version) -> Epoch {
        let seen = self.observation.as_ref();
        let known = seen.and_then(|seen| seen.lease.as_ref());
        let known = known.filter(|lease| lease.version.era == version.era);
        let (from, number) = known.map_or((Epoch::first_of(version.era), 0), |lease| {
            (self.highest_epoch, lease.version.number)
        });
        let unknown_writes = version.number.saturating_sub(number).saturating_sub(1);
        let bound = from.raised_by(unknown_writes, version.era);
        bound.max(self.highest_epoch)
    }

    /// Records that an assignment was stored under this epoch. A lease that restarted below it,
    /// as the former record was overwritten, is raised above it before any order is sent: engines
    /// refuse orders of an earlier epoch.
    pub fn note_epoch(&mut self, epoch: Epoch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if self.held_epoch.is_some_and(|held| held < epoch) {
            self.held_epoch = None;
            self.next_step_at = Timestamp::ZERO;
        }
    }

    fn is_own(&self, lease: &LeaseRecord) -> bool {
        lease.holder == self.own_id && lease.incarnation == self.incarnation
    }

    /// Decides a write of unknown outcome by the record that was read back.
    fn resolve_pending(&mut self, pending: &PendingWrite, lease: Option<&Versioned<LeaseRecord>>) {
        let is_ours = lease.is_some_and(|lease| lease.value.operation == pending.operation);
        if is_ours && !self.is_releasing {
            self.record_held(pending.record.epoch, pending.sent_at);
        }
    }

    /// Handles a write that took effect at this version.
    pub fn on_written(&mut self, now: Timestamp, version: Version) {
        self.in_flight = false;
        let Some(pending) = self.pending.take() else {
            return;
        };
        if self.is_releasing {
            self.next_step_at = now;
        } else {
            self.record_held(pending.record.epoch, pending.sent_at);
        }
        let lease = Versioned {
            version,
            value: pending.record,
        };
        self.observe(now, Some(lease));
    }

    /// Handles a write that was refused because the object had another version.
    pub fn on_conflict(&mut self, now: Timestamp) {
        self.in_flight = false;
        self.pending = None;
        self.held_epoch = None;
        self.next_step_at = now;
        // The known record is out of date, so the next step reads.
        self.observation = None;
        self.next_read_freshness = Freshness::Exact;
    }

    /// Handles a failed call, which may have taken effect.
    pub fn on_unknown_outcome(&mut self) {
        self.in_flight = false;
    }

    /// Records that this daemon holds the lease from `sent_at` until the term less the margin has
    /// passed.
    fn record_held(&mut self, epoch: Epoch, sent_at: Timestamp) {
        let validity = self.settings.term.saturating_sub(self.settings.margin);
        self.held_epoch = (epoch >= self.highest_epoch).then_some(epoch);
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.valid_until = sent_at + validity;
    }

    /// Whether an answer is older than the known record.
    fn is_older(&self, lease: Option<&Versioned<LeaseRecord>>) -> bool {
        let known = self
            .observation
            .as_ref()
            .and_then(|seen| seen.lease.as_ref());
        known.is_some_and(|known| lease.is_none_or(|lease| lease.version < known.version))
    }

    fn observe(&mut self, now: Timestamp, lease: Option<Versioned<LeaseRecord>>) {
        if self.is_older(lease.as_ref()) {
            return;
        }
        let is_held_by_other = lease
            .as_ref()
            .is_some_and(|lease| !self.is_own(&lease.value));
        if let Some(lease) = &lease {
            self.highest_epoch = self.highest_epoch.max(lease.value.epoch);
        }
        if is_held_by_other {
            self.held_epoch = None;
        }
        let version_of =
            |lease: &Option<Versioned<LeaseRecord>>| lease.as_ref().map(|lease| lease.version);
        let unchanged = self
            .observation
            .as_ref()
            .filter(|seen| version_of(&seen.lease) == version_of(&lease));
        let changed_at = unchanged.map_or(now, |seen| seen.changed_at);
        self.observation = Some(Observation { lease, changed_at });
    }
}
