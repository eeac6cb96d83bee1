//! Courses of events in which daemons keep the objects of each store era apart: a store that begins
//! to report eras, restores in a row, reads that get no answer, and a rolling update.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shalehinge::core::daemon::{Daemon, Identity, TICK};
use shalehinge::core::event::{Action, Event};
use shalehinge::core::fleet_state::ObjectUpdate;
use shalehinge::core::objects::{
    Assignment, FleetConfig, HostList, LeaseRecord, Object, ObjectKey, Versioned,
};
use shalehinge::core::platform::{
    CallId, EraScope, NoAnswer, PlatformCall, PlatformReply, PlatformResult, Scope,
};
use shalehinge::core::types::{
    DaemonId, Epoch, FailureDomain, GroupNumber, Incarnation, OperationId, StoreEra, Timestamp,
    Version,
};
use shalehinge::settings::control::{Assembly, ControlSettings};
use shalehinge::settings::core::CoreSettings;
use shalehinge::settings::learning::{FeedLayout, LearningSettings};

/// Time in which a daemon takes a lease that nobody holds, or renews its own.
const LEASE_TIME: Duration = Duration::from_secs(8);
/// Time in which the lease holder learns of a restore and takes the lease again.
const RESUME_TIME: Duration = Duration::from_millis(2_500);

/// Time in which the assignment of an earlier era is found, also where half of the reads fail.
const READ_TIME: Duration = Duration::from_secs(60);
/// Reads for each era that is searched, where half of them fail: two on average, and some chance.
const READS_PER_ERA: u64 = 6;
/// Group number of the first era; no number is assigned again.
const LAST_GROUP: GroupNumber = GroupNumber(5_000_000);
/// Group number above the first ones of all eras here, so that it shows which assignment was read.
const ABOVE_ALL_ERAS: GroupNumber = GroupNumber(5_000_000_000_000);
/// Time between the starts of two daemons.
const START_INTERVAL: Duration = Duration::from_millis(700);

/// Name of a stored object.
type Name = (ObjectKey, EraScope);

/// A store that compares the numbers of versions alone.
struct Store {
    era: StoreEra,
    revision: u64,
    objects: BTreeMap<Name, Versioned<Object>>,
    /// Reads of single objects so far.
    gets: u64,
    /// Whether half of the reads of single objects get no answer, chosen by `rng`.
    loses_gets: bool,
    /// An object that another program overwrote, until it is written again.
    foreign: Option<Name>,
    rng: SmallRng,
}

impl Store {
    fn new(era: StoreEra) -> Self {
        Self {
            era,
            revision: 0,
            objects: BTreeMap::new(),
            gets: 0,
            loses_gets: false,
            foreign: None,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    /// Begins a new era with all objects, as if the backup had been taken just before.
    fn restore(&mut self) {
        let number = self.era.number().expect("an era is reported");
        self.era = StoreEra::new(number + 1);
    }

    fn write(&mut self, name: Name, value: Object) -> Version {
        self.revision += 1;
        let version = Version::new(self.era, self.revision);
        self.foreign.take_if(|foreign| *foreign == name);
        self.objects.insert(name, Versioned { version, value });
        version
    }

    /// Replies to a call; `None` for a watch, which waits.
    fn answer(&mut self, call: PlatformCall) -> Option<PlatformResult> {
        Some(match call {
            PlatformCall::Put {
                key,
                scope,
                expect,
                object,
            } => Ok(self.put((key, scope), expect, *object)),
            PlatformCall::Get { key, scope, .. } => self.get(&(key, scope)),
            PlatformCall::Delete { key, scope } => {
                self.objects.remove(&(key, scope));
                Ok(PlatformReply::Deleted(self.era))
            }
            PlatformCall::List { scope, .. } => Ok(PlatformReply::Objects {
                revision: Version::new(self.era, self.revision),
                updates: self.list(scope),
            }),
            PlatformCall::Watch { .. } => return None,
        })
    }

    fn put(&mut self, name: Name, expect: Version, object: Object) -> PlatformReply {
        let current = self.objects.get(&name);
        let current = current.map_or(0, |object| object.version.number);
        if current != expect.number {
            return PlatformReply::Conflict(self.era);
        }
        PlatformReply::Written(self.write(name, object))
    }

    fn get(&mut self, name: &Name) -> PlatformResult {
        self.gets += 1;
        if self.loses_gets && self.rng.random_bool(0.5) {
            return Err(NoAnswer);
        }
        let Some(mut object) = self.objects.get(name).cloned() else {
            return Ok(PlatformReply::Missing(self.era));
        };
        object.version.era = self.era;
        if self.foreign.as_ref() == Some(name) {
            return Ok(PlatformReply::Foreign(object.version));
        }
        Ok(PlatformReply::Object(Box::new(object)))
    }

    fn list(&self, scope: Scope) -> Vec<ObjectUpdate> {
        let update = |key, object| ObjectUpdate {
            key,
            version: Version::new(self.era, self.revision),
            object,
        };
        match scope {
            Scope::Configuration => {
                vec![update(
                    ObjectKey::Fleet,
                    Object::Fleet(FleetConfig::default()),
                )]
            }
            Scope::Hosts => vec![update(ObjectKey::Hosts, Object::Hosts(HostList::default()))],
            _ => {
                let shared = |name: &Name| matches!(name, (ObjectKey::Lease(_), EraScope::Shared));
                let objects = self.objects.iter().filter(|(name, _)| shared(name));
                objects
                    .map(|(name, object)| update(name.0.clone(), object.value.clone()))
                    .collect()
            }
        }
    }

    fn assignment(&self, scope: EraScope) -> Option<Assignment> {
        let name = (assignment_key(), scope);
        Some(self.objects.get(&name)?.clone().into_assignment()?.value)
    }
}

fn domain() -> FailureDomain {
    FailureDomain::new("d")
}

fn lease_key() -> ObjectKey {
    ObjectKey::Lease(domain())
}

fn assignment_key() -> ObjectKey {
    ObjectKey::Assignment(domain())
}

/// A daemon, and its watches that wait for a change.
struct Node {
    daemon: Daemon,
    watches: Vec<CallId>,
}

/// Daemons of one failure domain, and their store.
struct Fleet {
    nodes: Vec<Node>,
    store: Store,
    now: Timestamp,
    settings: CoreSettings,
    is_first_start: bool,
    /// Index of the daemon whose calls get no answer, if there is one.
    cut_off: Option<usize>,
}

impl Fleet {
    fn new(store: Store, era_objects: bool, is_first_start: bool, count: u16) -> Self {
        let settings = CoreSettings {
            learning: LearningSettings {
                feeds: FeedLayout::Split,
                era_objects,
                ..LearningSettings::default()
            },
            control: ControlSettings {
                assembly: Assembly::Orders,
                ..ControlSettings::default()
            },
            ..CoreSettings::default()
        };
        let mut fleet = Self {
            nodes: Vec::new(),
            store,
            now: Timestamp::ZERO,
            settings,
            is_first_start,
            cut_off: None,
        };
        (1..=count).for_each(|number| fleet.start_daemon(number));
        fleet
    }

    fn start_daemon(&mut self, number: u16) {
        let identity = Identity {
            daemon: DaemonId::new(&format!("daemon-{number}")),
            failure_domain: domain(),
            address: ([10, 0, 0, 1], number).into(),
            incarnation: Incarnation(1),
            seeds: Vec::new(),
            is_first_start: self.is_first_start,
            wall_seconds: 0,
        };
        self.nodes.push(Node {
            daemon: Daemon::new(self.settings, identity, u64::from(number)),
            watches: Vec::new(),
        });
    }

    fn handle(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        let daemon = &mut self.nodes[index].daemon;
        daemon.handle(self.now, event, &mut actions);
        for action in actions {
            let Action::Platform { call, request } = action else {
                continue;
            };
            let answer = if self.cut_off == Some(index) {
                Some(Err(NoAnswer))
            } else {
                self.store.answer(request)
            };
            match answer {
                Some(result) => self.handle(index, Event::Platform { call, result }),
                None => self.nodes[index].watches.push(call),
            }
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        for index in 0..self.nodes.len() {
            if self.now.as_duration() >= START_INTERVAL * index as u32 {
                self.handle(index, Event::Tick);
            }
        }
        if self.now.as_duration().as_millis().is_multiple_of(1_000) {
            self.continue_watches();
        }
    }

    /// Ends the watches of all daemons, as nothing has changed. The reply of a store that begins to
    /// report eras is left out, so that daemons learn its era one by one.
    fn continue_watches(&mut self) {
        let revision = Version::new(self.store.era, self.store.revision);
        for index in 0..self.nodes.len() {
            if self.nodes[index].daemon.store_era() != Some(self.store.era) {
                continue;
            }
            for call in std::mem::take(&mut self.nodes[index].watches) {
                let updates = Vec::new();
                let result = Ok(PlatformReply::Objects { revision, updates });
                self.handle(index, Event::Platform { call, result });
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Ends the watches of all daemons, whose replies name the store's era.
    fn end_watches(&mut self) {
        let era = self.store.era;
        for index in 0..self.nodes.len() {
            for call in std::mem::take(&mut self.nodes[index].watches) {
                let result = Ok(PlatformReply::HistoryGone(era));
                self.handle(index, Event::Platform { call, result });
            }
        }
    }

    fn restore(&mut self) {
        self.store.restore();
        self.end_watches();
    }

    /// The daemons that hold control now.
    fn holders(&self) -> Vec<String> {
        let holds = |node: &&Node| node.daemon.lease().held(self.now).is_some();
        let holders = self.nodes.iter().filter(holds);
        holders
            .map(|node| node.daemon.identity().daemon.to_string())
            .collect()
    }

    /// The assignment that daemons go by.
    fn assignment(&self, era_objects: bool) -> Option<Assignment> {
        let scope = if era_objects {
            EraScope::Single(self.store.era)
        } else {
            EraScope::Shared
        };
        self.store.assignment(scope)
    }

    /// Runs for `time`, in which no two daemons may hold control at once.
    fn assert_at_most_one_holder(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
            let holders = self.holders();
            let is_shared = !self.settings.learning.era_objects;
            assert!(
                holders.len() <= 1,
                "shared objects {is_shared}: {holders:?} at once"
            );
        }
    }

    /// The longest time without a lease holder while the fleet runs for `time`.
    fn longest_gap(&mut self, time: Duration) -> Duration {
        let end = self.now + time;
        let mut gap = Duration::ZERO;
        let mut longest = gap;
        while self.now < end {
            self.tick();
            gap = if self.holders().is_empty() {
                gap + TICK
            } else {
                Duration::ZERO
            };
            longest = longest.max(gap);
        }
        longest
    }
}

// Guards against two lease holders when a store that reported no era begins to report one.
#[test]
fn one_daemon_holds_control_when_the_store_begins_to_report_eras() {
    for era_objects in [false, true] {
        for ticks in 0..60 {
            let store = Store::new(StoreEra::UNREPORTED);
            let mut fleet = Fleet::new(store, era_objects, true, 3);
            fleet.run(LEASE_TIME * 2 + TICK * ticks);
            fleet.store.era = StoreEra::new(1);
            fleet.assert_at_most_one_holder(LEASE_TIME);
        }
    }
}

/// In a fleet that starts for the first time, another daemon starts just after the store's era
/// changed, of which the lease holder has not heard yet.
fn start_a_daemon_after_the_era_changed(from: StoreEra, to: StoreEra, cut_off: Option<usize>) {
    for era_objects in [false, true] {
        for ticks in 0..40 {
            let mut fleet = Fleet::new(Store::new(from), era_objects, true, 1);
            fleet.run(LEASE_TIME + TICK * ticks);
            assert_eq!(fleet.holders().len(), 1);
            fleet.cut_off = cut_off;
            fleet.store.era = to;
            fleet.start_daemon(2);
            fleet.assert_at_most_one_holder(LEASE_TIME);
        }
    }
}

#[test]
fn a_daemon_that_starts_as_the_store_begins_to_report_eras_respects_the_lease() {
    start_a_daemon_after_the_era_changed(StoreEra::UNREPORTED, StoreEra::new(1), None);
}

#[test]
fn a_daemon_that_starts_as_the_store_is_restored_respects_the_lease() {
    start_a_daemon_after_the_era_changed(StoreEra::new(1), StoreEra::new(2), None);
}

// Guards against two lease holders when the backup shows the lease of a holder that is cut off.
#[test]
fn a_daemon_that_starts_as_the_store_is_restored_respects_the_lease_of_one_that_is_cut_off() {
    start_a_daemon_after_the_era_changed(StoreEra::new(1), StoreEra::new(2), Some(0));
}

// Guards against control that ends for a term when a store begins to report eras.
#[test]
fn control_goes_on_when_the_store_begins_to_report_eras() {
    for era_objects in [false, true] {
        let mut fleet = Fleet::new(Store::new(StoreEra::UNREPORTED), era_objects, false, 1);
        fleet.run(LEASE_TIME);
        assert_eq!(fleet.holders().len(), 1);
        fleet.store.era = StoreEra::new(1);
        fleet.end_watches();
        let gap = fleet.longest_gap(LEASE_TIME * 2);
        assert!(
            gap < RESUME_TIME,
            "era_objects {era_objects}: no holder for {gap:?}"
        );
    }
}

// Guards against the wait of a term when a second restore follows before control was resumed.
#[test]
fn control_is_resumed_after_two_restores_in_a_row() {
    let gaps = [false, true].map(|era_objects| {
        let mut fleet = Fleet::new(Store::new(StoreEra::new(1)), era_objects, false, 1);
        fleet.run(LEASE_TIME * 2 + TICK * 3);
        assert_eq!(fleet.holders().len(), 1);
        fleet.restore();
        fleet.store.restore();
        fleet.longest_gap(LEASE_TIME * 2)
    });
    let is_short = gaps.iter().all(|gap| *gap < RESUME_TIME);
    assert!(
        is_short,
        "no holder for {gaps:?}, with shared objects and those of eras"
    );
}

/// An assignment written in the first era.
fn assignment_of_first_era() -> Assignment {
    Assignment {
        epoch: Epoch::first_of(StoreEra::new(1)),
        next_group: LAST_GROUP,
        ..Assignment::default()
    }
}

// Guards against a search through earlier eras that begins anew whenever a read gets no answer: the
// reads that it takes double with each era.
#[test]
fn the_assignment_of_an_earlier_era_takes_few_reads_where_half_of_them_get_no_answer() {
    for era in [2, 6, 12] {
        let mut store = Store::new(StoreEra::new(era));
        let name = (assignment_key(), EraScope::Single(StoreEra::new(1)));
        store.write(name, Object::Assignment(assignment_of_first_era()));
        let mut fleet = Fleet::new(store, true, false, 1);
        while fleet.holders().is_empty() {
            fleet.tick();
        }
        fleet.store.loses_gets = true;
        let before = fleet.store.gets;
        let since = fleet.now;
        while fleet.assignment(true).is_none() && fleet.now.since(since) < READ_TIME {
            fleet.tick();
        }
        let gets = fleet.store.gets - before;
        let time = fleet.now.since(since);
        println!("era {era}: {gets} reads in {time:?}");
        assert!(gets <= READS_PER_ERA * u64::from(era), "{gets} reads");
    }
}

/// The first group numbers of two eras that begin with the same backup.
fn next_groups_of_two_eras(era_objects: bool) -> [GroupNumber; 2] {
    let scope = if era_objects {
        EraScope::Single(StoreEra::new(1))
    } else {
        EraScope::Shared
    };
    let mut store = Store::new(StoreEra::new(2));
    let name = (assignment_key(), scope);
    store.write(name, Object::Assignment(assignment_of_first_era()));
    let backup = store.objects.clone();
    let mut fleet = Fleet::new(store, era_objects, false, 1);
    fleet.run(LEASE_TIME * 2);
    let second = fleet.assignment(era_objects).expect("written again");
    fleet.store.objects = backup;
    fleet.restore();
    fleet.run(LEASE_TIME * 2);
    let third = fleet.assignment(era_objects).expect("written once more");
    assert!(second.epoch < third.epoch, "each era writes its own");
    [second.next_group, third.next_group]
}

// Guards against group numbers that are assigned again after the same backup is restored twice.
#[test]
fn group_numbers_of_two_eras_from_one_backup_differ() {
    let numbers = [false, true].map(next_groups_of_two_eras);
    let rise = numbers.iter().all(|[second, third]| third > second);
    assert!(rise, "{numbers:?}, with shared objects and those of eras");
}

// Guards against group numbers of an era that are assigned again after another program overwrote its
// assignment.
#[test]
fn group_numbers_of_an_era_go_on_after_a_foreign_write() {
    let [_, of_third] = next_groups_of_two_eras(true);
    let mut store = Store::new(StoreEra::new(3));
    let name = (assignment_key(), EraScope::Single(StoreEra::new(3)));
    store.write(name.clone(), Object::Assignment(assignment_of_first_era()));
    store.foreign = Some(name);
    let mut fleet = Fleet::new(store, true, false, 1);
    fleet.run(LEASE_TIME * 2);
    assert_eq!(fleet.store.foreign, None, "written again");
    let next_group = fleet.assignment(true).expect("written again").next_group;
    assert!(next_group > of_third, "{next_group:?}, {of_third:?}");
}

/// Whether the daemon of a fleet in this era takes over the assignment of the first one.
fn takes_over_the_first_assignment(era: u32) -> bool {
    let mut store = Store::new(StoreEra::new(era));
    let name = (assignment_key(), EraScope::Single(StoreEra::new(1)));
    let assignment = Assignment {
        next_group: ABOVE_ALL_ERAS,
        ..assignment_of_first_era()
    };
    store.write(name, Object::Assignment(assignment));
    let mut fleet = Fleet::new(store, true, false, 1);
    fleet.run(LEASE_TIME * 2);
    let assignment = fleet.assignment(true).expect("written again");
    assignment.next_group > ABOVE_ALL_ERAS
}

// Guards against group numbers that are assigned again as the assignment is looked for in the
// current era alone.
#[test]
fn group_numbers_go_on_from_the_assignment_of_an_earlier_era() {
    for era in 2..=16 {
        assert!(takes_over_the_first_assignment(era), "era {era}");
    }
}

// Guards against an object that is older than the search goes, while the page names 16 eras.
#[test]
fn an_assignment_of_sixteen_eras_ago_is_taken_over() {
    assert!(takes_over_the_first_assignment(17));
}

// Guards against a second lease holder beside one of an earlier version that took its lease before
// the store reported eras, and renews it since.
#[test]
fn a_lease_that_an_earlier_version_took_before_eras_is_respected() {
    for era_objects in [false, true] {
        let mut store = Store::new(StoreEra::new(1));
        let holder = LeaseRecord {
            operation: OperationId(1),
            holder: DaemonId::new("of-an-earlier-version"),
            incarnation: Incarnation(1),
            epoch: Epoch(5),
            term_ms: 6_000,
            released: false,
        };
        let name = (lease_key(), EraScope::Shared);
        store.write(name.clone(), Object::Lease(holder.clone()));
        let mut fleet = Fleet::new(store, era_objects, false, 1);
        for renewal in 0..20 {
            fleet.run(Duration::from_secs(1));
            let holders = fleet.holders();
            assert!(
                holders.is_empty(),
                "era_objects {era_objects}, after {renewal} renewals: {holders:?}"
            );
            let renewed = LeaseRecord {
                operation: OperationId(renewal + 2),
                ..holder.clone()
            };
            fleet.store.write(name.clone(), Object::Lease(renewed));
        }
    }
}

/// A lease that a daemon of an earlier version took before the store reported eras.
fn lease_of_earlier_version(epoch: u64) -> LeaseRecord {
    LeaseRecord {
        operation: OperationId(1),
        holder: DaemonId::new("of-an-earlier-version"),
        incarnation: Incarnation(1),
        epoch: Epoch(epoch),
        term_ms: 6_000,
        released: false,
    }
}

/// A fleet in the first era, whose store has the lease of an earlier version.
fn fleet_beside_an_earlier_version() -> Fleet {
    let mut store = Store::new(StoreEra::new(1));
    let name = (lease_key(), EraScope::Shared);
    store.write(name, Object::Lease(lease_of_earlier_version(5)));
    Fleet::new(store, true, false, 2)
}

/// Renews this lease once a second; meanwhile no daemon of this version may hold control.
fn renew_shared_lease(fleet: &mut Fleet, lease: &LeaseRecord, renewals: u64) {
    let name = (lease_key(), EraScope::Shared);
    for renewal in 0..renewals {
        let renewed = LeaseRecord {
            operation: OperationId(renewal + 2),
            ..lease.clone()
        };
        fleet.store.write(name.clone(), Object::Lease(renewed));
        assert_no_holder(fleet, Duration::from_secs(1));
    }
}

fn assert_no_holder(fleet: &mut Fleet, time: Duration) {
    let end = fleet.now + time;
    while fleet.now < end {
        fleet.tick();
        assert_eq!(fleet.holders(), Vec::<String>::new());
    }
}

// Guards against a second lease holder while daemons of an earlier version hand on their lease, as
// its holder stops or is lost.
#[test]
fn a_lease_that_earlier_versions_hand_on_is_respected() {
    for (released, wait) in [(true, 2), (false, 10)] {
        let mut fleet = fleet_beside_an_earlier_version();
        renew_shared_lease(&mut fleet, &lease_of_earlier_version(5), 10);
        let last = LeaseRecord {
            released,
            ..lease_of_earlier_version(5)
        };
        let name = (lease_key(), EraScope::Shared);
        fleet.store.write(name, Object::Lease(last));
        assert_no_holder(&mut fleet, Duration::from_secs(wait));
        renew_shared_lease(&mut fleet, &lease_of_earlier_version(6), 10);
    }
}

// Guards against a second lease holder that saw none of the renewals while it was cut off.
#[test]
fn a_lease_that_an_earlier_version_renews_unseen_is_respected() {
    for cut_off in 0..2 {
        let mut fleet = fleet_beside_an_earlier_version();
        renew_shared_lease(&mut fleet, &lease_of_earlier_version(5), 3);
        fleet.cut_off = Some(cut_off);
        renew_shared_lease(&mut fleet, &lease_of_earlier_version(5), 20);
        fleet.cut_off = None;
        renew_shared_lease(&mut fleet, &lease_of_earlier_version(5), 10);
    }
}

// Guards against a write that a daemon sends after a pause, for what it had read before it.
#[test]
fn a_lease_that_is_handed_on_while_a_daemon_is_paused_is_respected() {
    for ticks in 200..300 {
        let mut fleet = fleet_beside_an_earlier_version();
        renew_shared_lease(&mut fleet, &lease_of_earlier_version(5), 3);
        let end = fleet.now + TICK * ticks;
        while fleet.now < end && fleet.holders().is_empty() {
            fleet.tick();
        }
        if !fleet.holders().is_empty() {
            return;
        }
        let name = (lease_key(), EraScope::Shared);
        let next = Object::Lease(lease_of_earlier_version(6));
        fleet.store.write(name, next);
        fleet.now = fleet.now + Duration::from_secs(5);
        renew_shared_lease(&mut fleet, &lease_of_earlier_version(6), 3);
    }
    panic!("control was never taken");
}

// Guards against a failure domain without control after the last daemon of an earlier version ended.
#[test]
fn control_is_taken_after_the_last_lease_of_an_earlier_version() {
    let mut fleet = fleet_beside_an_earlier_version();
    renew_shared_lease(&mut fleet, &lease_of_earlier_version(5), 10);
    fleet.assert_at_most_one_holder(LEASE_TIME * 2 + RESUME_TIME);
    assert_eq!(fleet.holders().len(), 1);
    let first = fleet.holders();
    // What the earlier version left doesn't delay the next holder.
    fleet.cut_off = fleet.nodes.iter().position(|node| {
        let name = node.daemon.identity().daemon.to_string();
        first.contains(&name)
    });
    fleet.assert_at_most_one_holder(LEASE_TIME * 2);
    assert_eq!(fleet.holders().len(), 1);
    assert_ne!(fleet.holders(), first);
}
