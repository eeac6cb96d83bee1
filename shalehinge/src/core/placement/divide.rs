//! Division of a model's replicas over the failure domains.
//!
//! Replicas are spread evenly, so that a lost failure domain costs as few as
//! possible, as far as each domain has room for whole groups.

use std::collections::BTreeMap;

use crate::core::objects::{FleetConfig, HostList, HostState};
use crate::core::types::{FabricDomain, FailureDomain, ModelName};

/// Groups of `size` hosts that each failure domain has room for, beside the
/// other models' intents.
pub fn room(
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
    let mut room = BTreeMap::new();
    for ((domain, _), count) in by_fabric {
        *room.entry(domain.clone()).or_insert(0) += (count / size.max(1)) as u32;
    }
    for (other, intent) in &fleet.models {
        if other == model {
            continue;
        }
        for (domain, replicas) in &intent.replicas {
            let taken = replicas * intent.hosts_per_replica / size.max(1) as u32;
            if let Some(left) = room.get_mut(domain) {
                *left = u32::saturating_sub(*left, taken);
            }
        }
    }
    room
}

/// Divides `total` replicas; what finds no room is divided evenly all the same,
/// so that it is formed when hosts come.
pub fn divide(total: u32, room: &BTreeMap<FailureDomain, u32>) -> BTreeMap<FailureDomain, u32> {
    let mut division: BTreeMap<FailureDomain, u32> =
        room.keys().map(|domain| (domain.clone(), 0)).collect();
    for _ in 0..total {
        let next = division
            .iter()
            .min_by_key(|(domain, count)| (**count >= room[*domain], **count, *domain))
            .map(|(domain, _)| domain.clone());
        let Some(domain) = next else {
            break;
        };
        *division.entry(domain).or_default() += 1;
    }
    division
}
