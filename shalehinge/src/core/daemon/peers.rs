//! Pulls and notices between daemons.

use std::collections::BTreeSet;

use super::{CANDIDATES, Daemon, SUSPECTS_INTERVAL};
use crate::core::event::{Action, Notice, Pull, PullId, PullReply};
use crate::core::types::{FailureDomain, ReplicaId, Timestamp};

impl Daemon {
    pub(super) fn pull(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if let Some(to) = self.membership.pull_target(now, &mut self.rng) {
            let pull = self.make_pull(now);
            out.push(Action::Pull { to, pull });
        }
    }

    pub(super) fn make_pull(&mut self, now: Timestamp) -> Pull {
        Pull {
            heartbeats: self.membership.sample(now, &mut self.rng),
            digest: self.state.digest(),
            suspects: Vec::new(),
        }
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
        };
        out.push(Action::AnswerPull { pull_id, reply });
    }

    pub(super) fn on_pull_answered(
        &mut self,
        now: Timestamp,
        reply: Option<PullReply>,
        out: &mut Vec<Action>,
    ) {
        let Some(reply) = reply else {
            return;
        };
        self.membership.merge(now, reply.heartbeats);
        self.apply(now, reply.updates, out);
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
