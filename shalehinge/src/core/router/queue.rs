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
pub struct QueuedRequest {
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

impl QueuedRequest {
    fn rank(&self) -> Rank {
        Rank {
            priority: std::cmp::Reverse(self.priority),
            deadline: self.deadline,
            request: self.request,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    /// Virtual time of the next request; see the module documentation.
    tag: f64,
    /// Share of the customer, at least 1.
    share: f64,
    /// Total cost of the queued requests, in tokens.
    cost: f64,
    /// The queued requests, in the order in which they are sent.
    requests: BTreeMap<Rank, QueuedRequest>,
}

/// A queue that is fair between customers.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    /// Tag of the customer whose request was dequeued last, before it advanced.
    virtual_time: f64,
    /// Queue of each customer.
    customers: BTreeMap<Customer, CustomerQueue>,
    /// Number of queued requests of all customers.
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
    pub fn push(&mut self, customer: &Customer, share: u32, waiting: QueuedRequest) {
        let virtual_time = self.virtual_time;
        let customer_queue = self.customers.entry(customer.clone()).or_default();
        if customer_queue.requests.is_empty() {
            customer_queue.tag = customer_queue.tag.max(virtual_time);
        }
        customer_queue.share = f64::from(share.max(1));
        customer_queue.cost += waiting.cost;
        customer_queue.requests.insert(waiting.rank(), waiting);
        self.len += 1;
    }

    /// Returns the next request without removing it.
    pub fn peek(&self) -> Option<&QueuedRequest> {
        let (_, customer_queue) = self.next_customer()?;
        customer_queue.requests.values().next()
    }

    /// Removes the next request if it can no longer meet its target time, and returns it with its
    /// customer and the customer's share. The customer is not charged for it.
    pub fn take_overdue(&mut self, now: Timestamp) -> Option<(Customer, u32, QueuedRequest)> {
        let (customer, customer_queue) = self.next_customer()?;
        let waiting = customer_queue.requests.values().next()?;
        if waiting.start_by.is_none_or(|start_by| now <= start_by) {
            return None;
        }
        let (customer, share) = (customer.clone(), customer_queue.share as u32);
        let request = waiting.request;
        let waiting = self.remove(&customer, request)?;
        Some((customer, share, waiting))
    }

    fn next_customer(&self) -> Option<(&Customer, &CustomerQueue)> {
        self.customers
            .iter()
            .filter(|(_, customer_queue)| !customer_queue.requests.is_empty())
            .min_by(|a, b| a.1.tag.total_cmp(&b.1.tag))
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let customer = self.next_customer()?.0.clone();
        let customer_queue = self.customers.get_mut(&customer)?;
        let (_, waiting) = customer_queue.requests.pop_first()?;
        self.virtual_time = customer_queue.tag;
        customer_queue.tag += waiting.cost / customer_queue.share;
        customer_queue.cost -= waiting.cost;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes a request at any position.
    pub fn remove(&mut self, customer: &Customer, request: RequestId) -> Option<QueuedRequest> {
        let customer_queue = self.customers.get_mut(customer)?;
        let rank = customer_queue
            .requests
            .iter()
            .find(|(rank, _)| rank.request == request)
            .map(|(rank, _)| *rank)?;
        let waiting = customer_queue.requests.remove(&rank)?;
        customer_queue.cost -= waiting.cost;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes the last request of the customer with the highest queued cost relative to its
    /// share.
    pub fn evict(&mut self) -> Option<QueuedRequest> {
        let customer_queue = self
            .customers
            .values_mut()
            .filter(|customer_queue| !customer_queue.requests.is_empty())
            .max_by(|a, b| (a.cost / a.share).total_cmp(&(b.cost / b.share)))?;
        let (_, waiting) = customer_queue.requests.pop_last()?;
        customer_queue.cost -= waiting.cost;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes all requests whose deadline is before `limit`.
    pub fn expire(&mut self, limit: Timestamp) -> Vec<RequestId> {
        let mut expired = Vec::new();
        for customer_queue in self.customers.values_mut() {
            let late: Vec<Rank> = customer_queue
                .requests
                .keys()
                .filter(|rank| rank.deadline < limit)
                .copied()
                .collect();
            for rank in late {
                if let Some(waiting) = customer_queue.requests.remove(&rank) {
                    customer_queue.cost -= waiting.cost;
                    self.len -= 1;
                    expired.push(waiting.request);
                }
            }
        }
        expired
    }

    /// Corrects a customer's tag once the actual cost of a request, in tokens, is known.
    pub fn correct(&mut self, customer: &Customer, estimated: f64, actual: f64) {
        if let Some(customer_queue) = self.customers.get_mut(customer) {
            customer_queue.tag += (actual - estimated) / customer_queue.share.max(1.0);
        }
    }

    /// Cost in tokens queued ahead of a new request of this customer, and the fraction of the
    /// target's capacity that the customer gets while all customers wait.
    pub fn queued_ahead(&self, customer: &Customer, share: u32) -> (f64, f64) {
        let share = f64::from(share.max(1));
        let others: f64 = self
            .customers
            .iter()
            .filter(|(other, customer_queue)| {
                *other != customer && !customer_queue.requests.is_empty()
            })
            .map(|(_, customer_queue)| customer_queue.share)
            .sum();
        let cost = self
            .customers
            .get(customer)
            .map_or(0.0, |customer_queue| customer_queue.cost);
        (cost, share / (share + others))
    }

    /// Discards the state of customers without queued requests whose tag is not ahead of the
    /// virtual time, to bound memory.
    pub fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.customers.retain(|_, customer_queue| {
            !customer_queue.requests.is_empty() || customer_queue.tag > virtual_time
        });
    }
}
