//! Requests that simulated daemons hand to each other.

use std::time::Duration;

use shalehinge::core::daemon::TICK;
use shalehinge::core::event::Event;
use shalehinge::core::forward::{Forward, ForwardEnd};
use shalehinge::core::router::request::{Outcome, UpstreamId};
use shalehinge::core::types::{AttemptId, RequestId};
use shalehinge::utils::http::ATTEMPT_CONNECT_TIMEOUT;

use super::Fleet;

/// A request that a peer runs for a daemon.
pub struct RunningForward {
    /// The daemon that received it.
    origin: usize,
    /// The peer that runs it.
    peer: usize,
    /// Its id at the daemon that received it.
    request: RequestId,
    /// The attempt of that daemon.
    attempt: AttemptId,
}

impl Fleet {
    /// Hands a daemon's request to a peer.
    pub(super) fn forward(&mut self, origin: usize, forward: Forward) {
        let peer = usize::from(forward.peer.port());
        let Forward {
            request,
            attempt,
            meta,
            ..
        } = forward;
        self.forwarded += 1;
        if self.is_partitioned(origin, peer) || self.dead.contains(&peer) {
            let event = Event::ForwardEnded {
                request,
                attempt,
                end: ForwardEnd::NotSent,
            };
            self.schedule(ATTEMPT_CONNECT_TIMEOUT, origin, event);
            return;
        }
        self.next_event += 1;
        let id = RequestId(self.next_event);
        let running = RunningForward {
            origin,
            peer,
            request,
            attempt,
        };
        self.forwards.insert(id, running);
        let event = Event::ForwardReceived { request: id, meta };
        self.schedule(Duration::ZERO, peer, event);
    }

    /// Whether a request was handed over by a peer.
    pub(super) fn is_forward(&self, request: RequestId) -> bool {
        self.forwards.contains_key(&request)
    }

    /// Passes the outcome of a forwarded request back to the daemon that received it.
    pub(super) fn answer_forward(&mut self, request: RequestId, outcome: Outcome) {
        let Some(running) = self.forwards.remove(&request) else {
            return;
        };
        let event = Event::ForwardEnded {
            request: running.request,
            attempt: running.attempt,
            end: ForwardEnd::Answered(outcome),
        };
        self.schedule(Duration::ZERO, running.origin, event);
    }

    /// Cancels a forwarded request, as its caller left.
    pub(super) fn cancel_forward(&mut self, attempt: AttemptId) {
        let mut forwards = self.forwards.iter();
        let Some((id, running)) = forwards.find(|(_, running)| running.attempt == attempt) else {
            return;
        };
        let (id, peer) = (*id, running.peer);
        self.schedule(Duration::ZERO, peer, Event::CallerLeft(id));
    }

    /// Probes whether a daemon can connect to an upstream.
    pub(super) fn probe(&mut self, index: usize, upstream: UpstreamId) {
        let cut = self.cut_from_upstreams.get(&index);
        let fails_after = match cut {
            Some(cut) if !cut.refuses_connections() => ATTEMPT_CONNECT_TIMEOUT,
            _ => TICK,
        };
        let event = Event::UpstreamProbed {
            upstream,
            is_reachable: cut.is_none(),
        };
        self.schedule(fails_after, index, event);
    }
}
