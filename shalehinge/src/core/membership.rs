//! Membership of daemons, by gossip of heartbeat counters.
//!
//! Each daemon increments its own heartbeat counter and pulls updates on the others from one peer
//! per round. A member whose counter has not advanced for a time is considered dead. A message
//! contains a few heartbeats in full and the counters of many members in a few bytes each: those
//! of the sender's failure domain completely, as duties within a domain are divided by them, and
//! a sample of the others. The size of a message thus grows with the failure domain and not with
//! the fleet.
//!
//! Membership is only used to divide work. Leases and conditional updates keep the result safe
//! when two daemons see different members.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;

use rand::seq::{IndexedRandom, IteratorRandom};
use serde::{Deserialize, Serialize};

use super::hash;
use super::load::{DaemonLoad, PeerLoad, TargetLoad};
use super::types::{Address, DaemonId, FailureDomain, FleetVersion, Incarnation, Timestamp};
use crate::settings::membership::MembershipSettings;

/// Number of counters of other failure domains in one message: enough that most members of a
/// fleet of hundreds are seen alive, while messages stay small.
const REMOTE_SAMPLE_SIZE: usize = 32;
/// Maximum number of members sent in full in a reply because the requester does not know them or
/// their latest revision. A daemon that starts knows a domain of 60 after a few pulls.
const MAX_FULL_IN_REPLY: usize = 16;

/// Number of heartbeats after which the load of a member is no longer used.
const MAX_LOAD_AGE: u64 = 4;

/// What daemons exchange about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Address for requests of peers.
    pub address: Address,
    /// Failure domain of the daemon.
    pub failure_domain: FailureDomain,
    /// Identifies the run of the daemon; a later run has a higher one.
    pub incarnation: Incarnation,
    /// Increases each round while the daemon runs.
    pub counter: u64,
    /// Increases with each change of the members below.
    #[serde(default)]
    pub revision: u64,
    /// Whether the daemon is stopping and takes no more duties.
    pub leaving: bool,
    /// Whether the daemon reaches no upstream.
    pub isolated: bool,
    /// Version of the configuration in force at the daemon.
    pub fleet: FleetVersion,
    /// Whether the daemon is the lease holder of its failure domain.
    #[serde(default)]
    pub holds_control: bool,
    /// The daemon's requests in progress.
    #[serde(default)]
    pub load: DaemonLoad,
}

impl Heartbeat {
    fn run(&self) -> RunId {
        RunId(hash::rendezvous_weight(&self.daemon, &self.incarnation.0) as u32)
    }

    fn brief(&self) -> BriefHeartbeat {
        BriefHeartbeat {
            run: self.run(),
            counter: self.counter,
            revision: self.revision,
        }
    }
}

/// Hash of a daemon and its incarnation in four bytes. On a collision a dead daemon seems alive,
/// which costs calls without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(pub u32);

/// Short form of a heartbeat, for members that the receiver already knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BriefHeartbeat {
    /// The daemon and its run.
    pub run: RunId,
    /// See [`Heartbeat::counter`].
    pub counter: u64,
    /// See [`Heartbeat::revision`].
    pub revision: u64,
}

/// The membership part of one message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Heartbeat of the sender.
    pub sender: Heartbeat,
    /// Full heartbeats of other members.
    pub members: Vec<Heartbeat>,
    /// Short heartbeats, among them those of all members of the sender's failure domain.
    pub brief: Vec<BriefHeartbeat>,
}

/// The daemon that decides on a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This daemon.
    ThisDaemon,
    /// The peer at this address.
    Peer(Address),
}

#[derive(Clone, Debug)]
/// A known member.
struct MemberState {
    heartbeat: Heartbeat,
    /// When the counter last advanced.
    last_advanced_at: Timestamp,
}

/// The members known to this daemon.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own_heartbeat: Heartbeat,
    /// Configured addresses to pull from besides known members.
    seeds: Vec<Address>,
    members: BTreeMap<DaemonId, MemberState>,
    runs: BTreeMap<RunId, DaemonId>,
    next_pull_at: Timestamp,
}

impl Membership {
    /// Creates a membership that knows this daemon only; `seeds` are the addresses to pull from
    /// first.
    pub fn new(
        settings: MembershipSettings,
        own_heartbeat: Heartbeat,
        seeds: Vec<Address>,
    ) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != own_heartbeat.address)
            .collect();
        Self {
            settings,
            own_heartbeat,
            seeds,
            members: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_pull_at: Timestamp::ZERO,
        }
    }

    /// The heartbeat of this daemon.
    pub fn own_heartbeat(&self) -> &Heartbeat {
        &self.own_heartbeat
    }

    /// Sets the configuration version that peers see.
    pub fn set_fleet_version(&mut self, version: FleetVersion) {
        self.own_heartbeat.fleet = version;
        self.own_heartbeat.revision += 1;
    }

    /// Sets whether peers see this daemon as the lease holder of its failure domain.
    pub fn set_holds_control(&mut self, holds_control: bool) {
        self.own_heartbeat.holds_control = holds_control;
        self.own_heartbeat.revision += 1;
    }

    /// Addresses of the live members that report to be the lease holder of a failure domain.
    pub fn lease_holder_addresses(&self, now: Timestamp, domain: &FailureDomain) -> Vec<Address> {
        self.live_peers(now)
            .filter(|peer| peer.holds_control && peer.failure_domain == *domain)
            .map(|peer| peer.address)
            .collect()
    }

    /// Sets whether peers see this daemon as reaching no upstream. Returns whether that is a
    /// change.
    pub fn set_isolated(&mut self, isolated: bool) -> bool {
        if self.own_heartbeat.isolated == isolated {
            return false;
        }
        self.own_heartbeat.isolated = isolated;
        self.own_heartbeat.revision += 1;
        true
    }

    /// Sets the load that peers see.
    pub fn set_load(&mut self, targets: Vec<TargetLoad>) {
        let counter = self.own_heartbeat.counter;
        self.own_heartbeat.load = DaemonLoad { counter, targets };
    }

    /// The load of the live peers, as far as it is from one of their last heartbeats.
    pub fn peer_load(&self, now: Timestamp) -> PeerLoad {
        let mut sample = PeerLoad::default();
        for peer in self.live_peers(now) {
            let age = peer.counter.saturating_sub(peer.load.counter);
            if peer.load.counter > 0 && age <= MAX_LOAD_AGE {
                sample.add(&peer.load);
            }
        }
        sample
    }

    /// Marks this daemon as stopping.
    pub fn mark_leaving(&mut self) {
        self.own_heartbeat.leaving = true;
        self.own_heartbeat.revision += 1;
    }

    /// The peer to pull from, if a pull is due. Also increments the own counter and removes
    /// members that are dead for long.
    pub fn pull_target(&mut self, now: Timestamp, rng: &mut impl rand::Rng) -> Option<Address> {
        if now < self.next_pull_at {
            return None;
        }
        self.next_pull_at = now + self.settings.interval;
        self.own_heartbeat.counter += 1;
        self.remove_expired(now);
        self.random_peer(now, rng)
    }

    /// Chooses a random peer. Half of the pulls go to the own failure domain, whose members
    /// matter most. Seeds remain targets permanently, so that a healed network partition is
    /// detected; the more daemons there are, the more rarely each pulls from a seed.
    pub fn random_peer(&self, now: Timestamp, rng: &mut impl rand::Rng) -> Option<Address> {
        /// Upper bound of the probability that a pull goes to a seed.
        const MAX_SEED_PROBABILITY: f64 = 0.1;
        /// Pulls from seeds by the whole fleet in one round.
        const SEED_PULLS_PER_ROUND: f64 = 1.5;
        /// Probability that a pull goes to the own failure domain.
        const OWN_DOMAIN_PROBABILITY: f64 = 0.5;
        let alive: Vec<&Heartbeat> = self.live_peers(now).collect();
        let seed_probability =
            MAX_SEED_PROBABILITY.min(SEED_PULLS_PER_ROUND / (alive.len() as f64 + 1.0));
        if alive.is_empty() || rng.random_bool(seed_probability) {
            let first = alive.first().map(|peer| peer.address);
            return self.seeds.choose(rng).copied().or(first);
        }
        let own_domain =
            |peer: &&&Heartbeat| peer.failure_domain == self.own_heartbeat.failure_domain;
        let own: Vec<&Heartbeat> = alive.iter().filter(own_domain).copied().collect();
        let targets = if !own.is_empty() && rng.random_bool(OWN_DOMAIN_PROBABILITY) {
            own
        } else {
            alive
        };
        targets.choose(rng).map(|peer| peer.address)
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let forget_after = self.settings.forget_after;
        self.members
            .retain(|_, member| now.since(member.last_advanced_at) < forget_after);
        let members = &self.members;
        self.runs.retain(|_, daemon| members.contains_key(daemon));
    }

    /// Gossip for a message on another topic: the sender's heartbeat only.
    pub fn own_gossip(&self) -> Gossip {
        Gossip {
            sender: self.own_heartbeat.clone(),
            members: Vec::new(),
            brief: Vec::new(),
        }
    }

    /// Gossip for one message. `request` is the gossip of the request, if this is the answer to
    /// it: then it contains members that the requester does not know, or not at their latest
    /// revision.
    pub fn gossip(
        &self,
        now: Timestamp,
        request: Option<&Gossip>,
        rng: &mut impl rand::Rng,
    ) -> Gossip {
        let is_own = |peer: &&Heartbeat| peer.failure_domain == self.own_heartbeat.failure_domain;
        let own: Vec<&Heartbeat> = self.live_peers(now).filter(is_own).collect();
        let remote = self.live_peers(now).filter(|peer| !is_own(peer));
        let remote = remote.choose_multiple(rng, REMOTE_SAMPLE_SIZE);
        let mut members: BTreeMap<&DaemonId, &Heartbeat> = self
            .live_peers(now)
            .choose_multiple(rng, self.settings.sample)
            .into_iter()
            .map(|peer| (&peer.daemon, peer))
            .collect();
        // Lease holders are few, and reports of a loss must reach them.
        let lease_holders = self.live_peers(now).filter(|peer| peer.holds_control);
        members.extend(lease_holders.map(|peer| (&peer.daemon, peer)));
        let request = request
            .filter(|request| request.sender.failure_domain == self.own_heartbeat.failure_domain);
        if let Some(request) = request {
            let unknown = unknown_to(request, &own);
            members.extend(unknown.map(|peer| (&peer.daemon, peer)));
        }
        Gossip {
            sender: self.own_heartbeat.clone(),
            members: members.into_values().cloned().collect(),
            brief: own.iter().chain(&remote).map(|peer| peer.brief()).collect(),
        }
    }

    /// Merges the gossip of a peer. Heartbeats of an older run and older counters are ignored; a
    /// newer revision is applied even if its counter is older.
    pub fn merge(&mut self, now: Timestamp, gossip: Gossip) {
        for heartbeat in gossip.members.into_iter().chain([gossip.sender]) {
            self.merge_member(now, heartbeat);
        }
        for brief in gossip.brief {
            self.merge_brief(now, brief);
        }
    }

    fn merge_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        let run = heartbeat.run();
        let known = self.members.get_mut(&heartbeat.daemon);
        let Some(known) = known else {
            self.add(now, run, heartbeat);
            return;
        };
        // Incarnations are taken from the wall clock at the start, so a later run has a higher
        // one.
        if heartbeat.incarnation < known.heartbeat.incarnation {
            return;
        }
        if heartbeat.incarnation > known.heartbeat.incarnation {
            self.add(now, run, heartbeat);
            return;
        }
        let counter = heartbeat.counter.max(known.heartbeat.counter);
        if heartbeat.counter > known.heartbeat.counter {
            known.last_advanced_at = now;
        }
        let load = newer_load(&known.heartbeat, &heartbeat).clone();
        if heartbeat.revision > known.heartbeat.revision {
            known.heartbeat = heartbeat;
        }
        known.heartbeat.counter = counter;
        known.heartbeat.load = load;
    }

    fn add(&mut self, now: Timestamp, run: RunId, heartbeat: Heartbeat) {
        let daemon = heartbeat.daemon.clone();
        let state = MemberState {
            last_advanced_at: now,
            heartbeat,
        };
        self.runs.insert(run, daemon.clone());
        self.members.insert(daemon, state);
    }

    /// Merges the heartbeat of one member that a peer sent outside of gossip.
    pub fn merge_member(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        if heartbeat.daemon != self.own_heartbeat.daemon {
            self.merge_heartbeat(now, heartbeat);
        }
    }

    /// Short heartbeats of unknown runs are ignored; the full heartbeat follows in a reply.
    fn merge_brief(&mut self, now: Timestamp, brief: BriefHeartbeat) {
        let known = self.runs.get(&brief.run);
        let Some(member) = known.and_then(|daemon| self.members.get_mut(daemon)) else {
            return;
        };
        let is_newer = brief.counter > member.heartbeat.counter;
        if member.heartbeat.run() == brief.run && is_newer {
            member.heartbeat.counter = brief.counter;
            member.last_advanced_at = now;
        }
    }

    /// Lower bound of the number of daemons in the fleet, including this one. Heartbeats of other
    /// failure domains arrive more rarely, so each known domain counts as at least as large as
    /// the own one: shares of a fleet-wide total then never add up to more than the total.
    pub fn fleet_size(&self, now: Timestamp) -> usize {
        let heartbeats = self.members.values().map(|member| &member.heartbeat);
        let known: BTreeSet<&FailureDomain> = heartbeats
            .chain([&self.own_heartbeat])
            .map(|peer| &peer.failure_domain)
            .collect();
        let own = self
            .live_peers(now)
            .filter(|peer| peer.failure_domain == self.own_heartbeat.failure_domain);
        let by_domain = (own.count() + 1) * known.len();
        by_domain.max(self.live_peers(now).count() + 1)
    }

    /// Like [`Self::fleet_size`], without the proportion of daemons that are known to reach no
    /// upstream; at least 1.
    pub fn serving_fleet_size(&self, now: Timestamp) -> usize {
        let live = self.live_peers(now).count() + 1;
        let isolated = self.live_peers(now).filter(|peer| peer.isolated).count();
        let isolated = isolated + usize::from(self.own_heartbeat.isolated);
        let serving = self.fleet_size(now) * (live - isolated);
        serving.div_ceil(live).max(1)
    }

    /// Live members other than this daemon.
    pub fn live_peers(&self, now: Timestamp) -> impl Iterator<Item = &Heartbeat> {
        let dead_after = self.settings.dead_after;
        self.members
            .values()
            .filter(move |member| now.since(member.last_advanced_at) < dead_after)
            .map(|member| &member.heartbeat)
    }

    /// Live members of a failure domain that take duties, including this daemon.
    pub fn duty_members<'a>(
        &'a self,
        now: Timestamp,
        domain: &'a FailureDomain,
    ) -> impl Iterator<Item = &'a DaemonId> {
        self.live_peers(now)
            .chain(std::iter::once(&self.own_heartbeat))
            .filter(move |peer| peer.failure_domain == *domain && !peer.leaving)
            .map(|peer| &peer.daemon)
    }

    /// Members of the own failure domain by their rendezvous weight for a duty, highest first.
    pub fn ranked_members(&self, now: Timestamp, duty: &str) -> Vec<&DaemonId> {
        let domain = &self.own_heartbeat.failure_domain;
        hash::highest_weighted(&duty, self.duty_members(now, domain), usize::MAX)
    }

    /// Whether any seed is configured.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Whether this daemon is among the `count` members responsible for `duty` in its domain.
    pub fn is_responsible(&self, now: Timestamp, duty: &str, count: usize) -> bool {
        let domain = &self.own_heartbeat.failure_domain;
        hash::highest_weighted(&duty, self.duty_members(now, domain), count)
            .contains(&&self.own_heartbeat.daemon)
    }

    /// Whether another member of this failure domain that takes duties reaches upstreams.
    pub fn has_connected_neighbour(&self, now: Timestamp) -> bool {
        let domain = &self.own_heartbeat.failure_domain;
        let mut peers = self.live_peers(now);
        peers.any(|peer| peer.failure_domain == *domain && !peer.leaving && !peer.isolated)
    }

    /// Whether this daemon is among the `count` members of its failure domain that may hold control.
    /// Members that reach no upstream may not, unless none does.
    pub fn is_control_candidate(&self, now: Timestamp, duty: &str, count: usize) -> bool {
        let domain = &self.own_heartbeat.failure_domain;
        let own = &self.own_heartbeat;
        if !self.has_connected_neighbour(now) {
            return self.is_responsible(now, duty, count);
        }
        let members = self.live_peers(now).chain([own]);
        let connected = members
            .filter(|peer| peer.failure_domain == *domain && !peer.leaving && !peer.isolated);
        let candidates = connected.map(|peer| &peer.daemon);
        hash::highest_weighted(&duty, candidates, count).contains(&&own.daemon)
    }

    /// The live member that decides on a subject in a failure domain. If no member of the domain
    /// is known, it is chosen among all members.
    pub fn owner(&self, now: Timestamp, domain: &FailureDomain, subject: &impl Hash) -> Owner {
        let owner = self.ranked_owners(now, domain, subject, 1).first().copied();
        owner.unwrap_or(Owner::ThisDaemon)
    }

    /// The live member that becomes the owner of a subject when its owner dies, if there is any.
    pub fn standby_owner(
        &self,
        now: Timestamp,
        domain: &FailureDomain,
        subject: &impl Hash,
    ) -> Option<Owner> {
        self.ranked_owners(now, domain, subject, 2).get(1).copied()
    }

    /// The owner of a subject, followed by those that would own it without the ones before:
    /// members of the failure domain first, then all others.
    fn ranked_owners(
        &self,
        now: Timestamp,
        domain: &FailureDomain,
        subject: &impl Hash,
        count: usize,
    ) -> Vec<Owner> {
        let mut ranked = hash::highest_weighted(subject, self.duty_members(now, domain), count);
        if ranked.len() < count {
            let all = self.live_peers(now).filter(|peer| !peer.leaving);
            let all = all.chain([&self.own_heartbeat]).map(|peer| &peer.daemon);
            let others: Vec<&DaemonId> = all.filter(|daemon| !ranked.contains(daemon)).collect();
            let missing = count - ranked.len();
            ranked.extend(hash::highest_weighted(subject, others.into_iter(), missing));
        }
        let addresses = ranked
            .into_iter()
            .map(|daemon| self.address_of(now, daemon));
        addresses
            .map(|address| address.map_or(Owner::ThisDaemon, Owner::Peer))
            .collect()
    }

    /// The live member of the fleet that decides on a subject. The subject selects a failure
    /// domain first, as members of one domain know each other.
    pub fn fleet_owner(&self, now: Timestamp, subject: &impl Hash) -> Owner {
        let peers = self.live_peers(now).filter(|peer| !peer.leaving);
        let domains: BTreeSet<&FailureDomain> = peers
            .map(|peer| &peer.failure_domain)
            .chain([&self.own_heartbeat.failure_domain])
            .collect();
        let domain = hash::highest_weighted(subject, domains.into_iter(), 1);
        domain
            .first()
            .map_or(Owner::ThisDaemon, |domain| self.owner(now, domain, subject))
    }

    /// Addresses of the live peers that are responsible for `duty` in a failure domain.
    pub fn responsible_addresses(
        &self,
        now: Timestamp,
        domain: &FailureDomain,
        duty: &str,
        count: usize,
    ) -> Vec<Address> {
        hash::highest_weighted(&duty, self.duty_members(now, domain), count)
            .into_iter()
            .filter_map(|daemon| self.address_of(now, daemon))
            .collect()
    }

    /// Address of a live peer.
    pub fn address_of(&self, now: Timestamp, daemon: &DaemonId) -> Option<Address> {
        self.live_peers(now)
            .find(|peer| peer.daemon == *daemon)
            .map(|peer| peer.address)
    }

    /// Heartbeat of the live peer at an address.
    pub fn heartbeat_of(&self, now: Timestamp, address: Address) -> Option<&Heartbeat> {
        self.live_peers(now).find(|peer| peer.address == address)
    }

    /// Failure domain of the peer at an address, if the peer is known.
    pub fn domain_of(&self, address: Address) -> Option<&FailureDomain> {
        let mut members = self.members.values().map(|member| &member.heartbeat);
        let peer = members.find(|peer| peer.address == address)?;
        Some(&peer.failure_domain)
    }

    /// Addresses of up to `count` random live peers.
    pub fn random_peers(
        &self,
        now: Timestamp,
        count: usize,
        rng: &mut impl rand::Rng,
    ) -> Vec<Address> {
        self.live_peers(now)
            .map(|peer| peer.address)
            .choose_multiple(rng, count)
    }
}

/// The newer load of two heartbeats of a daemon.
fn newer_load<'a>(known: &'a Heartbeat, other: &'a Heartbeat) -> &'a DaemonLoad {
    if other.load.counter > known.load.counter {
        &other.load
    } else {
        &known.load
    }
}

/// Members that the requester does not know, or not at their latest revision.
fn unknown_to<'a>(
    request: &Gossip,
    members: &[&'a Heartbeat],
) -> impl Iterator<Item = &'a Heartbeat> {
    let known: BTreeMap<RunId, u64> = request
        .brief
        .iter()
        .map(|brief| (brief.run, brief.revision))
        .collect();
    let requester = request.sender.daemon.clone();
    let is_unknown = move |peer: &&Heartbeat| {
        let revision = known.get(&peer.run());
        peer.daemon != requester && revision.is_none_or(|known| *known < peer.revision)
    };
    members
        .iter()
        .copied()
        .filter(is_unknown)
        .take(MAX_FULL_IN_REPLY)
}
