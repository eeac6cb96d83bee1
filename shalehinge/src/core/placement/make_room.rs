//! Moving a small group so that a larger one can be formed.
//!
//! A replica that lost a host may have no spare in its fabric domain, while
//! hosts are free in others, too few in each for a whole replica. Then a smaller
//! group beside its survivors is formed anew elsewhere, and retired once its
//! replacement serves: it costs loads and no downtime.

use std::collections::BTreeMap;

use crate::core::objects::{Assignment, Group, GroupPhase, HostList};
use crate::core::types::{FabricDomain, GroupNumber};

use super::host_choice::FreeHosts;

/// Hosts of each fabric domain that are free, or soon will be.
pub type FreeCounts = BTreeMap<FabricDomain, usize>;

/// Counts free hosts.
pub fn count_free(free: &FreeHosts) -> FreeCounts {
    free.iter()
        .map(|(fabric, hosts)| (fabric.clone(), hosts.len()))
        .collect()
}

/// Where a group is.
pub fn fabric_of<'a>(group: &Group, hosts: &'a HostList) -> Option<&'a FabricDomain> {
    let first = group.members.first()?;
    let host = hosts.hosts.get(&first.host)?;
    Some(&host.fabric_domain)
}

/// Whether a group of `size` hosts could be formed there without this group.
pub fn frees_enough(group: &Group, hosts: &HostList, free: &FreeCounts, size: usize) -> bool {
    let Some(fabric) = fabric_of(group, hosts) else {
        return false;
    };
    let left = free.get(fabric).copied().unwrap_or(0);
    left < size && left + group.members.len() >= size
}

/// The smallest serving group whose hosts would be enough, beside the free ones,
/// for a group of `size`, and that finds room itself in another fabric domain.
pub fn group_to_move(
    assignment: &Assignment,
    hosts: &HostList,
    free: &FreeCounts,
    size: usize,
) -> Option<(GroupNumber, FabricDomain)> {
    let candidates = assignment.groups.iter().filter(|(_, group)| {
        let is_smaller = group.members.len() < size;
        group.phase == GroupPhase::Serving && is_smaller && frees_enough(group, hosts, free, size)
    });
    candidates
        .filter_map(|(number, group)| {
            let from = fabric_of(group, hosts)?;
            let to = free
                .iter()
                .filter(|(fabric, count)| *fabric != from && **count >= group.members.len())
                .min_by_key(|(_, count)| **count)?;
            Some((group.members.len(), *number, to.0.clone()))
        })
        .min()
        .map(|(_, number, fabric)| (number, fabric))
}
