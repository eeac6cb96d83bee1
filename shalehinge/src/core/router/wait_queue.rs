//! The waiting requests of one target, in two classes.
//!
//! A request whose first output can still come by its aim goes before one that is late
//! already: under overload, first come first served would make every request late, while
//! this way those that find room are on time. Late ones are served with what capacity is
//! left. Each class is fair between customers ([`FairQueue`]).

use std::time::Duration;

use crate::core::types::{Customer, RequestId, Timestamp};

use super::queue::{FairQueue, Waiting};

/// The two classes.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    timely: FairQueue,
    overdue: FairQueue,
}

impl WaitQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.timely.len() + self.overdue.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request of a customer with this share.
    pub fn push(&mut self, customer: &Customer, share: u32, waiting: Waiting) {
        self.timely.push(customer, share, waiting);
    }

    /// The next request without taking it. Those that became late step back first, and
    /// wait for `max_wait` more at most.
    pub fn peek(&mut self, now: Timestamp, max_wait: Duration) -> Option<&Waiting> {
        while let Some((customer, share, mut waiting)) = self.timely.take_overdue(now) {
            waiting.deadline = waiting.deadline.min(now + max_wait);
            self.overdue.push(&customer, share, waiting);
        }
        self.timely.peek().or_else(|| self.overdue.peek())
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<Waiting> {
        self.timely.pop().or_else(|| self.overdue.pop())
    }

    /// Takes out one request, wherever it stands.
    pub fn remove(&mut self, customer: &Customer, request: RequestId) -> Option<Waiting> {
        let timely = self.timely.remove(customer, request);
        timely.or_else(|| self.overdue.remove(customer, request))
    }

    /// Takes out one request: a late one if there is any, of the customer that waits with
    /// most above its share.
    pub fn evict(&mut self) -> Option<Waiting> {
        self.overdue.evict().or_else(|| self.timely.evict())
    }

    /// Takes out all requests whose deadline is before `limit`.
    pub fn expire(&mut self, limit: Timestamp) -> Vec<RequestId> {
        let mut expired = self.timely.expire(limit);
        expired.extend(self.overdue.expire(limit));
        expired
    }

    /// Corrects a customer's tags once the true cost of a request is known.
    pub fn correct(&mut self, customer: &Customer, estimated: f64, actual: f64) {
        self.timely.correct(customer, estimated, actual);
        self.overdue.correct(customer, estimated, actual);
    }

    /// Cost that waits before a new request of this customer, which is not late, and the
    /// part of the target's capacity that the customer gets while all wait.
    pub fn ahead(&self, customer: &Customer, share: u32) -> (f64, f64) {
        self.timely.ahead(customer, share)
    }

    /// Forgets customers that have not waited for long, to bound memory.
    pub fn forget_idle(&mut self) {
        self.timely.forget_idle();
        self.overdue.forget_idle();
    }
}
