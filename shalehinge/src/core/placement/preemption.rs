//! Preemption of groups of a well-supplied model for a model with a larger shortage.
//!
//! When a large replica loses a host, too few survivors, or too few hosts with its weights, may
//! remain for a new replica, while small groups run in the same fabric domain. If the large model
//! has a smaller fraction of the replicas it needs than the small model would still have, a small
//! group is retired. This improves the worse-supplied model, and is faster than loading weights.

use std::collections::BTreeMap;

use crate::core::objects::{Group, GroupPhase};
use crate::core::types::{FabricDomain, GroupNumber, HostId, ModelName};

use super::make_room::{FreeCounts, fabric_of, would_free_enough};
use super::planner::PlacementContext;

/// Fraction of the model's required replicas that exist, if `added` were added to them.
fn supplied_fraction(context: &PlacementContext<'_>, model: &ModelName, added: i64) -> f64 {
    let groups = context.assignment.groups.iter();
    let existing = groups.filter(|(number, group)| {
        let is_lost = context.lost.contains_key(number);
        group.model == *model && group.phase != GroupPhase::Retiring && !is_lost
    });
    (existing.count() as i64 + added) as f64 / context.required_replicas(model)
}

/// Whether a host holds weights of a model, of any version.
pub fn holds_weights(context: &PlacementContext<'_>, host: &HostId, model: &ModelName) -> bool {
    let held = context.held.get(host);
    held.is_some_and(|held| held.iter().any(|(known, _)| known == model))
}

/// The smallest serving group whose hosts, together with the free hosts of its fabric domain,
/// suffice for a group of `size` without loading weights, and whose model stays better supplied
/// than `model` even without it. `free` counts the hosts that hold the weights of `model`.
pub fn group_to_preempt(
    context: &PlacementContext<'_>,
    free: &FreeCounts,
    model: &ModelName,
    size: usize,
) -> Option<GroupNumber> {
    let own_fraction = supplied_fraction(context, model, 0);
    let may_preempt = |group: &Group| {
        group.phase == GroupPhase::Serving
            && group.model != *model
            && group.size() < size
            && supplied_fraction(context, &group.model, -1) > own_fraction
            && group
                .members
                .iter()
                .all(|member| holds_weights(context, &member.host, model))
            && would_free_enough(group, context.hosts, free, size)
    };
    let groups = context.assignment.groups.iter();
    let mut candidates = groups
        .filter(|(number, group)| !context.lost.contains_key(number) && may_preempt(group))
        .map(|(number, group)| (group.size(), *number))
        .collect::<Vec<_>>();
    candidates.sort_unstable();
    candidates.first().map(|(_, number)| *number)
}

/// A fabric domain in which a group of `size` can be formed without loading weights once the
/// retiring groups have left. Its free hosts must not be used for other groups meanwhile. `free`
/// counts the hosts that hold the weights of `model`.
pub fn fabric_to_reserve(
    context: &PlacementContext<'_>,
    free: &FreeCounts,
    model: &ModelName,
    size: usize,
) -> Option<FabricDomain> {
    let mut releasing: BTreeMap<&FabricDomain, usize> = BTreeMap::new();
    for group in context.assignment.groups.values() {
        if group.phase != GroupPhase::Retiring {
            continue;
        }
        let members = group.members.iter();
        let holding = members.filter(|member| holds_weights(context, &member.host, model));
        if let Some(fabric) = fabric_of(group, context.hosts) {
            *releasing.entry(fabric).or_default() += holding.count();
        }
    }
    let fabric = releasing.into_iter().find(|(fabric, count)| {
        let available = free.get(*fabric).copied().unwrap_or(0);
        available < size && available + count >= size
    });
    fabric.map(|(fabric, _)| fabric.clone())
}
