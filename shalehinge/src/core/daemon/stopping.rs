//! A planned stop.

use super::{Daemon, log};
use crate::core::event::{Action, Part};
use crate::core::types::Timestamp;

impl Daemon {
    pub(super) fn on_stop(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.is_stopping {
            return;
        }
        self.on_leave(now, out);
        self.is_stopping = true;
        log(out, Part::Daemon, "stops when its requests are done".into());
        self.finish_stop(out);
    }

    /// No longer ready, and without duties; requests that still come are served.
    pub(super) fn on_leave(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        self.membership.mark_leaving();
        log(out, Part::Daemon, "leaves; no longer ready".into());
        let operation = self.operation();
        if let Some(step) = self.lease.release(now, operation) {
            self.lease_step(step, out);
        }
        self.pull(now, out);
    }

    pub(super) fn finish_stop(&mut self, out: &mut Vec<Action>) {
        let is_done = self.router.pending() == 0 && self.claimed.is_empty();
        if self.is_stopping && is_done && !self.has_stopped {
            self.has_stopped = true;
            out.push(Action::Stopped);
        }
    }
}
