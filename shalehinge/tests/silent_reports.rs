//! Tests of silent hosts where engines assemble their groups themselves and report them.

use std::collections::BTreeMap;
use std::time::Duration;

use shalehinge::core::controller::{Controller, ControllerAction, HostListState, Origin};
use shalehinge::core::engine::{EngineLoad, EnginePhase, EngineStatus, NoStatus};
use shalehinge::core::fleet_state::{FleetState, ObjectUpdate};
use shalehinge::core::objects::{
    Assignment, FleetConfig, Group, GroupPhase, HostList, HostRecord, HostState, Member,
    ModelIntent, Object, ObjectKey, Versioned,
};
use shalehinge::core::types::{
    Customer, Epoch, FabricDomain, FailureDomain, GroupNumber, HostId, ModelName, ModelVersion,
    OperationId, Timestamp, Version,
};
use shalehinge::settings::control::ControlSettings;

const STEP: Duration = Duration::from_millis(50);
const GROUP: GroupNumber = GroupNumber(1);
const HOST_COUNT: u16 = 4;
/// Silences that every serving group must survive.
const PAUSES_MS: [u64; 4] = [300, 1_000, 1_300, 2_000];

/// What rank 0 of the group returns to a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Report {
    Complete,
    MemberMissing,
    Nothing(NoStatus),
}

/// A failure domain with one serving group of two hosts.
struct Domain {
    controller: Controller,
    state: FleetState,
    now: Timestamp,
    report: Report,
    notified_silent_at: Vec<Timestamp>,
    dissolved_at: Option<Timestamp>,
}

fn domain_name() -> FailureDomain {
    FailureDomain::new("d")
}

fn host(number: u16) -> HostId {
    HostId::new(&format!("host-{number}"))
}

fn member(number: u16) -> Member {
    let address = ([10, 0, 0, 1], number + 1).into();
    Member {
        host: host(number),
        address,
    }
}

fn record(number: u16) -> HostRecord {
    HostRecord {
        address: member(number).address,
        failure_domain: domain_name(),
        fabric_domain: FabricDomain::new("f"),
        accelerators: 8,
        state: HostState::Live,
        service: None,
        slots: None,
        staged: Vec::new(),
        status: None,
        started: None,
        warm_up_ms: 0,
    }
}

fn state() -> FleetState {
    let intent = ModelIntent {
        owner: Customer::new("c"),
        version: ModelVersion::new("1"),
        hosts_per_replica: 2,
        replicas: BTreeMap::from([(domain_name(), 1)]),
    };
    let fleet = FleetConfig {
        models: BTreeMap::from([(ModelName::new("m"), intent)]),
        ..FleetConfig::default()
    };
    let hosts = (0..HOST_COUNT)
        .map(|number| (host(number), record(number)))
        .collect();
    let mut state = FleetState::default();
    for (key, object) in [
        (ObjectKey::Fleet, Object::Fleet(fleet)),
        (ObjectKey::Hosts, Object::Hosts(HostList { hosts })),
    ] {
        state.apply(ObjectUpdate {
            key,
            version: Version::without_era(1),
            object,
        });
    }
    state
}

fn assignment() -> Versioned<Assignment> {
    let group = Group {
        model: ModelName::new("m"),
        version: ModelVersion::new("1"),
        members: vec![member(0), member(1)],
        phase: GroupPhase::Serving,
        unknown_members: 0,
    };
    let value = Assignment {
        epoch: Epoch(1),
        next_group: GroupNumber(2),
        groups: BTreeMap::from([(GROUP, group)]),
        ..Assignment::default()
    };
    Versioned {
        version: Version::without_era(1),
        value,
    }
}

impl Domain {
    fn serving() -> Self {
        let mut domain = Self {
            controller: Controller::new(ControlSettings::default(), domain_name()),
            state: state(),
            now: Timestamp::from_millis(1_000),
            report: Report::Complete,
            notified_silent_at: Vec::new(),
            dissolved_at: None,
        };
        domain.run_for(Duration::from_secs(1));
        assert_eq!(domain.dissolved_at, None);
        domain
    }

    /// Runs the simulation, in which routers suspect the group while it is not complete.
    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end && self.dissolved_at.is_none() {
            self.now = self.now + STEP;
            if self.report != Report::Complete {
                self.controller.suspect(self.now, GROUP);
            }
            let list_state = HostListState {
                as_of: Some(self.now),
                domains: 1,
                ..HostListState::default()
            };
            let operation = OperationId(1);
            let epoch = Some(Epoch(1));
            let actions = self
                .controller
                .tick(self.now, epoch, &self.state, list_state, operation);
            for action in actions {
                self.handle(action);
            }
        }
    }

    fn handle(&mut self, action: ControllerAction) {
        match action {
            ControllerAction::Read => self.controller.on_read(assignment(), Origin::Current),
            ControllerAction::Write { value, .. } => {
                let group = value.groups.get(&GROUP);
                let serves = group.is_some_and(|group| group.phase == GroupPhase::Serving);
                if !serves {
                    self.dissolved_at = Some(self.now);
                }
                self.controller.on_written(Version::without_era(2));
            }
            ControllerAction::Probe { member, .. } => self.answer(&member.host),
            ControllerAction::NotifySilent(GROUP) => self.notified_silent_at.push(self.now),
            ControllerAction::Order { host, order, .. } => {
                panic!("{host} is ordered: {}", order.command)
            }
            _ => {}
        }
    }

    fn answer(&mut self, host: &HostId) {
        let members_present = match self.report {
            Report::Complete => 2,
            Report::MemberMissing => 1,
            Report::Nothing(cause) => {
                self.controller
                    .on_no_status(self.now, self.now, host, cause);
                return;
            }
        };
        let status = EngineStatus {
            host: host.clone(),
            phase: EnginePhase::Ready,
            group: Some(GROUP),
            held: None,
            members_present,
            member_count: 2,
            members_age_ms: 0,
            load: EngineLoad::default(),
            started: None,
        };
        self.controller.on_status(self.now, self.now, status);
    }

    /// Time since `from` at which the group was dissolved.
    fn dissolved_after(&self, from: Timestamp) -> Option<Duration> {
        self.dissolved_at.map(|at| at.since(from))
    }
}

#[test]
fn a_group_that_is_silent_or_lacks_a_member_for_a_second_is_kept() {
    for report in [Report::Nothing(NoStatus::Unanswered), Report::MemberMissing] {
        for ms in PAUSES_MS {
            let mut domain = Domain::serving();
            domain.report = report;
            domain.run_for(Duration::from_millis(ms));
            domain.report = Report::Complete;
            domain.run_for(Duration::from_secs(15));
            assert_eq!(domain.dissolved_at, None, "{report:?} for {ms} ms");
        }
    }
}

#[test]
fn a_dark_rank_zero_is_notified_at_once_and_lost_after_the_silence() {
    let settings = ControlSettings::default();
    for report in [Report::Nothing(NoStatus::Unanswered), Report::MemberMissing] {
        let mut domain = Domain::serving();
        domain.report = report;
        let began = domain.now;
        domain.run_for(Duration::from_secs(10));
        let notified_after = domain.notified_silent_at[0].since(began);
        let latest = settings.loss_confirm + settings.order_interval * 2;
        assert!(notified_after <= latest, "{report:?}: {notified_after:?}");
        let dissolved_after = domain.dissolved_after(began).expect("dissolved");
        let latest = settings.silence_confirm + settings.order_interval * 2;
        assert!(dissolved_after <= latest, "{report:?}: {dissolved_after:?}");
    }
}

#[test]
fn a_rank_zero_whose_process_ended_is_lost_at_once() {
    let settings = ControlSettings::default();
    let mut domain = Domain::serving();
    domain.report = Report::Nothing(NoStatus::Refused);
    let began = domain.now;
    domain.run_for(Duration::from_secs(10));
    let dissolved_after = domain.dissolved_after(began).expect("dissolved");
    let latest = settings.loss_confirm + settings.order_interval * 2;
    assert!(dissolved_after <= latest, "{dissolved_after:?}");
}
