//! Computes the next steps that bring one failure domain closer to the configured intents.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::objects::{
    Assignment, FleetConfig, Group, GroupPhase, HostList, HostState, ModelIntent,
};
use crate::core::types::{
    FabricDomain, FailureDomain, GroupNumber, HostId, ModelName, ModelVersion,
};

use super::host_choice::{ChoiceInput, FreeHost, FreeHosts, HostChoice, take_hosts};
use super::make_room::{FreeCounts, count_free, fabric_of, group_to_move, would_free_enough};
use super::preemption::{fabric_to_reserve, group_to_preempt, holds_weights};
use super::replica_demand::ReplicaDemand;
use super::stranded::group_sizes;
use super::yielding::group_to_yield;
use super::{FormReason, PlacementStep, RetireReason};

/// Weights that each host holds, used to avoid loads from the weight store.
pub type HeldWeights = BTreeMap<HostId, Vec<(ModelName, ModelVersion)>>;

/// Inputs of the planner.
#[derive(Clone, Debug)]
pub struct PlacementContext<'a> {
    /// Failure domain that is planned.
    pub domain: &'a FailureDomain,
    /// Active configuration.
    pub fleet: &'a FleetConfig,
    /// Host list of the platform.
    pub hosts: &'a HostList,
    /// Current groups and hosts that are being released.
    pub assignment: &'a Assignment,
    /// Hosts that do not answer this daemon.
    pub unreachable: &'a BTreeSet<HostId>,
    /// Groups that are known to be lost, each with the lost member if it is known.
    pub lost: &'a BTreeMap<GroupNumber, Option<HostId>>,
    /// Weights that each host holds.
    pub held: &'a HeldWeights,
    /// Strategy for selecting hosts.
    pub choice: HostChoice,
    /// Maximum number of groups that may be forming at the same time. A limit directs the rate of
    /// the weight store to a few loads that complete soon.
    pub max_forming: usize,
    /// Maximum number of hosts of a new group that lack the weights.
    pub max_loads: usize,
    /// Whether surplus groups are kept until another model needs their hosts.
    pub keep_surplus: bool,
    /// Replicas that the workload of each model keeps busy; empty if unknown.
    pub replica_demand: &'a ReplicaDemand,
}

impl PlacementContext<'_> {
    /// Whether new groups may include the host.
    fn is_usable(&self, id: &HostId) -> bool {
        let Some(host) = self.hosts.hosts.get(id) else {
            return false;
        };
        host.failure_domain == *self.domain
            && !self.is_leaving(id)
            && !self.unreachable.contains(id)
    }

    /// Whether the host is leaving according to the platform, or is being drained by an operator.
    fn is_leaving(&self, id: &HostId) -> bool {
        let listed_leaving = self
            .hosts
            .hosts
            .get(id)
            .is_some_and(|host| host.state == HostState::Leaving);
        listed_leaving || self.fleet.draining.contains(id)
    }

    /// Number of replicas that a model needs: those that its workload keeps busy if this is known
    /// for all models, otherwise the wanted ones. Only the ratio between models is meaningful.
    pub fn required_replicas(&self, model: &ModelName) -> f64 {
        let is_complete = self
            .fleet
            .models
            .keys()
            .all(|m| self.replica_demand.contains_key(m));
        if let Some(busy) = self.replica_demand.get(model).filter(|_| is_complete) {
            return *busy;
        }
        let intent = self.fleet.models.get(model);
        let wanted = intent.and_then(|intent| intent.replicas.get(self.domain));
        f64::from(wanted.copied().unwrap_or(0).max(1))
    }

    fn leaving_member(&self, group: &Group) -> Option<HostId> {
        group
            .members
            .iter()
            .map(|member| &member.host)
            .find(|host| self.is_leaving(host))
            .cloned()
    }

    fn host_count(&self) -> usize {
        self.hosts
            .hosts
            .iter()
            .filter(|(id, host)| host.failure_domain == *self.domain && !self.is_leaving(id))
            .count()
    }

    /// Usable hosts that no group uses, by fabric domain.
    fn free_hosts(&self) -> FreeHosts {
        let used = self.assignment.used_hosts();
        let mut free = FreeHosts::new();
        for (id, host) in &self.hosts.hosts {
            if used.contains(id) || !self.is_usable(id) {
                continue;
            }
            let entry = free.entry(host.fabric_domain.clone()).or_default();
            entry.push(FreeHost {
                host: id.clone(),
                address: host.address,
                warm: false,
            });
        }
        free
    }
}

/// Computes the steps to take now. Returns no steps if the failure domain matches the intents, or
/// must first wait for earlier steps.
pub fn next_steps(context: &PlacementContext<'_>) -> Vec<PlacementStep> {
    let mut steps = dissolve_lost(context);
    steps.extend(retire_unwanted_models(context));
    let mut forming = FormationState::new(context);
    for (model, intent) in by_supply(context) {
        let mut planner = ModelPlanner {
            context,
            model,
            intent,
            forming: &mut forming,
            steps: &mut steps,
        };
        planner.plan();
    }
    steps
}

fn dissolve_lost(context: &PlacementContext<'_>) -> Vec<PlacementStep> {
    context
        .lost
        .iter()
        .filter(|(group, _)| context.assignment.groups.contains_key(group))
        .map(|(group, lost)| PlacementStep::Dissolve {
            group: *group,
            lost: lost.clone(),
        })
        .collect()
}

fn retire_unwanted_models(context: &PlacementContext<'_>) -> Vec<PlacementStep> {
    context
        .assignment
        .groups
        .iter()
        .filter(|(number, group)| {
            group.phase != GroupPhase::Retiring
                && !context.lost.contains_key(number)
                && !context.fleet.models.contains_key(&group.model)
        })
        .map(|(number, _)| PlacementStep::Retire {
            group: *number,
            reason: RetireReason::Surplus,
        })
        .collect()
}

/// Models in order of increasing supply, so that the loads that end the most downtime are ordered
/// first.
fn by_supply<'a>(context: &PlacementContext<'a>) -> Vec<(&'a ModelName, &'a ModelIntent)> {
    let supply = |model: &ModelName| -> f64 {
        let serving = context
            .assignment
            .groups
            .values()
            .filter(|group| group.model == *model && group.phase == GroupPhase::Serving)
            .count();
        serving as f64 / context.required_replicas(model)
    };
    let mut models: Vec<_> = context.fleet.models.iter().collect();
    models.sort_by(|a, b| supply(a.0).total_cmp(&supply(b.0)));
    models
}

/// Remaining hosts and slots for forming groups in this planning round.
struct FormationState {
    free: FreeHosts,
    sizes: BTreeSet<usize>,
    slots: usize,
    hosts_pending: bool,
}

impl FormationState {
    fn new(context: &PlacementContext<'_>) -> Self {
        let groups = context.assignment.groups.values();
        let forming = groups
            .clone()
            .filter(|group| group.phase == GroupPhase::Forming)
            .count();
        let retiring = groups
            .filter(|group| group.phase == GroupPhase::Retiring)
            .count();
        // Hosts that are being released may be sufficient, unless they are unreachable.
        let mut releasing = context.assignment.releasing.keys();
        let is_releasing = releasing.any(|host| !context.unreachable.contains(host));
        Self {
            free: context.free_hosts(),
            sizes: group_sizes(context.fleet),
            slots: context.max_forming.saturating_sub(forming),
            hosts_pending: retiring > 0 || is_releasing,
        }
    }
}

impl FormationState {
    /// Removes and returns the free hosts of all fabric domains except one.
    fn take_except(&mut self, fabric: &FabricDomain) -> FreeHosts {
        let kept = self.free.remove(fabric);
        let others = std::mem::take(&mut self.free);
        self.free.extend(kept.map(|hosts| (fabric.clone(), hosts)));
        others
    }
}

struct ModelPlanner<'a, 'b> {
    context: &'b PlacementContext<'a>,
    model: &'a ModelName,
    intent: &'a ModelIntent,
    forming: &'b mut FormationState,
    steps: &'b mut Vec<PlacementStep>,
}

/// Existing groups of a model, classified by what should happen to them.
#[derive(Default)]
struct ModelGroups {
    /// Groups that match the intent.
    current: Vec<GroupNumber>,
    /// Groups with another version or size than wanted.
    outdated: Vec<GroupNumber>,
    /// Groups with a leaving host.
    leaving: Vec<(GroupNumber, HostId)>,
}

impl ModelGroups {
    fn total(&self) -> usize {
        self.current.len() + self.outdated.len() + self.leaving.len()
    }
}

impl ModelPlanner<'_, '_> {
    fn plan(&mut self) {
        let wanted = self.wanted();
        let existing = self.existing();
        self.form_missing(&existing, wanted);
        self.replace_leaving(&existing, wanted);
        self.replace_outdated(&existing, wanted);
        self.retire_surplus(&existing, wanted);
    }

    fn wanted(&self) -> usize {
        let wanted = self.intent.replicas.get(self.context.domain);
        wanted.copied().unwrap_or(0) as usize
    }

    fn existing(&self) -> ModelGroups {
        let mut existing = ModelGroups::default();
        for (number, group) in &self.context.assignment.groups {
            let is_excluded =
                group.phase == GroupPhase::Retiring || self.context.lost.contains_key(number);
            if group.model != *self.model || is_excluded {
                continue;
            }
            if let Some(host) = self.context.leaving_member(group) {
                existing.leaving.push((*number, host));
            } else if group.version != self.intent.version
                || group.size() != self.intent.hosts_per_replica as usize
            {
                existing.outdated.push(*number);
            } else {
                existing.current.push(*number);
            }
        }
        existing
    }

    fn is_serving(&self, number: &GroupNumber) -> bool {
        self.context.assignment.groups[number].phase == GroupPhase::Serving
    }

    /// Whether all members of the group are reachable.
    fn is_reachable(&self, number: &GroupNumber) -> bool {
        let group = &self.context.assignment.groups[number];
        let mut hosts = group.members.iter().map(|member| &member.host);
        !hosts.any(|host| self.context.unreachable.contains(host))
    }

    fn serving_count(&self, existing: &ModelGroups) -> usize {
        let leaving = existing.leaving.iter().map(|(number, _)| number);
        existing
            .current
            .iter()
            .chain(&existing.outdated)
            .chain(leaving)
            .filter(|number| self.is_serving(number))
            .count()
    }

    fn form_missing(&mut self, existing: &ModelGroups, wanted: usize) {
        for present in existing.total()..wanted {
            let reason = FormReason::Missing {
                wanted: wanted as u32,
                present: present as u32,
            };
            if self.context.keep_surplus {
                if self.form_without_loads(reason.clone()) {
                    continue;
                }
                if self.preempt() {
                    return;
                }
            }
            if !self.form(reason) {
                self.make_room();
                self.request_yield();
                return;
            }
        }
    }

    /// Forms a replacement before retiring a group with a leaving host. If there are no hosts for
    /// a replacement, the group is retired without one.
    fn replace_leaving(&mut self, existing: &ModelGroups, wanted: usize) {
        let spare_groups = existing.total().saturating_sub(wanted);
        for (index, (number, host)) in existing.leaving.iter().enumerate() {
            let replaced = index < spare_groups;
            if replaced {
                if self.serving_count(existing) > wanted || !self.is_serving(number) {
                    self.retire(*number, RetireReason::HostLeaving(host.clone()));
                }
                continue;
            }
            let reason = FormReason::HostLeaving { replaces: *number };
            if !self.form(reason) && self.forming.slots > 0 {
                self.retire(*number, RetireReason::HostLeaving(host.clone()));
            }
        }
    }

    /// Replaces one group at a time: forms the new group first or, without free hosts, retires
    /// the old one and forms the new one in its place.
    fn replace_outdated(&mut self, existing: &ModelGroups, wanted: usize) {
        let Some(oldest) = existing.outdated.first() else {
            return;
        };
        if !existing.leaving.is_empty() {
            return;
        }
        let reason = RetireReason::OldVersion {
            wanted: self.intent.version.clone(),
        };
        let serving = self.serving_count(existing);
        if existing.total() > wanted {
            if serving > wanted || !self.is_serving(oldest) {
                self.retire(*oldest, reason);
            }
            return;
        }
        if self.has_unfinished_change(existing) {
            return;
        }
        let form_reason = FormReason::NewVersion { replaces: *oldest };
        if !self.form(form_reason) && serving >= wanted {
            self.retire(*oldest, reason);
        }
    }

    /// Whether any group of this model is still forming or retiring.
    fn has_unfinished_change(&self, existing: &ModelGroups) -> bool {
        let retiring = self
            .context
            .assignment
            .groups
            .values()
            .any(|group| group.model == *self.model && group.phase == GroupPhase::Retiring);
        retiring
            || existing
                .current
                .iter()
                .any(|number| !self.is_serving(number))
    }

    fn retire_surplus(&mut self, existing: &ModelGroups, wanted: usize) {
        if !existing.outdated.is_empty() || !existing.leaving.is_empty() {
            return;
        }
        if let Some(moved) = self.replaced_group(existing, wanted) {
            if self.serving_count(existing) > wanted {
                self.retire(moved, RetireReason::Surplus);
            }
            return;
        }
        if self.context.keep_surplus {
            return;
        }
        let mut surplus = existing.current.clone();
        // Retire groups that do not serve yet first, then the newest ones.
        surplus.sort_by_key(|number| (self.is_serving(number), std::cmp::Reverse(*number)));
        let count = surplus.len().saturating_sub(wanted);
        for number in surplus.into_iter().take(count) {
            self.retire(number, RetireReason::Surplus);
        }
    }

    /// Forms a smaller group again in another fabric domain, so that its hosts become available
    /// for this model. Only one group is moved at a time.
    fn make_room(&mut self) {
        let context = self.context;
        let is_baseline = context.choice == HostChoice::FirstFit;
        if is_baseline || self.forming.slots == 0 || self.forming.hosts_pending || self.is_moving()
        {
            return;
        }
        let size = self.intent.hosts_per_replica as usize;
        let free = count_free(&self.forming.free);
        let to_move = group_to_move(context.assignment, context.hosts, &free, size);
        let Some((number, fabric)) = to_move else {
            return;
        };
        let group = &context.assignment.groups[&number];
        let reason = FormReason::MakeRoom {
            replaces: number,
            room_for: self.model.clone(),
        };
        let wanted = (group.model.clone(), group.version.clone());
        let others = self.forming.take_except(&fabric);
        self.form_group(wanted, group.size(), context.max_loads, reason);
        self.forming.free.extend(others);
        self.forming.hosts_pending = true;
    }

    /// Preempts a group of a better-supplied model if that avoids a load, which takes several
    /// times as long. The free hosts in its fabric domain are reserved for this model until the
    /// group is gone. Returns whether hosts are about to become free.
    fn preempt(&mut self) -> bool {
        let context = self.context;
        let size = self.intent.hosts_per_replica as usize;
        if self.forming.slots == 0 {
            return false;
        }
        let free = self.count_free_with_weights();
        if let Some(fabric) = fabric_to_reserve(context, &free, self.model, size) {
            self.forming.free.remove(&fabric);
            return true;
        }
        if self.forming.hosts_pending {
            return false;
        }
        let Some(number) = group_to_preempt(context, &free, self.model, size) else {
            return false;
        };
        let group = &context.assignment.groups[&number];
        if let Some(fabric) = fabric_of(group, context.hosts) {
            self.forming.free.remove(fabric);
        }
        self.forming.hosts_pending = true;
        let to = self.model.clone();
        self.retire(number, RetireReason::Preempted { to });
        true
    }

    /// Number of free hosts that hold the weights of this model, by fabric domain.
    fn count_free_with_weights(&self) -> FreeCounts {
        let free = self.forming.free.iter();
        free.map(|(fabric, hosts)| {
            let with_weights = hosts
                .iter()
                .filter(|free| holds_weights(self.context, &free.host, self.model));
            (fabric.clone(), with_weights.count())
        })
        .collect()
    }

    /// Whether any model has more groups than wanted, which means that a group is being moved.
    fn is_moving(&self) -> bool {
        let context = self.context;
        context.fleet.models.iter().any(|(model, intent)| {
            let wanted = intent.replicas.get(context.domain).copied().unwrap_or(0);
            let groups = context.assignment.groups.values();
            let existing =
                groups.filter(|group| group.model == *model && group.phase != GroupPhase::Retiring);
            existing.count() > wanted as usize
        })
    }

    /// The serving group that a surplus group replaces, so that another model that lacks a
    /// replica gets its hosts. A group with an unreachable member replaces none, because it may
    /// be found lost soon.
    fn replaced_group(&self, existing: &ModelGroups, wanted: usize) -> Option<GroupNumber> {
        let current = existing.current.iter().copied();
        let reachable: Vec<GroupNumber> = current.filter(|n| self.is_reachable(n)).collect();
        if reachable.len() <= wanted {
            return None;
        }
        let context = self.context;
        let free = count_free(&self.forming.free);
        let models_with_shortage = context.fleet.models.iter().filter(|(model, intent)| {
            let groups = context.assignment.groups.iter();
            let present = groups.filter(|(number, group)| {
                group.model == **model
                    && group.phase != GroupPhase::Retiring
                    && !context.lost.contains_key(number)
            });
            let wanted = intent.replicas.get(context.domain).copied().unwrap_or(0);
            present.count() < wanted as usize
        });
        let sizes: Vec<usize> = models_with_shortage
            .map(|(_, intent)| intent.hosts_per_replica as usize)
            .collect();
        reachable.into_iter().find(|number| {
            let group = &context.assignment.groups[number];
            let frees_hosts = |size: &usize| would_free_enough(group, context.hosts, &free, *size);
            self.is_serving(number) && sizes.iter().any(frees_hosts)
        })
    }

    fn retire(&mut self, group: GroupNumber, reason: RetireReason) {
        self.steps.push(PlacementStep::Retire { group, reason });
    }

    /// Forms one group of this model if hosts and slots are available. Returns whether it did.
    fn form(&mut self, reason: FormReason) -> bool {
        self.form_with(self.context.max_loads, reason)
    }

    /// Forms one group from hosts that all hold the weights. Returns whether it did.
    fn form_without_loads(&mut self, reason: FormReason) -> bool {
        self.form_with(0, reason)
    }

    fn form_with(&mut self, max_loads: usize, reason: FormReason) -> bool {
        let wanted = (self.model.clone(), self.intent.version.clone());
        let size = self.intent.hosts_per_replica as usize;
        self.form_group(wanted, size, max_loads, reason)
    }

    fn form_group(
        &mut self,
        wanted: (ModelName, ModelVersion),
        size: usize,
        max_loads: usize,
        reason: FormReason,
    ) -> bool {
        if self.forming.slots == 0 {
            return false;
        }
        for host in self.forming.free.values_mut().flatten() {
            let held = self.context.held.get(&host.host);
            host.warm = held.is_some_and(|held| held.contains(&wanted));
        }
        let input = ChoiceInput {
            size,
            sizes: &self.forming.sizes,
            weights: self.context.fleet.weights,
            choice: self.context.choice,
            max_loads,
        };
        let Some(chosen) = take_hosts(&mut self.forming.free, &input) else {
            return false;
        };
        self.forming.slots -= 1;
        self.steps.push(PlacementStep::Form {
            model: wanted.0,
            version: wanted.1,
            members: chosen.members,
            loads: chosen.loads,
            reason,
        });
        true
    }

    /// Retires a group of a customer above its share. Only one group is retired at a time, and
    /// only when no hosts are about to become free.
    fn request_yield(&mut self) {
        if self.forming.hosts_pending || self.forming.slots == 0 {
            return;
        }
        let context = self.context;
        let candidate = group_to_yield(
            context.fleet,
            context.assignment,
            context.host_count(),
            self.model,
        );
        if let Some((group, to)) = candidate {
            self.forming.hosts_pending = true;
            self.retire(group, RetireReason::Yield { to });
        }
    }
}
