//! Staging of weights on every host, so that groups can be formed again without loads.
//!
//! A host joins a group of its last model immediately, and a group of a model whose weights are
//! staged on it after a short time. Each host should therefore have one model as its last, and
//! the weights of another model staged. A free host that was in no group yet is primed: it joins
//! a group on its own, which never opens, and leaves it again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CallPurpose, Controller, ControllerAction};
use crate::core::engine::{Command, LoadCommand};
use crate::core::objects::{Assignment, Group, GroupPhase, HostState, Member};
use crate::core::types::{Epoch, GroupNumber, HostId, ModelName, ModelVersion, Timestamp};

use super::service_plan::ONLY_VERSION;

/// Minimum interval between two orders to stage weights on the same host.
const STAGE_INTERVAL: Duration = Duration::from_secs(20);

/// Weights that should be staged on a host. The most useful request sorts first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StageRequest {
    /// Number of members of the host's group; 0 for a free host.
    group_size: usize,
    host: HostId,
    model: ModelName,
}

impl Controller {
    /// Whether the host has the weights of the model, or may load them now to join a group. Takes
    /// a load from the budget in the latter case.
    pub(super) fn may_load(&mut self, now: Timestamp, host: &HostId, model: &ModelName) -> bool {
        self.needs_no_load(host, model) || self.load_budget.try_acquire(now)
    }

    /// Whether the host has the weights of the model, or loads are unlimited.
    fn needs_no_load(&self, host: &HostId, model: &ModelName) -> bool {
        let listed = self.listed.get(host);
        let is_staged = listed.is_some_and(|listed| listed.record.staged.contains(model));
        let is_last = self.last_model.get(host) == Some(model);
        is_staged || is_last || self.list_state.loads_are_unlimited
    }

    /// Records the model of each host whose priming is complete.
    pub(super) fn record_primed(&mut self) {
        let primed: Vec<HostId> = self
            .priming
            .keys()
            .filter(|host| self.is_primed(host))
            .cloned()
            .collect();
        for host in primed {
            if let Some(model) = self.priming.remove(&host) {
                self.last_model.insert(host, model);
            }
        }
    }

    /// Whether the host is ready in its priming group.
    pub(super) fn is_primed(&self, host: &HostId) -> bool {
        let status = self
            .listed
            .get(host)
            .and_then(|listed| listed.record.status.as_ref());
        status.is_some_and(|status| status.shows_ready(GroupNumber::PRIMING))
    }

    /// Handles the answer to a priming order. A host that refuses was in a group before. The
    /// model of that group is not known, so the ordered one is recorded as its last.
    pub(super) fn on_prime_answered(&mut self, host: &HostId, accepted: bool) {
        if accepted {
            return;
        }
        if let Some(model) = self.priming.remove(host) {
            self.last_model.insert(host.clone(), model);
        }
    }

    /// Orders free hosts that were in no group yet, and have staged weights, to join a group on
    /// their own.
    pub(super) fn prime_hosts(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        value: &Assignment,
        actions: &mut Vec<ControllerAction>,
    ) {
        let is_number_free = !value.groups.contains_key(&GroupNumber::PRIMING);
        if !is_number_free || !self.trusts_absence() {
            return;
        }
        let used = value.used_hosts();
        let in_a_group = self.shown_in_a_group(value);
        let idle = self.listed.iter().filter(|(host, listed)| {
            listed.is_listed
                && listed.record.state == HostState::Live
                && !used.contains(host)
                && !in_a_group.contains_key(host)
                && !self.unreachable.contains_key(host)
                && !self.last_model.contains_key(host)
        });
        let staged = idle.filter_map(|(host, listed)| {
            let model = listed.staged().first()?;
            Some((host.clone(), listed.record.address, model.clone()))
        });
        for (host, address, model) in staged.collect::<Vec<_>>() {
            let purpose = CallPurpose::Prime;
            if self
                .staged_at
                .get(&host)
                .is_some_and(|(last, at)| *last == purpose && now < *at)
            {
                continue;
            }
            self.staged_at
                .insert(host.clone(), (purpose, now + STAGE_INTERVAL));
            self.record_call(now, &host, purpose);
            self.priming.insert(host.clone(), model.clone());
            let command = Command::Load(LoadCommand {
                model,
                version: ModelVersion::new(ONLY_VERSION),
                rank: 0,
                members: vec![address],
                hosts: vec![host.clone()],
            });
            let member = Member { host, address };
            actions.push(self.order(epoch, GroupNumber::PRIMING, &member, command));
        }
    }

    /// Stages on each host the weights of another model than its last: on free hosts first, then
    /// on members of small groups, which are preempted for large ones.
    pub(super) fn stage_weights(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        value: &Assignment,
        actions: &mut Vec<ControllerAction>,
    ) {
        let is_forming = |group: &Group| group.phase == GroupPhase::Forming;
        if self.list_state.loads_are_unlimited && value.groups.values().any(is_forming) {
            // Before the first request, forming groups take precedence over the weights of second
            // models.
            return;
        }
        let mut wanted = self.wanted_weights(value);
        wanted.sort();
        for StageRequest { host, model, .. } in wanted {
            let purpose = CallPurpose::Stage;
            let is_due = self
                .staged_at
                .get(&host)
                .is_none_or(|(last, at)| *last != purpose || now >= *at);
            let may_load = is_due
                && (self.needs_no_load(&host, &model)
                    || self.load_budget.try_acquire_for_second_model(now));
            if !may_load {
                continue;
            }
            self.staged_at
                .insert(host.clone(), (purpose, now + STAGE_INTERVAL));
            self.record_call(now, &host, purpose);
            let address = self.listed[&host].record.address;
            let member = Member { host, address };
            let command = Command::Stage { model };
            actions.push(self.order(epoch, GroupNumber(0), &member, command));
        }
    }

    /// Records the model that each member of a group holds. While a member joins, its model is
    /// unknown unless it was the same before.
    pub(super) fn record_models(&mut self, value: &Assignment) {
        for (number, group) in &value.groups {
            for Member { host, .. } in &group.members {
                let status = self.status(host);
                let is_ready = status.is_some_and(|status| status.shows_ready(*number));
                if is_ready || group.phase == GroupPhase::Serving {
                    self.last_model.insert(host.clone(), group.model.clone());
                } else if self.last_model.get(host) != Some(&group.model) {
                    self.last_model.remove(host);
                }
            }
        }
    }

    /// Last models of hosts that are in no group. They are stored for the next lease holder,
    /// which cannot learn them from the host list.
    pub(super) fn held_by_free(&self, value: &Assignment) -> BTreeMap<HostId, ModelName> {
        let used = value.used_hosts();
        let free = self
            .last_model
            .iter()
            .filter(|(host, _)| !used.contains(host) && self.is_listed(host));
        free.map(|(host, model)| (host.clone(), model.clone()))
            .collect()
    }

    fn wanted_weights(&mut self, value: &Assignment) -> Vec<StageRequest> {
        let in_a_group = self.shown_in_a_group(value);
        let mut group_of: BTreeMap<&HostId, &Group> = BTreeMap::new();
        for group in value.groups.values() {
            for member in &group.members {
                group_of.insert(&member.host, group);
            }
        }
        let listed = &self.listed;
        self.last_model.retain(|host, _| listed.contains_key(host));
        self.priming.retain(|host, _| listed.contains_key(host));
        let sizes = self.plans.model_sizes();
        let mut requests = Vec::new();
        for (host, listed) in &self.listed {
            let is_usable = listed.is_listed
                && listed.record.state == HostState::Live
                && !value.releasing.contains_key(host)
                && !in_a_group.contains_key(host)
                && !self.unreachable.contains_key(host)
                && !self.priming.contains_key(host);
            let group = group_of.get(host);
            let is_busy = group.is_some_and(|group| group.phase != GroupPhase::Serving);
            let last = self.last_model.get(host);
            let of_service = sizes
                .iter()
                .filter(|(_, service, _)| listed.record.service.as_ref() == Some(service));
            let largest_other = of_service
                .filter(|(model, _, _)| last != Some(model))
                .max_by_key(|(_, _, size)| *size);
            let Some((model, _, _)) = largest_other.filter(|_| is_usable && !is_busy) else {
                continue;
            };
            if !listed.record.staged.contains(model) {
                requests.push(StageRequest {
                    group_size: group.map_or(0, |group| group.size()),
                    host: host.clone(),
                    model: model.clone(),
                });
            }
        }
        requests
    }
}
