//! Control of a failure domain: the lease holder reconciles its groups with the configuration.
//!
//! The assignment object is written first, and orders follow from the stored assignment. A group
//! serves once all its members were reported ready. A host that leaves a group stays in
//! `releasing` until its engine confirms that it has left; only then can another group use it.
//!
//! - `adoption`: taking over running groups when the stored assignment is unreadable or outdated
//! - `calls`: orders and probes that follow from the stored assignment
//! - `ordered`: the same for engines that join and open by order
//! - `ordered_plan`: the next assignment for these engines
//! - `reported`: the next assignment for engines that report their progress
//! - `reachability`: hosts that this daemon cannot reach, for engines that join by order
//! - `silence`: how long hosts have answered nothing, and when that proves a loss
//! - `own_connectivity`: whether a missing answer is evidence against the host or against this daemon
//! - `service_plan`: replica counts derived from the models' work shares
//! - `departures`: hosts that leave groups, and when other groups may use them
//! - `releases`: whether hosts have left their groups, given that orders may be carried out late
//! - `staging`: weights of a second model on every host
//! - `list_outage`: host entries that expire during an outage of the platform
//! - `load_budget`: rate limit for loads from the weight store
//! - `load_crashes`: models whose loading crashes engines

mod adoption;
mod calls;
mod departures;
mod list_outage;
mod load_budget;
mod load_crashes;
mod ordered;
mod ordered_plan;
mod own_connectivity;
mod reachability;
mod releases;
mod reported;
mod service_plan;
mod silence;
mod staging;
mod survey;

pub use adoption::Origin;
pub use ordered::HostListState;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::demand::FleetWork;
use crate::core::engine::{Command, EngineStatus, NoStatus, Order, OrderReply};
use crate::core::fingerprint::StoredFingerprint;
use crate::core::fleet_state::FleetState;
use crate::core::objects::{Assignment, GroupPhase, Member, Versioned};
use crate::core::placement::replica_demand::{
    ReplicaDemand, differ_significantly, estimate_demand,
};
use crate::core::types::{
    Address, Epoch, FailureDomain, GroupNumber, HostId, ModelName, OperationId, Timestamp, Version,
};
use crate::settings::control::{Assembly, ControlSettings};

use adoption::GROUP_NUMBER_MARGIN;
use list_outage::ListOutage;
use load_budget::LoadBudget;
use load_crashes::LoadCrashes;
use ordered::ListedHost;
use own_connectivity::OwnConnectivity;
use releases::Releases;
use service_plan::ServicePlans;
use silence::Silences;
use survey::Survey;

/// Action that the controller requests from the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum ControllerAction {
    /// Reads the assignment object.
    Read,
    /// Writes the assignment object if its version matches.
    Write {
        /// Version that the stored object must have.
        expect: Version,
        /// New value.
        value: Assignment,
    },
    /// Sends an order to the engine of a host.
    Order {
        /// Host that receives the order.
        host: HostId,
        /// Address on which its engine listens.
        address: Address,
        /// Order to send.
        order: Order,
    },
    /// Asks a host for the status of its engine.
    Probe {
        /// Group for which the host is probed, or `GroupNumber::PRIMING` if the probe only checks
        /// whether the host is reachable.
        group: GroupNumber,
        /// Host to probe: rank 0 of the group or, where engines join by order, any host.
        member: Member,
    },
    /// Asks routers which replicas of the failure domain currently produce output.
    AskRecentOutput,
    /// Notifies all routers that a group has lost a member and is stalled.
    NotifyLost(GroupNumber),
    /// Notifies all routers that a member of a group currently answers nothing. Repeated while
    /// the silence lasts.
    NotifySilent(GroupNumber),
    /// Writes a line to the decision log.
    Log(String),
}

/// Purpose of the last call to a host. A call for another purpose does not wait for the call
/// interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPurpose {
    /// Orders a member of the group to load its model.
    Load(GroupNumber),
    /// Asks a member of the group for its status.
    Probe(GroupNumber),
    /// Orders a host of a retiring or dissolved group to leave it, if need be after its requests.
    Release(GroupNumber),
    /// Orders rank 0 of the group to accept requests.
    Open(GroupNumber),
    /// Orders a host to leave the group without waiting for requests.
    Leave(GroupNumber),
    /// Orders a host to stage the weights of a second model.
    Stage,
    /// Orders a free host to hold the weights of a model in memory.
    Prime,
    /// Asks a host for its status because the assignment may lack its group.
    Survey,
}

/// Health of a group, as far as it is known.
#[derive(Clone, Debug, Default)]
struct GroupHealth {
    /// Time since which the group appears incomplete; `None` if it appears complete.
    incomplete_since: Option<Timestamp>,
    /// The member whose loss was found, if it is known.
    lost_member: Option<HostId>,
    /// The group lost a member or failed to form, so it will be dissolved.
    is_lost: bool,
    /// A probe showed the loss, so the group no longer makes progress. A group that only
    /// disappeared from the host list may still finish its requests.
    is_stalled: bool,
    /// The routers were notified that the group is stalled.
    is_notified: bool,
    /// Until when the group is probed often, after a router reported that it is stalled.
    suspect_until: Option<Timestamp>,
    /// Latest time at which a router is known to have received output of the group.
    last_output_at: Option<Timestamp>,
    /// The first member that left a probe unanswered.
    silent_member: Option<HostId>,
    /// Latest time at which evidence showed that a member is silent or missing.
    silent_at: Option<Timestamp>,
    /// When routers were last notified that the group is silent.
    silence_notified_at: Option<Timestamp>,
    /// Number of consecutive refusals of orders for the group.
    refusals: u32,
}

impl GroupHealth {
    /// Marks the group as lost because a probe, or a restart of the engine, shows that this
    /// member is gone.
    fn mark_lost(&mut self, member: &HostId) {
        self.is_lost = true;
        self.is_stalled = true;
        self.lost_member = Some(member.clone());
    }

    /// Whether a router recently reported that the group is stalled.
    fn is_suspect(&self, now: Timestamp) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }
}

/// Controller of one failure domain, on one daemon.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: ControlSettings,
    /// Failure domain that is controlled.
    domain: FailureDomain,
    /// Epoch of the lease; `None` while no lease is held.
    epoch: Option<Epoch>,
    /// The stored assignment, as last read or written.
    stored: Option<Versioned<Assignment>>,
    /// The assignment that is being written.
    pending: Option<Assignment>,
    /// Origin of the stored assignment.
    origin: Origin,
    /// What engines reported after an assignment was read that may lack groups.
    survey: Option<Survey>,
    /// Whether a read or write of the assignment is in flight.
    in_flight: bool,
    /// The last status of each host, for engines that report their progress.
    observed: BTreeMap<HostId, EngineStatus>,
    /// Which hosts have left their groups.
    releases: Releases,
    /// Health of each group of the assignment.
    health: BTreeMap<GroupNumber, GroupHealth>,
    /// Hosts that left orders or probes unanswered, with the time at which this was first (for
    /// engines that join by order) or last observed.
    unreachable: BTreeMap<HostId, Timestamp>,
    /// Hosts that left an order or a probe unanswered, with the time of their next probe.
    next_probe_at: BTreeMap<HostId, Timestamp>,
    /// Hosts that currently answer no probe.
    silences: Silences,
    /// Whether missing answers are evidence against hosts or against this daemon.
    own_connectivity: OwnConnectivity,
    /// Log lines for decisions made between two ticks.
    log_lines: Vec<String>,
    /// Time at which each host last answered an order or a probe.
    answered_at: BTreeMap<HostId, Timestamp>,
    /// Time at which the latest answered call to each host was sent, for engines that report their
    /// progress.
    last_answered_call: BTreeMap<HostId, Timestamp>,
    /// Purpose of the last call to each host, and the time before which it is not repeated.
    next_call_at: BTreeMap<HostId, (CallPurpose, Timestamp)>,
    /// Time since which each retiring group is known to be retiring.
    retiring_since: BTreeMap<GroupNumber, Timestamp>,
    /// Time since which each forming group is known to be forming.
    forming_since: BTreeMap<GroupNumber, Timestamp>,
    /// Addresses from the host list, also for hosts that are no longer in any group.
    addresses: BTreeMap<HostId, Address>,
    /// Time at which this daemon first read the assignment.
    stored_seen_at: Option<Timestamp>,
    /// State of the host list at the last tick.
    list_state: HostListState,
    /// The last listed state of each host of the failure domain.
    listed: BTreeMap<HostId, ListedHost>,
    /// Version of the host list that `listed` reflects.
    listed_version: Version,
    /// Kept while no lease is held, because an outage of the platform ends the lease.
    list_outage: ListOutage,
    /// Time at which a new host last appeared in the list.
    last_host_added_at: Option<Timestamp>,
    /// Time since which rank 0 of a dissolved group cannot make progress, because a member left.
    stalled_since: BTreeMap<GroupNumber, Timestamp>,
    /// Replica counts of the model services.
    plans: ServicePlans,
    /// Replicas that the arriving work keeps busy; empty while too little work was sampled.
    replica_demand: ReplicaDemand,
    /// The estimate that was last logged.
    logged_demand: ReplicaDemand,
    /// Whether a member of a suspected group became silent since routers were last asked which
    /// groups produce output.
    asks_recent_output: bool,
    /// Limits the rate of loads from the weight store.
    load_budget: LoadBudget,
    /// What is known to crash upstreams, to be stored; `None` until this daemon has stated it.
    culprits: Option<Vec<Vec<StoredFingerprint>>>,
    /// Kept while no lease is held, because crashes do not depend on the assignment.
    load_crashes: LoadCrashes,
    /// The model of the last group of each host, as far as this daemon observed it.
    last_model: BTreeMap<HostId, ModelName>,
    /// Unresponsive members that were leaving: their groups accept no new requests, but finish
    /// the running ones.
    departed: BTreeSet<HostId>,
    /// Free hosts that were ordered to hold the weights of a model in memory.
    priming: BTreeMap<HostId, ModelName>,
    /// Time since which each host is being released.
    releasing_since: BTreeMap<HostId, Timestamp>,
    /// Time before which each host is not ordered again to stage weights.
    staged_at: BTreeMap<HostId, (CallPurpose, Timestamp)>,
}

impl Controller {
    /// Creates a controller that holds no lease.
    pub fn new(settings: ControlSettings, domain: FailureDomain) -> Self {
        Self {
            settings,
            domain,
            epoch: None,
            stored: None,
            pending: None,
            origin: Origin::Current,
            survey: None,
            in_flight: false,
            observed: BTreeMap::new(),
            releases: Releases::default(),
            health: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            next_probe_at: BTreeMap::new(),
            silences: Silences::default(),
            own_connectivity: OwnConnectivity::default(),
            log_lines: Vec::new(),
            answered_at: BTreeMap::new(),
            last_answered_call: BTreeMap::new(),
            next_call_at: BTreeMap::new(),
            retiring_since: BTreeMap::new(),
            forming_since: BTreeMap::new(),
            addresses: BTreeMap::new(),
            stored_seen_at: None,
            list_state: HostListState::default(),
            listed: BTreeMap::new(),
            listed_version: Version::NONE,
            list_outage: ListOutage::default(),
            last_host_added_at: None,
            stalled_since: BTreeMap::new(),
            plans: ServicePlans::default(),
            replica_demand: ReplicaDemand::new(),
            logged_demand: ReplicaDemand::new(),
            asks_recent_output: false,
            load_budget: LoadBudget::default(),
            culprits: None,
            load_crashes: LoadCrashes::default(),
            last_model: BTreeMap::new(),
            departed: BTreeSet::new(),
            priming: BTreeMap::new(),
            releasing_since: BTreeMap::new(),
            staged_at: BTreeMap::new(),
        }
    }

    /// The stored assignment, if this daemon has read it.
    pub fn stored(&self) -> Option<&Versioned<Assignment>> {
        self.stored.as_ref()
    }

    /// Computes the actions to take now. `epoch` is the epoch of the lease if this daemon holds
    /// it; `operation` identifies the write that may result.
    pub fn tick(
        &mut self,
        now: Timestamp,
        epoch: Option<Epoch>,
        state: &FleetState,
        list_state: HostListState,
        operation: OperationId,
    ) -> Vec<ControllerAction> {
        self.list_outage
            .update(list_state.as_of, self.settings.host_heartbeat);
        let Some(epoch) = epoch else {
            self.reset();
            return Vec::new();
        };
        if self.epoch != Some(epoch) {
            self.reset();
            self.epoch = Some(epoch);
        }
        self.update_hosts(now, state, list_state);
        let mut actions = self.notify_lost();
        actions.extend(self.notify_silent(now));
        let log_lines = std::mem::take(&mut self.log_lines);
        actions.extend(log_lines.into_iter().map(ControllerAction::Log));
        if std::mem::take(&mut self.asks_recent_output) {
            actions.push(ControllerAction::AskRecentOutput);
        }
        actions.extend(self.next_actions(now, epoch, state, operation));
        actions
    }

    /// Notifications for groups that were found to be stalled since the last tick.
    fn notify_lost(&mut self) -> Vec<ControllerAction> {
        let unnotified = self
            .health
            .iter_mut()
            .filter(|(_, health)| health.is_stalled && !health.is_notified);
        unnotified
            .map(|(number, health)| {
                health.is_notified = true;
                ControllerAction::NotifyLost(*number)
            })
            .collect()
    }

    fn next_actions(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        state: &FleetState,
        operation: OperationId,
    ) -> Vec<ControllerAction> {
        if self.in_flight {
            return self.calls(now, epoch);
        }
        let Some(stored) = &self.stored else {
            self.in_flight = true;
            return vec![ControllerAction::Read];
        };
        let expect = stored.version;
        if self.is_surveying() && !self.is_survey_complete() {
            return self.survey_probes(now);
        }
        let (value, log) = self.next_value(now, state);
        let mut actions = if self.is_surveying() {
            Vec::new()
        } else {
            self.calls(now, epoch)
        };
        actions.extend(self.late_survey_probes(now));
        if let Some(mut value) = value {
            value.operation = Some(operation);
            value.epoch = epoch;
            actions.extend(log.into_iter().map(ControllerAction::Log));
            self.pending = Some(value.clone());
            self.in_flight = true;
            actions.push(ControllerAction::Write { expect, value });
        }
        actions
    }

    /// Discards all state that may be outdated because the lease is not held.
    fn reset(&mut self) {
        let list_outage = self.list_outage;
        let load_crashes = std::mem::take(&mut self.load_crashes);
        *self = Self::new(self.settings, self.domain.clone());
        self.list_outage = list_outage;
        self.load_crashes = load_crashes;
    }

    /// Handles a successful read of the assignment.
    pub fn on_read(&mut self, mut stored: Versioned<Assignment>, origin: Origin) {
        if origin == Origin::Restored {
            // Group numbers that were assigned after the backup was taken must not be used again,
            // also those of an era that began with the same backup.
            let next_group = stored
                .value
                .next_group
                .0
                .saturating_add(GROUP_NUMBER_MARGIN);
            let next_group = GroupNumber(next_group);
            let first_of_era = GroupNumber::first_of(stored.version.era);
            stored.value.next_group = next_group.max(first_of_era);
        }
        self.in_flight = false;
        self.pending = None;
        self.origin = origin;
        self.stored_seen_at = None;
        if self.last_model.is_empty() {
            self.last_model.clone_from(&stored.value.held_by_free);
        }
        self.stored = Some(stored);
        self.begin_survey();
    }

    /// Handles a read of an assignment that cannot be decoded because another program overwrote
    /// it.
    pub fn on_foreign(&mut self, version: Version) {
        // Groups of this era that no host shows may have had numbers above its first one.
        let first_of_era = GroupNumber::first_of(version.era);
        let value = Assignment {
            next_group: GroupNumber(first_of_era.0 + GROUP_NUMBER_MARGIN),
            ..Assignment::default()
        };
        self.on_read(Versioned { version, value }, Origin::Foreign);
    }

    /// Handles a successful write. Returns the assignment that is now stored.
    pub fn on_written(&mut self, version: Version) -> Option<&Versioned<Assignment>> {
        self.in_flight = false;
        self.origin = Origin::Current;
        self.end_survey();
        let value = self.pending.take()?;
        self.stored = Some(Versioned { version, value });
        self.stored.as_ref()
    }

    /// Handles a read or write that failed or was rejected: the assignment is read again before
    /// anything else is written.
    pub fn on_call_failed(&mut self) {
        self.in_flight = false;
        self.pending = None;
        self.stored = None;
    }

    /// Records the work that arrives at the fleet, as far as this daemon knows. While too little
    /// work was sampled, supply is measured against the wanted replicas.
    ///
    /// Returns log lines if the estimate differs significantly from the last logged one.
    pub fn record_work(&mut self, state: &FleetState, work: &FleetWork) -> Vec<String> {
        let fleet = state.fleet();
        let replica_demand = fleet.and_then(|fleet| estimate_demand(&fleet.value.profiles, work));
        self.replica_demand = replica_demand.unwrap_or_default();
        if !differ_significantly(&self.replica_demand, &self.logged_demand) {
            return Vec::new();
        }
        self.logged_demand.clone_from(&self.replica_demand);
        let replica_demand = self.replica_demand.iter();
        replica_demand
            .map(|(model, busy)| format!("work for {model} keeps {busy:.1} replicas busy"))
            .collect()
    }

    /// States what is known to crash upstreams. It is stored with the assignment, so that it is
    /// known after all daemons have restarted.
    pub fn set_culprits(&mut self, culprits: Vec<Vec<StoredFingerprint>>) {
        self.culprits = Some(culprits);
    }

    /// Handles a report of a router that a group is stalled: the group is probed immediately, and
    /// frequently for a while.
    pub fn suspect(&mut self, now: Timestamp, number: GroupNumber) {
        const SUSPECT_TIME: Duration = Duration::from_secs(1);
        let group = self
            .stored
            .as_ref()
            .and_then(|stored| stored.value.groups.get(&number))
            .filter(|group| group.phase == GroupPhase::Serving);
        let Some(rank_zero) = group.and_then(|group| group.members.first()) else {
            return;
        };
        let health = self.health.entry(number).or_default();
        let is_new = health.suspect_until.is_none_or(|until| now >= until);
        if is_new {
            self.next_call_at.remove(&rank_zero.host);
        }
        health.suspect_until = Some(now + SUSPECT_TIME);
        if is_new && self.settings.assembly == Assembly::Orders {
            self.probe_control_hosts(now);
        }
    }

    /// Records that a router received output of a group at this time, which shows that the group
    /// was complete.
    pub fn record_output(&mut self, at: Timestamp, number: GroupNumber) {
        if let Some(health) = self.health.get_mut(&number) {
            health.last_output_at = health.last_output_at.max(Some(at));
        }
    }

    /// Handles the answer of an engine to an order that was sent at `asked_at`.
    pub fn on_order_reply(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        host: &HostId,
        order: &Order,
        reply: OrderReply,
    ) {
        if self.settings.assembly == Assembly::Orders {
            self.on_ordered_reply(now, host, order, reply.accepted);
            return;
        }
        let is_release = matches!(order.command, Command::Release { .. });
        let has_left = reply.accepted && reply.status.shows_released(order.group);
        if is_release && has_left {
            self.releases.confirm(now, &reply.status.host, order.group);
        }
        self.on_status(now, asked_at, reply.status);
    }

    /// Handles the status that an engine returned to a probe sent at `asked_at`.
    pub fn on_status(&mut self, now: Timestamp, asked_at: Timestamp, status: EngineStatus) {
        if self.settings.assembly == Assembly::Orders {
            self.on_probe_answered(now, &status);
            return;
        }
        self.unreachable.remove(&status.host);
        self.silences.end(&status.host);
        self.record_answered_call(asked_at, &status.host);
        self.record_surveyed(&status.host, Some(&status));
        self.update_group_health(now, asked_at, &status);
        self.observed.insert(status.host.clone(), status);
    }

    /// Records an order, sent at `asked_at`, that was not answered and may be carried out late.
    pub fn record_unanswered_order(&mut self, asked_at: Timestamp, host: &HostId, order: &Order) {
        if matches!(order.command, Command::Load(_)) {
            self.releases
                .record_unanswered_join(asked_at, host, order.group);
        }
    }

    /// Handles an order, sent at `asked_at`, that was not answered.
    pub fn on_order_unanswered(&mut self, now: Timestamp, asked_at: Timestamp, host: &HostId) {
        if self.settings.assembly == Assembly::Orders {
            self.schedule_probe(now, host);
        } else {
            self.on_no_status(now, asked_at, host, NoStatus::Unanswered);
        }
    }

    /// Handles a probe, sent at `asked_at`, that was not answered.
    pub fn on_no_status(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        host: &HostId,
        cause: NoStatus,
    ) {
        if self.settings.assembly == Assembly::Orders {
            self.on_probe_unanswered(now, asked_at, host, cause);
            return;
        }
        if self.has_answered_since(asked_at, host) {
            return;
        }
        self.record_surveyed(host, None);
        self.on_no_report(now, asked_at, host, cause);
    }

    /// Computes the next value of the assignment, if it should change, and the log lines that
    /// explain the change.
    fn next_value(
        &mut self,
        now: Timestamp,
        state: &FleetState,
    ) -> (Option<Assignment>, Vec<String>) {
        let is_state_known = state.fleet().is_some() && state.full_hosts().is_some();
        let Some(stored) = self.stored.clone().filter(|_| is_state_known) else {
            return (None, Vec::new());
        };
        let mut value = stored.value.clone();
        let mut log = Vec::new();
        if let Some(culprits) = &self.culprits {
            value.culprits.clone_from(culprits);
        }
        self.record_phase_times(now, &value);
        if self.may_lack_groups() {
            if !self.knows_running_groups() {
                return (None, log);
            }
            let mut adopted = self.merge_running_groups(value, state);
            self.release_incomplete_groups(&mut adopted);
            let (origin, count) = (self.origin, adopted.groups.len());
            log.push(format!(
                "stored assignment is {origin}, {count} running groups are adopted"
            ));
            return (Some(adopted), log);
        }
        if self.settings.assembly == Assembly::Orders {
            self.plan_ordered(now, &mut value, state, &mut log);
            value.held_by_free = self.held_by_free(&value);
            value.load_crashes = self.load_crashes.counts();
            let changed = value != stored.value;
            return (changed.then_some(value), log);
        }
        self.complete_adopted_groups(&mut value, &mut log);
        self.release_strays(&mut value);
        self.plan_reported(now, &mut value, state, &mut log);
        let changed = value != stored.value;
        (changed.then_some(value), log)
    }

    fn record_phase_times(&mut self, now: Timestamp, value: &Assignment) {
        for (times, phase) in [
            (&mut self.retiring_since, GroupPhase::Retiring),
            (&mut self.forming_since, GroupPhase::Forming),
        ] {
            let is_in_phase = |number: &GroupNumber| {
                let group = value.groups.get(number);
                group.is_some_and(|group| group.phase == phase)
            };
            times.retain(|number, _| is_in_phase(number));
            for number in value.groups.keys().filter(|number| is_in_phase(number)) {
                times.entry(*number).or_insert(now);
            }
        }
        self.health
            .retain(|number, _| value.groups.contains_key(number));
    }

    /// Whether the host's engine confirmed that it left this group. An older status does not
    /// count, because an order to load may have followed it.
    fn has_left(&self, host: &HostId, number: GroupNumber) -> bool {
        self.releases.has_left(host, number)
    }

    /// Withdraws releases that the host list contradicts: an order to join was carried out after
    /// the host had left.
    fn withdraw_releases(&mut self) {
        let Some(as_of) = self.list_state.as_of else {
            return;
        };
        let listed = &self.listed;
        let listed_group = |host: &HostId| {
            let listed = listed.get(host).filter(|listed| listed.is_listed)?;
            listed.record.status.as_ref()?.group
        };
        for (host, group) in self.releases.withdraw_rejoined(as_of, listed_group) {
            self.log_lines.push(format!(
                "{host} is in group {} again after it had left: an order was carried out late",
                group.0
            ));
        }
    }

    /// Removes retired groups that all members have left.
    fn remove_retired(&self, value: &mut Assignment, log: &mut Vec<String>) {
        let has_left = |host: &HostId, number: &GroupNumber| self.has_left(host, *number);
        let retired: Vec<GroupNumber> = value
            .groups
            .iter()
            .filter(|(number, group)| {
                group.phase == GroupPhase::Retiring
                    && group.members.iter().all(|m| has_left(&m.host, number))
            })
            .map(|(number, _)| *number)
            .collect();
        for number in retired {
            log.push(format!("group {} is released by all its hosts", number.0));
            value.groups.remove(&number);
        }
    }

    fn lost_groups(&self, value: &Assignment) -> BTreeMap<GroupNumber, Option<HostId>> {
        self.health
            .iter()
            .filter(|(number, health)| health.is_lost && value.groups.contains_key(number))
            .map(|(number, health)| (*number, health.lost_member.clone()))
            .collect()
    }

    fn update_hosts(&mut self, now: Timestamp, state: &FleetState, list_state: HostListState) {
        if let Some(stored) = &self.stored
            && self.stored_seen_at.is_none()
        {
            self.stored_seen_at = Some(now);
            self.load_crashes.resume(now, &stored.value.load_crashes);
        }
        self.list_state = list_state;
        if self.settings.assembly == Assembly::Orders {
            self.update_listed(now, state);
            self.withdraw_releases();
            self.update_load_rate(state, list_state.domains);
            return;
        }
        let Some(hosts) = state.hosts() else {
            return;
        };
        let domain = &self.domain;
        self.addresses = hosts
            .value
            .hosts
            .iter()
            .filter(|(_, host)| host.failure_domain == *domain)
            .map(|(id, host)| (id.clone(), host.address))
            .collect();
        let addresses = &self.addresses;
        self.last_answered_call
            .retain(|host, _| addresses.contains_key(host));
    }
}
