//! Leases and assignments of a store whose conditional writes don't name the era: it may carry out
//! a write long after it was sent, also in a later era, on a number that it has assigned again.

use std::collections::BTreeMap;
use std::time::Duration;

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

const FIRST: EraScope = EraScope::Single(StoreEra::new(1));
const SECOND: EraScope = EraScope::Single(StoreEra::new(2));
/// Time in which a daemon takes a lease that nobody holds, or renews its own.
const LEASE_TIME: Duration = Duration::from_secs(8);
/// Time in which the lease holder learns of a restore and takes the lease again.
const RESUME_TIME: Duration = Duration::from_millis(1_500);

/// Name of a stored object.
type Name = (ObjectKey, EraScope);

/// The stored objects, which a backup contains as a whole.
#[derive(Clone, Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<Name, Versioned<Object>>,
}

/// A store with one revision counter that compares the numbers of versions alone.
struct Store {
    era: StoreEra,
    content: Content,
    backup: Content,
    /// Whether writes are held back, and time out for their sender.
    holds_writes: bool,
    held: Vec<PlatformCall>,
    deleted: Vec<Name>,
    /// When this object is read, the store is restored from the backup first.
    restore_at_read: Option<Name>,
    /// Reads of this object get no answer.
    lost_read: Option<Name>,
    /// Number of reads that got no answer.
    lost_reads: usize,
    /// Objects whose writes were refused.
    refused: Vec<Name>,
    /// Number of lists of the shared leases.
    lease_lists: usize,
}

impl Store {
    fn new(era: StoreEra) -> Self {
        Self {
            era,
            content: Content::default(),
            backup: Content::default(),
            holds_writes: false,
            held: Vec::new(),
            deleted: Vec::new(),
            restore_at_read: None,
            lost_read: None,
            lost_reads: 0,
            refused: Vec::new(),
            lease_lists: 0,
        }
    }

    fn take_backup(&mut self) {
        self.backup = self.content.clone();
    }

    fn restore(&mut self) {
        self.content = self.backup.clone();
        let number = self.era.number().expect("an era is reported");
        self.era = StoreEra::new(number + 1);
    }

    fn write(&mut self, name: Name, value: Object) -> Version {
        self.content.revision += 1;
        let version = Version::new(self.era, self.content.revision);
        let object = Versioned { version, value };
        self.content.objects.insert(name, object);
        version
    }

    fn put(&mut self, name: Name, expect: Version, object: Object) -> PlatformReply {
        let current = self.content.objects.get(&name);
        let current = current.map_or(0, |object| object.version.number);
        if current != expect.number {
            self.refused.push(name);
            return PlatformReply::Conflict(self.era);
        }
        PlatformReply::Written(self.write(name, object))
    }

    /// Carries out the writes that were held back, and returns the replies.
    fn carry_out_held_writes(&mut self) -> Vec<PlatformReply> {
        let held = std::mem::take(&mut self.held).into_iter();
        held.filter_map(|call| self.answer(call)).collect()
    }

    /// Replies to a call; `None` for a watch, for a write that is held back and for a lost read.
    fn answer(&mut self, call: PlatformCall) -> Option<PlatformReply> {
        Some(match call {
            PlatformCall::Put { .. } if self.holds_writes => {
                self.held.push(call);
                return None;
            }
            PlatformCall::Put {
                key,
                scope,
                expect,
                object,
            } => self.put((key, scope), expect, *object),
            PlatformCall::Get { key, scope, .. } => {
                let name = (key.clone(), scope);
                if self.restore_at_read.take_if(|at| *at == name).is_some() {
                    self.restore();
                }
                if self.lost_read.as_ref() == Some(&name) {
                    self.lost_reads += 1;
                    return None;
                }
                match self.content.objects.get(&(key, scope)).cloned() {
                    Some(object) => {
                        let version = Version::new(self.era, object.version.number);
                        PlatformReply::Object(Box::new(Versioned { version, ..object }))
                    }
                    None => PlatformReply::Missing(self.era),
                }
            }
            PlatformCall::Delete { key, scope } => {
                let name = (key, scope);
                self.content.objects.remove(&name);
                self.deleted.push(name);
                PlatformReply::Deleted(self.era)
            }
            PlatformCall::List { scope, .. } => {
                self.lease_lists += usize::from(scope == Scope::SharedLeases);
                PlatformReply::Objects {
                    revision: Version::new(self.era, self.content.revision),
                    updates: self.list(scope),
                }
            }
            PlatformCall::Watch { .. } => return None,
        })
    }

    fn list(&self, scope: Scope) -> Vec<ObjectUpdate> {
        let version = Version::new(self.era, self.content.revision);
        let update = |key, object| ObjectUpdate {
            key,
            version,
            object,
        };
        match scope {
            Scope::Configuration => {
                let fleet = Object::Fleet(FleetConfig::default());
                vec![update(ObjectKey::Fleet, fleet)]
            }
            Scope::Hosts => vec![update(ObjectKey::Hosts, Object::Hosts(HostList::default()))],
            _ => {
                let shared = |name: &Name| matches!(name, (ObjectKey::Lease(_), EraScope::Shared));
                let objects = self.content.objects.iter();
                objects
                    .filter(|(name, _)| shared(name))
                    .map(|(name, object)| update(name.0.clone(), object.value.clone()))
                    .collect()
            }
        }
    }

    /// The object that daemons go by: that of the current era, if there is one.
    fn current(&self, key: &ObjectKey) -> Option<Versioned<Object>> {
        let scopes = [EraScope::Single(self.era), EraScope::Shared];
        let mut names = scopes.into_iter().map(|scope| (key.clone(), scope));
        names.find_map(|name| self.content.objects.get(&name).cloned())
    }

    fn lease(&self) -> Option<LeaseRecord> {
        Some(self.current(&lease_key())?.into_lease()?.value)
    }

    fn assignment(&self) -> Option<Assignment> {
        Some(self.current(&assignment_key())?.into_assignment()?.value)
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

/// One daemon and its store.
struct Harness {
    daemon: Daemon,
    now: Timestamp,
    store: Store,
    /// Watches that wait for a change.
    watches: Vec<CallId>,
}

impl Harness {
    fn new(store: Store) -> Self {
        let settings = CoreSettings {
            learning: LearningSettings {
                feeds: FeedLayout::Split,
                era_objects: true,
                ..LearningSettings::default()
            },
            control: ControlSettings {
                assembly: Assembly::Orders,
                ..ControlSettings::default()
            },
            ..CoreSettings::default()
        };
        let identity = Identity {
            daemon: DaemonId::new("one"),
            failure_domain: domain(),
            address: ([10, 0, 0, 1], 1).into(),
            incarnation: Incarnation(1),
            seeds: Vec::new(),
            is_first_start: false,
            wall_seconds: 0,
        };
        Self {
            daemon: Daemon::new(settings, identity, 1),
            now: Timestamp::ZERO,
            store,
            watches: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.daemon.handle(self.now, event, &mut actions);
        for action in actions {
            let Action::Platform { call, request } = action else {
                continue;
            };
            let is_watch = matches!(request, PlatformCall::Watch { .. });
            match self.store.answer(request) {
                Some(reply) => self.reply(call, Ok(reply)),
                None if is_watch => self.watches.push(call),
                None => self.reply(call, Err(NoAnswer)),
            }
        }
    }

    fn reply(&mut self, call: CallId, result: PlatformResult) {
        self.handle(Event::Platform { call, result });
    }

    /// Restores the store's backup and ends the watches, whose replies name the new era.
    fn restore(&mut self) {
        self.store.restore();
        let era = self.store.era;
        for call in std::mem::take(&mut self.watches) {
            self.reply(call, Ok(PlatformReply::HistoryGone(era)));
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            self.handle(Event::Tick);
            if self.now.as_duration().as_millis().is_multiple_of(1_000) {
                self.end_watches();
            }
        }
    }

    /// Ends the watches that wait, as nothing has changed.
    fn end_watches(&mut self) {
        for call in std::mem::take(&mut self.watches) {
            let reply = PlatformReply::Objects {
                revision: Version::new(self.store.era, self.store.content.revision),
                updates: Vec::new(),
            };
            self.reply(call, Ok(reply));
        }
    }

    /// Scope of the lease that daemons go by.
    fn scope_in_use(&self) -> EraScope {
        let single = EraScope::Single(self.store.era);
        let objects = &self.store.content.objects;
        if objects.contains_key(&(lease_key(), single)) {
            single
        } else {
            EraScope::Shared
        }
    }

    fn held_epoch(&self) -> Option<Epoch> {
        self.daemon.lease().held(self.now)
    }

    /// Runs until the daemon has sent a write, which the store holds back.
    fn hold_next_write(&mut self) {
        self.store.holds_writes = true;
        let end = self.now + LEASE_TIME;
        while self.store.held.is_empty() && self.now < end {
            self.run(TICK);
        }
        assert_eq!(self.store.held.len(), 1, "one write is held back");
        self.store.holds_writes = false;
    }
}

/// The number that a held write expects.
fn expected_number(call: &PlatformCall) -> u64 {
    let PlatformCall::Put { expect, .. } = call else {
        panic!("expected a write, not {call:?}");
    };
    expect.number
}

/// Revision of the backups.
const BACKUP_REVISION: u64 = 4;
/// Revision at the start of the first era. The writes above [`BACKUP_REVISION`] are lost.
const FIRST_REVISION: u64 = 300;

/// A daemon that holds the lease in the first era, with a backup from before it was written.
fn holder_whose_lease_the_backup_lacks() -> Harness {
    let mut store = Store::new(StoreEra::new(1));
    store.content.revision = BACKUP_REVISION;
    store.take_backup();
    store.content.revision = FIRST_REVISION;
    let mut harness = Harness::new(store);
    harness.run(LEASE_TIME);
    assert!(harness.held_epoch().is_some());
    harness
}

// Guards against a renewal that was sent in an earlier era and replaced the lease of the new one.
#[test]
fn a_renewal_carried_out_in_a_later_era_does_not_replace_its_lease() {
    let mut harness = holder_whose_lease_the_backup_lacks();
    let first_epoch = harness.held_epoch();
    harness.hold_next_write();
    let number = expected_number(&harness.store.held[0]);
    harness.store.backup.revision = number - 1;
    harness.restore();
    harness.run(RESUME_TIME);
    let epoch = harness.held_epoch();
    assert!(epoch > first_epoch, "taken again in the new era");
    let lease = harness.store.lease();
    assert_eq!(
        harness
            .store
            .current(&lease_key())
            .map(|o| o.version.number),
        Some(number)
    );
    harness.store.carry_out_held_writes();
    assert_eq!(harness.store.lease(), lease);
    harness.run(LEASE_TIME);
    assert_eq!(harness.held_epoch(), epoch, "control never ended");
}

// Guards against a late write of a former lease holder over the assignment of a later era.
#[test]
fn an_assignment_carried_out_in_a_later_era_does_not_replace_its_assignment() {
    let mut harness = holder_whose_lease_the_backup_lacks();
    let number = harness.store.content.revision;
    let stale = Assignment::default();
    let late = PlatformCall::Put {
        key: assignment_key(),
        scope: harness.scope_in_use(),
        expect: Version::new(StoreEra::new(1), number),
        object: Box::new(Object::Assignment(stale)),
    };
    harness.store.held.push(late);
    harness.restore();
    harness.run(RESUME_TIME);
    // The assignment of the new era gets the number that the late write expects.
    harness.store.content.revision = number - 1;
    let current = Assignment {
        epoch: harness.held_epoch().expect("taken again"),
        next_group: GroupNumber(7),
        ..Assignment::default()
    };
    let name = (assignment_key(), harness.scope_in_use());
    harness
        .store
        .write(name, Object::Assignment(current.clone()));
    harness.store.carry_out_held_writes();
    assert_eq!(harness.store.assignment(), Some(current));
}

#[test]
fn a_write_held_over_two_restores_does_not_replace_the_lease() {
    let mut harness = holder_whose_lease_the_backup_lacks();
    harness.hold_next_write();
    let number = expected_number(&harness.store.held[0]);
    harness.restore();
    harness.run(RESUME_TIME);
    harness.store.backup.revision = number - 1;
    harness.restore();
    harness.run(RESUME_TIME);
    let lease = harness.store.lease();
    assert!(lease.is_some());
    harness.store.carry_out_held_writes();
    assert_eq!(harness.store.lease(), lease);
}

/// Next group number of the first era, above the margin that is skipped after a restore and above
/// the first numbers of the eras that follow.
const FIRST_ERA_GROUPS: u64 = 5_000_000_000_000;

/// An assignment written in the first era.
fn assignment_of_first_era() -> Assignment {
    Assignment {
        epoch: Epoch::first_of(StoreEra::new(1)),
        next_group: GroupNumber(FIRST_ERA_GROUPS),
        ..Assignment::default()
    }
}

// Guards against group numbers that are assigned again in a new era.
#[test]
fn the_assignment_of_an_earlier_era_is_taken_over() {
    for scope in [FIRST, EraScope::Shared] {
        let mut store = Store::new(StoreEra::new(4));
        let assignment = Object::Assignment(assignment_of_first_era());
        store.write((assignment_key(), scope), assignment);
        let mut harness = Harness::new(store);
        harness.run(LEASE_TIME * 2);
        let assignment = harness.store.assignment().expect("written again");
        assert!(
            assignment.next_group > GroupNumber(FIRST_ERA_GROUPS),
            "{assignment:?}"
        );
        assert!(!assignment.epoch.is_before(StoreEra::new(4)));
    }
}

// Guards against a search that goes on in a later era and misses what was written meanwhile.
#[test]
fn a_search_that_a_restore_interrupts_begins_anew() {
    let third = EraScope::Single(StoreEra::new(3));
    let mut store = Store::new(StoreEra::new(3));
    let oldest = Object::Assignment(assignment_of_first_era());
    store.write((assignment_key(), EraScope::Shared), oldest);
    let newer = Assignment {
        epoch: Epoch::first_of(StoreEra::new(3)),
        next_group: GroupNumber(FIRST_ERA_GROUPS * 2),
        ..Assignment::default()
    };
    store.take_backup();
    let object = Versioned {
        version: Version::new(StoreEra::new(3), BACKUP_REVISION),
        value: Object::Assignment(newer),
    };
    let name = (assignment_key(), third);
    store.backup.objects.insert(name, object);
    store.restore_at_read = Some((assignment_key(), FIRST));
    let mut harness = Harness::new(store);
    harness.run(LEASE_TIME * 4);
    let assignment = harness.store.assignment().expect("written again");
    assert!(
        assignment.next_group > GroupNumber(FIRST_ERA_GROUPS * 2),
        "{assignment:?}"
    );
}

#[test]
fn the_object_of_an_earlier_era_is_deleted_though_its_successor_is_read_again() {
    let mut store = Store::new(StoreEra::new(2));
    let assignment = Object::Assignment(assignment_of_first_era());
    store.write((assignment_key(), FIRST), assignment);
    let mut harness = Harness::new(store);
    harness.run(LEASE_TIME * 2);
    // Another daemon overwrites the lease for a moment, so that the assignment is read again.
    let stolen = LeaseRecord {
        operation: OperationId(1),
        holder: DaemonId::new("another"),
        incarnation: Incarnation(1),
        epoch: Epoch(harness.held_epoch().expect("held").0 + 1),
        term_ms: 1_000,
        released: false,
    };
    harness
        .store
        .write((lease_key(), SECOND), Object::Lease(stolen));
    harness.run(LEASE_TIME);
    assert!(harness.held_epoch().is_some(), "taken again");
    harness.run(Duration::from_secs(120));
    assert!(harness.store.deleted.contains(&(assignment_key(), FIRST)));
}

// Guards against decisions on what stood before an era, while another daemon has written the
// assignment of that era meanwhile.
#[test]
fn an_interrupted_search_does_not_hide_what_another_daemon_wrote_since() {
    let mut store = Store::new(StoreEra::new(2));
    let assignment = Object::Assignment(assignment_of_first_era());
    store.write((assignment_key(), FIRST), assignment);
    store.lost_read = Some((assignment_key(), FIRST));
    let mut harness = Harness::new(store);
    while harness.store.lost_reads == 0 {
        harness.run(TICK);
    }
    let epoch = Epoch(harness.held_epoch().expect("held").0 + 1);
    let another = LeaseRecord {
        operation: OperationId(1),
        holder: DaemonId::new("another"),
        incarnation: Incarnation(1),
        epoch,
        term_ms: 1_000,
        released: false,
    };
    let written = Assignment {
        epoch,
        next_group: GroupNumber(FIRST_ERA_GROUPS * 2),
        ..Assignment::default()
    };
    let store = &mut harness.store;
    store.write((lease_key(), SECOND), Object::Lease(another));
    store.write((assignment_key(), SECOND), Object::Assignment(written));
    while harness.held_epoch().is_some() {
        harness.run(TICK);
    }
    harness.store.lost_read = None;
    harness.run(LEASE_TIME * 2);
    assert!(harness.held_epoch() > Some(epoch), "taken again");
    let refused = harness.store.refused.iter();
    let refused: Vec<&Name> = refused
        .filter(|(key, _)| *key == assignment_key())
        .collect();
    assert!(refused.is_empty(), "{refused:?}");
}

// Guards against two lease holders while daemons of a version without objects of eras run.
#[test]
fn a_lease_that_an_earlier_version_holds_in_this_era_is_respected() {
    let mut store = Store::new(StoreEra::new(1));
    let holder = LeaseRecord {
        operation: OperationId(1),
        holder: DaemonId::new("of-an-earlier-version"),
        incarnation: Incarnation(1),
        epoch: Epoch::first_of(StoreEra::new(1)),
        term_ms: 6_000,
        released: false,
    };
    let name = (lease_key(), EraScope::Shared);
    store.write(name.clone(), Object::Lease(holder.clone()));
    let mut harness = Harness::new(store);
    for renewal in 0..20 {
        harness.run(Duration::from_secs(1));
        assert_eq!(harness.held_epoch(), None);
        let operation = OperationId(renewal + 2);
        let renewed = LeaseRecord {
            operation,
            ..holder.clone()
        };
        harness.store.write(name.clone(), Object::Lease(renewed));
    }
    harness.run(LEASE_TIME * 2);
    let epoch = harness
        .held_epoch()
        .expect("taken after a term without renewals");
    assert!(epoch > holder.epoch);
    assert_eq!(harness.scope_in_use(), EraScope::Shared);
}

#[test]
fn the_lease_of_an_earlier_version_is_left_with_the_next_era() {
    let mut store = Store::new(StoreEra::new(1));
    let name = (lease_key(), EraScope::Shared);
    let released = LeaseRecord {
        operation: OperationId(1),
        holder: DaemonId::new("of-an-earlier-version"),
        incarnation: Incarnation(1),
        epoch: Epoch::first_of(StoreEra::new(1)),
        term_ms: 6_000,
        released: true,
    };
    store.write(name, Object::Lease(released));
    let mut harness = Harness::new(store);
    harness.run(LEASE_TIME);
    let epoch = harness.held_epoch();
    assert!(epoch.is_some());
    assert_eq!(harness.scope_in_use(), EraScope::Shared);
    harness.store.take_backup();
    harness.restore();
    harness.run(RESUME_TIME);
    assert!(harness.held_epoch() > epoch);
    assert_eq!(harness.scope_in_use(), SECOND);
}

// Guards against a deletion that is carried out late, after a restore lost the object's successor.
#[test]
fn objects_of_an_earlier_era_are_deleted_only_when_every_backup_has_their_successor() {
    let mut store = Store::new(StoreEra::new(2));
    let assignment = Object::Assignment(assignment_of_first_era());
    store.write((assignment_key(), FIRST), assignment);
    let mut harness = Harness::new(store);
    harness.run(LEASE_TIME * 2);
    assert!(harness.store.assignment().is_some(), "written again");
    assert_eq!(harness.store.deleted, Vec::<Name>::new());
    harness.run(Duration::from_secs(120));
    let expected = [(assignment_key(), FIRST), (lease_key(), FIRST)];
    let mut deleted = harness.store.deleted.clone();
    deleted.sort();
    assert_eq!(deleted, expected);
}

// Guards against a daemon that was suspended and deletes, in an era that it does not know yet, an
// object whose successor the backup lacks.
#[test]
fn a_daemon_that_was_suspended_over_a_restore_deletes_no_only_copy() {
    let mut store = Store::new(StoreEra::new(2));
    let assignment = Object::Assignment(assignment_of_first_era());
    store.write((assignment_key(), FIRST), assignment);
    store.take_backup();
    let mut harness = Harness::new(store);
    harness.run(LEASE_TIME * 2);
    assert!(harness.store.assignment().is_some(), "written again");
    harness.store.restore();
    harness.now = harness.now + Duration::from_secs(70);
    harness.run(LEASE_TIME * 2);
    let assignment = harness.store.assignment().expect("written once more");
    assert!(
        assignment.next_group > GroupNumber(FIRST_ERA_GROUPS),
        "{assignment:?}"
    );
}

#[test]
fn a_restore_costs_no_list_of_shared_leases_where_these_were_left() {
    let mut harness = holder_whose_lease_the_backup_lacks();
    let lists = harness.store.lease_lists;
    assert_eq!(lists, 1, "listed at the start");
    harness.restore();
    harness.run(RESUME_TIME);
    assert!(harness.held_epoch().is_some());
    assert_eq!(harness.store.lease_lists, lists);
}

#[test]
fn a_store_without_eras_has_shared_objects_alone() {
    let mut harness = Harness::new(Store::new(StoreEra::UNREPORTED));
    harness.run(LEASE_TIME * 2);
    assert!(harness.held_epoch().is_some());
    let names = harness.store.content.objects.keys();
    let scopes: Vec<EraScope> = names.map(|(_, scope)| *scope).collect();
    assert!(
        scopes.iter().all(|scope| *scope == EraScope::Shared),
        "{scopes:?}"
    );
    assert_eq!(harness.store.deleted, Vec::<Name>::new());
}
