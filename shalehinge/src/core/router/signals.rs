//! Handles what upstreams state about themselves in their answers.

use std::time::Duration;

use crate::core::signal::{LeavingMark, UpstreamSignal};
use crate::core::types::{AttemptId, RequestId, Timestamp};

use super::cooldown::CooldownChange;
use super::dispatch::{Router, RouterAction};
use super::request::UpstreamId;

impl Router {
    /// Handles the signals in the head of an attempt's answer.
    pub fn on_signal(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        signal: UpstreamSignal,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let Some(running) = pending.running_attempt(attempt) else {
            return;
        };
        let state = self.targets.get_mut(&pending.meta.target);
        let upstream = state.and_then(|state| state.upstream_mut(&running.upstream));
        let Some(upstream) = upstream else {
            return;
        };
        let id = &running.upstream;
        if let Some(change) = upstream.cooldown.on_requested(now, &signal.cooldown) {
            out.push(cooldown_line(id, request, &change));
        }
        if upstream.leaving.on_marked(now, &signal.leaving) {
            out.push(leaving_line(id, request, &signal.leaving));
        }
        let sent_at = running.sent_at;
        upstream.on_limit_named(now, sent_at, signal, out);
    }

    /// Ends cooldowns whose time has passed.
    pub(super) fn end_cooldowns(&mut self, now: Timestamp, out: &mut Vec<RouterAction>) {
        let upstreams = self
            .targets
            .values_mut()
            .flat_map(|state| &mut state.upstreams);
        for upstream in upstreams {
            if upstream.cooldown.take_end(now) {
                out.push(RouterAction::Log(format!(
                    "the cooldown of {} has ended",
                    upstream.spec.id
                )));
            }
        }
    }

    /// Upstreams in a cooldown requested from this daemon, and the time left.
    pub fn upstreams_in_cooldown(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&UpstreamId, Duration)> {
        self.upstreams().filter_map(move |upstream| {
            let left = upstream.cooldown.until().since(now);
            (!left.is_zero()).then_some((&upstream.spec.id, left))
        })
    }

    /// Upstreams that announced that they are leaving.
    pub fn leaving_upstreams(&self, now: Timestamp) -> impl Iterator<Item = &UpstreamId> {
        let leaving = self.upstreams().filter(move |u| u.is_leaving(now));
        leaving.map(|upstream| &upstream.spec.id)
    }
}

fn cooldown_line(id: &UpstreamId, request: RequestId, change: &CooldownChange) -> RouterAction {
    RouterAction::Log(match change {
        CooldownChange::Begins(time) => {
            let seconds = time.as_secs_f64();
            format!(
                "{id} requests a cooldown of {seconds} s in its refusal of request {}",
                request.0
            )
        }
        CooldownChange::Unreadable(text) => {
            format!("{id} requests an invalid cooldown, which is ignored: {text:?}")
        }
    })
}

fn leaving_line(id: &UpstreamId, request: RequestId, mark: &LeavingMark) -> RouterAction {
    RouterAction::Log(match mark {
        LeavingMark::Unreadable(text) => {
            format!("{id} sends an invalid leaving mark, which is ignored: {text:?}")
        }
        LeavingMark::Absent | LeavingMark::Leaving => {
            format!(
                "{id} is leaving, according to its answer to request {}",
                request.0
            )
        }
    })
}
