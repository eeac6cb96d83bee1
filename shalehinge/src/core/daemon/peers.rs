//! Pulls and notices between daemons.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::configuration::send_notice;
use super::{
    CONFIRM_PULL_INTERVAL, Daemon, LAST_OUTPUT_MAX_AGE, LAST_OUTPUT_PEERS, LEASE_CANDIDATES,
    SUSPECT_REPORT_INTERVAL, WATCH_DUTY,
};
use crate::core::demand::WorkReport;
use crate::core::event::{
    Action, LastOutput, Notice, Pull, PullId, PullReply, PullTopic, QuarantineReport,
    ReachedRevision,
};
use crate::core::feed::{Confirmation, Feed};
use crate::core::fleet_state::{ObjectUpdate, VersionDigest};
use crate::core::membership::Gossip;
use crate::core::object_fetch::Locality;
use crate::core::platform::Scope;
use crate::core::types::{Address, FailureDomain, ReplicaId, Timestamp, Version};

/// The time `millis` milliseconds before `at`, or `None` if that is not after the start of this
/// daemon.
fn time_before(at: Timestamp, millis: u64) -> Option<Timestamp> {
    let age = Duration::from_millis(millis);
    (age < at.as_duration()).then(|| at.minus(age))
}

impl Daemon {
    pub(super) fn send_gossip_pull(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if let Some(to) = self.membership.pull_target(now, &mut self.rng) {
            let pull = self.full_pull(now);
            out.push(Action::Pull { to, pull });
        }
    }

    /// Pulls from a watcher of the own failure domain when the configuration has not been
    /// confirmed for `confirm_after`.
    pub(super) fn pull_confirmation(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let settings = self.settings.learning;
        let is_due = settings.stale_watches
            && !self.has_stopped
            && now >= self.next_confirm_pull_at
            && !self.is_confirmed_within(now, settings.confirm_after)
            && !self.is_sole_confirmer(now);
        if !is_due {
            return;
        }
        self.next_confirm_pull_at = now + CONFIRM_PULL_INTERVAL;
        let domain = &self.identity.failure_domain;
        let count = settings.watchers;
        let watchers = self
            .membership
            .responsible_addresses(now, domain, WATCH_DUTY, count);
        if let Some(to) = watchers.choose(&mut self.rng).copied() {
            let pull = self.full_pull(now);
            out.push(Action::Pull { to, pull });
        }
    }

    /// Whether no other daemon is expected to confirm the configuration to this one.
    fn is_sole_confirmer(&self, now: Timestamp) -> bool {
        if self.settings.learning.relays {
            self.is_primary_watcher(now)
        } else {
            self.is_watcher(now)
        }
    }

    pub(super) fn full_pull(&mut self, now: Timestamp) -> Pull {
        self.pull_for_topic(now, PullTopic::All)
    }

    pub(super) fn pull_for_topic(&mut self, now: Timestamp, topic: PullTopic) -> Pull {
        let mut digest = self.state.digest();
        if self.reads_fresh_hosts(now) {
            // Keeps peers from sending the host list, which this daemon reads itself.
            digest.hosts = Version::MAX;
        }
        Pull {
            gossip: self.gossip_for_topic(now, topic, None),
            topic,
            digest,
            suspects: Vec::new(),
            work: self.work_reports_for_topic(now, topic),
        }
    }

    fn gossip_for_topic(
        &mut self,
        now: Timestamp,
        topic: PullTopic,
        asked: Option<&Gossip>,
    ) -> Gossip {
        match topic {
            PullTopic::All => self.membership.gossip(now, asked, &mut self.rng),
            PullTopic::Objects | PullTopic::Moving | PullTopic::WholeObjects => {
                self.membership.own_gossip()
            }
        }
    }

    /// Reports of demand; only in pulls of all topics, as the other messages are kept small.
    fn work_reports_for_topic(&mut self, now: Timestamp, topic: PullTopic) -> Vec<WorkReport> {
        match topic {
            PullTopic::All => self
                .demand
                .reports(now, &self.identity.daemon, &mut self.rng),
            PullTopic::Objects | PullTopic::Moving | PullTopic::WholeObjects => Vec::new(),
        }
    }

    fn merge_work_reports(&mut self, now: Timestamp, reports: Vec<WorkReport>) {
        self.demand.merge(now, &self.identity.daemon, reports);
    }

    /// Whether this daemon reads the host list from the platform by a feed of its own.
    fn reads_fresh_hosts(&self, now: Timestamp) -> bool {
        const FRESH: Duration = Duration::from_secs(2);
        self.feeds
            .iter()
            .filter(|feed| feed.scope() == Scope::Hosts)
            .filter_map(Feed::last_answer_at)
            .any(|answered_at| now.since(answered_at) < FRESH)
    }

    /// Reports replicas that may have lost a member to the possible lease holders of their failure
    /// domain.
    pub(super) fn report_suspects(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if now < self.next_suspect_report_at {
            return;
        }
        let suspects = self.router.suspects(now);
        if suspects.is_empty() {
            return;
        }
        self.next_suspect_report_at = now + SUSPECT_REPORT_INTERVAL;
        let domains: BTreeSet<&FailureDomain> = suspects
            .iter()
            .map(|replica| &replica.failure_domain)
            .collect();
        for domain in domains {
            // The lease holder need not be a candidate any more.
            let membership = &self.membership;
            let mut recipients: BTreeSet<Address> = membership
                .lease_holder_addresses(now, domain)
                .into_iter()
                .collect();
            recipients.extend(membership.responsible_addresses(
                now,
                domain,
                "lease",
                LEASE_CANDIDATES,
            ));
            for to in recipients {
                let mut pull = self.full_pull(now);
                pull.suspects.clone_from(&suspects);
                out.push(Action::Pull { to, pull });
            }
        }
        self.record_suspects(now, &suspects);
    }

    pub(super) fn record_suspects(&mut self, now: Timestamp, suspects: &[ReplicaId]) {
        let own_suspects = suspects
            .iter()
            .filter(|replica| replica.failure_domain == self.identity.failure_domain);
        for replica in own_suspects {
            self.controller.suspect(now, replica.number);
        }
    }

    /// Asks some peers which replicas of this failure domain have recently sent them output: a
    /// member that this daemon can't reach may be cut off from this daemon alone.
    pub(super) fn pull_last_outputs(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let domain = self.identity.failure_domain.clone();
        let own_outputs = self.last_outputs(now, &domain);
        self.record_last_outputs(now, own_outputs);
        let peers = self
            .membership
            .random_peers(now, LAST_OUTPUT_PEERS, &mut self.rng);
        for to in peers {
            let pull = self.pull_for_topic(now, PullTopic::Moving);
            out.push(Action::Pull { to, pull });
        }
    }

    /// Replicas of a failure domain that have recently sent this daemon output.
    fn last_outputs(&self, now: Timestamp, domain: &FailureDomain) -> Vec<LastOutput> {
        let outputs = self.router.last_outputs();
        outputs
            .filter(|(replica, at)| {
                replica.failure_domain == *domain && now.since(*at) < LAST_OUTPUT_MAX_AGE
            })
            .map(|(replica, at)| LastOutput {
                replica: replica.clone(),
                ms_ago: now.millis_since(at),
            })
            .collect()
    }

    /// Passes on to the controller when replicas of this failure domain last sent a daemon output.
    /// Ages count from `asked_at`, when the daemon was asked, so that no output seems newer than
    /// it is.
    fn record_last_outputs(&mut self, asked_at: Timestamp, moving: Vec<LastOutput>) {
        for LastOutput { replica, ms_ago } in moving {
            if let Some(at) = time_before(asked_at, ms_ago) {
                self.controller.record_output(at, replica.number);
            }
        }
    }

    pub(super) fn on_pull_request(
        &mut self,
        now: Timestamp,
        pull_id: PullId,
        pull: Pull,
        out: &mut Vec<Action>,
    ) {
        self.on_heard_from(pull.gossip.sender.address, out);
        let gossip = self.gossip_for_topic(now, pull.topic, Some(&pull.gossip));
        let moving = match pull.topic {
            PullTopic::Moving => self.last_outputs(now, &pull.gossip.sender.failure_domain),
            PullTopic::All | PullTopic::Objects | PullTopic::WholeObjects => Vec::new(),
        };
        let includes_hosts = pull.topic != PullTopic::Moving;
        let hosts_answered_at = self.host_list_answered_at().filter(|_| includes_hosts);
        self.merge_work_reports(now, pull.work);
        self.membership.merge(now, pull.gossip);
        self.record_suspects(now, &pull.suspects);
        let reply = PullReply {
            gossip,
            digest: self.state.digest(),
            updates: self.updates_for(pull.topic, &pull.digest),
            confirmed_ms_ago: self.confirmed_at().map(|at| now.millis_since(at)),
            hosts_ms_ago: hosts_answered_at.map(|at| now.millis_since(at)),
            reached: self.confirmation.map(|confirmation| ReachedRevision {
                revision: confirmation.revision,
                ms_ago: now.millis_since(confirmation.at),
            }),
            work: self.work_reports_for_topic(now, pull.topic),
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

    /// The updates to include in a pull reply. Objects that may be large are sent only for
    /// [`PullTopic::WholeObjects`], of which each daemon has at most one pull open. If every reply
    /// carried them, a daemon that is behind would receive several whole configurations at the
    /// same time, none of them before the pull's time-out, and would stay behind.
    fn updates_for(&self, topic: PullTopic, known: &VersionDigest) -> Vec<ObjectUpdate> {
        let hosts = self.state.routable_hosts_after(known);
        match topic {
            PullTopic::All | PullTopic::Objects => hosts.into_iter().collect(),
            PullTopic::WholeObjects => {
                let mut updates = self.state.full_objects_after(known);
                updates.extend(hosts);
                updates
            }
            PullTopic::Moving => Vec::new(),
        }
    }

    /// Records that a peer knew the configuration in force to be the newest, `age` before it was
    /// asked.
    fn record_peer_confirmation(&mut self, asked_at: Timestamp, age: Duration) {
        match age.checked_sub(asked_at.as_duration()) {
            None => {
                let confirmed_at = Some(asked_at.minus(age));
                self.confirmed_by_peer = self.confirmed_by_peer.max(confirmed_at);
            }
            Some(age_at_start) => {
                let known = self.confirmed_age_at_start.unwrap_or(age_at_start);
                self.confirmed_age_at_start = Some(known.min(age_at_start));
            }
        }
    }

    /// Adopts the store's era from a peer's digest. A peer without a host list reports no era.
    fn record_peer_era(&mut self, now: Timestamp, digest: &VersionDigest, out: &mut Vec<Action>) {
        if digest.hosts > Version::NONE {
            self.record_era(now, digest.hosts.era, None, out);
        }
    }

    /// Records the versions that a peer knows, and the peer as a source of newer objects.
    fn record_peer_versions(&mut self, now: Timestamp, from: Address, digest: &VersionDigest) {
        let own_version = self.state.fleet_version();
        self.superseded.on_reported(now, digest.fleet, own_version);
        if self.state.is_behind(digest) {
            let distance = self.distance_of(from);
            self.whole_fetch.note_newer_version(now, from, distance);
        }
    }

    /// The distance of a peer. An unknown peer counts as near, and so does every peer while this
    /// daemon has no configuration to serve with.
    fn distance_of(&self, peer: Address) -> Locality {
        let domain = self.membership.domain_of(peer);
        let is_far = domain.is_some_and(|domain| *domain != self.identity.failure_domain);
        if is_far && self.state.fleet().is_some() {
            Locality::Remote
        } else {
            Locality::Local
        }
    }

    pub(super) fn fetch_whole_objects(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.has_stopped {
            return;
        }
        if let Some(to) = self.whole_fetch.begin(now) {
            let pull = self.pull_for_topic(now, PullTopic::WholeObjects);
            out.push(Action::Pull { to, pull });
        }
    }

    pub(super) fn on_pull_reply(
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
            self.apply_pull_reply(now, topic, asked_at, reply, out);
        }
        self.fetch_whole_objects(now, out);
    }

    fn apply_pull_reply(
        &mut self,
        now: Timestamp,
        topic: PullTopic,
        asked_at: Timestamp,
        reply: PullReply,
        out: &mut Vec<Action>,
    ) {
        let from = reply.gossip.sender.address;
        self.on_heard_from(from, out);
        self.record_peer_era(now, &reply.digest, out);
        self.merge_work_reports(now, reply.work);
        self.record_last_outputs(asked_at, reply.moving);
        // Ages count from the time of the pull: information that is passed on repeatedly must not
        // appear newer each time.
        self.apply_quarantine_report(now, asked_at, reply.quarantine, out);
        self.membership.merge(now, reply.gossip);
        self.apply(now, reply.updates, out);
        // A peer's confirmation applies only if the configuration here is at least as new.
        let is_up_to_date = self.state.fleet_version() >= reply.digest.fleet;
        if let Some(age) = reply.confirmed_ms_ago.filter(|_| is_up_to_date) {
            self.record_peer_confirmation(asked_at, Duration::from_millis(age));
        }
        // A reply with whole objects already carried all objects that the peer has to offer.
        if topic != PullTopic::WholeObjects {
            self.record_peer_versions(now, from, &reply.digest);
        }
        if let Some(age) = reply.hosts_ms_ago {
            self.peer_hosts_answered_at =
                self.peer_hosts_answered_at.max(time_before(asked_at, age));
        }
        let reached = reply.reached.and_then(|reached| {
            let revision = reached.revision;
            time_before(asked_at, reached.ms_ago).map(|at| Confirmation { revision, at })
        });
        self.record_confirmation(now, reached);
    }

    /// Notifies all peers of a replica that is known to have lost a member. Otherwise each would
    /// send it requests until its host list shows the loss.
    pub(super) fn broadcast_lost_replica(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        out: &mut Vec<Action>,
    ) {
        let peers = self
            .membership
            .live_peers(now)
            .map(|peer| peer.address)
            .collect();
        self.notify(peers, vec![replica.clone()], out);
        self.mark_replica_lost(now, &replica, out);
    }

    /// Notifies all peers of a replica with a member that currently answers nothing. It may go on,
    /// so it is not lost, but new requests are better sent elsewhere.
    pub(super) fn broadcast_silent_replica(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        out: &mut Vec<Action>,
    ) {
        let peers = self
            .membership
            .live_peers(now)
            .map(|peer| peer.address)
            .collect();
        let notice = Notice {
            silent: vec![replica.clone()],
            ..self.notice()
        };
        send_notice(peers, &notice, out);
        self.mark_replica_silent(now, &replica, out);
    }

    fn mark_replica_silent(&mut self, now: Timestamp, replica: &ReplicaId, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.router
            .on_replica_silent(now, replica, &mut self.rng, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    fn mark_replica_lost(&mut self, now: Timestamp, replica: &ReplicaId, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.router
            .on_replica_lost(now, replica, &mut self.rng, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn on_notice(&mut self, now: Timestamp, notice: Notice, out: &mut Vec<Action>) {
        self.on_heard_from(notice.from, out);
        self.record_peer_era(now, &notice.digest, out);
        for replica in &notice.lost {
            self.mark_replica_lost(now, replica, out);
        }
        for replica in &notice.silent {
            self.mark_replica_silent(now, replica, out);
        }
        self.on_quarantine_notice(now, notice.from, notice.quarantine, out);
        self.on_limits_notice(now, notice.from, notice.limits, out);
        self.on_claims_notice(now, notice.from, notice.claims, out);
        self.record_peer_versions(now, notice.from, &notice.digest);
        self.fetch_whole_objects(now, out);
    }
}
