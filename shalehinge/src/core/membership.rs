//! Which daemons are alive, by gossip of heartbeat counters.
//!
//! Each daemon counts up its own heartbeat and pulls a sample of the others'
//! counters from a peer a turn. A member whose counter stands still for long
//! is taken for dead. Used only to divide work; leases and conditional updates
//! keep it safe when two daemons see different members.

use std::collections::BTreeMap;

use rand::seq::{IndexedRandom, IteratorRandom};
use serde::{Deserialize, Serialize};

use super::hash;
use super::types::{Address, DaemonId, FailureDomain, Incarnation, Timestamp, Version};
use crate::settings::membership::MembershipSettings;

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
    /// It is stopping and takes no more duties.
    pub leaving: bool,
    /// Version of the configuration that it has in force.
    pub fleet: Version,
    /// It holds control of its failure domain.
    #[serde(default)]
    pub holds_control: bool,
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
            next_pull_at: Timestamp::ZERO,
        }
    }

    /// What this daemon tells of itself.
    pub fn me(&self) -> &Heartbeat {
        &self.me
    }

    /// Tells peers which configuration is in force here.
    pub fn set_fleet(&mut self, version: Version) {
        self.me.fleet = version;
    }

    /// Tells peers whether this daemon holds control of its failure domain.
    pub fn set_control(&mut self, holds_control: bool) {
        self.me.holds_control = holds_control;
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

    /// Seeds stay targets for ever, so that a healed cut is found again.
    fn random_peer(&self, now: Timestamp, rng: &mut impl rand::Rng) -> Option<Address> {
        const SEED_TURN: f64 = 0.1;
        let alive: Vec<Address> = self.alive(now).map(|peer| peer.address).collect();
        if alive.is_empty() || rng.random_bool(SEED_TURN) {
            return self.seeds.choose(rng).copied().or(alive.first().copied());
        }
        alive.choose(rng).copied()
    }

    fn forget_dead(&mut self, now: Timestamp) {
        let forget_after = self.settings.forget_after;
        self.members
            .retain(|_, member| now.since(member.advanced_at) < forget_after);
    }

    /// This daemon's heartbeat and a random sample of the live others'.
    pub fn sample(&self, now: Timestamp, rng: &mut impl rand::Rng) -> Vec<Heartbeat> {
        let mut sample: Vec<Heartbeat> = self
            .alive(now)
            .choose_multiple(rng, self.settings.sample)
            .into_iter()
            .cloned()
            .collect();
        sample.push(self.me.clone());
        sample
    }

    /// Takes in what a peer told; an older run or counter changes nothing.
    pub fn merge(&mut self, now: Timestamp, heartbeats: Vec<Heartbeat>) {
        for heartbeat in heartbeats {
            if heartbeat.daemon != self.me.daemon {
                self.merge_one(now, heartbeat);
            }
        }
    }

    fn merge_one(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        // Incarnations come from the wall clock at the start, so a new run is higher.
        let age = |heartbeat: &Heartbeat| (heartbeat.incarnation, heartbeat.counter);
        let newer = self
            .members
            .get(&heartbeat.daemon)
            .is_none_or(|known| age(&heartbeat) > age(&known.heartbeat));
        if newer {
            let state = MemberState {
                advanced_at: now,
                heartbeat: heartbeat.clone(),
            };
            self.members.insert(heartbeat.daemon, state);
        }
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

    /// Whether this daemon is among the `count` responsible for `duty` in its domain.
    pub fn is_responsible(&self, now: Timestamp, duty: &str, count: usize) -> bool {
        let domain = &self.me.failure_domain;
        hash::top(&duty, self.on_duty(now, domain), count).contains(&&self.me.daemon)
    }

    /// Where those responsible for `duty` in a failure domain are reached.
    pub fn responsible_addresses(
        &self,
        now: Timestamp,
        domain: &FailureDomain,
        duty: &str,
        count: usize,
    ) -> Vec<Address> {
        hash::top(&duty, self.on_duty(now, domain), count)
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
