//! The queued requests of one target, in two classes.
//!
//! Requests that can still meet their target time for first output go before those that are
//! already late. Under overload, first-come-first-served order would make every request late,
//! while with two classes the requests that are served are on time. Late requests are served with
//! the remaining capacity. Each class is fair between customers ([`FairQueue`]).

use std::time::Duration;

use crate::core::types::{Customer, RequestId, Timestamp};

use super::queue::{FairQueue, QueuedRequest};

/// A queue with two classes.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    /// Requests that can still meet their target time, or have none.
    timely: FairQueue,
    /// Requests that can no longer meet their target time.
    overdue: FairQueue,
}

impl WaitQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.timely.len() + self.overdue.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request of a customer with this share.
    pub fn push(&mut self, customer: &Customer, share: u32, waiting: QueuedRequest) {
        self.timely.push(customer, share, waiting);
    }

    /// Returns the next request without removing it. Requests that have become late are first
    /// moved to the second class, where they wait for at most `max_wait`.
    pub fn peek(&mut self, now: Timestamp, max_wait: Duration) -> Option<&QueuedRequest> {
        while let Some((customer, share, mut waiting)) = self.timely.take_overdue(now) {
            waiting.deadline = waiting.deadline.min(now + max_wait);
            self.overdue.push(&customer, share, waiting);
        }
        self.timely.peek().or_else(|| self.overdue.peek())
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        self.timely.pop().or_else(|| self.overdue.pop())
    }

    /// Removes a request at any position.
    pub fn remove(&mut self, customer: &Customer, request: RequestId) -> Option<QueuedRequest> {
        let timely = self.timely.remove(customer, request);
        timely.or_else(|| self.overdue.remove(customer, request))
    }

    /// Removes a request of the customer with the highest queued cost relative to its share, from
    /// the late class if that has any.
    pub fn evict(&mut self) -> Option<QueuedRequest> {
        self.overdue.evict().or_else(|| self.timely.evict())
    }

    /// Removes all requests whose deadline is before `limit`.
    pub fn expire(&mut self, limit: Timestamp) -> Vec<RequestId> {
        let mut expired = self.timely.expire(limit);
        expired.extend(self.overdue.expire(limit));
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
