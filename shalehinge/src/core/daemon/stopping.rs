//! Planned shutdown.

use std::time::Duration;

use super::{Daemon, log};
use crate::core::event::{Action, Component};
use crate::core::types::Timestamp;

/// How long a stop waits for the store to record that the lease was released. After it, the next
/// holder takes the lease when its term ends.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

impl Daemon {
    pub(super) fn on_stop(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.is_stopping {
            return;
        }
        self.on_leave(now, out);
        self.is_stopping = true;
        self.release_until = now + RELEASE_TIMEOUT;
        log(
            out,
            Component::Daemon,
            "stopping once open requests have ended".into(),
        );
        self.finish_stop(now, out);
    }

    /// Leaves the membership: the daemon is no longer ready and gives up its duties and its lease.
    /// Requests that still arrive are served.
    pub(super) fn on_leave(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        self.membership.mark_leaving();
        log(
            out,
            Component::Daemon,
            "leaving the fleet; no longer ready".into(),
        );
        self.release_lease(now, out);
        self.send_gossip_pull(now, out);
    }

    pub(super) fn finish_stop(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let is_releasing = self.lease.is_releasing() && now < self.release_until;
        let is_served = self.router.pending() == 0 && self.claimed_requests.is_empty();
        let is_done = is_served && !is_releasing;
        if self.is_stopping && is_done && !self.has_stopped {
            self.has_stopped = true;
            out.push(Action::Stopped);
        }
    }
}
