//! Simulation of a controller with engines that join and open by order, which checks invariants.
//!
//! The engines accept an order only if its group is not older than the last one they joined. The
//! simulation panics when a host joins a group while rank 0 of its current group takes requests,
//! and when a group opens that is not complete.

#![allow(dead_code)] // Each test file uses a part of it.

use std::collections::BTreeMap;
use std::time::Duration;

use shalehinge::core::controller::{Controller, ControllerAction, HostListState, Origin};
use shalehinge::core::demand::FleetWork;
use shalehinge::core::engine::{
    Command, EngineLoad, EnginePhase, EngineStatus, HeldModel, NoStatus, Order, OrderReply,
};
use shalehinge::core::fleet_state::{FleetState, ObjectUpdate};
use shalehinge::core::objects::{
    Assignment, FleetConfig, GroupPhase, HostList, HostRecord, HostState, LoadRate, ModelProfile,
    Object, ObjectKey, Versioned,
};
use shalehinge::core::types::{
    EngineStart, Epoch, FabricDomain, FailureDomain, GroupNumber, HostId, ModelName, ModelVersion,
    OperationId, ServiceName, Timestamp, Version,
};
use shalehinge::settings::control::{Assembly, ControlSettings};

/// Simulated time between two ticks of the controller.
const STEP: Duration = Duration::from_millis(50);
/// Time after which a probe is considered unanswered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which silence alone must last to prove the loss of a host.
pub const SILENCE_CONFIRM: Duration = Duration::from_millis(2_500);
/// Time in which an engine that has the weights joins a group.
const WARM_JOIN_TIME: Duration = Duration::from_millis(1_500);
/// Time in which an engine that must load the weights first joins a group.
const COLD_JOIN_TIME: Duration = Duration::from_secs(15);

/// Time after the crash of a member until rank 0 reports its group as broken.
pub const STALL_TIME: Duration = Duration::from_secs(5);

/// Model with four hosts per replica.
pub const LARGE: &str = "s/large";
/// Model with two hosts per replica.
pub const SMALL: &str = "s/small";

/// Simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Group that it joined and has not left.
    pub group: Option<GroupNumber>,
    /// State of the engine that it reports.
    pub phase: EnginePhase,
    /// Models whose weights are staged on its host.
    pub staged: Vec<ModelName>,
    /// Model of its last group, which it holds in memory.
    pub model: Option<ModelName>,
    /// Whether the host list contains its host.
    pub is_listed: bool,
    /// Whether it answers orders and probes.
    pub is_reachable: bool,
    /// Whether its process has ended, so that its host refuses connections.
    pub has_ended: bool,
    /// Whether the host list shows its host as leaving.
    pub is_leaving: bool,
    /// Time at which it crashed, if it did.
    pub crashed_at: Option<Timestamp>,
    /// Time at which its last request ends. An order to finish takes that long.
    pub requests_end_at: Timestamp,
    /// Index of its host's fabric domain.
    fabric: usize,
    /// Members of the last group that it joined, rank 0 first.
    members: Vec<HostId>,
    /// Time at which its current load ends.
    ready_at: Timestamp,
    /// Newest group that it joined; load orders of older groups are rejected.
    newest_group: GroupNumber,
    /// Start time by the clock of its host.
    started: EngineStart,
}

/// Simulated failure domain with its controller.
pub struct Domain {
    /// The controller under test.
    pub controller: Controller,
    /// The engines by their hosts.
    pub engines: BTreeMap<HostId, Engine>,
    /// The assignment in the platform's store.
    pub stored: Versioned<Assignment>,
    /// Simulated time.
    pub now: Timestamp,
    /// Whether the controller's host list follows the state of the engines.
    pub list_updates: bool,
    /// Whether loads are exempt from the load rate. They then take a tenth of the usual time.
    pub loads_are_unlimited: bool,
    /// Times at which loads of weights began, including those for staging.
    pub load_times: Vec<Timestamp>,
    /// Times at which weights of second models were staged.
    pub stage_times: Vec<Timestamp>,
    /// Number of orders that the controller sent.
    pub order_count: usize,
    /// Orders that were not answered and are carried out later.
    pub late_orders: Vec<(HostId, Order)>,
    /// Whether orders remain unanswered and are kept in `late_orders`.
    pub drops_answers: bool,
    /// Groups that produce output according to some router.
    pub producing_output: Vec<GroupNumber>,
    /// Lines of the decision log.
    pub log: Vec<String>,
    /// Groups that were reported to routers as lost.
    pub reported_lost: Vec<GroupNumber>,
    /// Groups that were reported to routers as silent, and when.
    pub reported_silent: Vec<(Timestamp, GroupNumber)>,
    /// Whether the stored assignment cannot be decoded.
    pub is_foreign: bool,
    /// Whether the stored assignment comes from a backup.
    pub is_restored: bool,
    /// Model whose loading crashes the engine, which then restarts.
    pub crashing_model: Option<ModelName>,
    /// Engines that crashed during a load, and when.
    pub crashes: Vec<(Timestamp, HostId)>,
    /// Configuration and host list that the lease holder knows.
    state: FleetState,
    /// Version of the last host list.
    list_version: u64,
    /// Time of the last host list.
    as_of: Timestamp,
}

/// The id of the host with this number.
pub fn host(number: usize) -> HostId {
    HostId::new(&format!("host-{number:02}"))
}

fn settings() -> ControlSettings {
    ControlSettings {
        assembly: Assembly::Orders,
        loss_confirm: Duration::from_millis(300),
        silence_confirm: SILENCE_CONFIRM,
        forming_timeout: Duration::from_secs(40),
        avoid_unreachable: Duration::from_secs(5),
        max_forming: 100,
        ..ControlSettings::default()
    }
}

fn profile(hosts_per_replica: u32, work_share: f64) -> ModelProfile {
    ModelProfile {
        service: ServiceName::new("s"),
        hosts_per_replica,
        work_share,
        pace: 1.0,
        slots: 26,
        times: None,
        load_seconds: None,
    }
}

fn fleet() -> FleetConfig {
    FleetConfig {
        profiles: BTreeMap::from([
            (ModelName::new(LARGE), profile(4, 0.67)),
            (ModelName::new(SMALL), profile(2, 0.33)),
        ]),
        load_rate: Some(LoadRate {
            per_second: 4.0,
            at_once: None,
        }),
        ..FleetConfig::default()
    }
}

impl Domain {
    /// Creates a failure domain with fabric domains of these sizes, no groups and unlimited
    /// loads.
    pub fn new(fabrics: &[usize]) -> Self {
        let mut engines = BTreeMap::new();
        for (fabric, count) in fabrics.iter().enumerate() {
            for _ in 0..*count {
                engines.insert(host(engines.len()), Engine::new(fabric));
            }
        }
        let mut state = FleetState::default();
        state.apply(ObjectUpdate {
            key: ObjectKey::Fleet,
            version: Version::without_era(1),
            object: Object::Fleet(fleet()),
        });
        Self {
            controller: Controller::new(settings(), FailureDomain::new("d")),
            engines,
            stored: Versioned {
                version: Version::without_era(0),
                value: Assignment::default(),
            },
            now: Timestamp::from_millis(1_000),
            list_updates: true,
            loads_are_unlimited: true,
            load_times: Vec::new(),
            stage_times: Vec::new(),
            order_count: 0,
            late_orders: Vec::new(),
            drops_answers: false,
            producing_output: Vec::new(),
            log: Vec::new(),
            reported_lost: Vec::new(),
            reported_silent: Vec::new(),
            is_foreign: false,
            is_restored: false,
            crashing_model: None,
            crashes: Vec::new(),
            state,
            list_version: 0,
            as_of: Timestamp::ZERO,
        }
    }

    /// Limits the number of loads that may begin per second.
    pub fn set_load_rate(&mut self, per_second: f64) {
        self.set_loads(per_second, None);
    }

    /// Limits the number of loads that may begin per second, and of loads that run at full speed.
    pub fn set_loads(&mut self, per_second: f64, at_once: Option<f64>) {
        let load_rate = Some(LoadRate {
            per_second,
            at_once,
        });
        let config = FleetConfig {
            load_rate,
            ..fleet()
        };
        self.state.apply(ObjectUpdate {
            key: ObjectKey::Fleet,
            version: Version::without_era(2),
            object: Object::Fleet(config),
        });
    }

    /// Creates a failure domain in which all groups are open, and loads are limited.
    pub fn serving(fabrics: &[usize]) -> Self {
        let mut domain = Self::new(fabrics);
        domain.run_for(Duration::from_secs(90));
        domain.loads_are_unlimited = false;
        domain.load_times.clear();
        domain.stage_times.clear();
        domain
    }

    /// Reports the work that arrives at the fleet to the controller.
    pub fn record_work(&mut self, work: &FleetWork) {
        self.controller.record_work(&self.state, work);
    }

    /// Adds a host without weights to this fabric domain.
    pub fn add_host(&mut self, fabric: usize) {
        self.engines
            .insert(host(self.engines.len()), Engine::new(fabric));
    }

    /// Runs the simulation for this time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds. Returns the elapsed time.
    ///
    /// # Panics
    ///
    /// Panics with `condition_name` if the condition does not hold within a minute.
    pub fn run_until(
        &mut self,
        condition_name: &str,
        condition: impl Fn(&Self) -> bool,
    ) -> Duration {
        let started_at = self.now;
        while !condition(self) {
            self.step();
            let elapsed = self.now.since(started_at);
            assert!(
                elapsed < Duration::from_secs(60),
                "not within 60 s: {condition_name}"
            );
        }
        self.now.since(started_at)
    }

    /// The host list as the controller knows it, with its time, for a later lease holder that lags
    /// behind.
    pub fn current_list(&self) -> (FleetState, Timestamp) {
        (self.state.clone(), self.as_of)
    }

    /// Like [`Self::current_list`], after an update: the list just before a new lease holder first
    /// reads the assignment.
    pub fn updated_list(&mut self) -> (FleetState, Timestamp) {
        self.update_list();
        self.current_list()
    }

    /// Hands the lease over to another daemon that has only this list and receives no newer one.
    pub fn change_holder_with_list(&mut self, (state, as_of): (FleetState, Timestamp)) {
        self.change_holder();
        self.state = state;
        self.as_of = as_of;
        self.list_updates = false;
    }

    /// Hands the lease over to another daemon, whose controller knows nothing of the groups but
    /// the stored assignment.
    pub fn change_holder(&mut self) {
        self.controller = Controller::new(settings(), FailureDomain::new("d"));
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for engine in self.engines.values_mut() {
            let is_finished = match engine.phase {
                EnginePhase::Loading => self.now >= engine.ready_at,
                EnginePhase::Draining => self.now >= engine.requests_end_at,
                _ => false,
            };
            if is_finished {
                engine.phase = EnginePhase::Ready;
            }
        }
        self.break_stalled_groups();
        self.update_list();
        let listing = HostListState {
            as_of: Some(self.as_of),
            loads_are_unlimited: self.loads_are_unlimited,
            domains: 1,
        };
        let (epoch, operation) = (Some(Epoch(1)), OperationId(1));
        let actions = self
            .controller
            .tick(self.now, epoch, &self.state, listing, operation);
        for action in actions {
            self.handle(action);
        }
    }

    /// Lets rank 0 of each open group report it as broken some time after a member crashed.
    fn break_stalled_groups(&mut self) {
        let has_stalled = |host: &HostId| {
            let crashed_at = self.engines[host].crashed_at;
            crashed_at.is_some_and(|at| self.now.since(at) >= STALL_TIME)
        };
        let open = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.phase == EnginePhase::Serving);
        let stalled: Vec<HostId> = open
            .filter(|(_, engine)| engine.members.iter().any(has_stalled))
            .map(|(id, _)| id.clone())
            .collect();
        for id in stalled {
            self.engine(&id).phase = EnginePhase::Broken;
        }
    }

    fn update_list(&mut self) {
        if !self.list_updates {
            return;
        }
        self.as_of = self.now;
        self.list_version += 1;
        let listed = self.engines.iter().filter(|(_, engine)| engine.is_listed);
        let hosts = listed
            .map(|(id, engine)| (id.clone(), engine.record(id)))
            .collect();
        self.state.apply(ObjectUpdate {
            key: ObjectKey::Hosts,
            version: Version::without_era(self.list_version),
            object: Object::Hosts(HostList { hosts }),
        });
    }

    fn handle(&mut self, action: ControllerAction) {
        match action {
            ControllerAction::Read if self.is_foreign => {
                self.controller.on_foreign(self.stored.version);
            }
            ControllerAction::Read => {
                let stored = self.stored.clone();
                let origin = if self.is_restored {
                    Origin::Restored
                } else {
                    Origin::Current
                };
                self.controller.on_read(stored, origin);
            }
            ControllerAction::Write { expect, value } => {
                assert_eq!(expect, self.stored.version);
                self.is_foreign = false;
                self.is_restored = false;
                value.check().expect("no host is used twice");
                let version = Version::without_era(expect.number + 1);
                self.stored = Versioned { version, value };
                self.controller.on_written(version);
            }
            ControllerAction::Order { host, order, .. } => self.order(host, order),
            ControllerAction::Probe { member, .. } => {
                let engine = &self.engines[&member.host];
                if engine.is_reachable {
                    let status = engine.status(&member.host);
                    self.controller.on_status(self.now, self.now, status);
                } else {
                    self.time_out_probe(&member.host, PROBE_TIMEOUT);
                }
            }
            ControllerAction::AskRecentOutput => {
                for number in self.producing_output.clone() {
                    self.controller.record_output(self.now, number);
                }
            }
            ControllerAction::NotifyLost(number) => self.reported_lost.push(number),
            ControllerAction::NotifySilent(number) => {
                self.reported_silent.push((self.now, number));
            }
            ControllerAction::Log(line) => self.log.push(line),
        }
    }

    /// Reports a probe, sent `after` ago, as unanswered.
    pub fn time_out_probe(&mut self, host: &HostId, after: Duration) {
        let asked_at = self.now.minus(after);
        let cause = if self.engines[host].has_ended {
            NoStatus::Refused
        } else {
            NoStatus::Unanswered
        };
        self.controller
            .on_no_status(self.now, asked_at, host, cause);
    }

    fn order(&mut self, host: HostId, order: Order) {
        self.order_count += 1;
        if self.drops_answers {
            self.controller
                .record_unanswered_order(self.now, &host, &order);
            self.late_orders.push((host.clone(), order));
            self.controller
                .on_order_unanswered(self.now, self.now, &host);
            return;
        }
        if !self.engines[&host].is_reachable {
            let asked_at = self.now.minus(Duration::from_millis(300));
            self.controller
                .on_order_unanswered(self.now, asked_at, &host);
            return;
        }
        let accepted = self.carry_out(&host, &order);
        let reply = OrderReply {
            accepted,
            status: self.engines[&host].status(&host),
        };
        self.controller
            .on_order_reply(self.now, self.now, &host, &order, reply);
    }

    /// Carries out the orders that were not answered.
    pub fn deliver_late_orders(&mut self) {
        for (host, order) in std::mem::take(&mut self.late_orders) {
            self.carry_out(&host, &order);
        }
    }

    /// Lets a host carry out an earlier order to join a group again; it is ready in it at once.
    pub fn rejoin(&mut self, host: &HostId, number: GroupNumber, members: &[HostId]) {
        let engine = self.engine(host);
        engine.group = Some(number);
        engine.phase = EnginePhase::Ready;
        engine.members = members.to_vec();
    }

    fn carry_out(&mut self, host: &HostId, order: &Order) -> bool {
        let now = self.now;
        match &order.command {
            Command::Load(load) => {
                if order.group < self.engines[host].newest_group {
                    return false;
                }
                if self.engines[host].group == Some(order.group) {
                    return true;
                }
                self.assert_not_in_open_group(host, order.group);
                if self.crashing_model.as_ref() == Some(&load.model) {
                    self.crashes.push((now, host.clone()));
                    self.restart(host, 1_000_000 + self.crashes.len() as u64);
                    return true;
                }
                let engine = self.engines.get_mut(host).expect("known");
                let is_warm = engine.staged.contains(&load.model)
                    || engine.model.as_ref() == Some(&load.model);
                if !is_warm {
                    self.load_times.push(now);
                    engine.staged = vec![load.model.clone()];
                }
                let time = if is_warm {
                    WARM_JOIN_TIME
                } else {
                    COLD_JOIN_TIME
                };
                let is_unlimited = self.loads_are_unlimited && !is_warm;
                engine.ready_at = now + if is_unlimited { time / 10 } else { time };
                engine.phase = EnginePhase::Loading;
                engine.group = Some(order.group);
                engine.newest_group = order.group;
                engine.model = Some(load.model.clone());
                engine.members = load.hosts.clone();
                true
            }
            Command::Open => {
                let engine = &self.engines[host];
                if engine.group != Some(order.group) || engine.phase != EnginePhase::Ready {
                    return false;
                }
                for member in engine.members.clone() {
                    let status = self.engines[&member].status(&member);
                    assert!(
                        status.shows_ready(order.group),
                        "group {} opens without {member}",
                        order.group.0
                    );
                }
                self.engines.get_mut(host).expect("known").phase = EnginePhase::Serving;
                true
            }
            Command::Release { drain } => {
                let engine = self.engines.get_mut(host).expect("known");
                if engine.group == Some(order.group) {
                    if *drain && now < engine.requests_end_at {
                        engine.phase = EnginePhase::Draining;
                    } else if *drain {
                        engine.phase = EnginePhase::Ready;
                    } else {
                        engine.group = None;
                        engine.phase = EnginePhase::Idle;
                    }
                }
                true
            }
            Command::Stage { model } => {
                self.load_times.push(now);
                self.stage_times.push(now);
                let engine = self.engines.get_mut(host).expect("known");
                engine.staged = vec![model.clone()];
                true
            }
        }
    }

    fn assert_not_in_open_group(&self, host: &HostId, joins: GroupNumber) {
        let engine = &self.engines[host];
        let Some(rank_zero) = engine.members.first().filter(|_| engine.group.is_some()) else {
            return;
        };
        let rank_zero = &self.engines[rank_zero];
        let is_open = rank_zero.group == engine.group && rank_zero.phase == EnginePhase::Serving;
        assert!(
            !is_open,
            "{host} joins {} while {:?} takes requests",
            joins.0, engine.group
        );
    }

    /// Number of groups of this model whose rank 0 takes requests.
    pub fn open_groups(&self, model: &str) -> usize {
        let groups = self.stored.value.groups.iter();
        groups
            .filter(|(number, group)| {
                let rank_zero = &self.engines[&group.members[0].host];
                group.model.as_str() == model
                    && group.phase == GroupPhase::Serving
                    && rank_zero.group == Some(**number)
                    && rank_zero.phase == EnginePhase::Serving
            })
            .count()
    }

    /// A serving group of this model, with its members.
    pub fn group_of(&self, model: &str) -> (GroupNumber, Vec<HostId>) {
        let groups = self.stored.value.groups.iter();
        let mut serving = groups.filter(|(_, group)| {
            group.model.as_str() == model && group.phase == GroupPhase::Serving
        });
        let (number, group) = serving.next().expect("a group serves");
        let members = group.members.iter().map(|m| m.host.clone()).collect();
        (*number, members)
    }

    /// The engine of this host.
    pub fn engine(&mut self, host: &HostId) -> &mut Engine {
        self.engines.get_mut(host).expect("known")
    }

    /// Restarts the engine, which loses all its state. `started` is its start time by the clock
    /// of its host.
    pub fn restart(&mut self, host: &HostId, started: u64) {
        let engine = self.engine(host);
        engine.group = None;
        engine.phase = EnginePhase::Idle;
        engine.model = None;
        engine.members = Vec::new();
        engine.newest_group = GroupNumber(0);
        engine.started = EngineStart(started);
    }

    /// Crashes the host: it answers no requests, and its entry in the host list has expired.
    pub fn crash(&mut self, host: &HostId) {
        let now = self.now;
        self.cut_off(host);
        let engine = self.engine(host);
        engine.is_listed = false;
        engine.crashed_at = Some(now);
    }

    /// Whether all these hosts are members of the group according to their engines.
    pub fn are_members(&self, number: GroupNumber, hosts: &[HostId]) -> bool {
        let mut hosts = hosts.iter();
        hosts.all(|host| self.engines[host].group == Some(number))
    }

    /// Members of a group according to the stored assignment, sorted.
    pub fn stored_members(&self, number: GroupNumber) -> Vec<HostId> {
        let group = self.stored.value.groups.get(&number);
        let members = group.into_iter().flat_map(|group| &group.members);
        let mut hosts: Vec<HostId> = members.map(|member| member.host.clone()).collect();
        hosts.sort();
        hosts
    }

    /// Ends the process of the host, which stays in the host list for a while.
    pub fn end_process(&mut self, host: &HostId) {
        self.cut_off(host);
        self.engine(host).has_ended = true;
    }

    /// Cuts off the host: it answers no requests, but stays in the host list.
    pub fn cut_off(&mut self, host: &HostId) {
        self.engine(host).is_reachable = false;
    }
}

impl Engine {
    fn new(fabric: usize) -> Self {
        Self {
            group: None,
            phase: EnginePhase::Idle,
            staged: Vec::new(),
            is_listed: true,
            is_reachable: true,
            has_ended: false,
            is_leaving: false,
            crashed_at: None,
            requests_end_at: Timestamp::ZERO,
            fabric,
            members: Vec::new(),
            model: None,
            ready_at: Timestamp::ZERO,
            newest_group: GroupNumber(0),
            started: EngineStart(1_000_000),
        }
    }

    fn status(&self, host: &HostId) -> EngineStatus {
        EngineStatus {
            host: host.clone(),
            phase: self.phase,
            group: self.group,
            held: self.model.clone().map(|model| HeldModel {
                model,
                version: ModelVersion::new("current"),
            }),
            members_present: 0,
            member_count: 0,
            members_age_ms: 0,
            load: EngineLoad::default(),
            started: Some(self.started),
        }
    }

    fn record(&self, host: &HostId) -> HostRecord {
        HostRecord {
            address: ([10, 0, 0, 1], 1).into(),
            failure_domain: FailureDomain::new("d"),
            fabric_domain: FabricDomain::new(&format!("fabric-{}", self.fabric)),
            accelerators: 1,
            state: if self.is_leaving {
                HostState::Leaving
            } else {
                HostState::Live
            },
            service: Some(ServiceName::new("s")),
            slots: Some(26),
            staged: self.staged.clone(),
            status: Some(self.status(host)),
            started: Some(self.started),
            warm_up_ms: 0,
        }
    }
}
