//! Requests that this daemon hands to peers while it can't connect to upstreams, and those that peers
//! hand to it.

use std::time::Duration;

use super::{Daemon, log, not_run};
use crate::core::event::{Action, Component};
use crate::core::forward::{ForwardEnd, ForwardedMeta};
use crate::core::router::forwarding::ForwardPeer;
use crate::core::router::request::{NotRunReason, UpstreamId};
use crate::core::types::{AttemptId, RequestId, Timestamp};

impl Daemon {
    /// Runs a request for a peer. The peer has counted its demand and claimed its key.
    pub(super) fn on_forward_received(
        &mut self,
        now: Timestamp,
        request: RequestId,
        meta: ForwardedMeta,
        out: &mut Vec<Action>,
    ) {
        self.has_received_request = true;
        if self.is_stopping {
            let outcome = not_run(NotRunReason::Stopping, Duration::from_secs(1));
            out.push(Action::Answer { request, outcome });
            return;
        }
        let meta = meta.into_meta(now);
        let share = self.share_of(&meta.customer);
        let mut actions = Vec::new();
        self.router
            .submit_forwarded(now, request, meta, share, &mut self.rng, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn on_forward_ended(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        end: ForwardEnd,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router
            .on_forward_ended(now, request, attempt, end, &mut self.rng, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn on_upstream_probed(
        &mut self,
        now: Timestamp,
        upstream: &UpstreamId,
        is_reachable: bool,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router
            .on_probed(now, upstream, is_reachable, &mut self.rng, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    /// Passes the peers that reach upstreams to the router, and tells peers whether this daemon
    /// does.
    pub(super) fn update_forward_peers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let is_isolated = self.router.is_isolated();
        self.isolated_since = is_isolated.then(|| self.isolated_since.unwrap_or(now));
        if self.membership.set_isolated(is_isolated) {
            let text = if is_isolated {
                "reaches no upstream"
            } else {
                "reaches upstreams again"
            };
            log(out, Component::Daemon, text.into());
        }
        let domain = &self.identity.failure_domain;
        let peers = self.membership.live_peers(now);
        let able = peers.filter(|peer| !peer.leaving && !peer.isolated);
        let peers = able.map(|peer| ForwardPeer {
            address: peer.address,
            is_local: peer.failure_domain == *domain,
        });
        self.router.set_forward_peers(now, peers.collect());
    }
}
