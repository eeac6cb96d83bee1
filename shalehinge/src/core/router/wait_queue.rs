//! The queued requests of one target, in three classes.
//!
//! Requests that can still meet their target time for first output go before those that are
//! already late. Under overload, first-come-first-served order would make every request late,
//! while with two classes the requests that are served are on time. Late requests are served with
//! the remaining capacity. Requests that are held back while the target is overloaded come last.
//! Each class is fair between customers ([`FairQueue`]).

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::types::{Customer, RequestId, Timestamp};

use super::queue::{FairQueue, QueuedRequest};

/// Position of a request that is held back: by urgency, then by deadline.
type HeldBackRank = (Reverse<u8>, Timestamp, RequestId);

/// A queue with three classes.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    /// Requests that can still meet their target time, or have none.
    timely: FairQueue,
    /// Requests that can no longer meet their target time.
    overdue: FairQueue,
    /// Requests that are held back, although an upstream may have room for them.
    held_back: BTreeMap<HeldBackRank, QueuedRequest>,
}

impl WaitQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.timely.len() + self.overdue.len() + self.held_back.len()
    }

    /// Whether no request waits for an upstream with room. Some may be held back.
    pub fn is_empty(&self) -> bool {
        self.timely.is_empty() && self.overdue.is_empty()
    }

    /// Whether any request is held back.
    pub fn has_held_back(&self) -> bool {
        !self.held_back.is_empty()
    }

    /// Adds a request of a customer with this share.
    pub fn push(&mut self, customer: &Customer, share: u32, waiting: QueuedRequest) {
        self.timely.push(customer, share, waiting);
    }

    /// Holds a request back.
    pub fn hold_back(&mut self, customer: &Customer, request: RequestId, urgency: u8) {
        if let Some(waiting) = self.remove(customer, request) {
            let rank = (Reverse(urgency), waiting.deadline, request);
            self.held_back.insert(rank, waiting);
        }
    }

    /// Returns the next request without removing it, one that is held back only if it has
    /// `min_urgency`. Requests that have become late are first moved to the second class, where
    /// they wait for at most `max_wait`.
    pub fn peek(
        &mut self,
        now: Timestamp,
        max_wait: Duration,
        min_urgency: u8,
    ) -> Option<&QueuedRequest> {
        while let Some((customer, share, mut waiting)) = self.timely.take_overdue(now) {
            waiting.deadline = waiting.deadline.min(now + max_wait);
            self.overdue.push(&customer, share, waiting);
        }
        let next = self.timely.peek().or_else(|| self.overdue.peek());
        let first = self.held_back.first_key_value();
        let may_be_sent = first.filter(|((Reverse(urgency), ..), _)| *urgency >= min_urgency);
        next.or_else(|| may_be_sent.map(|(_, waiting)| waiting))
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let next = self.timely.pop().or_else(|| self.overdue.pop());
        next.or_else(|| self.held_back.pop_first().map(|(_, waiting)| waiting))
    }

    /// Removes a request at any position.
    pub fn remove(&mut self, customer: &Customer, request: RequestId) -> Option<QueuedRequest> {
        let timely = self.timely.remove(customer, request);
        let waiting = timely.or_else(|| self.overdue.remove(customer, request));
        waiting.or_else(|| {
            let is_request = |rank: &&HeldBackRank| rank.2 == request;
            let rank = *self.held_back.keys().find(is_request)?;
            self.held_back.remove(&rank)
        })
    }

    /// Removes a request of the customer with the highest queued cost relative to its share, from
    /// the last class that has any.
    pub fn evict(&mut self) -> Option<QueuedRequest> {
        let last = self.held_back.pop_last().map(|(_, waiting)| waiting);
        let last = last.or_else(|| self.overdue.evict());
        last.or_else(|| self.timely.evict())
    }

    /// Removes all requests whose deadline is before `limit`.
    pub fn expire(&mut self, limit: Timestamp) -> Vec<RequestId> {
        let mut expired = self.timely.expire(limit);
        expired.extend(self.overdue.expire(limit));
        let is_expired = |_: &HeldBackRank, waiting: &mut QueuedRequest| waiting.deadline < limit;
        let held_back = self.held_back.extract_if(.., is_expired);
        expired.extend(held_back.map(|(_, waiting)| waiting.request));
        expired
    }

    /// Corrects a customer's tags once the actual cost of a request, in tokens, is known.
    pub fn correct(&mut self, customer: &Customer, estimated: f64, actual: f64) {
        self.timely.correct(customer, estimated, actual);
        self.overdue.correct(customer, estimated, actual);
    }

    /// Cost in tokens queued ahead of a new request of this customer that is not late, and the
    /// fraction of the target's capacity that the customer gets while all customers wait.
    pub fn queued_ahead(&self, customer: &Customer, share: u32) -> (f64, f64) {
        self.timely.queued_ahead(customer, share)
    }

    /// Discards the state of idle customers, to bound memory.
    pub fn forget_idle(&mut self) {
        self.timely.forget_idle();
        self.overdue.forget_idle();
    }
}
