//! Pulls and notices between daemons.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::configuration::newer;
use super::{
    CANDIDATES, CONFIRM_SPACING, Daemon, MOVING_WITHIN, MOVING_WITNESSES, SUSPECTS_INTERVAL,
    WATCH_DUTY,
};
use crate::core::demand::WorkReport;
use crate::core::event::{
    Action, LastOutput, Notice, Pull, PullId, PullReply, PullTopic, QuarantineReport, Reached,
};
use crate::core::feed::{Confirmation, Feed};
use crate::core::fleet_state::{ObjectUpdate, VersionDigest};
use crate::core::membership::Gossip;
use crate::core::platform::Scope;
use crate::core::types::{Address, FailureDomain, ReplicaId, Timestamp, Version};
use crate::core::whole_fetch::Distance;

/// So many milliseconds before then, if this daemon ran already.
fn before(at: Timestamp, millis: u64) -> Option<Timestamp> {
    let age = Duration::from_millis(millis);
    (age < at.as_duration()).then(|| at.minus(age))
}

impl Daemon {
    pub(super) fn pull(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if let Some(to) = self.membership.pull_target(now, &mut self.rng) {
            let pull = self.make_pull(now);
            out.push(Action::Pull { to, pull });
        }
    }

    /// Asks a watcher of the own failure domain, once what this daemon knows of the
    /// configuration was not confirmed for a while.
    pub(super) fn ask_watcher(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let settings = self.settings.learning;
        let is_due = settings.stale_watches
            && !self.has_stopped
            && now >= self.next_confirm_at
            && !self.is_confirmed_within(now, settings.confirm_after)
            && !self.asks_alone(now);
        if !is_due {
            return;
        }
        self.next_confirm_at = now + CONFIRM_SPACING;
        let domain = &self.identity.failure_domain;
        let count = settings.watchers;
        let watchers = self
            .membership
            .responsible_addresses(now, domain, WATCH_DUTY, count);
        if let Some(to) = watchers.choose(&mut self.rng).copied() {
            let pull = self.make_pull(now);
            out.push(Action::Pull { to, pull });
        }
    }

    /// Whether nobody else is there to confirm the configuration to this daemon.
    fn asks_alone(&self, now: Timestamp) -> bool {
        if self.settings.learning.relays {
            self.is_first_watcher(now)
        } else {
            self.is_watcher(now)
        }
    }

    pub(super) fn make_pull(&mut self, now: Timestamp) -> Pull {
        self.pull_of(now, PullTopic::All)
    }

    pub(super) fn pull_of(&mut self, now: Timestamp, topic: PullTopic) -> Pull {
        let mut digest = self.state.digest();
        if self.knows_hosts(now) {
            // Peers need not tell what this daemon reads itself.
            digest.hosts = Version::MAX;
        }
        Pull {
            gossip: self.gossip_about(now, topic, None),
            topic,
            digest,
            suspects: Vec::new(),
            work: self.work_about(now, topic),
        }
    }

    fn gossip_about(&mut self, now: Timestamp, topic: PullTopic, asked: Option<&Gossip>) -> Gossip {
        match topic {
            PullTopic::All => self.membership.gossip(now, asked, &mut self.rng),
            PullTopic::Objects | PullTopic::Moving | PullTopic::WholeObjects => {
                self.membership.greeting()
            }
        }
    }

    /// What arrived here, in messages that are not to be small.
    fn work_about(&mut self, now: Timestamp, topic: PullTopic) -> Vec<WorkReport> {
        match topic {
            PullTopic::All => self
                .demand
                .reports(now, &self.identity.daemon, &mut self.rng),
            PullTopic::Objects | PullTopic::Moving | PullTopic::WholeObjects => Vec::new(),
        }
    }

    fn note_work(&mut self, now: Timestamp, reports: Vec<WorkReport>) {
        self.demand.merge(now, &self.identity.daemon, reports);
    }

    /// Whether this daemon reads the host list itself, apart from the rest.
    fn knows_hosts(&self, now: Timestamp) -> bool {
        const FRESH: Duration = Duration::from_secs(2);
        self.feeds
            .iter()
            .filter(|feed| feed.scope() == Scope::Hosts)
            .filter_map(Feed::heard_at)
            .any(|heard_at| now.since(heard_at) < FRESH)
    }

    /// Tells those who may hold a failure domain that a replica of it lost a member.
    pub(super) fn tell_suspects(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if now < self.next_suspects_at {
            return;
        }
        let suspects = self.router.suspects(now);
        if suspects.is_empty() {
            return;
        }
        self.next_suspects_at = now + SUSPECTS_INTERVAL;
        let domains: BTreeSet<&FailureDomain> = suspects
            .iter()
            .map(|replica| &replica.failure_domain)
            .collect();
        for domain in domains {
            // Whoever got the lease need not be a candidate any more.
            let membership = &self.membership;
            let mut told: BTreeSet<Address> = membership
                .holder_addresses(now, domain)
                .into_iter()
                .collect();
            told.extend(membership.responsible_addresses(now, domain, "lease", CANDIDATES));
            for to in told {
                let mut pull = self.make_pull(now);
                pull.suspects.clone_from(&suspects);
                out.push(Action::Pull { to, pull });
            }
        }
        self.note_suspects(now, &suspects);
    }

    pub(super) fn note_suspects(&mut self, now: Timestamp, suspects: &[ReplicaId]) {
        let own = suspects
            .iter()
            .filter(|replica| replica.failure_domain == self.identity.failure_domain);
        for replica in own {
            self.controller.suspect(now, replica.number);
        }
    }

    /// Asks some daemons which replicas of this failure domain bring them output, as a
    /// member that this daemon can't reach may be cut off from it alone.
    pub(super) fn ask_moving(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let domain = self.identity.failure_domain.clone();
        let own = self.last_outputs(now, &domain);
        self.note_moving(now, own);
        let peers = self
            .membership
            .some_peers(now, MOVING_WITNESSES, &mut self.rng);
        for to in peers {
            let pull = self.pull_of(now, PullTopic::Moving);
            out.push(Action::Pull { to, pull });
        }
    }

    /// Replicas of a failure domain that brought this daemon output lately.
    fn last_outputs(&self, now: Timestamp, domain: &FailureDomain) -> Vec<LastOutput> {
        let outputs = self.router.last_outputs();
        outputs
            .filter(|(replica, at)| {
                replica.failure_domain == *domain && now.since(*at) < MOVING_WITHIN
            })
            .map(|(replica, at)| LastOutput {
                replica: replica.clone(),
                ms_ago: now.millis_since(at),
            })
            .collect()
    }

    /// Replicas of this failure domain that brought a daemon output. `asked_at` is from
    /// before it said so, so that no output seems newer than it is.
    fn note_moving(&mut self, asked_at: Timestamp, moving: Vec<LastOutput>) {
        for LastOutput { replica, ms_ago } in moving {
            if let Some(at) = before(asked_at, ms_ago) {
                self.controller.note_moving(at, replica.number);
            }
        }
    }

    pub(super) fn on_pull_asked(
        &mut self,
        now: Timestamp,
        pull_id: PullId,
        pull: Pull,
        out: &mut Vec<Action>,
    ) {
        let gossip = self.gossip_about(now, pull.topic, Some(&pull.gossip));
        let moving = match pull.topic {
            PullTopic::Moving => self.last_outputs(now, &pull.gossip.sender.failure_domain),
            PullTopic::All | PullTopic::Objects | PullTopic::WholeObjects => Vec::new(),
        };
        let tells_hosts = pull.topic != PullTopic::Moving;
        let hosts_heard_at = self.host_list_heard_at().filter(|_| tells_hosts);
        self.note_work(now, pull.work);
        self.membership.merge(now, pull.gossip);
        self.note_suspects(now, &pull.suspects);
        let reply = PullReply {
            gossip,
            digest: self.state.digest(),
            updates: self.updates_for(pull.topic, &pull.digest),
            confirmed_ms_ago: self.confirmed_at().map(|at| now.millis_since(at)),
            hosts_ms_ago: hosts_heard_at.map(|at| now.millis_since(at)),
            reached: self.confirmation.map(|confirmation| Reached {
                revision: confirmation.revision,
                ms_ago: now.millis_since(confirmation.at),
            }),
            work: self.work_about(now, pull.topic),
            moving,
            quarantine: match pull.topic {
                PullTopic::All => self.quarantine_report(now),
                PullTopic::Objects | PullTopic::Moving | PullTopic::WholeObjects => {
                    QuarantineReport::default()
                }
            },
        };
        out.push(Action::AnswerPull { pull_id, reply });
    }

    /// Objects that may be large go only to a peer that asks for them by that topic: each
    /// daemon has one such question open, whatever else it asks of whom. With them in every
    /// answer a daemon that is behind takes in several whole configurations at once, none of
    /// them in time, and stays behind.
    fn updates_for(&self, topic: PullTopic, known: &VersionDigest) -> Vec<ObjectUpdate> {
        let hosts = self.state.routable_hosts_after(known);
        match topic {
            PullTopic::All | PullTopic::Objects => hosts.into_iter().collect(),
            PullTopic::WholeObjects => {
                let mut updates = self.state.whole_objects_after(known);
                updates.extend(hosts);
                updates
            }
            PullTopic::Moving => Vec::new(),
        }
    }

    /// A peer knew the configuration in force here to be the newest, so long before it was
    /// asked.
    fn note_confirmed(&mut self, asked_at: Timestamp, age: Duration) {
        match age.checked_sub(asked_at.as_duration()) {
            None => {
                let confirmed_at = Some(asked_at.minus(age));
                self.confirmed_by_peer = self.confirmed_by_peer.max(confirmed_at);
            }
            Some(before_start) => {
                let known = self.confirmed_before_start.unwrap_or(before_start);
                self.confirmed_before_start = Some(known.min(before_start));
            }
        }
    }

    /// A peer that knows a host list knows the era of the store.
    fn note_era_of_peer(&mut self, now: Timestamp, digest: &VersionDigest, out: &mut Vec<Action>) {
        if digest.hosts > Version::NONE {
            self.note_era(now, digest.hosts.era, None, out);
        }
    }

    /// Notes that a peer knows these versions, and which peer to ask for what is newer.
    fn hear_versions(&mut self, now: Timestamp, from: Address, digest: &VersionDigest) {
        let own = self.state.fleet_version();
        self.superseded.hear(now, digest.fleet, own);
        if self.state.is_behind(digest) {
            let distance = self.distance_of(from);
            self.whole_fetch.hear(now, from, distance);
        }
    }

    /// A peer that is not known yet is taken for near, as is any while nothing can be served.
    fn distance_of(&self, peer: Address) -> Distance {
        let domain = self.membership.domain_of(peer);
        let is_far = domain.is_some_and(|domain| *domain != self.identity.failure_domain);
        if is_far && self.state.fleet().is_some() {
            Distance::Far
        } else {
            Distance::Near
        }
    }

    pub(super) fn fetch_whole_objects(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.has_stopped {
            return;
        }
        if let Some(to) = self.whole_fetch.begin(now) {
            let pull = self.pull_of(now, PullTopic::WholeObjects);
            out.push(Action::Pull { to, pull });
        }
    }

    pub(super) fn on_pull_answered(
        &mut self,
        now: Timestamp,
        topic: PullTopic,
        asked_at: Timestamp,
        reply: Option<PullReply>,
        out: &mut Vec<Action>,
    ) {
        if topic == PullTopic::WholeObjects {
            self.whole_fetch.end();
        }
        if let Some(reply) = reply {
            self.on_reply(now, topic, asked_at, reply, out);
        }
        self.fetch_whole_objects(now, out);
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        topic: PullTopic,
        asked_at: Timestamp,
        reply: PullReply,
        out: &mut Vec<Action>,
    ) {
        let from = reply.gossip.sender.address;
        self.note_era_of_peer(now, &reply.digest, out);
        self.note_work(now, reply.work);
        self.note_moving(asked_at, reply.moving);
        // Reckoned from before the question: what is told on and on must not seem ever newer.
        self.learn_quarantine(now, asked_at, reply.quarantine, out);
        self.membership.merge(now, reply.gossip);
        self.apply(now, reply.updates, out);
        // What a peer says of its configuration holds only for one that is as new.
        let is_as_new = self.state.fleet_version() >= reply.digest.fleet;
        if let Some(age) = reply.confirmed_ms_ago.filter(|_| is_as_new) {
            self.note_confirmed(asked_at, Duration::from_millis(age));
        }
        // An answer with whole objects held all that could be taken of them.
        if topic != PullTopic::WholeObjects {
            self.hear_versions(now, from, &reply.digest);
        }
        if let Some(age) = reply.hosts_ms_ago {
            self.hosts_told_at = self.hosts_told_at.max(before(asked_at, age));
        }
        let reached = reply.reached.and_then(|reached| {
            let revision = reached.revision;
            before(asked_at, reached.ms_ago).map(|at| Confirmation { revision, at })
        });
        self.confirmation = newer(self.confirmation, reached);
    }

    /// Tells all peers of a replica that surely lost a member: each would else send it
    /// requests until its list shows the loss.
    pub(super) fn tell_lost(&mut self, now: Timestamp, replica: ReplicaId, out: &mut Vec<Action>) {
        let peers = self
            .membership
            .alive(now)
            .map(|peer| peer.address)
            .collect();
        self.notify(peers, vec![replica.clone()], out);
        self.lose(now, &replica, out);
    }

    fn lose(&mut self, now: Timestamp, replica: &ReplicaId, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.router
            .on_replica_lost(now, replica, &mut self.rng, &mut actions);
        self.router_actions(now, actions, out);
    }

    pub(super) fn on_noticed(&mut self, now: Timestamp, notice: Notice, out: &mut Vec<Action>) {
        for replica in &notice.lost {
            self.lose(now, replica, out);
        }
        self.on_quarantine_told(now, notice.from, notice.quarantine, out);
        self.on_limits_told(now, notice.from, notice.limits, out);
        self.note_era_of_peer(now, &notice.digest, out);
        self.hear_versions(now, notice.from, &notice.digest);
        self.fetch_whole_objects(now, out);
    }
}
