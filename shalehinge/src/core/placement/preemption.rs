//! Preemption of groups of a well-served model for one that lacks more.
//!
//! A large replica that lost a host may leave survivors that are too few for another
//! one, or too few that hold its weights, while small groups stand beside them. Where
//! the large model has less of what it should have than the small one would still have,
//! a small group is retired: the worse served of the two is then served better, and
//! sooner than by a load of weights.

use std::collections::BTreeMap;

use crate::core::objects::{Group, GroupPhase};
use crate::core::types::{FabricDomain, GroupNumber, HostId, ModelName};

use super::make_room::{FreeCounts, fabric_of, frees_enough};
use super::planner::PlacementContext;

/// Part of the needed replicas of a model that stands, with `more` of them.
fn standing_part(context: &PlacementContext<'_>, model: &ModelName, more: i64) -> f64 {
    let groups = context.assignment.groups.iter();
    let standing = groups.filter(|(number, group)| {
        let is_lost = context.lost.contains_key(number);
        group.model == *model && group.phase != GroupPhase::Retiring && !is_lost
    });
    (standing.count() as i64 + more) as f64 / context.replicas_needed(model)
}

/// Whether a host holds the weights of a model, of any version.
pub fn holds(context: &PlacementContext<'_>, host: &HostId, model: &ModelName) -> bool {
    let held = context.held.get(host);
    held.is_some_and(|held| held.iter().any(|(known, _)| known == model))
}

/// The group whose hosts, beside the free ones of its fabric domain, are enough for a
/// group of `size` without a load, and whose model is still served better without it
/// than `model` is. `free` counts hosts that hold the weights of `model`.
pub fn group_to_preempt(
    context: &PlacementContext<'_>,
    free: &FreeCounts,
    model: &ModelName,
    size: usize,
) -> Option<GroupNumber> {
    let own_part = standing_part(context, model, 0);
    let may_give = |group: &Group| {
        group.phase == GroupPhase::Serving
            && group.model != *model
            && group.members.len() < size
            && standing_part(context, &group.model, -1) > own_part
            && group
                .members
                .iter()
                .all(|member| holds(context, &member.host, model))
            && frees_enough(group, context.hosts, free, size)
    };
    let groups = context.assignment.groups.iter();
    let mut givers = groups
        .filter(|(number, group)| !context.lost.contains_key(number) && may_give(group))
        .map(|(number, group)| (group.members.len(), *number))
        .collect::<Vec<_>>();
    givers.sort_unstable();
    givers.first().map(|(_, number)| *number)
}

/// A fabric domain where a group of `size` can be formed without a load once those that
/// retire have left: its free hosts must not be used up meanwhile. `free` counts hosts
/// that hold the weights of `model`.
pub fn fabric_to_keep(
    context: &PlacementContext<'_>,
    free: &FreeCounts,
    model: &ModelName,
    size: usize,
) -> Option<FabricDomain> {
    let mut coming: BTreeMap<&FabricDomain, usize> = BTreeMap::new();
    for group in context.assignment.groups.values() {
        if group.phase != GroupPhase::Retiring {
            continue;
        }
        let members = group.members.iter();
        let holding = members.filter(|member| holds(context, &member.host, model));
        if let Some(fabric) = fabric_of(group, context.hosts) {
            *coming.entry(fabric).or_default() += holding.count();
        }
    }
    let fabric = coming.into_iter().find(|(fabric, count)| {
        let left = free.get(*fabric).copied().unwrap_or(0);
        left < size && left + count >= size
    });
    fabric.map(|(fabric, _)| fabric.clone())
}
