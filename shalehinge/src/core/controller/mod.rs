//! Control of a failure domain: the lease holder brings its groups to what the
//! configuration wants.
//!
//! The assignment object is written first, orders follow from what is stored.
//! A group serves once all members were seen ready. A host that leaves a group
//! stays in `releasing` until its engine shows that it has left; only then can
//! another group get it.
//!
//! - `adoption`: groups that stand, where what is stored of them can't be read
//! - `calls`: orders and looks that follow from what is stored
//! - `ordered`: the same for engines that join and open by order
//! - `ordered_plan`: what a holder wants next of these
//! - `reported`: the same for engines that report how far they are
//! - `reachability`: hosts that this daemon can't reach, where engines join by order
//! - `own_reach`: whether a silence says something of the host, or of this daemon
//! - `service_plan`: what follows from the models' parts of the work
//! - `departures`: hosts that leave, and when they may join others
//! - `staging`: second weights on every host
//! - `list_outage`: entries that lapse while the platform is away
//! - `load_budget`: how many loads may begin
//! - `load_crashes`: models whose load ends the engines that try it

mod adoption;
mod calls;
mod departures;
mod list_outage;
mod load_budget;
mod load_crashes;
mod ordered;
mod ordered_plan;
mod own_reach;
mod reachability;
mod reported;
mod service_plan;
mod staging;

pub use adoption::Origin;
pub use ordered::Listing;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::demand::FleetWork;
use crate::core::engine::{Command, EngineStatus, Order, OrderReply};
use crate::core::fleet_state::FleetState;
use crate::core::objects::{Assignment, GroupPhase, Member, Versioned};
use crate::core::placement::need::{Needs, differ_much, needs_of};
use crate::core::types::{
    Address, Epoch, FailureDomain, GroupNumber, HostId, ModelName, OperationId, Timestamp, Version,
};
use crate::settings::control::{Assembly, ControlSettings};

use adoption::NUMBERS_UNSEEN;
use list_outage::ListOutage;
use load_budget::LoadBudget;
use load_crashes::LoadCrashes;
use ordered::ListedHost;
use own_reach::OwnReach;
use service_plan::ServicePlans;

/// What the controller wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ControllerAction {
    /// Read the assignment object.
    Read,
    /// Write the assignment object conditionally.
    Write {
        /// Version that it must have.
        expect: Version,
        /// The new value.
        value: Assignment,
    },
    /// Send an order to the engine of a host.
    Order {
        /// The host.
        host: HostId,
        /// Where its engine listens.
        address: Address,
        /// The order.
        order: Order,
    },
    /// Ask rank 0 of a group for its status.
    Probe {
        /// The group.
        group: GroupNumber,
        /// Its rank 0.
        rank_zero: Member,
    },
    /// Ask routers which replicas of the failure domain bring output.
    AskMoving,
    /// Tell all routers that a group surely lost a member.
    TellLost(GroupNumber),
    /// A line for the log of decisions.
    Log(String),
}

/// What a host was last called for. A call for another purpose need not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPurpose {
    Load(GroupNumber),
    Probe(GroupNumber),
    Release(GroupNumber),
    Open(GroupNumber),
    Leave(GroupNumber),
    Stage,
    Prime,
}

/// What is known of a group's health.
#[derive(Clone, Debug, Default)]
struct GroupHealth {
    incomplete_since: Option<Timestamp>,
    lost_member: Option<HostId>,
    is_lost: bool,
    /// A look at a member showed the loss, so nothing moves in the group any more. What
    /// only the list lost may still finish its requests.
    stands_still: bool,
    /// The routers were told that it stands still.
    is_told: bool,
    /// A router saw it incomplete; it is looked at often until then.
    suspect_until: Option<Timestamp>,
    /// A router had output of the group at this time or later.
    moved_at: Option<Timestamp>,
    /// The member that did not answer first.
    silent_member: Option<HostId>,
    /// Orders for the group that were refused in a row.
    refusals: u32,
}

impl GroupHealth {
    /// A look at a member, or its new life, shows that the group lost it.
    fn lose(&mut self, member: &HostId) {
        self.is_lost = true;
        self.stands_still = true;
        self.lost_member = Some(member.clone());
    }

    /// Whether a router saw lately that nothing moves in the group.
    fn is_suspect(&self, now: Timestamp) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }
}

/// The control of one failure domain, at one daemon.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: ControlSettings,
    domain: FailureDomain,
    epoch: Option<Epoch>,
    stored: Option<Versioned<Assignment>>,
    pending: Option<Assignment>,
    /// Where what is stored comes from.
    origin: Origin,
    in_flight: bool,
    observed: BTreeMap<HostId, EngineStatus>,
    /// The last release that each engine took and carried out.
    released: BTreeMap<HostId, GroupNumber>,
    health: BTreeMap<GroupNumber, GroupHealth>,
    unreachable: BTreeMap<HostId, Timestamp>,
    /// Hosts that left an order or a probe unanswered, and when they are probed next.
    doubted: BTreeMap<HostId, Timestamp>,
    own_reach: OwnReach,
    /// Lines for the log of what was decided between two ticks.
    remarks: Vec<String>,
    /// When each host last answered an order or a probe.
    answered_at: BTreeMap<HostId, Timestamp>,
    next_call_at: BTreeMap<HostId, (CallPurpose, Timestamp)>,
    retiring_since: BTreeMap<GroupNumber, Timestamp>,
    forming_since: BTreeMap<GroupNumber, Timestamp>,
    /// From the host list, for hosts that are in no group any more.
    addresses: BTreeMap<HostId, Address>,
    /// Since when this daemon knows the assignment.
    stored_seen_at: Option<Timestamp>,
    listing: Listing,
    listed: BTreeMap<HostId, ListedHost>,
    listed_version: Version,
    /// Known also while no lease is held, as an outage ends the lease.
    list_outage: ListOutage,
    /// When a host last appeared in the list.
    hosts_came_at: Option<Timestamp>,
    /// Since when rank 0 of a dissolved group stands still, as a member left it.
    standing_since: BTreeMap<GroupNumber, Timestamp>,
    plans: ServicePlans,
    /// What the work that arrives needs; empty as long as too little of it is known.
    needs: Needs,
    /// What was last logged of it.
    logged_needs: Needs,
    /// A member of a suspected group fell silent since routers were last asked what moves.
    asks_moving: bool,
    loads: LoadBudget,
    /// Known also while no lease is held, as crashes are no matter of the assignment.
    load_crashes: LoadCrashes,
    /// The model of each host's last group, as far as this daemon saw it.
    last_model: BTreeMap<HostId, ModelName>,
    /// Members that answer no more and were leaving: their groups take nothing new, but
    /// finish what they have.
    departed: BTreeSet<HostId>,
    /// Free hosts that were told to hold a model's weights in memory.
    priming: BTreeMap<HostId, ModelName>,
    /// Since when hosts are being released.
    releasing_since: BTreeMap<HostId, Timestamp>,
    /// Until when a host is not ordered again to stage weights.
    staged_at: BTreeMap<HostId, (CallPurpose, Timestamp)>,
}

impl Controller {
    /// A controller that holds no lease yet.
    pub fn new(settings: ControlSettings, domain: FailureDomain) -> Self {
        Self {
            settings,
            domain,
            epoch: None,
            stored: None,
            pending: None,
            origin: Origin::Current,
            in_flight: false,
            observed: BTreeMap::new(),
            released: BTreeMap::new(),
            health: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            doubted: BTreeMap::new(),
            own_reach: OwnReach::default(),
            remarks: Vec::new(),
            answered_at: BTreeMap::new(),
            next_call_at: BTreeMap::new(),
            retiring_since: BTreeMap::new(),
            forming_since: BTreeMap::new(),
            addresses: BTreeMap::new(),
            stored_seen_at: None,
            listing: Listing::default(),
            listed: BTreeMap::new(),
            listed_version: Version::NONE,
            list_outage: ListOutage::default(),
            hosts_came_at: None,
            standing_since: BTreeMap::new(),
            plans: ServicePlans::default(),
            needs: Needs::new(),
            logged_needs: Needs::new(),
            asks_moving: false,
            loads: LoadBudget::default(),
            load_crashes: LoadCrashes::default(),
            last_model: BTreeMap::new(),
            departed: BTreeSet::new(),
            priming: BTreeMap::new(),
            releasing_since: BTreeMap::new(),
            staged_at: BTreeMap::new(),
        }
    }

    /// The assignment as stored, if this daemon knows it.
    pub fn stored(&self) -> Option<&Versioned<Assignment>> {
        self.stored.as_ref()
    }

    /// What to do now. `epoch` is that of the lease, if it is held.
    pub fn tick(
        &mut self,
        now: Timestamp,
        epoch: Option<Epoch>,
        state: &FleetState,
        listing: Listing,
        operation: OperationId,
    ) -> Vec<ControllerAction> {
        self.list_outage
            .note(listing.as_of, self.settings.host_heartbeat);
        let Some(epoch) = epoch else {
            self.resign();
            return Vec::new();
        };
        if self.epoch != Some(epoch) {
            self.resign();
            self.epoch = Some(epoch);
        }
        self.note_hosts(now, state, listing);
        let mut actions = self.tell_lost();
        let remarks = std::mem::take(&mut self.remarks);
        actions.extend(remarks.into_iter().map(ControllerAction::Log));
        if std::mem::take(&mut self.asks_moving) {
            actions.push(ControllerAction::AskMoving);
        }
        actions.extend(self.next_actions(now, epoch, state, operation));
        actions
    }

    /// Groups that were found to stand still since the last time.
    fn tell_lost(&mut self) -> Vec<ControllerAction> {
        let untold = self
            .health
            .iter_mut()
            .filter(|(_, health)| health.stands_still && !health.is_told);
        untold
            .map(|(number, health)| {
                health.is_told = true;
                ControllerAction::TellLost(*number)
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
        let (value, log) = self.next_value(now, state);
        let mut actions = self.calls(now, epoch);
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

    /// The lease is not held: what was known may be out of date.
    fn resign(&mut self) {
        let list_outage = self.list_outage;
        let load_crashes = std::mem::take(&mut self.load_crashes);
        *self = Self::new(self.settings, self.domain.clone());
        self.list_outage = list_outage;
        self.load_crashes = load_crashes;
    }

    /// A read of the assignment was answered.
    pub fn on_read(&mut self, mut stored: Versioned<Assignment>, origin: Origin) {
        if origin == Origin::Copy {
            // Numbers that were given out since the copy are not given out again.
            stored.value.next_group.0 += NUMBERS_UNSEEN;
        }
        self.in_flight = false;
        self.pending = None;
        self.origin = origin;
        self.stored_seen_at = None;
        if self.last_model.is_empty() {
            self.last_model.clone_from(&stored.value.held_by_free);
        }
        self.stored = Some(stored);
    }

    /// What is stored is not in the form of an assignment, as another writer overwrote it.
    pub fn on_foreign(&mut self, version: Version) {
        if self.settings.assembly != Assembly::Orders {
            // Only a list of engines that join by order shows the groups that stand.
            self.on_unclear();
            return;
        }
        let value = Assignment::default();
        self.on_read(Versioned { version, value }, Origin::Foreign);
    }

    /// A write took effect.
    pub fn on_written(&mut self, version: Version) -> Option<&Versioned<Assignment>> {
        self.in_flight = false;
        self.origin = Origin::Current;
        let value = self.pending.take()?;
        self.stored = Some(Versioned { version, value });
        self.stored.as_ref()
    }

    /// A call failed or was refused: read again, then compute anew.
    pub fn on_unclear(&mut self) {
        self.in_flight = false;
        self.pending = None;
        self.stored = None;
    }

    /// The work that arrives at the fleet, as far as this daemon knows. As long as that is
    /// little, replicas are counted against those that are wanted.
    ///
    /// Returns lines for the log where it differs much from what was last logged.
    pub fn note_work(&mut self, state: &FleetState, work: &FleetWork) -> Vec<String> {
        let fleet = state.fleet();
        let needs = fleet.and_then(|fleet| needs_of(&fleet.value.profiles, work));
        self.needs = needs.unwrap_or_default();
        if !differ_much(&self.needs, &self.logged_needs) {
            return Vec::new();
        }
        self.logged_needs.clone_from(&self.needs);
        let needs = self.needs.iter();
        needs
            .map(|(model, busy)| format!("work for {model} keeps {busy:.1} replicas busy"))
            .collect()
    }

    /// A router saw that a group is no longer complete: it is looked at now, and
    /// often for a while.
    pub fn suspect(&mut self, now: Timestamp, number: GroupNumber) {
        const FOR: Duration = Duration::from_secs(1);
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
        health.suspect_until = Some(now + FOR);
        if is_new && self.settings.assembly == Assembly::Orders {
            self.ask_beside(now);
        }
    }

    /// A router had output of a group at this time or later: it was whole until then.
    pub fn note_moving(&mut self, at: Timestamp, number: GroupNumber) {
        if let Some(health) = self.health.get_mut(&number) {
            health.moved_at = health.moved_at.max(Some(at));
        }
    }

    /// An engine answered an order.
    pub fn on_order_reply(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        host: &HostId,
        order: &Order,
        reply: OrderReply,
    ) {
        if self.settings.assembly == Assembly::Orders {
            self.on_ordered(now, host, order, reply.accepted);
            return;
        }
        let is_release = matches!(order.command, Command::Release { .. });
        let has_left = reply.accepted && reply.status.shows_released(order.group);
        if is_release && has_left {
            self.released.insert(reply.status.host.clone(), order.group);
        }
        self.on_status(now, asked_at, reply.status);
    }

    /// An engine told its status.
    pub fn on_status(&mut self, now: Timestamp, asked_at: Timestamp, status: EngineStatus) {
        if self.settings.assembly == Assembly::Orders {
            self.on_probed(now, &status);
            return;
        }
        self.unreachable.remove(&status.host);
        self.judge_rank_zero(now, asked_at, &status);
        self.observed.insert(status.host.clone(), status);
    }

    /// An engine left an order unanswered.
    pub fn on_order_unanswered(&mut self, now: Timestamp, asked_at: Timestamp, host: &HostId) {
        if self.settings.assembly == Assembly::Orders {
            self.doubt(now, host);
        } else {
            self.on_no_status(now, asked_at, host);
        }
    }

    /// An engine did not answer a probe.
    pub fn on_no_status(&mut self, now: Timestamp, asked_at: Timestamp, host: &HostId) {
        if self.settings.assembly == Assembly::Orders {
            self.on_silent(now, asked_at, host);
            return;
        }
        self.on_no_report(now, asked_at, host);
    }

    /// The next value of the assignment, if it should change, and why.
    fn next_value(
        &mut self,
        now: Timestamp,
        state: &FleetState,
    ) -> (Option<Assignment>, Vec<String>) {
        let knows_all = state.fleet().is_some() && state.full_hosts().is_some();
        let Some(stored) = self.stored.clone().filter(|_| knows_all) else {
            return (None, Vec::new());
        };
        let mut value = stored.value.clone();
        let mut log = Vec::new();
        self.note_times(now, &value);
        if self.adopts() {
            if !self.knows_what_stands() {
                return (None, log);
            }
            let adopted = self.taken_over(value, state);
            let (origin, count) = (self.origin, adopted.groups.len());
            log.push(format!(
                "what is stored is {origin}, {count} groups stand and are taken over"
            ));
            return (Some(adopted), log);
        }
        if self.settings.assembly == Assembly::Orders {
            self.next_ordered(now, &mut value, state, &mut log);
            value.held_by_free = self.held_by_free(&value);
            let changed = value != stored.value;
            return (changed.then_some(value), log);
        }
        self.next_reported(now, &mut value, state, &mut log);
        // What the store lost is written again, under the epoch of its present era.
        let is_lost = self.origin == Origin::Copy;
        let changed = is_lost || value != stored.value;
        (changed.then_some(value), log)
    }

    fn note_times(&mut self, now: Timestamp, value: &Assignment) {
        for (times, phase) in [
            (&mut self.retiring_since, GroupPhase::Retiring),
            (&mut self.forming_since, GroupPhase::Forming),
        ] {
            let in_phase = |number: &GroupNumber| {
                let group = value.groups.get(number);
                group.is_some_and(|group| group.phase == phase)
            };
            times.retain(|number, _| in_phase(number));
            for number in value.groups.keys().filter(|number| in_phase(number)) {
                times.entry(*number).or_insert(now);
            }
        }
        self.health
            .retain(|number, _| value.groups.contains_key(number));
    }

    /// Whether the host's engine took the release of this group. An older status
    /// doesn't count: an order to load may have come after it.
    fn has_left(&self, host: &HostId, number: GroupNumber) -> bool {
        self.released.get(host) == Some(&number)
    }

    /// Groups that retired are gone once all members left.
    fn drop_retired(&self, value: &mut Assignment, log: &mut Vec<String>) {
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

    fn note_hosts(&mut self, now: Timestamp, state: &FleetState, listing: Listing) {
        if self.stored.is_some() {
            self.stored_seen_at.get_or_insert(now);
        }
        self.listing = listing;
        if self.settings.assembly == Assembly::Orders {
            self.note_listed(now, state);
            self.note_load_rate(state, listing.domains);
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
    }
}
