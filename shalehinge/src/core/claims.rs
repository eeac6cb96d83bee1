//! Claims of idempotency keys: a request with a key runs at most once, whichever daemons its
//! caller sends it to.
//!
//! A key is claimed in a partition object of the platform before the request is sent. The write
//! is conditional, so two daemons never both add the same key. Claims that wait for the same
//! partition share one write. A claim is removed only when its request certainly did not run, or
//! when it is older than the retention period.
//!
//! A store that is restored from a backup may have lost the most recent claims. Each daemon
//! writes the recent claims that it made or witnessed again, and neither grants a key nor witnesses a
//! claim until the other daemons have had time to do the same.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::claim_witnesses::WitnessedClaim;
use super::objects::{Claim, ClaimPartition, ClaimState, KeyHash, Versioned};
use super::types::{OperationId, RequestId, Timestamp, Version};
use crate::settings::claims::ClaimSettings;

/// How long a claim is kept in memory so that it can be written again after a restore. The backup
/// that a store is restored from is a few seconds old.
const REWRITE_WINDOW: Duration = Duration::from_secs(60);
/// Upper bound on the claims kept in memory. A rate of a thousand claims a second over the whole
/// time window would exceed it.
const MAX_RECENT_CLAIMS: usize = 20_000;
/// How long no key is granted after the store was restored from a backup: the time that daemons
/// in contact with the store need to detect the restore and to write their claims again.
const GRANT_PAUSE: Duration = Duration::from_secs(3);

/// A platform call that the claims need.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStep {
    /// Read the partition with this number.
    Read(u16),
    /// Write a partition conditionally.
    Write {
        /// Number of the partition.
        partition: u16,
        /// Version that the stored partition must have for the write to take effect.
        expect: Version,
        /// The partition's new content.
        value: ClaimPartition,
    },
}

impl ClaimStep {
    /// Number of the partition that the call refers to.
    pub fn partition(&self) -> u16 {
        match self {
            Self::Read(partition) | Self::Write { partition, .. } => *partition,
        }
    }
}

/// Outcome of an attempt to claim a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key now belongs to this request.
    Granted,
    /// The key was claimed earlier and its request may still be running.
    InProgressOrUnknown,
    /// The key was claimed earlier and its request ran to completion.
    Completed,
    /// The platform did not answer in time, or the partition already holds the maximum number of
    /// keys.
    Unavailable,
}

/// A change to a partition that is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// Adds a claim of `key` for a request of this daemon.
    Claim {
        request: RequestId,
        key: KeyHash,
        claimant: OperationId,
        queued_at: Timestamp,
    },
    /// Marks a claim as completed.
    Complete { key: KeyHash, claimant: OperationId },
    /// Removes the claim of a request that did not run.
    Withdraw { key: KeyHash, claimant: OperationId },
    /// Adds a claim again that a restored store may have lost.
    Rewrite { key: KeyHash, claim: Claim },
}

#[derive(Clone, Debug, Default)]
/// The state of one partition at this daemon.
struct Partition {
    /// The partition as last read or written; `None` if it has to be read first.
    cached: Option<Versioned<ClaimPartition>>,
    /// Changes that are not part of a write yet.
    queued: Vec<Change>,
    /// Changes in the write in flight, or in one whose outcome is unknown.
    unacknowledged: Vec<Change>,
    /// The value of the write in flight.
    pending_value: Option<ClaimPartition>,
    in_flight: bool,
    /// Earliest time of the next call.
    next_at: Timestamp,
}

/// The key claims of one daemon.
#[derive(Clone, Debug)]
pub struct ClaimTracker {
    settings: ClaimSettings,
    partitions: BTreeMap<u16, Partition>,
    /// Recent claims that this daemon made or witnessed, with the time at which it recorded them,
    /// oldest first.
    recent_claims: VecDeque<(Timestamp, WitnessedClaim)>,
    /// No key is granted before this time.
    no_grants_before: Timestamp,
}

impl ClaimTracker {
    /// Creates a tracker without claims.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            partitions: BTreeMap::new(),
            recent_claims: VecDeque::new(),
            no_grants_before: Timestamp::ZERO,
        }
    }

    fn partition_of(&mut self, key: KeyHash) -> &mut Partition {
        let number = (key.0 % u128::from(self.settings.partitions.max(1))) as u16;
        self.partitions.entry(number).or_default()
    }

    /// Starts to claim a key for a request. [`ClaimTracker::poll`], [`ClaimTracker::on_read`] or
    /// [`ClaimTracker::on_written`] later returns the result.
    pub fn claim(
        &mut self,
        now: Timestamp,
        request: RequestId,
        key: KeyHash,
        claimant: OperationId,
    ) {
        self.partition_of(key).queued.push(Change::Claim {
            request,
            key,
            claimant,
            queued_at: now,
        });
    }

    /// Handles a restore of the store from a backup: stops granting keys for a few seconds,
    /// discards cached partitions and writes the recent claims again.
    pub fn on_new_era(&mut self, now: Timestamp) {
        self.no_grants_before = now + GRANT_PAUSE;
        for partition in self.partitions.values_mut() {
            partition.cached = None;
        }
        let recent_claims = std::mem::take(&mut self.recent_claims);
        for (at, witnessed) in &recent_claims {
            if now.since(*at) < REWRITE_WINDOW {
                let WitnessedClaim { key, claim } = *witnessed;
                let rewrite = Change::Rewrite { key, claim };
                self.partition_of(key).queued.push(rewrite);
            }
        }
        self.recent_claims = recent_claims;
    }

    /// Whether this daemon may confirm that it remembers a claim. After a restore, the key may have
    /// been used under a lost claim that has not been written again yet; a daemon that started
    /// since does not know that.
    pub fn may_witness(&self, now: Timestamp) -> bool {
        now >= self.no_grants_before
    }

    /// Remembers a stored claim, so that it can be written again after a restore.
    pub fn remember(&mut self, now: Timestamp, witnessed: WitnessedClaim) {
        self.recent_claims.push_back((now, witnessed));
        let is_expired = |at: Timestamp| now.since(at) >= REWRITE_WINDOW;
        while self.recent_claims.len() > MAX_RECENT_CLAIMS
            || self
                .recent_claims
                .front()
                .is_some_and(|(at, _)| is_expired(*at))
        {
            self.recent_claims.pop_front();
        }
    }

    /// Forgets a remembered claim whose request did not run.
    pub fn forget(&mut self, claimant: OperationId) {
        self.recent_claims
            .retain(|(_, witnessed)| witnessed.claim.claimant != claimant);
    }

    /// Marks the claim of a request that ran to completion.
    pub fn complete(&mut self, key: KeyHash, claimant: OperationId) {
        let mut recent_claims = self.recent_claims.iter_mut();
        let recorded = recent_claims.find(|(_, witnessed)| witnessed.claim.claimant == claimant);
        if let Some((_, witnessed)) = recorded {
            witnessed.claim.state = ClaimState::Completed;
        }
        let change = Change::Complete { key, claimant };
        self.partition_of(key).queued.push(change);
    }

    /// Removes the claim of a request that certainly did not run.
    pub fn withdraw(&mut self, key: KeyHash, claimant: OperationId) {
        self.forget(claimant);
        let change = Change::Withdraw { key, claimant };
        self.partition_of(key).queued.push(change);
    }

    /// Returns the platform calls that are due, and results for claims that timed out or found
    /// their partition full. `wall_seconds` is the Unix time in seconds.
    pub fn poll(
        &mut self,
        now: Timestamp,
        wall_seconds: u64,
    ) -> (Vec<ClaimStep>, Vec<(RequestId, ClaimResult)>) {
        let settings = self.settings;
        let may_grant = now >= self.no_grants_before;
        let mut steps = Vec::new();
        let mut results = Vec::new();
        for (number, partition) in &mut self.partitions {
            partition.expire(now, &settings, &mut results);
            if may_grant || partition.has_other_changes() {
                let deferred = partition.defer_claims(may_grant);
                let step = partition.step(*number, now, wall_seconds, &settings, &mut results);
                partition.queued.extend(deferred);
                steps.extend(step);
            }
        }
        // Idle partitions are dropped to free their memory.
        self.partitions
            .retain(|_, partition| partition.in_flight || !partition.is_idle());
        (steps, results)
    }

    /// Handles the answer to a read; `None` means that the partition does not exist yet. A value
    /// with the version of an absent object is that of an earlier era. Returns the claims that it
    /// decides.
    pub fn on_read(
        &mut self,
        number: u16,
        value: Option<Versioned<ClaimPartition>>,
    ) -> Vec<(RequestId, ClaimResult)> {
        let Some(partition) = self.partitions.get_mut(&number) else {
            return Vec::new();
        };
        partition.in_flight = false;
        partition.pending_value = None;
        partition.cached = Some(value.unwrap_or_default());
        // The content just read decides the changes of a write whose outcome was unknown.
        let unacknowledged = std::mem::take(&mut partition.unacknowledged);
        partition.queued.splice(0..0, unacknowledged);
        partition.drop_ungranted_claims();
        partition.resolve_claims()
    }

    /// Handles a write that took effect. Returns the claims that it granted.
    pub fn on_written(&mut self, number: u16, version: Version) -> Vec<(RequestId, ClaimResult)> {
        let Some(partition) = self.partitions.get_mut(&number) else {
            return Vec::new();
        };
        partition.in_flight = false;
        if let Some(value) = partition.pending_value.take() {
            partition.cached = Some(Versioned { version, value });
        }
        let unacknowledged = std::mem::take(&mut partition.unacknowledged);
        // A claim that timed out during the write is now stored and has to be withdrawn.
        let withdrawals = unacknowledged
            .iter()
            .filter(|change| partition.must_withdraw(change));
        let withdrawals: Vec<Change> = withdrawals.copied().collect();
        partition.queued.extend(withdrawals);
        unacknowledged
            .into_iter()
            .filter_map(granted_result)
            .collect()
    }

    /// Handles a refused write or a call without an answer: the partition is read before the next
    /// write.
    pub fn on_call_failed(&mut self, number: u16) {
        if let Some(partition) = self.partitions.get_mut(&number) {
            partition.in_flight = false;
            partition.cached = None;
        }
    }
}

fn granted_result(change: Change) -> Option<(RequestId, ClaimResult)> {
    match change {
        Change::Claim { request, .. } => Some((request, ClaimResult::Granted)),
        Change::Complete { .. } | Change::Withdraw { .. } | Change::Rewrite { .. } => None,
    }
}

impl Default for Versioned<ClaimPartition> {
    fn default() -> Self {
        Self {
            version: Version::NONE,
            value: ClaimPartition::default(),
        }
    }
}

impl Partition {
    fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.unacknowledged.is_empty()
    }

    fn has_other_changes(&self) -> bool {
        let is_other = |change: &Change| !matches!(change, Change::Claim { .. });
        self.queued.iter().any(is_other) || !self.unacknowledged.is_empty()
    }

    /// Removes and returns the queued claims unless keys may be granted.
    fn defer_claims(&mut self, may_grant: bool) -> Vec<Change> {
        if may_grant {
            return Vec::new();
        }
        let is_claim = |change: &mut Change| matches!(change, Change::Claim { .. });
        self.queued.extract_if(.., is_claim).collect()
    }

    /// Whether the change withdraws a claim that is stored.
    fn must_withdraw(&self, change: &Change) -> bool {
        let Change::Withdraw { key, claimant } = change else {
            return false;
        };
        let cached = self.cached.as_ref();
        let claim = cached.and_then(|cached| cached.value.claims.get(key));
        claim.is_some_and(|claim| claim.claimant == *claimant)
    }

    /// Fails claims that timed out and turns each into a withdrawal, in case it was written.
    fn expire(
        &mut self,
        now: Timestamp,
        settings: &ClaimSettings,
        results: &mut Vec<(RequestId, ClaimResult)>,
    ) {
        for changes in [&mut self.queued, &mut self.unacknowledged] {
            for change in changes.iter_mut() {
                let Change::Claim {
                    request,
                    key,
                    claimant,
                    queued_at,
                } = *change
                else {
                    continue;
                };
                if now.since(queued_at) >= settings.timeout {
                    results.push((request, ClaimResult::Unavailable));
                    *change = Change::Withdraw { key, claimant };
                }
            }
        }
    }

    fn step(
        &mut self,
        number: u16,
        now: Timestamp,
        wall_seconds: u64,
        settings: &ClaimSettings,
        results: &mut Vec<(RequestId, ClaimResult)>,
    ) -> Option<ClaimStep> {
        if self.in_flight || self.is_idle() || now < self.next_at {
            return None;
        }
        self.next_at = now + settings.write_interval;
        self.in_flight = true;
        let Some(cached) = &self.cached else {
            return Some(ClaimStep::Read(number));
        };
        let expect = cached.version;
        let mut value = cached.value.clone();
        let oldest = wall_seconds.saturating_sub(settings.retention.as_secs());
        value.claims.retain(|_, claim| claim.claimed_at >= oldest);
        let changes = std::mem::take(&mut self.queued);
        for change in changes {
            match apply(&mut value, change, wall_seconds, settings.max_keys) {
                ApplyOutcome::Changed => self.unacknowledged.push(change),
                ApplyOutcome::Unchanged => {}
                ApplyOutcome::PartitionFull(request) => {
                    results.push((request, ClaimResult::Unavailable))
                }
                // The key was present in cached content, which may be out of date; the partition
                // is read again before the caller is refused.
                ApplyOutcome::KeyTaken => self.queued.push(change),
            }
        }
        if self.unacknowledged.is_empty() {
            self.cached = None;
            return Some(ClaimStep::Read(number));
        }
        self.pending_value = Some(value.clone());
        Some(ClaimStep::Write {
            partition: number,
            expect,
            value,
        })
    }

    /// Removes the queued claims from the value of an earlier era. A write of that era may have
    /// been carried out after others read the value, so these are granted once they are written
    /// in the current era.
    fn drop_ungranted_claims(&mut self) {
        let is_earlier = |cached: &&mut Versioned<ClaimPartition>| cached.version.is_absent();
        let Some(cached) = self.cached.as_mut().filter(is_earlier) else {
            return;
        };
        for change in &self.queued {
            let Change::Claim { key, claimant, .. } = change else {
                continue;
            };
            let claims = &mut cached.value.claims;
            if claims
                .get(key)
                .is_some_and(|claim| claim.claimant == *claimant)
            {
                claims.remove(key);
            }
        }
    }

    /// Resolves the queued claims whose keys are present in the content just read.
    fn resolve_claims(&mut self) -> Vec<(RequestId, ClaimResult)> {
        let Some(cached) = &self.cached else {
            return Vec::new();
        };
        let mut results = Vec::new();
        self.queued.retain(|change| {
            let Change::Claim {
                request,
                key,
                claimant,
                ..
            } = *change
            else {
                return true;
            };
            let Some(claim) = cached.value.claims.get(&key) else {
                return true;
            };
            let result = if claim.claimant == claimant {
                ClaimResult::Granted
            } else if claim.state == ClaimState::Completed {
                ClaimResult::Completed
            } else {
                ClaimResult::InProgressOrUnknown
            };
            results.push((request, result));
            false
        });
        results
    }
}

/// Effect of a change on a partition's value.
enum ApplyOutcome {
    /// The value was changed.
    Changed,
    /// The change does not apply.
    Unchanged,
    /// The key to claim is already present.
    KeyTaken,
    /// The partition holds the maximum number of keys.
    PartitionFull(RequestId),
}

fn apply(
    value: &mut ClaimPartition,
    change: Change,
    wall_seconds: u64,
    max_keys: usize,
) -> ApplyOutcome {
    match change {
        Change::Claim {
            request,
            key,
            claimant,
            ..
        } => {
            if value.claims.contains_key(&key) {
                return ApplyOutcome::KeyTaken;
            }
            if value.claims.len() >= max_keys {
                return ApplyOutcome::PartitionFull(request);
            }
            let claim = Claim {
                claimant,
                claimed_at: wall_seconds,
                state: ClaimState::Claimed,
            };
            value.claims.insert(key, claim);
            ApplyOutcome::Changed
        }
        Change::Rewrite { key, claim } => {
            // A claim that was made since the restore is withdrawn if its key is not granted, and
            // must not take the lost one with it.
            let is_kept = |stored: &Claim| {
                stored.claimant == claim.claimant || stored.state == ClaimState::Completed
            };
            if value.claims.get(&key).is_some_and(is_kept) {
                return ApplyOutcome::Unchanged;
            }
            value.claims.insert(key, claim);
            ApplyOutcome::Changed
        }
        Change::Complete { key, claimant } => {
            let claim = value.claims.get_mut(&key);
            let Some(claim) = claim.filter(|claim| claim.claimant == claimant) else {
                return ApplyOutcome::Unchanged;
            };
            claim.state = ClaimState::Completed;
            ApplyOutcome::Changed
        }
        Change::Withdraw { key, claimant } => {
            let is_ours = value
                .claims
                .get(&key)
                .is_some_and(|claim| claim.claimant == claimant);
            if !is_ours {
                return ApplyOutcome::Unchanged;
            }
            value.claims.remove(&key);
            ApplyOutcome::Changed
        }
    }
}
