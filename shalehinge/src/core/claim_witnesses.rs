//! Witnesses of claims: peers that remember a claim before its key is granted.
//!
//! A platform that is restored from a backup loses the latest claims. If the daemon that made a
//! lost claim has died too, its witnesses write the claim again. Witnesses are chosen in other
//! failure domains first, so that the loss of a whole domain leaves one of them. In a partition
//! the peers that can be reached take their place.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use super::objects::{Claim, ClaimState, KeyHash};
use super::types::{Address, OperationId, RequestId, Timestamp};

/// Number of witnesses that must remember a claim, unless fewer peers are alive.
const REQUIRED_WITNESSES: usize = 2;
/// Number of peers asked in each round. One more than required, as one may be down.
const PEERS_PER_ROUND: usize = 3;
/// Time after which further peers are asked.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// A stored claim of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessedClaim {
    /// The claimed key.
    pub key: KeyHash,
    /// The claim.
    pub claim: Claim,
}

impl WitnessedClaim {
    /// A claim whose request may be running. `wall_seconds` is the Unix time in seconds.
    pub fn new(key: KeyHash, claimant: OperationId, wall_seconds: u64) -> Self {
        let claim = Claim {
            claimant,
            claimed_at: wall_seconds,
            state: ClaimState::Claimed,
        };
        Self { key, claim }
    }
}

/// Messages between daemons about claims that peers remember.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsNotice {
    /// Claims that the receiver is to remember.
    pub remember: Vec<WitnessedClaim>,
    /// Claims that the sender remembers, by claimant.
    pub remembered: Vec<OperationId>,
    /// Claims whose requests did not run, by claimant.
    pub forget: Vec<OperationId>,
}

/// Peers that may become witnesses.
#[derive(Clone, Debug, Default)]
pub struct WitnessCandidates {
    /// Live peers of other failure domains.
    pub other_domains: Vec<Address>,
    /// Live peers of the own failure domain.
    pub own_domain: Vec<Address>,
}

impl WitnessCandidates {
    fn count(&self) -> usize {
        self.other_domains.len() + self.own_domain.len()
    }

    /// All candidates in random order, alternately of another and of the own failure domain.
    fn in_order(&self, rng: &mut impl rand::Rng) -> Vec<Address> {
        let mut others = self.other_domains.clone();
        let mut own = self.own_domain.clone();
        others.shuffle(rng);
        own.shuffle(rng);
        let rounds = others.len().max(own.len());
        let pairs = (0..rounds).flat_map(|index| [others.get(index), own.get(index)]);
        pairs.flatten().copied().collect()
    }
}

/// A stored claim whose key is granted once enough peers remember it.
#[derive(Clone, Debug)]
struct PendingGrant {
    witnessed: WitnessedClaim,
    asked: BTreeSet<Address>,
    witnesses: BTreeSet<Address>,
    next_round_at: Timestamp,
    /// When the request is rejected.
    expires_at: Timestamp,
}

/// What is due for pending grants.
#[derive(Clone, Debug, Default)]
pub struct WitnessActions {
    /// Claims to send, by peer.
    pub asked: BTreeMap<Address, Vec<WitnessedClaim>>,
    /// Requests whose key is granted.
    pub granted: Vec<RequestId>,
    /// Requests for which too few witnesses answered in time.
    pub expired: Vec<RequestId>,
}

/// The claims of one daemon that wait for witnesses.
#[derive(Clone, Debug, Default)]
pub struct PendingGrants {
    grants: BTreeMap<RequestId, PendingGrant>,
    /// Peers that were sent a granted claim, by claimant. They are notified if the request turns
    /// out not to have run.
    informed_peers: BTreeMap<OperationId, BTreeSet<Address>>,
}

impl PendingGrants {
    /// Adds a stored claim. [`PendingGrants::poll`] grants its key, or rejects the request at
    /// `expires_at`.
    pub fn add(
        &mut self,
        now: Timestamp,
        request: RequestId,
        witnessed: WitnessedClaim,
        expires_at: Timestamp,
    ) {
        let pending = PendingGrant {
            witnessed,
            asked: BTreeSet::new(),
            witnesses: BTreeSet::new(),
            next_round_at: now,
            expires_at,
        };
        self.grants.insert(request, pending);
    }

    /// Whether no claim waits for witnesses.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Records that a peer remembers a claim.
    pub fn on_remembered(&mut self, peer: Address, claimant: OperationId) {
        let mut grants = self.grants.values_mut();
        let pending = grants.find(|pending| pending.witnessed.claim.claimant == claimant);
        if let Some(pending) = pending {
            pending.witnesses.insert(peer);
        }
    }

    /// Ends the wait of a claim that is settled, and returns the peers that may remember it.
    pub fn remove(&mut self, request: RequestId, claimant: OperationId) -> BTreeSet<Address> {
        if let Some(pending) = self.grants.remove(&request) {
            return pending.asked;
        }
        self.informed_peers.remove(&claimant).unwrap_or_default()
    }

    /// Returns the claims to send to peers, and the requests whose wait has ended.
    pub fn poll(
        &mut self,
        now: Timestamp,
        candidates: &WitnessCandidates,
        rng: &mut impl rand::Rng,
    ) -> WitnessActions {
        let required = REQUIRED_WITNESSES.min(candidates.count());
        let mut actions = WitnessActions::default();
        for (request, pending) in &mut self.grants {
            if pending.witnesses.len() >= required {
                actions.granted.push(*request);
            } else if now >= pending.expires_at {
                actions.expired.push(*request);
            } else if now >= pending.next_round_at {
                pending.next_round_at = now + ROUND_INTERVAL;
                for peer in pending.next_peers(candidates, rng) {
                    let claims = actions.asked.entry(peer).or_default();
                    claims.push(pending.witnessed);
                }
            }
        }
        for request in &actions.granted {
            if let Some(pending) = self.grants.remove(request) {
                let claimant = pending.witnessed.claim.claimant;
                self.informed_peers.insert(claimant, pending.asked);
            }
        }
        actions
    }
}

impl PendingGrant {
    /// The peers to ask in the next round. Peers that did not answer are asked again once all
    /// candidates have been asked.
    fn next_peers(
        &mut self,
        candidates: &WitnessCandidates,
        rng: &mut impl rand::Rng,
    ) -> Vec<Address> {
        let in_order = candidates.in_order(rng);
        if in_order.iter().all(|peer| self.asked.contains(peer)) {
            self.asked.retain(|peer| self.witnesses.contains(peer));
        }
        let not_asked = in_order
            .into_iter()
            .filter(|peer| !self.asked.contains(peer));
        let peers: Vec<Address> = not_asked.take(PEERS_PER_ROUND).collect();
        self.asked.extend(&peers);
        peers
    }
}
