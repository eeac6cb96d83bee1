//! The lease, and what its holder does.

use std::collections::BTreeSet;

use super::{CANDIDATES, Daemon, Purpose, WORK_INTERVAL, log};
use crate::core::controller::{ControllerAction, HostListState, Origin};
use crate::core::event::{Action, Part, StatusPurpose};
use crate::core::fleet_state::ObjectUpdate;
use crate::core::lease::LeaseStep;
use crate::core::objects::{Assignment, Object, ObjectKey, Versioned};
use crate::core::platform::{Freshness, NoAnswer, PlatformCall, PlatformReply, PlatformResult};
use crate::core::types::{FailureDomain, ReplicaId, Timestamp, Version};
use crate::settings::learning::FeedLayout;

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
            && self.membership.is_responsible(now, "lease", CANDIDATES);
        let operation = self.operation();
        if let Some(step) = self.lease.step(now, candidate, operation) {
            self.lease_step(step, out);
        }
        self.note_holder(now, out);
    }

    pub(super) fn lease_step(&mut self, step: LeaseStep, out: &mut Vec<Action>) {
        let key = self.lease_key();
        let request = match step {
            LeaseStep::Read(freshness) => PlatformCall::Get { key, freshness },
            LeaseStep::Write { expect, record } => PlatformCall::Put {
                key,
                expect,
                object: Box::new(Object::Lease(record)),
            },
        };
        self.call(Purpose::Lease, request, out);
    }

    pub(super) fn note_holder(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let held = self.lease.held(now);
        if held.is_some() == self.was_holder {
            return;
        }
        self.was_holder = held.is_some();
        self.membership.set_control(self.was_holder);
        let domain = &self.identity.failure_domain;
        let text = match held {
            Some(epoch) => format!("holds {domain} in epoch {}", epoch.0),
            None => format!("no longer holds {domain}"),
        };
        log(out, Part::Lease, text);
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
            Ok(PlatformReply::Written(version)) => self.lease.on_written(now, version),
            Ok(PlatformReply::Conflict(_)) => self.lease.on_conflict(now),
            Ok(PlatformReply::Objects { .. } | PlatformReply::HistoryGone(_)) | Err(NoAnswer) => {
                self.lease.on_unclear();
            }
        }
        self.note_holder(now, out);
    }

    pub(super) fn tick_controller(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let epoch = self.lease.held(now).filter(|_| !self.is_leaving);
        let operation = self.operation();
        self.tell_controller_work(now, out);
        let listing = self.listing(now);
        let actions = self
            .controller
            .tick(now, epoch, &self.state, listing, operation);
        for action in actions {
            self.controller_action(now, action, out);
        }
    }

    /// Whoever holds control forms groups in the order in which the work needs them.
    fn tell_controller_work(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if !self.was_holder || now < self.next_work_at {
            return;
        }
        self.next_work_at = now + WORK_INTERVAL;
        let daemons = self.membership.fleet_size(now);
        let work = self.demand.of_fleet(now, daemons);
        for text in self.controller.record_work(&self.state, &work) {
            log(out, Part::Place, text);
        }
    }

    fn listing(&self, now: Timestamp) -> HostListState {
        // Only the holder needs the number of failure domains.
        let hosts = self.state.whole_hosts().filter(|_| self.was_holder);
        let domains: BTreeSet<&FailureDomain> = hosts
            .iter()
            .flat_map(|list| list.value.hosts.values())
            .map(|record| &record.failure_domain)
            .collect();
        let is_early = now.as_duration() < self.settings.control.free_loads_within;
        HostListState {
            as_of: self.hosts_as_of(),
            loads_are_unlimited: self.identity.is_first_start && is_early && !self.has_served,
            domains: domains.len(),
        }
    }

    fn controller_action(
        &mut self,
        now: Timestamp,
        action: ControllerAction,
        out: &mut Vec<Action>,
    ) {
        match action {
            ControllerAction::Read => {
                let request = PlatformCall::Get {
                    key: self.assignment_key(),
                    freshness: Freshness::Exact,
                };
                self.call(Purpose::Assignment, request, out);
            }
            ControllerAction::Write { expect, value } => {
                let request = PlatformCall::Put {
                    key: self.assignment_key(),
                    expect,
                    object: Box::new(Object::Assignment(value)),
                };
                self.call(Purpose::Assignment, request, out);
            }
            ControllerAction::Order {
                host,
                address,
                order,
            } => {
                let text = format!("orders {host}, group {}: {}", order.group.0, order.command);
                log(out, Part::Place, text);
                out.push(Action::Order {
                    host,
                    address,
                    order,
                    valid_until: self.lease.valid_until(),
                });
            }
            ControllerAction::Probe { group, member } => out.push(Action::AskStatus {
                purpose: StatusPurpose::Probe(group),
                host: Some(member.host),
                address: member.address,
            }),
            ControllerAction::AskRecentOutput => self.ask_moving(now, out),
            ControllerAction::NotifyLost(number) => {
                let failure_domain = self.identity.failure_domain.clone();
                let replica = ReplicaId {
                    failure_domain,
                    number,
                };
                self.tell_lost(now, replica, out);
            }
            ControllerAction::Log(text) => log(out, Part::Place, text),
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
                let nothing = Versioned {
                    version: Version::absent(era),
                    value: Assignment::default(),
                };
                self.on_assignment_read(now, nothing, out);
            }
            Ok(PlatformReply::Foreign(version)) => self.controller.on_foreign(version),
            Ok(PlatformReply::Written(version)) => {
                let stored = self.controller.on_written(version).cloned();
                self.apply_assignment(now, stored, out);
            }
            Ok(
                PlatformReply::Conflict(_)
                | PlatformReply::Objects { .. }
                | PlatformReply::HistoryGone(_),
            )
            | Err(NoAnswer) => {
                self.controller.on_call_failed();
            }
        }
    }

    /// What is stored may be of a copy that the store was restored from: then what this daemon knows
    /// to be newer goes first, and what stands where nothing is known.
    fn on_assignment_read(
        &mut self,
        now: Timestamp,
        stored: Versioned<Assignment>,
        out: &mut Vec<Action>,
    ) {
        let era = stored.version.era;
        let is_first = stored.version.is_absent() && self.is_in_first_era();
        let is_copied = stored.value.epoch.is_before(era) && !is_first;
        let known = self.state.assignments().get(&self.identity.failure_domain);
        let newer = known
            .filter(|known| is_copied && known.assignment_version() > stored.assignment_version());
        let value = newer.map_or(stored.value, |known| known.value.clone());
        self.lease.note_epoch(value.epoch);
        let stored = Versioned {
            version: stored.version,
            value,
        };
        let origin = if is_copied {
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
        // Where the host list tells which groups stand, nobody else needs the assignment.
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
