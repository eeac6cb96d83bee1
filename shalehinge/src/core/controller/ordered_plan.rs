//! Computes the next assignment where engines join by order and replica counts follow from the
//! models' work shares.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Controller;
use super::service_plan::{ONLY_VERSION, PlanInput};
use crate::core::fleet_state::FleetState;
use crate::core::objects::{Assignment, GroupPhase};
use crate::core::placement::planner::HeldWeights;
use crate::core::placement::preview::apply_step;
use crate::core::placement::shares::{ReplicaCounts, count_models};
use crate::core::placement::{PlacementContext, next_steps};
use crate::core::types::{GroupNumber, HostId, ModelVersion, Timestamp};

/// Number of replicas by model that are neither retiring nor lost.
fn existing_replicas(
    value: &Assignment,
    lost: &BTreeMap<GroupNumber, Option<HostId>>,
) -> ReplicaCounts {
    let existing = value.groups.iter().filter(|(number, group)| {
        group.phase != GroupPhase::Retiring && !lost.contains_key(number)
    });
    count_models(existing.map(|(_, group)| &group.model))
}

impl Controller {
    /// Updates `value` to the next assignment.
    pub(super) fn plan_ordered(
        &mut self,
        now: Timestamp,
        value: &mut Assignment,
        state: &FleetState,
        log: &mut Vec<String>,
    ) {
        self.free_departed_hosts(now, value);
        self.departed.retain(|host| value.is_in_use(host));
        self.complete_adopted_groups(value, log);
        self.remove_retired(value, log);
        self.promote_open(value, log);
        self.mark_listed_losses(now, value);
        let lost = self.lost_groups(value);
        let mut avoided = self.unusable_hosts(now, value);
        let existing = existing_replicas(value, &lost);
        let input = PlanInput {
            domain: &self.domain,
            existing: &existing,
            spare_share: self.settings.spare_share,
            unreachable: &avoided,
            entries_may_reappear: self.list_outage.entries_may_reappear(),
        };
        log.extend(self.plans.refresh(state, input, &mut value.wanted));
        avoided.extend(self.shown_in_a_group(value).into_keys());
        let held = self.listed_weights();
        // Survivors of a lost group are released soon, and are the fastest to be ready again.
        let awaits_survivors = self.awaits_survivors(now, value, &avoided);
        let max_forming = if awaits_survivors || state.is_evacuated(&self.domain) {
            0
        } else {
            self.settings.max_forming
        };
        // Form groups whose hosts already hold the weights first, regardless of which model has
        // the largest shortage.
        let may_load = !self.has_new_hosts(now);
        let passes = [Some(0), may_load.then_some(usize::MAX)];
        for max_loads in passes.into_iter().flatten() {
            for (index, plan) in self.plans.iter().enumerate() {
                let service_assignment = self.plans.part_for(index, value);
                let mut fleet = plan.fleet.clone();
                fleet.draining.extend(self.departed.iter().cloned());
                let context = PlacementContext {
                    domain: &self.domain,
                    fleet: &fleet,
                    hosts: &plan.hosts,
                    assignment: &service_assignment,
                    unreachable: &avoided,
                    lost: &lost,
                    held: &held,
                    choice: self.settings.choice,
                    max_forming,
                    max_loads,
                    keep_surplus: true,
                    replica_demand: &self.replica_demand,
                };
                for step in next_steps(&context) {
                    log.push(step.to_string());
                    apply_step(value, &step);
                }
            }
        }
    }

    /// Weights that each host holds: those staged according to the list, and those of its last
    /// group.
    fn listed_weights(&self) -> HeldWeights {
        let version = ModelVersion::new(ONLY_VERSION);
        self.listed
            .iter()
            .map(|(host, listed)| {
                let models = listed.staged().iter().chain(self.last_model.get(host));
                let held = models.map(|model| (model.clone(), version.clone()));
                (host.clone(), held.collect())
            })
            .collect()
    }

    /// Updates the load budget: this failure domain's part of the weight store's capacity.
    pub(super) fn update_load_rate(&mut self, state: &FleetState, domains: usize) {
        let fleet = state.fleet().map(|fleet| &fleet.value);
        let rate = fleet.and_then(|fleet| fleet.load_rate);
        let fraction = 1.0 / domains.max(1) as f64;
        let usable = self.settings.load_share * fraction;
        self.load_budget
            .set_rate(rate.map(|rate| rate.per_second * usable));
        let at_once = rate.and_then(|rate| rate.at_once);
        let profiles = fleet.into_iter().flat_map(|fleet| fleet.profiles.values());
        let longest = profiles
            .filter_map(|profile| profile.load_seconds)
            .max_by(f64::total_cmp);
        let load_time = longest.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        self.load_budget
            .set_concurrency(at_once.map(|at_once| at_once * fraction), load_time);
    }
}
