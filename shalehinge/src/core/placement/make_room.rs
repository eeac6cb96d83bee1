//! Relocation of a small group so that a larger one can be formed.
//!
//! A replica that lost a host may have no spare in its fabric domain, while each of the other
//! fabric domains has free hosts, but too few for a whole replica. In that case a smaller group
//! next to the survivors is formed again in another fabric domain, and retired once its
//! replacement serves. This costs weight loads but no downtime.

use std::collections::BTreeMap;

use crate::core::objects::{Assignment, Group, GroupPhase, HostList};
use crate::core::types::{FabricDomain, GroupNumber};

use super::host_choice::FreeHosts;

/// Number of hosts in each fabric domain that are free or about to become free.
pub type FreeCounts = BTreeMap<FabricDomain, usize>;

/// Counts the free hosts of each fabric domain.
pub fn count_free(free: &FreeHosts) -> FreeCounts {
    free.iter()
        .map(|(fabric, hosts)| (fabric.clone(), hosts.len()))
        .collect()
}

/// Fabric domain of a group. Returns `None` if the group has no members or the list does not
/// contain its first member.
pub fn fabric_of<'a>(group: &Group, hosts: &'a HostList) -> Option<&'a FabricDomain> {
    let first = group.members.first()?;
    let host = hosts.hosts.get(&first.host)?;
    Some(&host.fabric_domain)
}

/// Whether a group of `size` hosts fits into this group's fabric domain only once this group is
/// removed.
pub fn would_free_enough(group: &Group, hosts: &HostList, free: &FreeCounts, size: usize) -> bool {
    let Some(fabric) = fabric_of(group, hosts) else {
        return false;
    };
    let available = free.get(fabric).copied().unwrap_or(0);
    available < size && available + group.members.len() >= size
}

/// The smallest serving group whose removal would free enough hosts for a group of `size`, and
/// that itself fits into another fabric domain. Returns the group and its destination.
pub fn group_to_move(
    assignment: &Assignment,
    hosts: &HostList,
    free: &FreeCounts,
    size: usize,
) -> Option<(GroupNumber, FabricDomain)> {
    let candidates = assignment.groups.iter().filter(|(_, group)| {
        let is_smaller = group.size() < size;
        group.phase == GroupPhase::Serving
            && is_smaller
            && would_free_enough(group, hosts, free, size)
    });
    candidates
        .filter_map(|(number, group)| {
            let origin = fabric_of(group, hosts)?;
            let destination = free
                .iter()
                .filter(|(fabric, count)| *fabric != origin && **count >= group.size())
                .min_by_key(|(_, count)| **count)?;
            Some((group.size(), *number, destination.0.clone()))
        })
        .min()
        .map(|(_, number, fabric)| (number, fabric))
}
