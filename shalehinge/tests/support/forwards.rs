//! Requests that simulated daemons hand to each other.

use std::time::Duration;

use shalehinge::core::event::Event;
use shalehinge::core::forward::{Forward, ForwardEnd};
use shalehinge::core::router::request::Outcome;
use shalehinge::core::types::{AttemptId, RequestId};

use super::world::{CALL_TIMEOUT, STEP, World};

/// A request that a peer runs for the daemon that received it.
#[derive(Clone, Copy, Debug)]
pub struct RunningForward {
    origin: usize,
    origin_run: u64,
    request: RequestId,
    attempt: AttemptId,
    peer: usize,
    /// Its id at the peer.
    id: RequestId,
    /// Whether its caller, or the daemon that handed it over, has left.
    is_cancelled: bool,
}

impl World {
    /// Hands a daemon's request to a peer.
    pub fn forward(&mut self, origin: usize, origin_run: u64, forward: Forward) {
        let Forward {
            request,
            attempt,
            peer,
            meta,
        } = forward;
        let reached = self.entry_by_address(peer).filter(|peer| {
            let peer = &self.entries[*peer];
            peer.core.is_some() && self.can_reach(origin, &peer.domain)
        });
        let (Some(peer), Some(caller)) = (
            reached,
            self.entries[origin].requests.get(&request).copied(),
        ) else {
            let end = ForwardEnd::NotSent;
            self.end_forward(STEP, origin, origin_run, (request, attempt), end);
            return;
        };
        let id = self.entries[peer].take_request_id();
        self.entries[peer].requests.insert(id, caller);
        let running = RunningForward {
            origin,
            origin_run,
            request,
            attempt,
            peer,
            id,
            is_cancelled: false,
        };
        self.forwards.push(running);
        self.deliver_event(peer, Event::ForwardReceived { request: id, meta });
        if self.entries[peer].is_frozen {
            self.lose_forward(running);
            self.cancel_at_peer(running);
        }
    }

    fn end_forward(
        &mut self,
        delay: Duration,
        origin: usize,
        run: u64,
        (request, attempt): (RequestId, AttemptId),
        end: ForwardEnd,
    ) {
        let event = Event::ForwardEnded {
            request,
            attempt,
            end,
        };
        self.send_to_entry(delay, origin, run, event);
    }

    /// Passes the outcome of a forwarded request back. Returns whether the request is one.
    pub fn answer_forward(&mut self, peer: usize, id: RequestId, outcome: Outcome) -> bool {
        let is_answered = |known: &RunningForward| known.peer == peer && known.id == id;
        let Some(index) = self.forwards.iter().position(is_answered) else {
            return false;
        };
        let running = self.forwards.remove(index);
        self.entries[peer].requests.remove(&id);
        let domain = self.entries[running.origin].domain.clone();
        let (delay, end) = if self.can_reach(peer, &domain) {
            (self.delay(), ForwardEnd::Answered(outcome))
        } else {
            (CALL_TIMEOUT, ForwardEnd::Lost)
        };
        let ids = (running.request, running.attempt);
        self.end_forward(delay, running.origin, running.origin_run, ids, end);
        true
    }

    /// Reports to the origin that the peer's answer broke off; the peer's own answer is dropped.
    fn lose_forward(&mut self, running: RunningForward) {
        let ids = (running.request, running.attempt);
        let end = ForwardEnd::Lost;
        self.end_forward(CALL_TIMEOUT, running.origin, running.origin_run, ids, end);
        for known in &mut self.forwards {
            if known.peer == running.peer && known.id == running.id {
                // No daemon has a run of this number any more.
                known.origin_run = 0;
            }
        }
    }

    /// Tells the peer that runs a request that its caller left.
    pub fn cancel_forward(&mut self, origin: usize, attempt: AttemptId) {
        let is_cancelled =
            |known: &&RunningForward| known.origin == origin && known.attempt == attempt;
        if let Some(running) = self.forwards.iter().find(is_cancelled).copied() {
            self.cancel_at_peer(running);
        }
    }

    fn cancel_at_peer(&mut self, running: RunningForward) {
        for known in &mut self.forwards {
            let is_same = known.peer == running.peer && known.id == running.id;
            known.is_cancelled |= is_same;
        }
        self.deliver_event(running.peer, Event::CallerLeft(running.id));
    }

    /// Whether a request that a daemon runs was handed over, and cancelled since.
    pub fn is_cancelled_forward(&self, peer: usize, id: RequestId) -> bool {
        let mut forwards = self.forwards.iter();
        forwards.any(|known| known.peer == peer && known.id == id && known.is_cancelled)
    }

    /// Ends the forwarded requests of a daemon that was killed.
    pub fn end_forwards_of(&mut self, killed: usize) {
        for running in self.forwards.clone() {
            if running.peer == killed {
                self.lose_forward(running);
            } else if running.origin == killed {
                self.cancel_at_peer(running);
            }
        }
        self.forwards.retain(|known| known.peer != killed);
    }
}
