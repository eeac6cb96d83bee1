//! Engines that join, open and leave groups by order, and report their progress in the host list.
//!
//! A group opens only after the list has shown every member ready in it. A host entry that shows
//! a group is always valid evidence, whatever its age, because group numbers are never reused. A
//! host entry that does not show the group is evidence only if the list is newer than this
//! daemon's knowledge of the assignment. A host that is missing from the list may be cut off from
//! the platform and still serve, but routers send no requests to a rank 0 that is not listed.

use std::time::Duration;

use super::reachability::SUSPECT_PROBE_INTERVAL;
use super::{CallPurpose, Controller, ControllerAction};
use crate::core::engine::{Command, EngineStatus, LoadCommand, NoStatus, Order};
use crate::core::fleet_state::FleetState;
use crate::core::objects::{Assignment, Group, GroupPhase, HostRecord};
use crate::core::types::{
    Address, EngineStart, Epoch, GroupNumber, HostId, ModelName, Timestamp, Version,
};

/// Number of consecutive refused orders after which the group counts as lost.
const MAX_REFUSALS: u32 = 3;
/// How long a restarted engine is not ordered to load. By then a second crash of the same model
/// can be distinguished from the first, and a load takes longer anyway.
const RELOAD_DELAY: Duration = Duration::from_secs(1);
/// How long the formation of groups that need loads waits after a new host appeared.
const ARRIVAL_WAIT: Duration = Duration::from_millis(1_500);

/// State of the host list for this failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostListState {
    /// Time at which the list was current.
    pub as_of: Option<Timestamp>,
    /// Whether loads are unlimited, which is the case before the first request of the fleet.
    pub loads_are_unlimited: bool,
    /// Number of failure domains that share the rate of loads.
    pub domains: usize,
}

/// The last listed state of a host.
#[derive(Clone, Debug)]
pub(super) struct ListedHost {
    /// The host entry, as last listed.
    pub(super) record: HostRecord,
    /// Whether the current list contains the host.
    pub(super) is_listed: bool,
}

impl ListedHost {
    /// Models whose weights are staged on the host.
    pub(super) fn staged(&self) -> &[ModelName] {
        &self.record.staged
    }
}

impl Controller {
    /// Applies a new host list. Hosts that are no longer listed are remembered as long as the
    /// assignment uses them.
    pub(super) fn update_listed(&mut self, now: Timestamp, state: &FleetState) {
        let Some(hosts) = state.full_hosts() else {
            return;
        };
        if self.listed_version == hosts.version {
            return;
        }
        self.listed_version = hosts.version;
        for host in self.listed.values_mut() {
            host.is_listed = false;
        }
        let domain = &self.domain;
        let mut restarted = Vec::new();
        for (id, record) in &hosts.value.hosts {
            if record.failure_domain == *domain {
                let host = ListedHost {
                    record: record.clone(),
                    is_listed: true,
                };
                match self.listed.insert(id.clone(), host) {
                    None => self.last_host_added_at = Some(now),
                    Some(known) if EngineStart::differ(known.record.started, record.started) => {
                        restarted.push(id.clone());
                    }
                    Some(_) => {}
                }
            }
        }
        for host in restarted {
            self.on_restart(now, &host);
        }
        if let Some(stored) = &self.stored {
            let used = stored.value.used_hosts();
            self.listed
                .retain(|id, host| host.is_listed || used.contains(id));
        }
    }

    /// Handles a restart of the engine on a host: it is in no group and has lost its memory
    /// contents and all orders. A serving group with this host is lost. This does not wait for
    /// the host entry to expire, because the restarted engine keeps renewing it.
    fn on_restart(&mut self, now: Timestamp, host: &HostId) {
        self.log_lines.push(format!("{host} restarted"));
        self.releases.forget(host);
        self.last_model.remove(host);
        self.priming.remove(host);
        let last_call = self.next_call_at.remove(host);
        if let Some((CallPurpose::Load(number), _)) = last_call {
            self.record_load_crash(now, host, number);
        }
        self.unreachable.remove(host);
        self.silences.end(host);
        self.departed.remove(host);
        let stored = self.stored.as_ref();
        let groups = stored.iter().flat_map(|stored| &stored.value.groups);
        let serving = groups
            .filter(|(_, group)| group.phase == GroupPhase::Serving && group.contains(host))
            .map(|(number, _)| *number);
        for number in serving.collect::<Vec<_>>() {
            let health = self.health.entry(number).or_default();
            health.mark_lost(host);
        }
    }

    /// Records a possible crash: the engine restarted after it was ordered to load the model of
    /// this group.
    fn record_load_crash(&mut self, now: Timestamp, host: &HostId, number: GroupNumber) {
        let stored = self.stored.as_ref();
        let Some(group) = stored.and_then(|stored| stored.value.groups.get(&number)) else {
            return;
        };
        if group.phase != GroupPhase::Forming {
            return;
        }
        let purpose = CallPurpose::Load(number);
        self.next_call_at
            .insert(host.clone(), (purpose, now + RELOAD_DELAY));
        if let Some((crashes, wait)) = self.load_crashes.record_crash(now, &group.model) {
            self.log_lines.push(format!(
                "{host} restarted during a load of {}, {crashes} consecutive crashes, next load in {} ms",
                group.model,
                wait.as_millis()
            ));
        }
    }

    /// The last listed status of a host, if any.
    pub(super) fn status(&self, host: &HostId) -> Option<&EngineStatus> {
        self.listed.get(host)?.record.status.as_ref()
    }

    /// Whether the current list contains the host.
    pub(super) fn is_listed(&self, host: &HostId) -> bool {
        self.listed.get(host).is_some_and(|host| host.is_listed)
    }

    /// Whether the list is at least as recent as this time.
    pub(super) fn is_list_newer(&self, than: Timestamp) -> bool {
        self.list_state.as_of.is_some_and(|as_of| as_of >= than)
    }

    /// Whether the list is newer than this daemon's first read of the assignment. Then whatever
    /// the list no longer shows is gone.
    pub fn trusts_absence(&self) -> bool {
        self.stored_seen_at
            .is_some_and(|seen_at| self.is_list_newer(seen_at))
    }

    /// Whether a host is gone for good, rather than missing from an outdated list or after an
    /// outage.
    fn is_gone(&self, host: &HostId) -> bool {
        !self.is_listed(host) && self.trusts_absence() && !self.list_outage.entries_may_reappear()
    }

    /// Promotes forming groups whose rank 0 takes requests to serving.
    pub(super) fn promote_open(&self, value: &mut Assignment, log: &mut Vec<String>) {
        for (number, group) in &mut value.groups {
            let rank_zero = group.members.first().map(|member| &member.host);
            let status = rank_zero.and_then(|host| self.status(host));
            let is_open = status.is_some_and(|status| status.shows_open(*number));
            if group.phase == GroupPhase::Forming && is_open {
                log.push(format!("group {} opened and serves", number.0));
                group.phase = GroupPhase::Serving;
            }
        }
    }

    /// Marks groups as lost if the host list shows that they lost a member.
    pub(super) fn mark_listed_losses(&mut self, now: Timestamp, value: &Assignment) {
        let trusts_absence = self.trusts_absence();
        let mut lost: Vec<(GroupNumber, HostId)> = Vec::new();
        for (number, group) in &value.groups {
            if group.phase == GroupPhase::Forming && self.has_timed_out(now, *number) {
                let first = group.members.first().map(|member| member.host.clone());
                lost.extend(first.map(|host| (*number, host)));
                continue;
            }
            if let Some(host) = self.lost_from_retiring(*number, group) {
                lost.push((*number, host));
                continue;
            }
            for (rank, member) in group.members.iter().enumerate() {
                let (host, is_rank_zero) = (&member.host, rank == 0);
                if self.has_lost(*number, group.phase, host, is_rank_zero, trusts_absence) {
                    lost.push((*number, member.host.clone()));
                    break;
                }
            }
        }
        for (number, host) in lost {
            let health = self.health.entry(number).or_default();
            health.is_lost = true;
            health.lost_member.get_or_insert(host);
        }
    }

    fn has_timed_out(&self, now: Timestamp, number: GroupNumber) -> bool {
        self.forming_since
            .get(&number)
            .is_some_and(|since| now.since(*since) >= self.settings.forming_timeout)
    }

    /// A member of a retiring group that will never confirm its release. Once rank 0 has finished
    /// and left, the other hosts need not wait for it.
    fn lost_from_retiring(&self, number: GroupNumber, group: &Group) -> Option<HostId> {
        let rank_zero = &group.members.first()?.host;
        let is_finished = group.phase == GroupPhase::Retiring && self.has_left(rank_zero, number);
        if !is_finished {
            return None;
        }
        let members = group.members.iter().map(|member| &member.host);
        let mut remaining = members.filter(|host| !self.has_left(host, number));
        let is_gone = |host: &HostId| self.is_gone(host) || self.departed.contains(host);
        remaining.find(|host| is_gone(host)).cloned()
    }

    /// Whether the list shows that the host is no longer a working member of the group.
    fn has_lost(
        &self,
        number: GroupNumber,
        phase: GroupPhase,
        host: &HostId,
        is_rank_zero: bool,
        trusts_absence: bool,
    ) -> bool {
        if !self.is_listed(host) {
            // Routers send no requests to a rank 0 that is not listed, and a group that never
            // served is not worth waiting for.
            let is_required = phase == GroupPhase::Forming || is_rank_zero;
            return is_required && self.is_gone(host);
        }
        let Some(status) = self.status(host) else {
            return false;
        };
        let is_broken = status.group == Some(number) && !status.shows_member(number);
        let has_departed = status.group != Some(number) && trusts_absence;
        is_broken || (phase == GroupPhase::Serving && has_departed)
    }

    /// Returns the orders and probes that are due for the stored assignment.
    pub(super) fn ordered_calls(&mut self, now: Timestamp, epoch: Epoch) -> Vec<ControllerAction> {
        if self.listed_version == Version::NONE || self.may_lack_groups() {
            // The progress of the hosts, or the set of running groups, is not known yet.
            return Vec::new();
        }
        let Some(stored) = self.stored.take() else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        self.record_models(&stored.value);
        for (number, group) in &stored.value.groups {
            match group.phase {
                GroupPhase::Forming => self.form(now, epoch, *number, group, &mut actions),
                GroupPhase::Serving => self.monitor(now, epoch, *number, group, &mut actions),
                GroupPhase::Retiring => self.retire(now, epoch, *number, group, &mut actions),
            }
        }
        self.send_due_probes(now, &mut actions);
        self.record_primed();
        self.release_hosts(now, epoch, &stored.value, &mut actions);
        self.prime_hosts(now, epoch, &stored.value, &mut actions);
        self.stage_weights(now, epoch, &stored.value, &mut actions);
        self.stored = Some(stored);
        actions
    }

    fn form(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        number: GroupNumber,
        group: &Group,
        actions: &mut Vec<ControllerAction>,
    ) {
        let members: Vec<Address> = group.members.iter().map(|m| m.address).collect();
        let hosts: Vec<HostId> = group.members.iter().map(|m| m.host.clone()).collect();
        let mut all_ready = true;
        for (rank, member) in group.members.iter().enumerate() {
            let status = self.status(&member.host);
            let is_ready = status.is_some_and(|status| status.shows_ready(number));
            let is_member = status.is_some_and(|status| status.shows_member(number));
            all_ready &= is_ready;
            if is_ready {
                self.load_crashes.record_loaded(&group.model);
            }
            if is_member {
                continue;
            }
            let purpose = CallPurpose::Load(number);
            if !self.is_call_due(now, &member.host, purpose)
                || !self.load_crashes.may_load(now, &group.model, &member.host)
                || !self.may_load(now, &member.host, &group.model)
            {
                continue;
            }
            self.record_call(now, &member.host, purpose);
            self.load_crashes
                .record_attempt(now, &group.model, &member.host);
            let command = Command::Load(LoadCommand {
                model: group.model.clone(),
                version: group.version.clone(),
                rank: rank as u32,
                members: members.clone(),
                hosts: hosts.clone(),
            });
            actions.push(self.order(epoch, number, member, command));
        }
        if all_ready {
            self.open(now, epoch, number, group, actions);
        }
    }

    fn open(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        number: GroupNumber,
        group: &Group,
        actions: &mut Vec<ControllerAction>,
    ) {
        let Some(rank_zero) = group.members.first() else {
            return;
        };
        let is_open = self
            .status(&rank_zero.host)
            .is_some_and(|s| s.shows_open(number));
        let purpose = CallPurpose::Open(number);
        if !is_open && self.is_call_due(now, &rank_zero.host, purpose) {
            self.record_call(now, &rank_zero.host, purpose);
            actions.push(self.order(epoch, number, rank_zero, Command::Open));
        }
    }

    /// Probes all members of a group that routers reported as stalled. A member that is missing
    /// from the list may only be cut off from the platform, so nothing is done while the group
    /// makes progress.
    fn monitor(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        number: GroupNumber,
        group: &Group,
        actions: &mut Vec<ControllerAction>,
    ) {
        let health = self.health.get(&number);
        if health.is_some_and(|health| health.is_lost) {
            return;
        }
        let is_suspect = health
            .is_some_and(|health| health.is_suspect(now) || health.incomplete_since.is_some());
        for member in &group.members {
            let purpose = CallPurpose::Probe(number);
            if is_suspect && self.is_call_due(now, &member.host, purpose) {
                let next = now + SUSPECT_PROBE_INTERVAL;
                self.next_call_at
                    .insert(member.host.clone(), (purpose, next));
                actions.push(ControllerAction::Probe {
                    group: number,
                    member: member.clone(),
                });
            }
        }
        let Some(rank_zero) = group.members.first() else {
            return;
        };
        let status = self.status(&rank_zero.host);
        let is_closed = status.is_some_and(|s| s.shows_ready(number) && !s.shows_open(number));
        if is_closed && self.trusts_absence() {
            self.open(now, epoch, number, group, actions);
        }
    }

    /// Rank 0 finishes its requests first; only then are all members released.
    fn retire(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        number: GroupNumber,
        group: &Group,
        actions: &mut Vec<ControllerAction>,
    ) {
        let since = self.retiring_since.get(&number).copied().unwrap_or(now);
        let Some(rank_zero) = group.members.first() else {
            return;
        };
        let status = self.status(&rank_zero.host);
        let is_open = status.is_some_and(|status| status.shows_open(number));
        let is_closing = status.is_some_and(|status| status.shows_closing(number));
        let elapsed = now.since(since);
        let may_finish = elapsed < self.settings.retire_within;
        let purpose = CallPurpose::Release(number);
        if (is_open || is_closing) && may_finish {
            if is_open && self.is_call_due(now, &rank_zero.host, purpose) {
                self.record_call(now, &rank_zero.host, purpose);
                let command = Command::Release { drain: true };
                actions.push(self.order(epoch, number, rank_zero, command));
            }
            return;
        }
        for member in &group.members {
            self.release(now, epoch, number, member, actions);
        }
    }

    /// Whether new hosts appeared recently. More may follow, which may make a load unnecessary.
    pub(super) fn has_new_hosts(&self, now: Timestamp) -> bool {
        let is_startup = self.list_state.loads_are_unlimited;
        !is_startup
            && self
                .last_host_added_at
                .is_some_and(|at| now.since(at) < ARRIVAL_WAIT)
    }

    /// Handles the answer of an engine to an order.
    pub(super) fn on_ordered_reply(
        &mut self,
        now: Timestamp,
        host: &HostId,
        order: &Order,
        accepted: bool,
    ) {
        self.record_answer(now, host);
        let is_load = matches!(order.command, Command::Load(_));
        if is_load && order.group == GroupNumber::PRIMING {
            self.on_prime_answered(host, accepted);
            return;
        }
        let health = match order.command {
            Command::Release { drain: false } if accepted => {
                self.releases.confirm(now, host, order.group);
                return;
            }
            Command::Load(_) | Command::Open => self.health.entry(order.group).or_default(),
            Command::Release { .. } | Command::Stage { .. } => return,
        };
        if accepted {
            health.incomplete_since = None;
            health.refusals = 0;
            // Repeating the order is useless before the list shows its result.
            let purpose = match order.command {
                Command::Open => CallPurpose::Open(order.group),
                _ => CallPurpose::Load(order.group),
            };
            let next = now + self.settings.order_interval * 4;
            self.next_call_at.insert(host.clone(), (purpose, next));
            return;
        }
        health.refusals += 1;
        if health.refusals >= MAX_REFUSALS {
            health.is_lost = true;
        }
    }

    /// Handles a probe that was answered.
    pub(super) fn on_probe_answered(&mut self, now: Timestamp, status: &EngineStatus) {
        self.record_answer(now, &status.host);
        self.record_probe(now, &status.host, true);
        self.departed.remove(&status.host);
        let Some(stored) = &self.stored else {
            return;
        };
        let group = stored.value.groups.iter();
        let mut groups_of_host = group.filter(|(_, group)| group.contains(&status.host));
        let Some((number, group)) = groups_of_host.next() else {
            return;
        };
        let is_joining = group.phase == GroupPhase::Forming;
        let listed = self.listed.get(&status.host);
        let has_restarted =
            listed.is_some_and(|listed| EngineStart::differ(listed.record.started, status.started));
        // A member that answers is probed less often than a silent one.
        let next = now + self.settings.order_interval;
        let purpose = CallPurpose::Probe(*number);
        self.next_call_at
            .insert(status.host.clone(), (purpose, next));
        let members = group.members.iter().map(|member| &member.host);
        let still_silent = members
            .filter(|host| self.silences.contains(now, host))
            .min()
            .cloned();
        let health = self.health.entry(*number).or_default();
        let shows_other = !status.shows_member(*number) && !is_joining;
        if shows_other && (status.group.is_some() || has_restarted) {
            health.mark_lost(&status.host);
        } else if health.silent_member.as_ref() == Some(&status.host) {
            match still_silent {
                None => health.clear_silence(),
                other => health.silent_member = other,
            }
        }
    }

    /// Handles a probe, sent at `asked_at`, that was not answered. A single probe may be lost on
    /// the network, so a suspicion requires two. A probe that ended long after its timeout shows
    /// that this daemon was paused, and is ignored.
    pub(super) fn on_probe_unanswered(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        host: &HostId,
        cause: NoStatus,
    ) {
        if now.since(asked_at) >= self.settings.loss_confirm * 2 {
            return;
        }
        self.record_silence(now, host);
        self.silences.record(now, asked_at, host, cause);
        self.record_probe(now, host, false);
        let Some(stored) = &self.stored else {
            return;
        };
        let groups = stored.value.groups.iter();
        let mut groups_of_host = groups.filter(|(_, group)| group.contains(host));
        let Some((number, phase)) = groups_of_host.next().map(|(n, group)| (*n, group.phase))
        else {
            return;
        };
        let health = self.health.entry(number).or_default();
        let is_suspect = health.is_suspect(now) || health.is_silent(now);
        let has_ended = self.silences.has_ended(host);
        if phase == GroupPhase::Serving && !is_suspect && !has_ended {
            // The host may be unreachable for this daemon alone. A real loss stalls requests
            // immediately, unless the process ended, and no router reported that. In replays of
            // such a cut, five of eleven dissolved groups were serving.
            return;
        }
        if health.last_output_at > health.incomplete_since {
            // The group produced output after the member was first found silent, so the member is
            // not lost.
            health.clear_silence();
        }
        if health.incomplete_since.is_none() {
            self.asks_recent_output = true;
        }
        let since = *health.incomplete_since.get_or_insert(asked_at);
        health.silent_member.get_or_insert_with(|| host.clone());
        let is_second = asked_at > since;
        if is_second && now.since(since) >= self.settings.loss_confirm {
            self.on_member_silent(now, asked_at, number, phase, host);
        }
    }

    /// Handles a member that left several probes unanswered: its group is suspected, and lost once
    /// the evidence is such that a short pause of the host cannot have caused it.
    fn on_member_silent(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        number: GroupNumber,
        phase: GroupPhase,
        host: &HostId,
    ) {
        self.probe_control_hosts(now);
        // Guards against a daemon that gets no answers at all: while its link was saturated by a
        // large configuration, one dissolved nine groups that had lost no member.
        if !self.own_connectivity.trusts_silence(asked_at) {
            let line = self.own_connectivity.distrust_message();
            self.log_lines.extend(line);
            return;
        }
        let is_leaving = !self.is_live(host) && phase != GroupPhase::Forming;
        if is_leaving {
            if self.departed.insert(host.clone()) {
                self.log_silence(now, number, "lost", host);
            }
            return;
        }
        let health = self.health.entry(number).or_default();
        if health.is_lost {
            return;
        }
        let was_silent = health.is_silent(now);
        health.silent_at = Some(now);
        // No requests run in a forming group, and it cannot open without the member.
        if phase == GroupPhase::Forming || self.is_proven_lost(now, number, host) {
            self.log_silence(now, number, "lost", host);
            self.health.entry(number).or_default().mark_lost(host);
        } else if !was_silent {
            self.log_silence(now, number, "suspects", host);
        }
    }

    /// Whether a silent host is lost, rather than paused for a moment. Time in which this daemon
    /// reached no hosts does not count, nor does time before the suspicion or the last output.
    fn is_proven_lost(&self, now: Timestamp, number: GroupNumber, host: &HostId) -> bool {
        let health = self.health.get(&number);
        let suspected_from = health.and_then(|health| health.incomplete_since);
        let last_output_at = health.and_then(|health| health.last_output_at);
        let reachable_since = self.own_connectivity.reachable_since();
        let from = suspected_from.max(last_output_at).max(reachable_since);
        self.silences.has_ended(host)
            || self.silences.length(now, host, from) >= self.silence_confirm()
    }

    fn log_silence(&mut self, now: Timestamp, number: GroupNumber, verb: &str, host: &HostId) {
        let counts = self.own_connectivity.total();
        let ms = self.silences.length(now, host, None).as_millis();
        let evidence = if self.silences.has_ended(host) {
            "refuses connections,"
        } else {
            "answers nothing,"
        };
        self.log_lines.push(format!(
            "group {} {verb} {host}: {evidence} silent for {ms} ms, {} of {} recently probed hosts answered",
            number.0, counts.answered, counts.probed
        ));
    }

    /// Whether a host may be called now for this purpose.
    pub(super) fn is_call_due(&self, now: Timestamp, host: &HostId, purpose: CallPurpose) -> bool {
        self.next_call_at
            .get(host)
            .is_none_or(|(last, at)| *last != purpose || now >= *at)
    }

    /// Records a call to a host, which is not repeated for the same purpose within the order
    /// interval.
    pub(super) fn record_call(&mut self, now: Timestamp, host: &HostId, purpose: CallPurpose) {
        let next = now + self.settings.order_interval;
        self.next_call_at.insert(host.clone(), (purpose, next));
    }
}
