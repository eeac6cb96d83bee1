//! Orders to engines and probes of engines, as they follow from the stored assignment.

use std::time::Duration;

use super::{CallPurpose, Controller, ControllerAction};
use crate::core::engine::{Command, LoadCommand, Order};
use crate::core::objects::{Group, GroupPhase, Member};
use crate::core::types::{Address, Epoch, GroupNumber, HostId, Timestamp};
use crate::settings::control::Assembly;

impl Controller {
    /// Returns the orders and probes that are due for the stored assignment.
    pub(super) fn calls(&mut self, now: Timestamp, epoch: Epoch) -> Vec<ControllerAction> {
        if self.settings.assembly == Assembly::Orders {
            return self.ordered_calls(now, epoch);
        }
        let Some(stored) = self.stored.take() else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        for (number, group) in &stored.value.groups {
            match group.phase {
                GroupPhase::Forming => self.order_loads(now, epoch, *number, group, &mut actions),
                GroupPhase::Serving => self.probe(now, *number, group, &mut actions),
                GroupPhase::Retiring => {
                    self.order_retirement(now, epoch, *number, group, &mut actions);
                }
            }
        }
        self.stored = Some(stored);
        actions.extend(self.order_releases(now, epoch));
        actions
    }

    /// Whether a host may be called now for this purpose. Records the call if so.
    pub(super) fn try_call(&mut self, now: Timestamp, host: &HostId, purpose: CallPurpose) -> bool {
        let is_due = self
            .next_call_at
            .get(host)
            .is_none_or(|(last, at)| *last != purpose || now >= *at);
        if is_due {
            let next = now + self.call_interval(now, purpose);
            self.next_call_at.insert(host.clone(), (purpose, next));
        }
        is_due
    }

    /// Interval between calls for a purpose. A group that appears incomplete is probed as often
    /// as a changing group gets orders.
    fn call_interval(&self, now: Timestamp, purpose: CallPurpose) -> Duration {
        let CallPurpose::Probe(group) = purpose else {
            return self.settings.order_interval;
        };
        let health = self.health.get(&group);
        let is_suspect = health
            .is_some_and(|health| health.is_suspect(now) || health.incomplete_since.is_some());
        if is_suspect {
            self.settings.order_interval
        } else {
            self.settings.probe_interval
        }
    }

    pub(super) fn order(
        &self,
        epoch: Epoch,
        group: GroupNumber,
        member: &Member,
        command: Command,
    ) -> ControllerAction {
        ControllerAction::Order {
            host: member.host.clone(),
            address: member.address,
            order: Order {
                failure_domain: self.domain.clone(),
                epoch,
                group,
                command,
            },
        }
    }

    fn order_loads(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        number: GroupNumber,
        group: &Group,
        actions: &mut Vec<ControllerAction>,
    ) {
        let members: Vec<Address> = group.members.iter().map(|m| m.address).collect();
        for (rank, member) in group.members.iter().enumerate() {
            if !self.try_call(now, &member.host, CallPurpose::Load(number)) {
                continue;
            }
            let command = Command::Load(LoadCommand {
                model: group.model.clone(),
                version: group.version.clone(),
                rank: rank as u32,
                members: members.clone(),
                hosts: group.members.iter().map(|m| m.host.clone()).collect(),
            });
            actions.push(self.order(epoch, number, member, command));
        }
    }

    fn probe(
        &mut self,
        now: Timestamp,
        number: GroupNumber,
        group: &Group,
        actions: &mut Vec<ControllerAction>,
    ) {
        let Some(rank_zero) = group.members.first() else {
            return;
        };
        if self.try_call(now, &rank_zero.host, CallPurpose::Probe(number)) {
            actions.push(ControllerAction::Probe {
                group: number,
                member: rank_zero.clone(),
            });
        }
    }

    /// Rank 0 finishes its requests first; only then are the other members released.
    fn order_retirement(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        number: GroupNumber,
        group: &Group,
        actions: &mut Vec<ControllerAction>,
    ) {
        let since = self.retiring_since.get(&number).copied().unwrap_or(now);
        if now.since(since) < self.settings.retire_grace {
            return;
        }
        let Some((rank_zero, others)) = group.members.split_first() else {
            return;
        };
        if !self.has_left(&rank_zero.host, number) {
            if self.try_call(now, &rank_zero.host, CallPurpose::Release(number)) {
                let command = Command::Release { drain: true };
                actions.push(self.order(epoch, number, rank_zero, command));
            }
            return;
        }
        for member in others {
            let purpose = CallPurpose::Release(number);
            if !self.has_left(&member.host, number) && self.try_call(now, &member.host, purpose) {
                let command = Command::Release { drain: false };
                actions.push(self.order(epoch, number, member, command));
            }
        }
    }

    /// Orders hosts of dissolved groups to leave, until they confirm that they have left.
    fn order_releases(&mut self, now: Timestamp, epoch: Epoch) -> Vec<ControllerAction> {
        let Some(stored) = &self.stored else {
            return Vec::new();
        };
        let releasing: Vec<(HostId, GroupNumber)> = stored
            .value
            .releasing
            .iter()
            .map(|(host, number)| (host.clone(), *number))
            .collect();
        let mut actions = Vec::new();
        for (host, number) in releasing {
            let Some(address) = self.addresses.get(&host).copied() else {
                continue;
            };
            if self.try_call(now, &host, CallPurpose::Release(number)) {
                let member = Member { host, address };
                let command = Command::Release { drain: false };
                actions.push(self.order(epoch, number, &member, command));
            }
        }
        actions
    }
}
