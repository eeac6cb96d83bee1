//! Pulls and notices between daemons.

use super::*;
use crate::core::event::PullId;

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
