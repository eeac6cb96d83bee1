//! Preview of the planner's steps, assuming that nothing fails meanwhile.
//!
//! Simulates the planner on a copy of the assignment and assumes that each step succeeds. The
//! lease holder runs the same planner, so the preview shows the operator the steps that it will
//! take.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::objects::{Assignment, FleetConfig, GroupPhase, HostList};
use crate::core::types::{FailureDomain, ModelName};

use super::PlacementStep;
use super::host_choice::HostChoice;
use super::planner::{HeldWeights, PlacementContext, next_steps};
use super::replica_demand::UNKNOWN_DEMAND;
use super::stranded::stranded_accelerators;

/// Maximum number of simulated rounds, whether or not the result is stable by then.
const MAX_ROUNDS: usize = 2_000;

/// Cost and result of a sequence of steps in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effects {
    /// Steps in execution order.
    pub steps: Vec<PlacementStep>,
    /// Sum over all rounds of the replicas that are wanted but not serving. Each counts as one
    /// replica that is down for about the duration of one load.
    pub downtime_loads: u32,
    /// Number of loads from the weight store.
    pub loads: u32,
    /// Number of stranded accelerators before the steps.
    pub stranded_before: u32,
    /// Number of stranded accelerators after the steps.
    pub stranded_after: u32,
    /// Number of wanted replicas that are still missing at the end, by model.
    pub missing: BTreeMap<ModelName, u32>,
}

/// Simulates the steps for one failure domain, starting from `assignment`.
pub fn preview(
    domain: &FailureDomain,
    fleet: &FleetConfig,
    hosts: &HostList,
    assignment: &Assignment,
) -> Effects {
    let mut future = assignment.clone();
    let mut effects = Effects {
        stranded_before: stranded_accelerators(hosts, fleet, domain, assignment),
        ..Effects::default()
    };
    let held = weights_of_groups(assignment);
    let max_forming = if fleet.evacuated.contains(domain) {
        0
    } else {
        usize::MAX
    };
    for _ in 0..MAX_ROUNDS {
        let context = PlacementContext {
            domain,
            fleet,
            hosts,
            assignment: &future,
            unreachable: &BTreeSet::new(),
            lost: &BTreeMap::new(),
            held: &held,
            choice: HostChoice::default(),
            max_forming,
            max_loads: usize::MAX,
            keep_surplus: false,
            replica_demand: &UNKNOWN_DEMAND,
        };
        let steps = next_steps(&context);
        if steps.is_empty() {
            break;
        }
        for step in &steps {
            apply_step(&mut future, step);
        }
        let loads = steps.iter().map(loads_of);
        effects.loads = loads.fold(effects.loads, u32::saturating_add);
        let missing = missing(domain, fleet, &future).into_values();
        effects.downtime_loads = missing.fold(effects.downtime_loads, u32::saturating_add);
        effects.steps.extend(steps);
        finish_changes(&mut future);
    }
    effects.stranded_after = stranded_accelerators(hosts, fleet, domain, &future);
    effects.missing = missing(domain, fleet, &future);
    effects
}

fn weights_of_groups(assignment: &Assignment) -> HeldWeights {
    let mut held = HeldWeights::new();
    for group in assignment.groups.values() {
        for member in &group.members {
            let weights = (group.model.clone(), group.version.clone());
            held.insert(member.host.clone(), vec![weights]);
        }
    }
    held
}

fn loads_of(step: &PlacementStep) -> u32 {
    match step {
        PlacementStep::Form { loads, .. } => *loads,
        PlacementStep::Retire { .. } | PlacementStep::Dissolve { .. } => 0,
    }
}

/// Number of replicas that are wanted but not serving, by model.
fn missing(
    domain: &FailureDomain,
    fleet: &FleetConfig,
    assignment: &Assignment,
) -> BTreeMap<ModelName, u32> {
    let mut missing = BTreeMap::new();
    for (model, intent) in &fleet.models {
        let wanted = intent.replicas.get(domain).copied().unwrap_or(0);
        let serving = assignment
            .groups
            .values()
            .filter(|group| group.model == *model && group.phase == GroupPhase::Serving)
            .count() as u32;
        if serving < wanted {
            missing.insert(model.clone(), wanted - serving);
        }
    }
    missing
}

/// Applies a step to an assignment.
pub fn apply_step(assignment: &mut Assignment, step: &PlacementStep) {
    match step {
        PlacementStep::Form {
            model,
            version,
            members,
            ..
        } => {
            assignment.add_group(model.clone(), version.clone(), members.clone());
        }
        PlacementStep::Retire { group, .. } => {
            if let Some(group) = assignment.groups.get_mut(group) {
                group.phase = GroupPhase::Retiring;
            }
        }
        PlacementStep::Dissolve { group, .. } => assignment.dissolve(*group),
    }
}

/// Simulates the end of a round: forming groups serve, and retiring groups are removed.
fn finish_changes(assignment: &mut Assignment) {
    assignment.releasing.clear();
    assignment
        .groups
        .retain(|_, group| group.phase != GroupPhase::Retiring);
    for group in assignment.groups.values_mut() {
        group.phase = GroupPhase::Serving;
    }
}
