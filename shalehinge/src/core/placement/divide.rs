//! Distribution of a model's replicas over the failure domains.
//!
//! Replicas are spread as evenly as the capacity for whole groups in each failure domain allows,
//! so that the loss of a failure domain costs as few replicas as possible.

use std::collections::BTreeMap;

use crate::core::objects::{FleetConfig, HostList, HostState};
use crate::core::types::{FabricDomain, FailureDomain, ModelName};

/// Number of groups of `size` hosts that fit into each failure domain, after subtracting the
/// hosts wanted by the other models' intents.
pub fn capacity(
    hosts: &HostList,
    fleet: &FleetConfig,
    model: &ModelName,
    size: usize,
) -> BTreeMap<FailureDomain, u32> {
    let mut by_fabric: BTreeMap<(&FailureDomain, &FabricDomain), usize> = BTreeMap::new();
    for (id, host) in &hosts.hosts {
        if host.state == HostState::Live && !fleet.draining.contains(id) {
            *by_fabric
                .entry((&host.failure_domain, &host.fabric_domain))
                .or_default() += 1;
        }
    }
    let mut capacity = BTreeMap::new();
    for ((domain, _), count) in by_fabric {
        *capacity.entry(domain.clone()).or_insert(0) += (count / size.max(1)) as u32;
    }
    for (other, intent) in &fleet.models {
        if other == model {
            continue;
        }
        for (domain, replicas) in &intent.replicas {
            let hosts = replicas.saturating_mul(intent.hosts_per_replica);
            let used = hosts / u32::try_from(size.max(1)).unwrap_or(u32::MAX);
            if let Some(remaining) = capacity.get_mut(domain) {
                *remaining = u32::saturating_sub(*remaining, used);
            }
        }
    }
    capacity
}

/// Distributes `total` replicas over the failure domains. Replicas beyond the available capacity
/// are distributed evenly as well, so that they are formed once hosts are added.
pub fn divide(total: u32, capacity: &BTreeMap<FailureDomain, u32>) -> BTreeMap<FailureDomain, u32> {
    let mut division: BTreeMap<FailureDomain, u32> =
        capacity.keys().map(|domain| (domain.clone(), 0)).collect();
    for _ in 0..total {
        let target = division
            .iter()
            .min_by_key(|(domain, count)| (**count >= capacity[*domain], **count, *domain))
            .map(|(domain, _)| domain.clone());
        let Some(domain) = target else {
            break;
        };
        *division.entry(domain).or_default() += 1;
    }
    division
}
