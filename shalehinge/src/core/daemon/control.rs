//! The control lease of the failure domain, and the work of the lease holder.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{CallPurpose, DEMAND_INTERVAL, Daemon, LEASE_CANDIDATES, log};
use crate::core::controller::{ControllerAction, HostListState, Origin};
use crate::core::event::{Action, Component, StatusPurpose};
use crate::core::fleet_state::ObjectUpdate;
use crate::core::lease::LeaseStep;
use crate::core::objects::{Assignment, Object, ObjectKey, Versioned};
use crate::core::platform::{EraScope, Freshness, NoAnswer, PlatformReply, PlatformResult};
use crate::core::types::{FailureDomain, ReplicaId, Timestamp, Version};
use crate::settings::learning::FeedLayout;

/// Time without any reachable upstream after which the lease holder gives control up. Shorter cuts
/// end sooner than another daemon would take over.
const YIELD_CONTROL_AFTER: Duration = Duration::from_secs(1);

impl Daemon {
    pub(super) fn lease_key(&self) -> ObjectKey {
        ObjectKey::Lease(self.identity.failure_domain.clone())
    }

    pub(super) fn assignment_key(&self) -> ObjectKey {
        ObjectKey::Assignment(self.identity.failure_domain.clone())
    }

    pub(super) fn tick_lease(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let candidate = !self.is_leaving
            && self.may_read(now)
            && self
                .membership
                .is_control_candidate(now, "lease", LEASE_CANDIDATES);
        self.yield_control(now, out);
        self.step_lease(now, candidate, out);
        self.update_lease_holder(now, out);
    }

    /// Gives up the lease if this daemon has reached no upstream for a while and another candidate
    /// does: its orders would reach nobody.
    fn yield_control(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let is_isolated = self
            .isolated_since
            .is_some_and(|since| now.since(since) >= YIELD_CONTROL_AFTER);
        let is_held = self.lease.held(now).is_some();
        if !is_isolated || !is_held || !self.membership.has_connected_neighbour(now) {
            return;
        }
        let text = "gives control up, as it reaches no upstream and other candidates do";
        log(out, Component::Lease, text.into());
        self.release_lease(now, out);
    }

    /// Releases the lease, if this daemon holds it.
    pub(super) fn release_lease(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let operation = self.new_operation_id();
        let scope = self.object_scope();
        if let Some(step) = self.lease.release(now, operation)
            && let Some(scope) = scope
        {
            self.run_lease_step(scope, step, out);
        }
    }

    /// Makes the next call for the lease, if one is due.
    fn step_lease(&mut self, now: Timestamp, candidate: bool, out: &mut Vec<Action>) {
        let Some(scope) = self.object_scope() else {
            if candidate || self.lease.is_releasing() {
                self.request_object_scope(now, out);
            }
            return;
        };
        let operation = self.new_operation_id();
        if let Some(step) = self.lease.step(now, candidate, operation) {
            self.run_lease_step(scope, step, out);
        }
    }

    pub(super) fn run_lease_step(
        &mut self,
        scope: EraScope,
        step: LeaseStep,
        out: &mut Vec<Action>,
    ) {
        let (purpose, key) = (CallPurpose::Lease, self.lease_key());
        match step {
            LeaseStep::Read(freshness) => self.read_object(purpose, key, scope, freshness, out),
            LeaseStep::Write { expect, record } => {
                let object = Object::Lease(record);
                self.write_object(purpose, key, scope, expect, object, out);
            }
        }
    }

    pub(super) fn update_lease_holder(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let held = self.lease.held(now);
        if held.is_some() == self.is_lease_holder {
            return;
        }
        self.is_lease_holder = held.is_some();
        self.membership.set_holds_control(self.is_lease_holder);
        let domain = &self.identity.failure_domain;
        let text = match held {
            Some(epoch) => format!("holds {domain} in epoch {}", epoch.0),
            None => format!("no longer holds {domain}"),
        };
        log(out, Component::Lease, text);
    }

    pub(super) fn on_lease_reply(
        &mut self,
        now: Timestamp,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        match result {
            Ok(PlatformReply::Object(object)) => self.lease.on_read(now, (*object).into_lease()),
            Ok(PlatformReply::Missing(_)) => self.lease.on_read(now, None),
            Ok(PlatformReply::Foreign(version)) => self.lease.on_foreign(now, version),
            Ok(PlatformReply::Written(version)) => {
                self.lease.on_written(now, version);
                let key = self.lease_key();
                self.on_object_written(now, &key);
            }
            Ok(PlatformReply::Conflict(_)) => self.lease.on_conflict(now),
            Ok(
                PlatformReply::Objects { .. }
                | PlatformReply::Deleted(_)
                | PlatformReply::HistoryGone(_),
            )
            | Err(NoAnswer) => self.lease.on_unknown_outcome(),
        }
        if self.lease.is_releasing() {
            self.step_lease(now, false, out);
            self.finish_stop(now, out);
        }
        self.update_lease_holder(now, out);
    }

    pub(super) fn tick_controller(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let epoch = self.lease.held(now).filter(|_| !self.is_leaving);
        let operation = self.new_operation_id();
        self.update_controller_demand(now, out);
        let listing = self.controller_listing(now);
        let actions = self
            .controller
            .tick(now, epoch, &self.state, listing, operation);
        for action in actions {
            self.handle_controller_action(now, action, out);
        }
    }

    /// Passes the fleet's demand to the controller of the lease holder, which forms groups in the
    /// order in which demand needs them.
    fn update_controller_demand(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if !self.is_lease_holder || now < self.next_demand_update_at {
            return;
        }
        self.next_demand_update_at = now + DEMAND_INTERVAL;
        self.update_stored_culprits(now, out);
        let daemons = self.membership.fleet_size(now);
        let work = self.demand.fleet_work(now, daemons);
        for text in self.controller.record_work(&self.state, &work) {
            log(out, Component::Place, text);
        }
    }

    fn controller_listing(&self, now: Timestamp) -> HostListState {
        // Only the lease holder needs the number of failure domains.
        let hosts = self.state.full_hosts().filter(|_| self.is_lease_holder);
        let domains: BTreeSet<&FailureDomain> = hosts
            .iter()
            .flat_map(|list| list.value.hosts.values())
            .map(|record| &record.failure_domain)
            .collect();
        let is_early = now.as_duration() < self.settings.control.free_loads_within;
        HostListState {
            as_of: self.hosts_as_of(),
            loads_are_unlimited: self.identity.is_first_start
                && is_early
                && !self.has_received_request,
            domains: domains.len(),
        }
    }

    fn handle_controller_action(
        &mut self,
        now: Timestamp,
        action: ControllerAction,
        out: &mut Vec<Action>,
    ) {
        match action {
            ControllerAction::Read => {
                let (purpose, key) = (CallPurpose::Assignment, self.assignment_key());
                match self.object_scope() {
                    Some(scope) => self.read_object(purpose, key, scope, Freshness::Exact, out),
                    None => self.controller.on_call_failed(),
                }
            }
            ControllerAction::Write { expect, value } => {
                let (purpose, key) = (CallPurpose::Assignment, self.assignment_key());
                let object = Object::Assignment(value);
                match self.object_scope() {
                    Some(scope) => self.write_object(purpose, key, scope, expect, object, out),
                    None => self.controller.on_call_failed(),
                }
            }
            ControllerAction::Order {
                host,
                address,
                order,
            } => {
                let text = format!(
                    "sends order to {host}, group {}: {}",
                    order.group.0, order.command
                );
                log(out, Component::Place, text);
                out.push(Action::Order {
                    host,
                    address,
                    order,
                    valid_until: self.lease.valid_until(),
                });
            }
            ControllerAction::Probe { group, member } => out.push(Action::RequestStatus {
                purpose: StatusPurpose::Probe(group),
                host: Some(member.host),
                address: member.address,
            }),
            ControllerAction::AskRecentOutput => self.pull_last_outputs(now, out),
            ControllerAction::NotifyLost(number) => {
                let failure_domain = self.identity.failure_domain.clone();
                let replica = ReplicaId {
                    failure_domain,
                    number,
                };
                self.broadcast_lost_replica(now, replica, out);
            }
            ControllerAction::NotifySilent(number) => {
                let failure_domain = self.identity.failure_domain.clone();
                let replica = ReplicaId {
                    failure_domain,
                    number,
                };
                self.broadcast_silent_replica(now, replica, out);
            }
            ControllerAction::Log(text) => log(out, Component::Place, text),
        }
    }

    pub(super) fn on_assignment_reply(
        &mut self,
        now: Timestamp,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        match result {
            Ok(PlatformReply::Object(object)) => match (*object).into_assignment() {
                Some(stored) => self.on_assignment_read(now, stored, out),
                None => self.controller.on_call_failed(),
            },
            Ok(PlatformReply::Missing(era)) => {
                let absent = Versioned {
                    version: Version::absent(era),
                    value: Assignment::default(),
                };
                self.on_assignment_read(now, absent, out);
            }
            Ok(PlatformReply::Foreign(version)) => self.controller.on_foreign(version),
            Ok(PlatformReply::Written(version)) => {
                let stored = self.controller.on_written(version).cloned();
                self.apply_assignment(now, stored, out);
                let key = self.assignment_key();
                self.on_object_written(now, &key);
            }
            Ok(
                PlatformReply::Conflict(_)
                | PlatformReply::Deleted(_)
                | PlatformReply::Objects { .. }
                | PlatformReply::HistoryGone(_),
            )
            | Err(NoAnswer) => {
                self.controller.on_call_failed();
            }
        }
    }

    /// Adopts the stored assignment. After a restore of the store it may come from the backup:
    /// then a newer assignment that this daemon knows takes precedence, and the one from the
    /// backup is used only where nothing newer is known.
    fn on_assignment_read(
        &mut self,
        now: Timestamp,
        stored: Versioned<Assignment>,
        out: &mut Vec<Action>,
    ) {
        let era = stored.version.era;
        let is_new = stored.version.is_absent() && stored.value == Assignment::default();
        let is_first = is_new && self.is_in_first_era();
        let is_restored = stored.value.epoch.is_before(era) && !is_first;
        let known = self.state.assignments().get(&self.identity.failure_domain);
        let newer_known = known.filter(|known| {
            is_restored && known.assignment_version() > stored.assignment_version()
        });
        let value = newer_known.map_or(stored.value, |known| known.value.clone());
        self.lease.note_epoch(value.epoch);
        let stored = Versioned {
            version: stored.version,
            value,
        };
        let origin = if is_restored {
            Origin::Restored
        } else {
            Origin::Current
        };
        self.controller.on_read(stored.clone(), origin);
        if !stored.version.is_absent() {
            self.apply_assignment(now, Some(stored), out);
        }
    }

    pub(super) fn apply_assignment(
        &mut self,
        now: Timestamp,
        assignment: Option<Versioned<Assignment>>,
        out: &mut Vec<Action>,
    ) {
        // With other layouts the host list shows which groups exist, and only the lease holder
        // needs the assignment.
        let is_needed = self.settings.learning.feeds == FeedLayout::Shared;
        let Some(assignment) = assignment.filter(|_| is_needed) else {
            return;
        };
        let update = ObjectUpdate {
            key: self.assignment_key(),
            version: assignment.version,
            object: Object::Assignment(assignment.value),
        };
        self.apply(now, vec![update], out);
    }
}
