//! In-memory fake of the platform's object API, with fault injection and restores from a backup.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shalehinge::core::fleet_state::ObjectUpdate;
use shalehinge::core::objects::{Object, ObjectKey, Versioned};
use shalehinge::core::platform::{EraScope, NoAnswer, PlatformCall, PlatformReply, PlatformResult};
use shalehinge::core::types::{OperationId, StoreEra, Version};

use super::held_writes::{HeldWrites, StoredName, summary};

/// An injected fault of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// No call is answered.
    Down,
    /// A write takes effect, but its response is lost.
    LoseAnswer,
    /// A write is lost before it takes effect.
    LoseWrite,
    /// A write times out for its caller, and takes effect once the fault is removed.
    DelayWrite,
}

/// The fake platform.
pub struct FakePlatform {
    pub fault: Fault,
    pub objects: BTreeMap<ObjectKey, Versioned<Object>>,
    /// Writes that have not taken effect yet.
    pub delayed_writes: Vec<PlatformCall>,
    /// All operations that changed the configuration, in order.
    pub applied_operations: Vec<OperationId>,
    /// Number of get and list calls.
    pub reads: u64,
    /// Number of put calls, including those that a fault suppressed.
    pub writes: u64,
    /// Revision of the store at the last write of each object.
    revisions: BTreeMap<ObjectKey, u64>,
    revision: u64,
    era: u32,
    backup: Option<Backup>,
    /// Operations that changed the configuration, with the generation that each produced.
    applied_generations: BTreeSet<(OperationId, u64)>,
    /// Objects of earlier eras, which no daemon writes any more. Those of the current era are in
    /// `objects`.
    earlier_objects: BTreeMap<StoredName, Versioned<Object>>,
    /// Writes that are carried out late, as by the users' store: it compares the number alone, and
    /// counts one revision for all objects. `None` applies or refuses each write when it arrives,
    /// by era and number, and counts versions per object.
    pub late_writes: Option<HeldWrites>,
}

/// Content of a backup.
struct Backup {
    objects: BTreeMap<ObjectKey, Versioned<Object>>,
    earlier_objects: BTreeMap<StoredName, Versioned<Object>>,
    era: StoreEra,
    revisions: BTreeMap<ObjectKey, u64>,
    revision: u64,
}

impl FakePlatform {
    pub fn new() -> Self {
        Self {
            fault: Fault::None,
            objects: BTreeMap::new(),
            delayed_writes: Vec::new(),
            applied_operations: Vec::new(),
            reads: 0,
            writes: 0,
            revisions: BTreeMap::new(),
            revision: 0,
            era: 1,
            backup: None,
            applied_generations: BTreeSet::new(),
            earlier_objects: BTreeMap::new(),
            late_writes: None,
        }
    }

    /// Handles a call, subject to the injected fault.
    pub fn call(&mut self, call: PlatformCall) -> PlatformResult {
        if self.fault == Fault::Down {
            return Err(NoAnswer);
        }
        match call {
            PlatformCall::Get { key, scope, .. } => {
                self.reads += 1;
                Ok(match self.object(&key, scope).cloned() {
                    Some(mut object) => {
                        object.version.era = self.era();
                        PlatformReply::Object(Box::new(object))
                    }
                    None => PlatformReply::Missing(self.era()),
                })
            }
            PlatformCall::List { .. } => {
                self.reads += 1;
                Ok(self.changes_since(Version::NONE))
            }
            PlatformCall::Watch { after, .. } => Ok(self.changes_since(after)),
            PlatformCall::Delete { key, scope } => {
                self.earlier_objects.remove(&StoredName { key, scope });
                Ok(PlatformReply::Deleted(self.era()))
            }
            PlatformCall::Put { .. } => {
                self.writes += 1;
                match self.fault {
                    Fault::LoseWrite => Err(NoAnswer),
                    Fault::DelayWrite => {
                        self.delayed_writes.push(call);
                        Err(NoAnswer)
                    }
                    Fault::LoseAnswer => {
                        let _ = self.put(call);
                        Err(NoAnswer)
                    }
                    Fault::None | Fault::Down => self.put(call),
                }
            }
        }
    }

    /// Applies the delayed writes.
    pub fn apply_delayed_writes(&mut self) {
        for call in std::mem::take(&mut self.delayed_writes) {
            let _ = self.put(call);
        }
    }

    fn put(&mut self, call: PlatformCall) -> PlatformResult {
        let PlatformCall::Put {
            key,
            scope,
            expect,
            object,
        } = call
        else {
            return Err(NoAnswer);
        };
        let name = StoredName { key, scope };
        if !self.holds_condition(&name, expect) {
            self.note(&format!(
                "refused: {name:?} at {expect}: {}",
                summary(&object)
            ));
            return Ok(PlatformReply::Conflict(self.era()));
        }
        let text = format!("{name:?} at {expect}: {}", summary(&object));
        let version = self.write_object(name, *object);
        self.note(&format!("written as {version}: {text}"));
        Ok(PlatformReply::Written(version))
    }

    /// Adds a line to the trace of late writes, if they are simulated.
    pub fn note(&mut self, text: &str) {
        if let Some(late_writes) = &mut self.late_writes {
            late_writes.note(text);
        }
    }

    fn holds_condition(&self, name: &StoredName, expect: Version) -> bool {
        let StoredName { key, scope } = name;
        let absent = Version::absent(self.era());
        let current = self.object(key, *scope).map_or(absent, |o| o.version);
        // Only the product's own interface takes configurations from daemons, with their era.
        if self.late_writes.is_some() && key.is_written_by_daemons() {
            return current.number == expect.number;
        }
        current == expect
    }

    /// Whether the platform holds a write that arrives now and leaves it without an answer.
    pub fn holds(&mut self, sender: &str, call: &PlatformCall) -> bool {
        let PlatformCall::Put {
            key,
            scope,
            expect,
            object,
        } = call
        else {
            return false;
        };
        if self.fault != Fault::None || !key.is_written_by_daemons() {
            return false;
        }
        let Some(late_writes) = &mut self.late_writes else {
            return false;
        };
        if !late_writes.holds_next() {
            return false;
        }
        let name = StoredName {
            key: key.clone(),
            scope: *scope,
        };
        late_writes.hold(sender, &name, *expect, object);
        true
    }

    /// Carries out held writes that are due, unless the platform is down.
    pub fn carry_out_late_writes(&mut self, now: Duration) {
        let Some(late_writes) = &mut self.late_writes else {
            return;
        };
        late_writes.set_now(now);
        if self.fault == Fault::Down {
            return;
        }
        for write in late_writes.take_due() {
            let is_done = self.holds_condition(&write.name, write.expect);
            let object = (*write.object).clone();
            let written = is_done.then(|| self.write_object(write.name.clone(), object));
            if let Some(late_writes) = &mut self.late_writes {
                late_writes.record(&write, written);
            }
        }
    }

    /// The number of the object that is written now, and the store's revision.
    fn count_write(&mut self, key: &ObjectKey) -> u64 {
        let revision = Version::new(self.era(), self.revision);
        let Some(late_writes) = &mut self.late_writes else {
            self.revision += 1;
            return self.objects.get(key).map_or(0, |o| o.version.number) + 1;
        };
        self.revision = late_writes.next_revision(key, revision);
        self.revision
    }

    /// Writes the object of a scope and returns its new version.
    fn write_object(&mut self, name: StoredName, value: Object) -> Version {
        if !self.is_earlier(name.scope) {
            return self.write(name.key, value);
        }
        let number = self.count_write(&name.key);
        let version = Version::new(self.era(), number);
        self.earlier_objects
            .insert(name, Versioned { version, value });
        version
    }

    /// Writes an object unconditionally and returns its new version.
    pub fn write(&mut self, key: ObjectKey, object: Object) -> Version {
        let number = self.count_write(&key);
        let version = Version::new(self.era(), number);
        // Rewriting a configuration that a restore lost is not a new change.
        if let Object::Fleet(fleet) = &object
            && let Some(last) = fleet.operations.last()
            && self.applied_generations.insert((last, fleet.generation))
        {
            self.applied_operations.push(last);
        }
        self.revisions.insert(key.clone(), self.revision);
        let value = object;
        self.objects.insert(key, Versioned { version, value });
        version
    }

    /// The store's era.
    pub fn era(&self) -> StoreEra {
        StoreEra::new(self.era)
    }

    /// Takes a backup of the current content.
    pub fn take_backup(&mut self) {
        self.backup = Some(Backup {
            objects: self.objects.clone(),
            earlier_objects: self.earlier_objects.clone(),
            era: self.era(),
            revisions: self.revisions.clone(),
            revision: self.revision,
        });
    }

    /// Restores the backup, if there is one, in a new era: later writes are lost, and their
    /// version numbers are reused. Returns whether there was a backup.
    pub fn restore(&mut self) -> bool {
        let Some(backup) = self.backup.take() else {
            return false;
        };
        self.note("restored from a backup");
        self.objects = backup.objects;
        self.earlier_objects = backup.earlier_objects;
        self.revisions = backup.revisions;
        self.revision = backup.revision;
        self.era += 1;
        if self.late_writes.is_some() {
            self.set_aside_objects_of(backup.era);
        }
        let era = self.era();
        for object in self.objects.values_mut() {
            object.version.era = era;
        }
        true
    }

    /// Moves the objects that daemons wrote in an era that has ended.
    fn set_aside_objects_of(&mut self, era: StoreEra) {
        let is_of_era = |key: &ObjectKey| key.is_written_by_daemons();
        let ended = self.objects.extract_if(.., |key, _| is_of_era(key));
        for (key, object) in ended {
            let scope = EraScope::Single(era);
            self.earlier_objects
                .insert(StoredName { key, scope }, object);
        }
    }

    /// The object of a scope.
    fn object(&self, key: &ObjectKey, scope: EraScope) -> Option<&Versioned<Object>> {
        if self.is_earlier(scope) {
            let key = key.clone();
            self.earlier_objects.get(&StoredName { key, scope })
        } else {
            self.objects.get(key)
        }
    }

    /// Whether the scope is that of an era that has ended.
    fn is_earlier(&self, scope: EraScope) -> bool {
        matches!(scope, EraScope::Single(era) if era != self.era())
    }

    pub fn has_backup(&self) -> bool {
        self.backup.is_some()
    }

    /// Discards the backup, if there is one.
    pub fn discard_backup(&mut self) {
        self.backup = None;
    }

    /// Whether a watch from this revision would be answered at once.
    pub fn has_changes_since(&self, after: Version) -> bool {
        match self.changes_since(after) {
            PlatformReply::Objects { updates, .. } => !updates.is_empty(),
            _ => true,
        }
    }

    /// Returns the shared objects that changed after a revision.
    pub fn changes_since(&self, after: Version) -> PlatformReply {
        if after.number > self.revision {
            return PlatformReply::HistoryGone(self.era());
        }
        let is_shared = |key: &ObjectKey| {
            matches!(
                key,
                ObjectKey::Fleet | ObjectKey::Hosts | ObjectKey::Assignment(_)
            )
        };
        let updates = self
            .objects
            .iter()
            .filter(|(key, _)| is_shared(key) && self.revisions[*key] > after.number)
            .map(|(key, object)| ObjectUpdate {
                key: key.clone(),
                version: object.version,
                object: object.value.clone(),
            })
            .collect();
        PlatformReply::Objects {
            revision: Version::new(self.era(), self.revision),
            updates,
        }
    }
}
