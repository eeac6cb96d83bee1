//! Pulls and notices between daemons.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{CANDIDATES, Daemon, SUSPECTS_INTERVAL};
use crate::core::event::{Action, Notice, Pull, PullId, PullReply};
use crate::core::feed::Feed;
use crate::core::platform::Scope;
use crate::core::types::{FailureDomain, ReplicaId, Timestamp, Version};

impl Daemon {
    pub(super) fn pull(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if let Some(to) = self.membership.pull_target(now, &mut self.rng) {
            let pull = self.make_pull(now);
            out.push(Action::Pull { to, pull });
        }
    }

    pub(super) fn make_pull(&mut self, now: Timestamp) -> Pull {
        let mut digest = self.state.digest();
        if self.knows_hosts(now) {
            // Peers need not tell what this daemon reads itself.
            digest.hosts = Version(u64::MAX);
        }
        Pull {
            heartbeats: self.membership.sample(now, &mut self.rng),
            digest,
            suspects: Vec::new(),
        }
    }

    /// Whether this daemon reads the host list itself, apart from the rest.
    fn knows_hosts(&self, now: Timestamp) -> bool {
        const FRESH: Duration = Duration::from_secs(2);
        self.feeds
            .iter()
            .filter(|feed| feed.scope() == Scope::Hosts)
            .filter_map(Feed::as_of)
            .any(|as_of| now.since(as_of) < FRESH)
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
            let candidates = self
                .membership
                .responsible_addresses(now, domain, "lease", CANDIDATES);
            for to in candidates {
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

    pub(super) fn on_pull_asked(
        &mut self,
        now: Timestamp,
        pull_id: PullId,
        pull: Pull,
        out: &mut Vec<Action>,
    ) {
        self.membership.merge(now, pull.heartbeats);
        self.note_suspects(now, &pull.suspects);
        let reply = PullReply {
            heartbeats: self.membership.sample(now, &mut self.rng),
            updates: self.state.newer_than(&pull.digest),
            confirmed_ms_ago: self
                .confirmed_at()
                .map(|at| now.since(at).as_millis() as u64 + 1),
        };
        out.push(Action::AnswerPull { pull_id, reply });
    }

    pub(super) fn on_pull_answered(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        reply: Option<PullReply>,
        out: &mut Vec<Action>,
    ) {
        let Some(reply) = reply else {
            return;
        };
        self.membership.merge(now, reply.heartbeats);
        self.apply(now, reply.updates, out);
        // The answer held whatever the peer knew that was newer than what is known here.
        if let Some(age) = reply.confirmed_ms_ago {
            let age = Duration::from_millis(age);
            let is_possible = age < asked_at.as_duration();
            let confirmed_at = is_possible.then(|| asked_at.minus(age));
            self.confirmed_by_peer = self.confirmed_by_peer.max(confirmed_at);
        }
    }

    pub(super) fn on_noticed(&mut self, now: Timestamp, notice: Notice, out: &mut Vec<Action>) {
        if self.state.is_behind(&notice.digest) {
            let pull = self.make_pull(now);
            out.push(Action::Pull {
                to: notice.from,
                pull,
            });
        }
    }
}
