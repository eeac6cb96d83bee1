//! Claims of request keys: a request with a key runs at most once, whichever
//! daemons its caller sends it to.
//!
//! A key is claimed in a partition object of the platform before the request
//! may be sent. The write is conditional, so two daemons never both add a key.
//! Claims that wait for the same partition share one write. A claim goes away
//! only when its request certainly did not run, or when it is old.
//!
//! A store that is restored from a copy may have lost the last claims. Each daemon writes its own
//! ones again, and grants no key until the others had time to do the same.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::objects::{Claim, ClaimPartition, ClaimState, KeyHash, Versioned};
use super::types::{OperationId, RequestId, Timestamp, Version};
use crate::settings::claims::ClaimSettings;

/// How long a claim is remembered to be written again; the copy of a store is some seconds old.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Claims that are remembered at most: a thousand a second for all that time would be more.
const MOST_REMEMBERED: usize = 20_000;
/// How long no key is granted after the store was restored from a copy: as long as daemons in
/// contact with it need to learn of that and to write their claims again.
const REWRITE_WAIT: Duration = Duration::from_secs(3);

/// What the claims want from the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStep {
    /// Read a partition.
    Read(u16),
    /// Write a partition conditionally.
    Write {
        /// Which one.
        partition: u16,
        /// Version that it must have.
        expect: Version,
        /// The new value.
        value: ClaimPartition,
    },
}

/// What became of a wish to claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key is this request's.
    Granted,
    /// The key was claimed before and its request may still run.
    InProgressOrUnknown,
    /// The key was claimed before and its request ran to its end.
    Completed,
    /// The platform did not answer in time, or the partition is full.
    Unavailable,
}

/// A change that waits for a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Claim {
        request: RequestId,
        key: KeyHash,
        claimant: OperationId,
        since: Timestamp,
    },
    Complete {
        key: KeyHash,
        claimant: OperationId,
    },
    Withdraw {
        key: KeyHash,
        claimant: OperationId,
    },
    /// A claim that the store may have lost.
    Rewrite {
        key: KeyHash,
        claim: Claim,
    },
}

#[derive(Clone, Debug, Default)]
struct Partition {
    known: Option<Versioned<ClaimPartition>>,
    waiting: Vec<Change>,
    /// Changes in the write on its way, or in one whose answer was lost.
    written: Vec<Change>,
    pending: Option<ClaimPartition>,
    in_flight: bool,
    next_at: Timestamp,
}

/// The claims of one daemon.
#[derive(Clone, Debug)]
pub struct ClaimBook {
    settings: ClaimSettings,
    partitions: BTreeMap<u16, Partition>,
    /// Claims of this daemon, the oldest first.
    remembered: VecDeque<(Timestamp, KeyHash, Claim)>,
    /// When keys may be granted again.
    grants_from: Timestamp,
}

impl ClaimBook {
    /// Nothing claimed, nothing known.
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

    /// Asks for a key; [`ClaimBook::poll`] later says what became of it.
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

    /// The store was restored from a copy: what it held of claims may be lost.
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

    /// A request may run by its claim.
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

    /// The request behind a claim ran to its end.
    pub fn complete(&mut self, key: KeyHash, claimant: OperationId) {
        let mut remembered = self.remembered.iter_mut();
        if let Some((.., claim)) = remembered.find(|(.., claim)| claim.claimant == claimant) {
            claim.state = ClaimState::Completed;
        }
        let change = Change::Complete { key, claimant };
        self.partition_of(key).waiting.push(change);
    }

    /// The request behind a claim certainly did not run.
    pub fn withdraw(&mut self, key: KeyHash, claimant: OperationId) {
        self.remembered
            .retain(|(.., claim)| claim.claimant != claimant);
        let change = Change::Withdraw { key, claimant };
        self.partition_of(key).waiting.push(change);
    }

    /// Steps to take now, and claims that waited too long.
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
        // A partition with nothing to do keeps no memory.
        self.partitions
            .retain(|_, partition| partition.in_flight || !partition.is_settled());
        (steps, results)
    }

    /// A read of a partition was answered.
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
        // What the unclear write held is decided by what is there now.
        let written = std::mem::take(&mut partition.written);
        partition.waiting.splice(0..0, written);
        partition.decide()
    }

    /// A write of a partition took effect.
    pub fn on_written(&mut self, number: u16, version: Version) -> Vec<(RequestId, ClaimResult)> {
        let Some(partition) = self.partitions.get_mut(&number) else {
            return Vec::new();
        };
        partition.in_flight = false;
        if let Some(value) = partition.pending.take() {
            partition.known = Some(Versioned { version, value });
        }
        let written = std::mem::take(&mut partition.written);
        // A claim that was given up meanwhile is there now, and is taken back.
        let given_up = written
            .iter()
            .filter(|change| partition.has_to_withdraw(change));
        let given_up: Vec<Change> = given_up.copied().collect();
        partition.waiting.extend(given_up);
        written.into_iter().filter_map(granted).collect()
    }

    /// A write was refused, or nothing was heard: read before the next one.
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

    /// Takes out the claims that wait, unless keys may be granted.
    fn hold_claims_back(&mut self, may_grant: bool) -> Vec<Change> {
        if may_grant {
            return Vec::new();
        }
        let is_claim = |change: &mut Change| matches!(change, Change::Claim { .. });
        self.waiting.extract_if(.., is_claim).collect()
    }

    /// Whether the change withdraws a claim that is there.
    fn has_to_withdraw(&self, change: &Change) -> bool {
        let Change::Withdraw { key, claimant } = change else {
            return false;
        };
        let known = self.known.as_ref();
        let claim = known.and_then(|known| known.value.claims.get(key));
        claim.is_some_and(|claim| claim.claimant == *claimant)
    }

    /// Gives up claims that waited too long; if one was written, it is taken back.
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
                // Known from an older read, so looked up anew before it is said.
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

    /// Decides what can be decided from a fresh read.
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
