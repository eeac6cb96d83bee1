//! Periodic work: expired deadlines, and dispatch to upstreams that have room again.

use crate::core::types::{RequestId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::request::{NotRunReason, Outcome, Target, UnknownReason};

impl Router {
    /// Ends requests past their deadline, detects stalled upstreams, and sends queued requests
    /// that now have room. To be called periodically.
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl rand::Rng, out: &mut Vec<RouterAction>) {
        self.end_cooldowns(now, out);
        self.update_shortages(now, out);
        self.expire_waiting(now, out);
        self.expire_running(now, out);
        self.detect_stalled(now, out);
        self.hedge_silent(now, rng, out);
        self.update_held(now, out);
        self.record_capacity(now);
        self.probe_cut_off(now, rng, out);
        self.dispatch_all(now, rng, out);
    }

    /// Sends queued requests of all targets while upstreams have room.
    pub(super) fn dispatch_all(
        &mut self,
        now: Timestamp,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let targets: Vec<Target> = self.targets.keys().cloned().collect();
        for target in targets {
            if let Some(state) = self.targets.get_mut(&target) {
                state.queue.forget_idle();
            }
            self.dispatch(now, &target, rng, out);
        }
    }

    fn record_capacity(&mut self, now: Timestamp) {
        for state in self.targets.values_mut() {
            let present = state.present(now);
            state.recent_capacity.record(now, present);
        }
    }

    fn expire_waiting(&mut self, now: Timestamp, out: &mut Vec<RouterAction>) {
        if self.was_paused(now) {
            self.reports_awaited_until = now + self.settings.report_interval * 2;
        }
        let awaits_reports = now < self.reports_awaited_until;
        let mut expired = Vec::new();
        for (target, state) in &mut self.targets {
            let late = state.queue.expire(now).into_iter();
            expired.extend(late.map(|request| (request, NotRunReason::WouldBeLate)));
            let can_forward =
                self.connectivity.is_cut_off(target) && self.forward_peers.has_usable(now);
            if state.unavailable_for(now).is_none() && !can_forward && !awaits_reports {
                let all = std::iter::from_fn(|| state.queue.pop());
                expired.extend(all.map(|waiting| (waiting.request, NotRunReason::NoUpstream)));
            }
        }
        for (request, reason) in expired {
            self.waiting -= 1;
            self.answer(request, self.not_run(reason), out);
        }
    }

    fn expire_running(&mut self, now: Timestamp, out: &mut Vec<RouterAction>) {
        let expired: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_running() && pending.meta.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            let Some(pending) = self.pending.get(&request) else {
                continue;
            };
            let state = self.targets.get_mut(&pending.meta.target);
            if let (Some(state), Some(running)) = (state, &pending.running) {
                state.record_upstream_failure(now, &self.settings, &running.upstream);
            }
            let reason = UnknownReason::DeadlinePassed;
            self.answer(request, Outcome::Unknown { reason }, out);
        }
    }
}
