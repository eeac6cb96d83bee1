//! A planned stop.

use super::{Daemon, log};
use crate::core::event::{Action, Part};
use crate::core::types::Timestamp;

impl Daemon {
    pub(super) fn on_stop(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        self.membership.leave();
        log(out, Part::Daemon, "stops when its requests are done".into());
        let operation = self.operation();
        if let Some(step) = self.lease.release(now, operation) {
            self.lease_step(step, out);
        }
        self.pull(now, out);
        self.finish_stop(out);
    }

    pub(super) fn finish_stop(&mut self, out: &mut Vec<Action>) {
        let is_done = self.router.pending() == 0 && self.claimed.is_empty();
        if self.is_stopping && is_done && !self.has_stopped {
            self.has_stopped = true;
            out.push(Action::Stopped);
        }
    }
}
