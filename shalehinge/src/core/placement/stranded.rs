//! Stranded accelerators: idle accelerators that cannot be part of a complete group.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::objects::{Assignment, FleetConfig, HostList, HostState, ModelIntent};
use crate::core::types::{FabricDomain, FailureDomain, ModelName};

/// Number of hosts, out of `free`, that remain unused by any combination of groups of these
/// sizes.
pub fn stranded_hosts(free: usize, sizes: &BTreeSet<usize>) -> usize {
    let mut reachable = vec![false; free + 1];
    reachable[0] = true;
    for used in 1..=free {
        reachable[used] = sizes
            .iter()
            .any(|size| *size > 0 && *size <= used && reachable[used - size]);
    }
    let most_used = (0..=free).rev().find(|used| reachable[*used]).unwrap_or(0);
    free - most_used
}

/// Sizes of the groups that the intents ask for, in hosts.
pub fn group_sizes(fleet: &FleetConfig) -> BTreeSet<usize> {
    fleet
        .models
        .values()
        .map(|model| model.hosts_per_replica as usize)
        .collect()
}

/// Sizes, in hosts, of the groups that are wanted in a failure domain but do not exist.
fn missing_sizes(
    fleet: &FleetConfig,
    domain: &FailureDomain,
    assignment: &Assignment,
) -> BTreeSet<usize> {
    let is_missing = |model: &ModelName, intent: &ModelIntent| {
        let wanted = intent.replicas.get(domain).copied().unwrap_or(0);
        let groups = assignment.groups.values();
        let standing = groups.filter(|group| group.model == *model);
        standing.count() < wanted as usize
    };
    fleet
        .models
        .iter()
        .filter(|(model, intent)| is_missing(model, intent))
        .map(|(_, intent)| intent.hosts_per_replica as usize)
        .collect()
}

/// Number of stranded accelerators in a failure domain.
///
/// While replicas are missing, these are the idle accelerators that cannot be used for any of the
/// missing replicas; otherwise those that no group of any wanted size could use. Accelerators of
/// leaving hosts are not counted, because the platform takes them back.
pub fn stranded_accelerators(
    hosts: &HostList,
    fleet: &FleetConfig,
    domain: &FailureDomain,
    assignment: &Assignment,
) -> u32 {
    let used = assignment.used_hosts();
    let mut free: BTreeMap<&FabricDomain, Vec<u32>> = BTreeMap::new();
    for (id, host) in &hosts.hosts {
        let idle = host.failure_domain == *domain
            && host.state == HostState::Live
            && !fleet.draining.contains(id)
            && !used.contains(id);
        if idle {
            free.entry(&host.fabric_domain)
                .or_default()
                .push(host.accelerators);
        }
    }
    let missing = missing_sizes(fleet, domain, assignment);
    let sizes = if missing.is_empty() {
        group_sizes(fleet)
    } else {
        missing
    };
    free.values_mut()
        .map(|accelerators| {
            let stranded = stranded_hosts(accelerators.len(), &sizes);
            accelerators.sort_unstable();
            accelerators.iter().take(stranded).copied()
        })
        .fold(0, |total: u32, accelerators| {
            accelerators.fold(total, u32::saturating_add)
        })
}
