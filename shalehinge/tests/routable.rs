//! Daemons that receive the host list from peers end up with exactly its routable part, whichever
//! updates they missed. The expected list is tracked alongside.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalehinge::core::engine::{EngineLoad, EnginePhase, EngineStatus, HeldModel};
use shalehinge::core::fleet_state::{FleetState, HostDetail, ObjectUpdate};
use shalehinge::core::objects::{HostChanges, HostList, HostRecord, HostState, Object, ObjectKey};
use shalehinge::core::routable_hosts::routable_hosts;
use shalehinge::core::types::{
    FabricDomain, FailureDomain, GroupNumber, HostId, ModelName, ModelVersion, Version,
};

const HOSTS: u16 = 12;
const PHASES: [EnginePhase; 4] = [
    EnginePhase::Idle,
    EnginePhase::Loading,
    EnginePhase::Serving,
    EnginePhase::Broken,
];

fn host(number: u16) -> HostId {
    HostId::new(&format!("h{number}"))
}

/// A host in a random state: an instance of a plain service, or a member of a random group.
fn random_record(number: u16, rng: &mut StdRng) -> HostRecord {
    let phase = PHASES[rng.random_range(0..PHASES.len())];
    let status = EngineStatus {
        host: host(number),
        phase,
        group: (phase != EnginePhase::Idle).then(|| GroupNumber(rng.random_range(1..4))),
        held: Some(HeldModel {
            model: ModelName::new("m"),
            version: ModelVersion::new("v"),
        }),
        members_present: 0,
        member_count: 0,
        members_age_ms: 0,
        load: EngineLoad::default(),
        started: None,
    };
    let is_leaving = rng.random_bool(0.2);
    HostRecord {
        address: ([10, 0, 0, 1], number).into(),
        failure_domain: FailureDomain::new("d"),
        fabric_domain: FabricDomain::new("f"),
        accelerators: 1,
        state: if is_leaving {
            HostState::Leaving
        } else {
            HostState::Live
        },
        service: None,
        slots: None,
        staged: vec![ModelName::new(if rng.random_bool(0.5) { "m" } else { "n" })],
        status: rng.random_bool(0.7).then_some(status),
        started: None,
        warm_up_ms: 0,
    }
}

fn update(version: u64, object: Object) -> ObjectUpdate {
    ObjectUpdate {
        key: ObjectKey::Hosts,
        version: Version::without_era(version),
        object,
    }
}

/// A daemon that reads the list, a second one that asks the first, and a third one that asks the
/// second.
struct Chain {
    rng: StdRng,
    version: u64,
    hosts: BTreeMap<HostId, HostRecord>,
    states: Vec<FleetState>,
}

impl Chain {
    fn new(seed: u64) -> Self {
        let mut chain = Self {
            rng: StdRng::seed_from_u64(seed),
            version: 1,
            hosts: BTreeMap::new(),
            states: vec![FleetState::new(HostDetail::Routable); 3],
        };
        chain.list();
        chain
    }

    fn list(&mut self) {
        let hosts = self.hosts.clone();
        let list = Object::Hosts(HostList { hosts });
        self.states[0].apply(update(self.version, list));
    }

    fn change(&mut self) {
        let number = self.rng.random_range(0..HOSTS);
        self.change_host(number);
    }

    fn change_host(&mut self, number: u16) {
        self.version += 1;
        let mut changes = HostChanges::default();
        if self.rng.random_bool(0.2) {
            self.hosts.remove(&host(number));
            changes.removed = BTreeSet::from([host(number)]);
        } else {
            let record = random_record(number, &mut self.rng);
            self.hosts.insert(host(number), record.clone());
            changes.changed.insert(host(number), record);
        }
        let changes = Object::HostChanges(changes);
        self.states[0].apply(update(self.version, changes));
    }

    fn pull(&mut self, requester: usize) {
        let digest = self.states[requester].digest();
        if let Some(update_for_requester) = self.states[requester - 1].routable_hosts_after(&digest)
        {
            self.states[requester].apply(update_for_requester);
        }
    }

    /// The reading daemon stops reading, misses updates, and lists again.
    fn stop_reading_and_list(&mut self) {
        self.states[0].discard_unroutable_hosts();
        self.version += 1;
        self.list();
    }

    fn check(&self) {
        let hosts = self.hosts.clone();
        let expected = routable_hosts(&HostList { hosts });
        for state in &self.states[1..] {
            let known = state.hosts().expect("host list is known");
            assert_eq!(
                (known.version.number, &known.value),
                (self.version, &expected)
            );
        }
    }
}

fn run(seed: u64) {
    const STEPS: usize = 400;
    let mut chain = Chain::new(seed);
    for _ in 0..STEPS {
        match chain.rng.random_range(0..100) {
            0..70 => chain.change(),
            70..84 => chain.pull(1),
            84..98 => chain.pull(2),
            98 => chain.stop_reading_and_list(),
            _ => chain.states[2] = FleetState::new(HostDetail::Routable),
        }
    }
    chain.pull(1);
    chain.pull(2);
    chain.check();
}

#[test]
fn updates_from_peers_add_up_to_the_routable_part_of_the_list() {
    for seed in 0..300 {
        run(seed);
    }
}

#[test]
fn a_peer_that_missed_more_changes_than_the_log_holds_gets_the_whole_part() {
    let mut chain = Chain::new(1);
    chain.pull(1);
    for number in 0..HOSTS {
        chain.change_host(number);
    }
    // Only one host changes from here on, so that the changes of the others drop out of the log.
    for _ in 0..1_000 {
        chain.change_host(0);
    }
    chain.pull(1);
    chain.pull(2);
    chain.check();
}
