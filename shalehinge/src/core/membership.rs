//! Which daemons are alive, by gossip of heartbeat counters.
//!
//! Each daemon counts up its own heartbeat and pulls news of the others from a peer a
//! turn. A member whose counter has not advanced for long is taken for dead. A message
//! names a few members whole, and the counters of many in a few bytes each: of the sender's
//! failure domain all, as its duties are divided by them, of the others a sample, so that
//! messages grow with the failure domain, not with the fleet.
//!
//! Used only to divide work; leases and conditional updates keep it safe when two
//! daemons see different members.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;

use rand::seq::{IndexedRandom, IteratorRandom};
use serde::{Deserialize, Serialize};

use super::hash;
use super::types::{Address, DaemonId, FailureDomain, FleetVersion, Incarnation, Timestamp};
use crate::settings::membership::MembershipSettings;

/// Counters of other failure domains in one message: so many that most members of a fleet of
/// hundreds are seen alive, while messages stay small.
const REMOTE_COUNTERS: usize = 32;
/// Members in a reply that the asker does not know, or not as they are now. A
/// daemon that starts knows a domain of 60 after a few pulls.
const NEWS: usize = 16;

/// What a daemon tells of itself, or of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its name.
    pub daemon: DaemonId,
    /// Where its peers reach it.
    pub address: Address,
    /// Where it is.
    pub failure_domain: FailureDomain,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Counts up while it lives.
    pub counter: u64,
    /// Counts up with each change of what follows.
    #[serde(default)]
    pub revision: u64,
    /// It is stopping and takes no more duties.
    pub leaving: bool,
    /// Version of the configuration that it has in force.
    pub fleet: FleetVersion,
    /// It holds control of its failure domain.
    #[serde(default)]
    pub holds_control: bool,
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

/// A run of a daemon, in four bytes. Two runs may share one, so that a dead daemon seems
/// alive: that costs calls without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(pub u32);

/// A heartbeat of a member that both sides know already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BriefHeartbeat {
    /// Which run of which daemon.
    pub run: RunId,
    /// See [`Heartbeat::counter`].
    pub counter: u64,
    /// See [`Heartbeat::revision`].
    pub revision: u64,
}

/// What one message tells of the members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub sender: Heartbeat,
    /// Other members, whole.
    pub members: Vec<Heartbeat>,
    /// More members in brief, all of the sender's failure domain among them.
    pub brief: Vec<BriefHeartbeat>,
}

/// Who decides on something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This daemon.
    Me,
    /// The peer that is reached there.
    Peer(Address),
}

#[derive(Clone, Debug)]
struct MemberState {
    heartbeat: Heartbeat,
    advanced_at: Timestamp,
}

/// The members that this daemon knows of.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    me: Heartbeat,
    seeds: Vec<Address>,
    members: BTreeMap<DaemonId, MemberState>,
    runs: BTreeMap<RunId, DaemonId>,
    next_pull_at: Timestamp,
}

impl Membership {
    /// Knows only itself and the addresses to ask first.
    pub fn new(settings: MembershipSettings, me: Heartbeat, seeds: Vec<Address>) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != me.address)
            .collect();
        Self {
            settings,
            me,
            seeds,
            members: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_pull_at: Timestamp::ZERO,
        }
    }

    /// What this daemon tells of itself.
    pub fn me(&self) -> &Heartbeat {
        &self.me
    }

    /// Tells peers which configuration is in force here.
    pub fn set_fleet(&mut self, version: FleetVersion) {
        self.me.fleet = version;
        self.me.revision += 1;
    }

    /// Tells peers whether this daemon holds control of its failure domain.
    pub fn set_control(&mut self, holds_control: bool) {
        self.me.holds_control = holds_control;
        self.me.revision += 1;
    }

    /// Where those are reached that hold control of a failure domain, by what they told.
    pub fn holder_addresses(&self, now: Timestamp, domain: &FailureDomain) -> Vec<Address> {
        self.alive(now)
            .filter(|peer| peer.holds_control && peer.failure_domain == *domain)
            .map(|peer| peer.address)
            .collect()
    }

    /// Tells peers that this daemon is stopping.
    pub fn leave(&mut self) {
        self.me.leaving = true;
        self.me.revision += 1;
    }

    /// Whom to pull from now, if it is time.
    pub fn pull_target(&mut self, now: Timestamp, rng: &mut impl rand::Rng) -> Option<Address> {
        if now < self.next_pull_at {
            return None;
        }
        self.next_pull_at = now + self.settings.interval;
        self.me.counter += 1;
        self.forget_dead(now);
        self.random_peer(now, rng)
    }

    /// Every other pull goes to the own failure domain, whose members matter most. Seeds
    /// stay targets for ever, so that a healed cut is found again; the more daemons there
    /// are, the more rarely each asks one.
    pub fn random_peer(&self, now: Timestamp, rng: &mut impl rand::Rng) -> Option<Address> {
        const SEED_TURN: f64 = 0.1;
        /// Pulls of seeds in one turn of the whole fleet.
        const SEED_PULLS: f64 = 1.5;
        const OWN_DOMAIN_TURN: f64 = 0.5;
        let alive: Vec<&Heartbeat> = self.alive(now).collect();
        let seed_turn = SEED_TURN.min(SEED_PULLS / (alive.len() as f64 + 1.0));
        if alive.is_empty() || rng.random_bool(seed_turn) {
            let first = alive.first().map(|peer| peer.address);
            return self.seeds.choose(rng).copied().or(first);
        }
        let own_domain = |peer: &&&Heartbeat| peer.failure_domain == self.me.failure_domain;
        let own: Vec<&Heartbeat> = alive.iter().filter(own_domain).copied().collect();
        let targets = if !own.is_empty() && rng.random_bool(OWN_DOMAIN_TURN) {
            own
        } else {
            alive
        };
        targets.choose(rng).map(|peer| peer.address)
    }

    fn forget_dead(&mut self, now: Timestamp) {
        let forget_after = self.settings.forget_after;
        self.members
            .retain(|_, member| now.since(member.advanced_at) < forget_after);
        let members = &self.members;
        self.runs.retain(|_, daemon| members.contains_key(daemon));
    }

    /// What a message tells that is not about members.
    pub fn greeting(&self) -> Gossip {
        Gossip {
            sender: self.me.clone(),
            members: Vec::new(),
            brief: Vec::new(),
        }
    }

    /// What a message of this daemon tells. `asked` is what the peer told, if this is the
    /// answer to it: then it is told of members that it does not know as they are.
    pub fn gossip(
        &self,
        now: Timestamp,
        asked: Option<&Gossip>,
        rng: &mut impl rand::Rng,
    ) -> Gossip {
        let is_own = |peer: &&Heartbeat| peer.failure_domain == self.me.failure_domain;
        let own: Vec<&Heartbeat> = self.alive(now).filter(is_own).collect();
        let remote = self.alive(now).filter(|peer| !is_own(peer));
        let remote = remote.choose_multiple(rng, REMOTE_COUNTERS);
        let mut members: BTreeMap<&DaemonId, &Heartbeat> = self
            .alive(now)
            .choose_multiple(rng, self.settings.sample)
            .into_iter()
            .map(|peer| (&peer.daemon, peer))
            .collect();
        // Few hold control, and news of a loss must find them.
        let holders = self.alive(now).filter(|peer| peer.holds_control);
        members.extend(holders.map(|peer| (&peer.daemon, peer)));
        let asked = asked.filter(|asked| asked.sender.failure_domain == self.me.failure_domain);
        if let Some(asked) = asked {
            let news = news_for(asked, &own);
            members.extend(news.map(|peer| (&peer.daemon, peer)));
        }
        Gossip {
            sender: self.me.clone(),
            members: members.into_values().cloned().collect(),
            brief: own.iter().chain(&remote).map(|peer| peer.brief()).collect(),
        }
    }

    /// Applies what a peer told; an older run or counter changes nothing.
    pub fn merge(&mut self, now: Timestamp, gossip: Gossip) {
        for heartbeat in gossip.members.into_iter().chain([gossip.sender]) {
            if heartbeat.daemon != self.me.daemon {
                self.merge_whole(now, heartbeat);
            }
        }
        for brief in gossip.brief {
            self.merge_brief(now, brief);
        }
    }

    fn merge_whole(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        let run = heartbeat.run();
        let known = self.members.get_mut(&heartbeat.daemon);
        let Some(known) = known else {
            self.add(now, run, heartbeat);
            return;
        };
        // Incarnations come from the wall clock at the start, so a new run is higher.
        if heartbeat.incarnation < known.heartbeat.incarnation {
            return;
        }
        if heartbeat.incarnation > known.heartbeat.incarnation {
            self.add(now, run, heartbeat);
            return;
        }
        let counter = heartbeat.counter.max(known.heartbeat.counter);
        if heartbeat.counter > known.heartbeat.counter {
            known.advanced_at = now;
        }
        if heartbeat.revision > known.heartbeat.revision {
            known.heartbeat = heartbeat;
        }
        known.heartbeat.counter = counter;
    }

    fn add(&mut self, now: Timestamp, run: RunId, heartbeat: Heartbeat) {
        let daemon = heartbeat.daemon.clone();
        let state = MemberState {
            advanced_at: now,
            heartbeat,
        };
        self.runs.insert(run, daemon.clone());
        self.members.insert(daemon, state);
    }

    /// A run that is not known whole is passed over: who it is comes with a reply.
    fn merge_brief(&mut self, now: Timestamp, brief: BriefHeartbeat) {
        let known = self.runs.get(&brief.run);
        let Some(member) = known.and_then(|daemon| self.members.get_mut(daemon)) else {
            return;
        };
        let is_newer = brief.counter > member.heartbeat.counter;
        if member.heartbeat.run() == brief.run && is_newer {
            member.heartbeat.counter = brief.counter;
            member.advanced_at = now;
        }
    }

    /// How many daemons the fleet has at the least, this one among them. Members of other
    /// failure domains are heard of more rarely, so that these count at least as many as
    /// the own one: what is divided among all is then never handed out twice.
    pub fn fleet_size(&self, now: Timestamp) -> usize {
        let heartbeats = self.members.values().map(|member| &member.heartbeat);
        let known: BTreeSet<&FailureDomain> = heartbeats
            .chain([&self.me])
            .map(|peer| &peer.failure_domain)
            .collect();
        let own = self
            .alive(now)
            .filter(|peer| peer.failure_domain == self.me.failure_domain);
        let by_domain = (own.count() + 1) * known.len();
        by_domain.max(self.alive(now).count() + 1)
    }

    /// The live others.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = &Heartbeat> {
        let dead_after = self.settings.dead_after;
        self.members
            .values()
            .filter(move |member| now.since(member.advanced_at) < dead_after)
            .map(|member| &member.heartbeat)
    }

    /// Live members of a failure domain that take duties, this daemon among them.
    pub fn on_duty<'a>(
        &'a self,
        now: Timestamp,
        domain: &'a FailureDomain,
    ) -> impl Iterator<Item = &'a DaemonId> {
        self.alive(now)
            .chain(std::iter::once(&self.me))
            .filter(move |peer| peer.failure_domain == *domain && !peer.leaving)
            .map(|peer| &peer.daemon)
    }

    /// Members of the own failure domain by their weight for a duty, the highest first.
    pub fn ranked(&self, now: Timestamp, duty: &str) -> Vec<&DaemonId> {
        let domain = &self.me.failure_domain;
        hash::highest_weighted(&duty, self.on_duty(now, domain), usize::MAX)
    }

    /// Whether there is any daemon to ask.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Whether this daemon is among the `count` responsible for `duty` in its domain.
    pub fn is_responsible(&self, now: Timestamp, duty: &str, count: usize) -> bool {
        let domain = &self.me.failure_domain;
        hash::highest_weighted(&duty, self.on_duty(now, domain), count).contains(&&self.me.daemon)
    }

    /// The one live member that decides on a subject in a failure domain; of all members where
    /// none of that domain is known.
    pub fn owner(&self, now: Timestamp, domain: &FailureDomain, subject: &impl Hash) -> Owner {
        let of_domain = hash::highest_weighted(subject, self.on_duty(now, domain), 1);
        let owner = of_domain.into_iter().next().or_else(|| {
            let all = self.alive(now).filter(|peer| !peer.leaving);
            let all = all.chain([&self.me]).map(|peer| &peer.daemon);
            hash::highest_weighted(subject, all, 1).into_iter().next()
        });
        owner
            .and_then(|daemon| self.address_of(now, daemon))
            .map_or(Owner::Me, Owner::Peer)
    }

    /// The one live member of the fleet that decides on a subject: of a failure domain that the
    /// subject chooses, whose members know each other.
    pub fn fleet_owner(&self, now: Timestamp, subject: &impl Hash) -> Owner {
        let peers = self.alive(now).filter(|peer| !peer.leaving);
        let domains: BTreeSet<&FailureDomain> = peers
            .map(|peer| &peer.failure_domain)
            .chain([&self.me.failure_domain])
            .collect();
        let domain = hash::highest_weighted(subject, domains.into_iter(), 1);
        domain
            .first()
            .map_or(Owner::Me, |domain| self.owner(now, domain, subject))
    }

    /// Where those responsible for `duty` in a failure domain are reached.
    pub fn responsible_addresses(
        &self,
        now: Timestamp,
        domain: &FailureDomain,
        duty: &str,
        count: usize,
    ) -> Vec<Address> {
        hash::highest_weighted(&duty, self.on_duty(now, domain), count)
            .into_iter()
            .filter_map(|daemon| self.address_of(now, daemon))
            .collect()
    }

    /// Where a live peer is reached.
    pub fn address_of(&self, now: Timestamp, daemon: &DaemonId) -> Option<Address> {
        self.alive(now)
            .find(|peer| peer.daemon == *daemon)
            .map(|peer| peer.address)
    }

    /// The failure domain of the peer at an address, if it is known.
    pub fn domain_of(&self, address: Address) -> Option<&FailureDomain> {
        let mut members = self.members.values().map(|member| &member.heartbeat);
        let peer = members.find(|peer| peer.address == address)?;
        Some(&peer.failure_domain)
    }

    /// A few random live peers, for rumours.
    pub fn some_peers(
        &self,
        now: Timestamp,
        count: usize,
        rng: &mut impl rand::Rng,
    ) -> Vec<Address> {
        self.alive(now)
            .map(|peer| peer.address)
            .choose_multiple(rng, count)
    }
}

/// Members that the asker does not know, or not as they are now.
fn news_for<'a>(asked: &Gossip, members: &[&'a Heartbeat]) -> impl Iterator<Item = &'a Heartbeat> {
    let known: BTreeMap<RunId, u64> = asked
        .brief
        .iter()
        .map(|brief| (brief.run, brief.revision))
        .collect();
    let asker = asked.sender.daemon.clone();
    let is_news = move |peer: &&Heartbeat| {
        let revision = known.get(&peer.run());
        peer.daemon != asker && revision.is_none_or(|known| *known < peer.revision)
    };
    members.iter().copied().filter(is_news).take(NEWS)
}
