//! Return of borrowed hosts between customers.
//!
//! Hosts that a customer does not use are lent to other customers. When a customer below its
//! share is missing a replica and no hosts are free, a customer above its share gives up a group.

use std::collections::BTreeMap;

use crate::core::objects::{Assignment, FleetConfig, GroupPhase};
use crate::core::types::{Customer, GroupNumber, ModelName};

/// Host usage and entitlement of one customer in one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Number of hosts in groups of its models.
    pub used: usize,
    /// Number of hosts that its share entitles it to.
    pub entitled: f64,
}

/// Usage of each customer that owns models; `host_count` is the number of hosts that are divided.
pub fn usage(
    fleet: &FleetConfig,
    assignment: &Assignment,
    host_count: usize,
) -> BTreeMap<Customer, Usage> {
    let mut usage: BTreeMap<Customer, Usage> = BTreeMap::new();
    for model in fleet.models.values() {
        usage.entry(model.owner.clone()).or_default();
    }
    for group in assignment.groups.values() {
        let Some(model) = fleet.models.get(&group.model) else {
            continue;
        };
        if group.phase != GroupPhase::Retiring {
            usage.entry(model.owner.clone()).or_default().used += group.size();
        }
    }
    let share_of = |customer: &Customer| {
        let share = fleet.customers.get(customer).map_or(1, |c| c.share);
        f64::from(share)
    };
    let total: f64 = usage.keys().map(share_of).sum();
    for (customer, entry) in &mut usage {
        entry.entitled = host_count as f64 * share_of(customer) / total;
    }
    usage
}

/// The group that should be dissolved for the model `requesting`, and the customer that gets its
/// hosts. Returns `None` if the owner of `requesting` would exceed its share, or if no other
/// customer can lose a group and stay at or above its own.
pub fn group_to_yield(
    fleet: &FleetConfig,
    assignment: &Assignment,
    host_count: usize,
    requesting: &ModelName,
) -> Option<(GroupNumber, Customer)> {
    let intent = fleet.models.get(requesting)?;
    let size = intent.hosts_per_replica as usize;
    let usage = usage(fleet, assignment, host_count);
    let recipient = usage.get(&intent.owner)?;
    if (recipient.used + size) as f64 > recipient.entitled {
        return None;
    }
    let excess_of = |number: &GroupNumber| -> Option<f64> {
        let group = &assignment.groups[number];
        let owner = &fleet.models.get(&group.model)?.owner;
        let owner_usage = usage.get(owner)?;
        let size_fits = group.members.len() >= size;
        let remaining = owner_usage.used.checked_sub(group.size())?;
        let keeps_share = remaining as f64 >= owner_usage.entitled;
        let may_yield = group.phase == GroupPhase::Serving && *owner != intent.owner;
        (may_yield && size_fits && keeps_share)
            .then_some(owner_usage.used as f64 - owner_usage.entitled)
    };
    assignment
        .groups
        .keys()
        .filter_map(|number| excess_of(number).map(|excess| (excess, *number)))
        .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)))
        .map(|(_, number)| (number, intent.owner.clone()))
}
