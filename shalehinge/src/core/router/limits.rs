//! Upstreams in need, which name how many requests they take from all daemons together.

use crate::core::named_limit::{NamedLimit, RequestRate};
use crate::core::types::{AttemptId, RequestId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::named::LimitChange;
use super::request::UpstreamId;

impl Router {
    /// Upstreams with a limit in force, for status pages.
    pub fn limited_upstreams(&self) -> impl Iterator<Item = (&UpstreamId, RequestRate)> {
        self.upstreams()
            .filter_map(|upstream| Some((&upstream.spec.id, upstream.limit.known()?.rate)))
    }

    /// The answer of an attempt says how many requests its upstream takes.
    pub fn on_limit_named(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        limit: NamedLimit,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let Some(running) = pending.running.as_ref().filter(|r| r.id == attempt) else {
            return;
        };
        let state = self.targets.get_mut(&pending.meta.target);
        let upstream = state.and_then(|state| state.upstream_mut(&running.upstream));
        let Some(upstream) = upstream else {
            return;
        };
        if let Some(change) = upstream.limit.hear(now, running.sent_at, limit) {
            out.push(limit_line(&upstream.spec.id, &change));
        }
    }
}

fn limit_line(upstream: &UpstreamId, change: &LimitChange) -> RouterAction {
    RouterAction::Log(match change {
        LimitChange::Begins(rate) => {
            format!("{upstream} names a limit of {rate} requests a second from all daemons")
        }
        LimitChange::Changes(rate) => {
            format!("{upstream} changes its limit to {rate} requests a second from all daemons")
        }
        LimitChange::Ends => format!("{upstream} names no limit any more"),
        LimitChange::Unreadable(text) => {
            format!("{upstream} names a limit that can't be read, none is made of it: {text:?}")
        }
    })
}
