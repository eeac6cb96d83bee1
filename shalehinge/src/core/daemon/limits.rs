//! How many requests upstreams in need take from all daemons together.

use super::Daemon;
use crate::core::event::Action;
use crate::core::named_limit::NamedLimit;
use crate::core::types::{AttemptId, RequestId, Timestamp};

impl Daemon {
    pub(super) fn on_limit_named(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        limit: NamedLimit,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router
            .on_limit_named(now, request, attempt, limit, &mut actions);
        self.router_actions(now, actions, out);
    }
}
