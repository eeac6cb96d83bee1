//! Claims of idempotency keys: a request with a key runs at most once, whichever daemons its
//! client sends it to.
//!
//! A key is claimed in a partition object of the platform before the request is sent. The write
//! is conditional, so two daemons never both add the same key. Claims that wait for the same
//! partition share one write. A claim is removed only when its request certainly did not run, or
//! when it is older than the retention period.
//!
//! A store that is restored from a backup may have lost the most recent claims. Each daemon
//! writes its own recent claims again, and grants no key until the other daemons have had time to
//! do the same.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::objects::{Claim, ClaimPartition, ClaimState, KeyHash, Versioned};
use super::types::{OperationId, RequestId, Timestamp, Version};
use crate::settings::claims::ClaimSettings;

/// How long a claim is kept in memory so that it can be written again after a restore. The backup
/// that a store is restored from is a few seconds old.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Upper bound on the claims kept in memory. A rate of a thousand claims a second over the whole
/// time window would exceed it.
const MOST_REMEMBERED: usize = 20_000;
/// How long no key is granted after the store was restored from a backup: the time that daemons
/// in contact with the store need to detect the restore and to write their claims again.
const REWRITE_WAIT: Duration = Duration::from_secs(3);

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
        since: Timestamp,
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
    known: Option<Versioned<ClaimPartition>>,
    /// Changes that are not part of a write yet.
    waiting: Vec<Change>,
    /// Changes in the write in flight, or in one whose outcome is unknown.
    written: Vec<Change>,
    /// The value of the write in flight.
    pending: Option<ClaimPartition>,
    in_flight: bool,
    /// Earliest time of the next call.
    next_at: Timestamp,
}

/// The key claims of one daemon.
#[derive(Clone, Debug)]
pub struct ClaimBook {
    settings: ClaimSettings,
    partitions: BTreeMap<u16, Partition>,
    /// Recent claims of this daemon with the time at which they were granted, oldest first.
    remembered: VecDeque<(Timestamp, KeyHash, Claim)>,
    /// No key is granted before this time.
    grants_from: Timestamp,
}

impl ClaimBook {
    /// Creates a tracker without claims.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            partitions: BTreeMap::new(),
            remembered: VecDeque::new(),
            grants_from: Timestamp::ZERO,
        }
    }

    fn partition_of(&mut self, key: KeyHash) -> &mut Partition {
        let number = (key.0 % u128::from(self.settings.partitions.max(1))) as u16;
        self.partitions.entry(number).or_default()
    }

    /// Starts to claim a key for a request. [`ClaimBook::poll`], [`ClaimBook::on_read`] or
    /// [`ClaimBook::on_written`] later returns the result.
    pub fn claim(
        &mut self,
        now: Timestamp,
        request: RequestId,
        key: KeyHash,
        claimant: OperationId,
    ) {
        self.partition_of(key).waiting.push(Change::Claim {
            request,
            key,
            claimant,
            since: now,
        });
    }

    /// Handles a restore of the store from a backup: stops granting keys for a few seconds,
    /// discards cached partitions and writes this daemon's recent claims again.
    pub fn on_new_era(&mut self, now: Timestamp) {
        self.grants_from = now + REWRITE_WAIT;
        for partition in self.partitions.values_mut() {
            partition.known = None;
        }
        let remembered = std::mem::take(&mut self.remembered);
        for (at, key, claim) in &remembered {
            if now.since(*at) < REMEMBERED_FOR {
                let (key, claim) = (*key, *claim);
                let rewrite = Change::Rewrite { key, claim };
                self.partition_of(key).waiting.push(rewrite);
            }
        }
        self.remembered = remembered;
    }

    /// Records a granted claim, so that it can be written again after a restore. `wall_seconds`
    /// is the Unix time in seconds.
    pub fn remember(&mut self, now: Timestamp, wall_seconds: u64, key: KeyHash, id: OperationId) {
        let claim = Claim {
            claimant: id,
            claimed_at: wall_seconds,
            state: ClaimState::Claimed,
        };
        self.remembered.push_back((now, key, claim));
        let is_over = |at: Timestamp| now.since(at) >= REMEMBERED_FOR;
        while self.remembered.len() > MOST_REMEMBERED
            || self.remembered.front().is_some_and(|(at, ..)| is_over(*at))
        {
            self.remembered.pop_front();
        }
    }

    /// Marks the claim of a request that ran to completion.
    pub fn complete(&mut self, key: KeyHash, claimant: OperationId) {
        let mut remembered = self.remembered.iter_mut();
        if let Some((.., claim)) = remembered.find(|(.., claim)| claim.claimant == claimant) {
            claim.state = ClaimState::Completed;
        }
        let change = Change::Complete { key, claimant };
        self.partition_of(key).waiting.push(change);
    }

    /// Removes the claim of a request that certainly did not run.
    pub fn withdraw(&mut self, key: KeyHash, claimant: OperationId) {
        self.remembered
            .retain(|(.., claim)| claim.claimant != claimant);
        let change = Change::Withdraw { key, claimant };
        self.partition_of(key).waiting.push(change);
    }

    /// Returns the platform calls that are due, and results for claims that timed out or found
    /// their partition full. `wall_seconds` is the Unix time in seconds.
    pub fn poll(
        &mut self,
        now: Timestamp,
        wall_seconds: u64,
    ) -> (Vec<ClaimStep>, Vec<(RequestId, ClaimResult)>) {
        let settings = self.settings;
        let may_grant = now >= self.grants_from;
        let mut steps = Vec::new();
        let mut results = Vec::new();
        for (number, partition) in &mut self.partitions {
            partition.expire(now, &settings, &mut results);
            if may_grant || partition.has_more_than_claims() {
                let held_back = partition.hold_claims_back(may_grant);
                let step = partition.step(*number, now, wall_seconds, &settings, &mut results);
                partition.waiting.extend(held_back);
                steps.extend(step);
            }
        }
        // Idle partitions are dropped to free their memory.
        self.partitions
            .retain(|_, partition| partition.in_flight || !partition.is_settled());
        (steps, results)
    }

    /// Handles the answer to a read; `None` means that the partition does not exist yet. Returns
    /// the claims that it decides.
    pub fn on_read(
        &mut self,
        number: u16,
        value: Option<Versioned<ClaimPartition>>,
    ) -> Vec<(RequestId, ClaimResult)> {
        let Some(partition) = self.partitions.get_mut(&number) else {
            return Vec::new();
        };
        partition.in_flight = false;
        partition.pending = None;
        partition.known = Some(value.unwrap_or_default());
        // The content just read decides the changes of a write whose outcome was unknown.
        let written = std::mem::take(&mut partition.written);
        partition.waiting.splice(0..0, written);
        partition.decide()
    }

    /// Handles a write that took effect. Returns the claims that it granted.
    pub fn on_written(&mut self, number: u16, version: Version) -> Vec<(RequestId, ClaimResult)> {
        let Some(partition) = self.partitions.get_mut(&number) else {
            return Vec::new();
        };
        partition.in_flight = false;
        if let Some(value) = partition.pending.take() {
            partition.known = Some(Versioned { version, value });
        }
        let written = std::mem::take(&mut partition.written);
        // A claim that timed out during the write is now stored and has to be withdrawn.
        let given_up = written
            .iter()
            .filter(|change| partition.has_to_withdraw(change));
        let given_up: Vec<Change> = given_up.copied().collect();
        partition.waiting.extend(given_up);
        written.into_iter().filter_map(granted).collect()
    }

    /// Handles a refused write or a call without an answer: the partition is read before the next
    /// write.
    pub fn on_unclear(&mut self, number: u16) {
        if let Some(partition) = self.partitions.get_mut(&number) {
            partition.in_flight = false;
            partition.known = None;
        }
    }
}

fn granted(change: Change) -> Option<(RequestId, ClaimResult)> {
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
    fn is_settled(&self) -> bool {
        self.waiting.is_empty() && self.written.is_empty()
    }

    fn has_more_than_claims(&self) -> bool {
        let is_other = |change: &Change| !matches!(change, Change::Claim { .. });
        self.waiting.iter().any(is_other) || !self.written.is_empty()
    }

    /// Removes and returns the queued claims unless keys may be granted.
    fn hold_claims_back(&mut self, may_grant: bool) -> Vec<Change> {
        if may_grant {
            return Vec::new();
        }
        let is_claim = |change: &mut Change| matches!(change, Change::Claim { .. });
        self.waiting.extract_if(.., is_claim).collect()
    }

    /// Whether the change withdraws a claim that is stored.
    fn has_to_withdraw(&self, change: &Change) -> bool {
        let Change::Withdraw { key, claimant } = change else {
            return false;
        };
        let known = self.known.as_ref();
        let claim = known.and_then(|known| known.value.claims.get(key));
        claim.is_some_and(|claim| claim.claimant == *claimant)
    }

    /// Fails claims that timed out and turns each into a withdrawal, in case it was written.
    fn expire(
        &mut self,
        now: Timestamp,
        settings: &ClaimSettings,
        results: &mut Vec<(RequestId, ClaimResult)>,
    ) {
        for changes in [&mut self.waiting, &mut self.written] {
            for change in changes.iter_mut() {
                let Change::Claim {
                    request,
                    key,
                    claimant,
                    since,
                } = *change
                else {
                    continue;
                };
                if now.since(since) >= settings.timeout {
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
        if self.in_flight || self.is_settled() || now < self.next_at {
            return None;
        }
        self.next_at = now + settings.write_interval;
        self.in_flight = true;
        let Some(known) = &self.known else {
            return Some(ClaimStep::Read(number));
        };
        let expect = known.version;
        let mut value = known.value.clone();
        let oldest = wall_seconds.saturating_sub(settings.retention.as_secs());
        value.claims.retain(|_, claim| claim.claimed_at >= oldest);
        let changes = std::mem::take(&mut self.waiting);
        for change in changes {
            match apply(&mut value, change, wall_seconds, settings.max_keys) {
                Applied::Done => self.written.push(change),
                Applied::Nothing => {}
                Applied::Full(request) => results.push((request, ClaimResult::Unavailable)),
                // The key was present in cached content, which may be out of date; the partition
                // is read again before the caller is refused.
                Applied::Taken => self.waiting.push(change),
            }
        }
        if self.written.is_empty() {
            self.known = None;
            return Some(ClaimStep::Read(number));
        }
        self.pending = Some(value.clone());
        Some(ClaimStep::Write {
            partition: number,
            expect,
            value,
        })
    }

    /// Resolves the queued claims whose keys are present in the content just read.
    fn decide(&mut self) -> Vec<(RequestId, ClaimResult)> {
        let Some(known) = &self.known else {
            return Vec::new();
        };
        let mut results = Vec::new();
        self.waiting.retain(|change| {
            let Change::Claim {
                request,
                key,
                claimant,
                ..
            } = *change
            else {
                return true;
            };
            let Some(claim) = known.value.claims.get(&key) else {
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
enum Applied {
    Done,
    Nothing,
    Taken,
    Full(RequestId),
}

fn apply(
    value: &mut ClaimPartition,
    change: Change,
    wall_seconds: u64,
    max_keys: usize,
) -> Applied {
    match change {
        Change::Claim {
            request,
            key,
            claimant,
            ..
        } => {
            if value.claims.contains_key(&key) {
                return Applied::Taken;
            }
            if value.claims.len() >= max_keys {
                return Applied::Full(request);
            }
            let claim = Claim {
                claimant,
                claimed_at: wall_seconds,
                state: ClaimState::Claimed,
            };
            value.claims.insert(key, claim);
            Applied::Done
        }
        Change::Rewrite { key, claim } => {
            if value.claims.contains_key(&key) {
                return Applied::Nothing;
            }
            value.claims.insert(key, claim);
            Applied::Done
        }
        Change::Complete { key, claimant } => {
            let claim = value.claims.get_mut(&key);
            let Some(claim) = claim.filter(|claim| claim.claimant == claimant) else {
                return Applied::Nothing;
            };
            claim.state = ClaimState::Completed;
            Applied::Done
        }
        Change::Withdraw { key, claimant } => {
            let ours = value
                .claims
                .get(&key)
                .is_some_and(|claim| claim.claimant == claimant);
            if !ours {
                return Applied::Nothing;
            }
            value.claims.remove(&key);
            Applied::Done
        }
    }
}
