//! The queue of one target, fair between customers by share.
//!
//! Implements start-time fair queueing: each customer has a tag that advances by cost over share
//! with every request dequeued, and the customer with the lowest tag is next. A customer that was
//! idle starts at the current virtual time, so its unused share goes to others and cannot be
//! saved up. Within a customer, the highest priority goes first, then the earliest deadline.

use std::collections::BTreeMap;

use crate::core::types::{Customer, RequestId, Timestamp};

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// The request.
    pub request: RequestId,
    /// Estimated cost in tokens.
    pub cost: f64,
    /// Higher values go first.
    pub priority: u8,
    /// Latest time at which the request is still queued; earlier ones go first.
    pub deadline: Timestamp,
    /// Latest time to send the request for its first output to arrive within its target time, if
    /// it has one.
    pub start_by: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: std::cmp::Reverse<u8>,
    deadline: Timestamp,
    request: RequestId,
}

impl Waiting {
    fn rank(&self) -> Rank {
        Rank {
            priority: std::cmp::Reverse(self.priority),
            deadline: self.deadline,
            request: self.request,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Line {
    tag: f64,
    share: f64,
    cost: f64,
    waiting: BTreeMap<Rank, Waiting>,
}

/// A queue that is fair between customers.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    virtual_time: f64,
    lines: BTreeMap<Customer, Line>,
    len: usize,
}

impl FairQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request of a customer with this share.
    pub fn push(&mut self, customer: &Customer, share: u32, waiting: Waiting) {
        let virtual_time = self.virtual_time;
        let line = self.lines.entry(customer.clone()).or_default();
        if line.waiting.is_empty() {
            line.tag = line.tag.max(virtual_time);
        }
        line.share = f64::from(share.max(1));
        line.cost += waiting.cost;
        line.waiting.insert(waiting.rank(), waiting);
        self.len += 1;
    }

    /// Returns the next request without removing it.
    pub fn peek(&self) -> Option<&Waiting> {
        let (_, line) = self.next_line()?;
        line.waiting.values().next()
    }

    /// Removes the next request if it can no longer meet its target time, and returns it with its
    /// customer and the customer's share. The customer is not charged for it.
    pub fn take_overdue(&mut self, now: Timestamp) -> Option<(Customer, u32, Waiting)> {
        let (customer, line) = self.next_line()?;
        let waiting = line.waiting.values().next()?;
        if waiting.start_by.is_none_or(|start_by| now <= start_by) {
            return None;
        }
        let (customer, share) = (customer.clone(), line.share as u32);
        let request = waiting.request;
        let waiting = self.remove(&customer, request)?;
        Some((customer, share, waiting))
    }

    fn next_line(&self) -> Option<(&Customer, &Line)> {
        self.lines
            .iter()
            .filter(|(_, line)| !line.waiting.is_empty())
            .min_by(|a, b| a.1.tag.total_cmp(&b.1.tag))
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<Waiting> {
        let customer = self.next_line()?.0.clone();
        let line = self.lines.get_mut(&customer)?;
        let (_, waiting) = line.waiting.pop_first()?;
        self.virtual_time = line.tag;
        line.tag += waiting.cost / line.share;
        line.cost -= waiting.cost;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes a request at any position.
    pub fn remove(&mut self, customer: &Customer, request: RequestId) -> Option<Waiting> {
        let line = self.lines.get_mut(customer)?;
        let rank = line
            .waiting
            .iter()
            .find(|(rank, _)| rank.request == request)
            .map(|(rank, _)| *rank)?;
        let waiting = line.waiting.remove(&rank)?;
        line.cost -= waiting.cost;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes the last request of the customer with the highest queued cost relative to its
    /// share.
    pub fn evict(&mut self) -> Option<Waiting> {
        let line = self
            .lines
            .values_mut()
            .filter(|line| !line.waiting.is_empty())
            .max_by(|a, b| (a.cost / a.share).total_cmp(&(b.cost / b.share)))?;
        let (_, waiting) = line.waiting.pop_last()?;
        line.cost -= waiting.cost;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes all requests whose deadline is before `limit`.
    pub fn expire(&mut self, limit: Timestamp) -> Vec<RequestId> {
        let mut expired = Vec::new();
        for line in self.lines.values_mut() {
            let late: Vec<Rank> = line
                .waiting
                .keys()
                .filter(|rank| rank.deadline < limit)
                .copied()
                .collect();
            for rank in late {
                if let Some(waiting) = line.waiting.remove(&rank) {
                    line.cost -= waiting.cost;
                    self.len -= 1;
                    expired.push(waiting.request);
                }
            }
        }
        expired
    }

    /// Corrects a customer's tag once the actual cost of a request, in tokens, is known.
    pub fn correct(&mut self, customer: &Customer, estimated: f64, actual: f64) {
        if let Some(line) = self.lines.get_mut(customer) {
            line.tag += (actual - estimated) / line.share.max(1.0);
        }
    }

    /// Cost in tokens queued ahead of a new request of this customer, and the fraction of the
    /// target's capacity that the customer gets while all customers wait.
    pub fn ahead(&self, customer: &Customer, share: u32) -> (f64, f64) {
        let share = f64::from(share.max(1));
        let others: f64 = self
            .lines
            .iter()
            .filter(|(other, line)| *other != customer && !line.waiting.is_empty())
            .map(|(_, line)| line.share)
            .sum();
        let cost = self.lines.get(customer).map_or(0.0, |line| line.cost);
        (cost, share / (share + others))
    }

    /// Discards the state of customers without queued requests whose tag is not ahead of the
    /// virtual time, to bound memory.
    pub fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.lines
            .retain(|_, line| !line.waiting.is_empty() || line.tag > virtual_time);
    }
}
