//! Engines that report their progress: rank 0 reports when its group is complete.

use std::collections::BTreeSet;

use super::Controller;
use crate::core::engine::{EngineStatus, NoStatus};
use crate::core::fleet_state::FleetState;
use crate::core::objects::{Assignment, GroupPhase};
use crate::core::placement::planner::HeldWeights;
use crate::core::placement::preview::apply_step;
use crate::core::placement::replica_demand::UNKNOWN_DEMAND;
use crate::core::placement::{PlacementContext, next_steps};
use crate::core::types::{GroupNumber, HostId, Timestamp};

impl Controller {
    /// Updates `value` to the next assignment, where replica counts follow from the intents.
    pub(super) fn plan_reported(
        &mut self,
        now: Timestamp,
        value: &mut Assignment,
        state: &FleetState,
        log: &mut Vec<String>,
    ) {
        let (Some(fleet), Some(hosts)) = (state.fleet(), state.full_hosts()) else {
            return;
        };
        self.apply_acknowledgements(value, state, log);
        self.promote_ready(value, log);
        self.mark_losses(now, value, state);
        let lost = self.lost_groups(value);
        let mut unreachable = self.recently_unreachable(now);
        unreachable.extend(self.unsurveyed_hosts());
        let held = self.held_weights();
        let max_forming = if state.is_evacuated(&self.domain) {
            0
        } else {
            self.settings.max_forming
        };
        let context = PlacementContext {
            domain: &self.domain,
            fleet: &fleet.value,
            hosts: &hosts.value,
            assignment: value,
            unreachable: &unreachable,
            lost: &lost,
            held: &held,
            choice: self.settings.choice,
            max_forming,
            max_loads: usize::MAX,
            keep_surplus: false,
            replica_demand: &UNKNOWN_DEMAND,
        };
        let steps = next_steps(&context);
        for step in &steps {
            log.push(step.to_string());
            apply_step(value, step);
        }
    }

    /// Updates the health of a group from the status of its rank 0.
    pub(super) fn update_group_health(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        status: &EngineStatus,
    ) {
        let Some(stored) = &self.stored else {
            return;
        };
        let serving = stored.value.groups.iter().find(|(_, group)| {
            let rank_zero = group.members.first();
            group.phase == GroupPhase::Serving
                && rank_zero.is_some_and(|member| member.host == status.host)
        });
        let Some((number, _)) = serving else {
            return;
        };
        let silence_confirm = self.silence_confirm();
        let health = self.health.entry(*number).or_default();
        if status.shows_complete(*number) {
            health.clear_silence();
            return;
        }
        if status.shows_released(*number) {
            // The engine restarted, so its weights and requests are gone.
            health.is_lost = true;
            health.lost_member = Some(status.host.clone());
            return;
        }
        let since = *health.incomplete_since.get_or_insert(asked_at);
        let incomplete_for = now.since(since);
        if incomplete_for >= self.settings.loss_confirm {
            health.silent_at = Some(now);
        }
        health.is_lost |= incomplete_for >= silence_confirm;
    }

    /// Records that a host answered a call that was sent at `asked_at`.
    pub(super) fn record_answered_call(&mut self, asked_at: Timestamp, host: &HostId) {
        let latest = self.last_answered_call.entry(host.clone());
        let latest = latest.or_insert(asked_at);
        *latest = asked_at.max(*latest);
    }

    /// Whether the host answered a call that was sent at this time or later.
    pub(super) fn has_answered_since(&self, asked_at: Timestamp, host: &HostId) -> bool {
        let latest = self.last_answered_call.get(host);
        latest.is_some_and(|latest| *latest >= asked_at)
    }

    /// Handles a call, sent at `asked_at`, that was not answered. The loss of a member of a group
    /// that serves is reported by its rank 0, which the other members need not answer this daemon
    /// for.
    pub(super) fn on_no_report(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        host: &HostId,
        cause: NoStatus,
    ) {
        self.unreachable.insert(host.clone(), now);
        self.silences.record(now, asked_at, host, cause);
        let Some(stored) = &self.stored else {
            return;
        };
        let group = stored
            .value
            .groups
            .iter()
            .find(|(_, group)| group.contains(host));
        let Some((number, group)) = group else {
            return;
        };
        let rank_zero = group.members.first();
        let is_rank_zero = rank_zero.is_some_and(|member| member.host == *host);
        if group.phase == GroupPhase::Serving && !is_rank_zero {
            return;
        }
        let is_proven = self.silences.has_ended(host)
            || self.silences.length(now, host, None) >= self.silence_confirm();
        let health = self.health.entry(*number).or_default();
        let since = *health.incomplete_since.get_or_insert(asked_at);
        if now.since(since) < self.settings.loss_confirm {
            return;
        }
        health.silent_at = Some(now);
        // No requests run in a group that does not serve.
        if group.phase != GroupPhase::Serving || is_proven {
            health.is_lost = true;
            health.lost_member = Some(host.clone());
        }
    }

    /// Frees hosts whose engines confirm that they left their group.
    fn apply_acknowledgements(
        &self,
        value: &mut Assignment,
        state: &FleetState,
        log: &mut Vec<String>,
    ) {
        let has_left = |host: &HostId, number: &GroupNumber| self.has_left(host, *number);
        let is_listed = |host: &HostId| {
            let hosts = state.hosts();
            hosts.is_some_and(|list| list.value.hosts.contains_key(host))
        };
        value
            .releasing
            .retain(|host, number| is_listed(host) && !has_left(host, number));
        self.remove_retired(value, log);
    }

    /// Promotes forming groups whose rank 0 reports all members present to serving.
    fn promote_ready(&self, value: &mut Assignment, log: &mut Vec<String>) {
        for (number, group) in &mut value.groups {
            if group.phase != GroupPhase::Forming {
                continue;
            }
            let rank_zero = group.members.first().map(|member| &member.host);
            let status = rank_zero.and_then(|host| self.observed.get(host));
            if status.is_some_and(|status| status.shows_complete(*number)) {
                log.push(format!("group {} is complete and serves", number.0));
                group.phase = GroupPhase::Serving;
            }
        }
    }

    /// Marks groups as lost for reasons that no engine reports: a member is no longer listed, or
    /// the group did not form in time.
    fn mark_losses(&mut self, now: Timestamp, value: &Assignment, state: &FleetState) {
        let Some(hosts) = state.hosts() else {
            return;
        };
        for (number, group) in &value.groups {
            let unlisted = group
                .members
                .iter()
                .map(|member| &member.host)
                .find(|host| !hosts.value.hosts.contains_key(*host));
            let has_timed_out = self
                .forming_since
                .get(number)
                .is_some_and(|since| now.since(*since) >= self.settings.forming_timeout);
            if unlisted.is_some() || has_timed_out {
                let health = self.health.entry(*number).or_default();
                health.is_lost = true;
                health.lost_member = health.lost_member.take().or(unlisted.cloned());
            }
        }
    }

    fn recently_unreachable(&mut self, now: Timestamp) -> BTreeSet<HostId> {
        let avoid = self.settings.avoid_unreachable;
        self.unreachable
            .retain(|_, since| now.since(*since) < avoid);
        self.unreachable.keys().cloned().collect()
    }

    fn held_weights(&self) -> HeldWeights {
        self.observed
            .iter()
            .filter_map(|(host, status)| {
                let held = status.held.clone()?;
                Some((host.clone(), vec![(held.model, held.version)]))
            })
            .collect()
    }
}
