//! The platform's object API in memory, with outages and lost answers.

use std::collections::BTreeMap;

use shalehinge::core::fleet_state::ObjectUpdate;
use shalehinge::core::objects::{Object, ObjectKey, Versioned};
use shalehinge::core::platform::{NoAnswer, PlatformCall, PlatformReply, PlatformResult};
use shalehinge::core::types::{OperationId, StoreEra, Version};

/// What the platform does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    Down,
    /// A write takes effect and its answer is lost.
    LoseAnswer,
    /// A write is lost before it takes effect.
    LoseWrite,
    /// A write takes effect a second after its caller gave up.
    LateWrite,
}

pub struct FakePlatform {
    pub fault: Fault,
    pub objects: BTreeMap<ObjectKey, Versioned<Object>>,
    pub late: Vec<PlatformCall>,
    /// Every operation that ever changed the configuration.
    pub operations: Vec<OperationId>,
    pub reads: u64,
    pub writes: u64,
    revisions: BTreeMap<ObjectKey, Version>,
    revision: Version,
}

impl FakePlatform {
    pub fn new() -> Self {
        Self {
            fault: Fault::None,
            objects: BTreeMap::new(),
            late: Vec::new(),
            operations: Vec::new(),
            reads: 0,
            writes: 0,
            revisions: BTreeMap::new(),
            revision: Version::without_era(0),
        }
    }

    pub fn call(&mut self, call: PlatformCall) -> PlatformResult {
        if self.fault == Fault::Down {
            return Err(NoAnswer);
        }
        match call {
            PlatformCall::Get { key, .. } => {
                self.reads += 1;
                Ok(match self.objects.get(&key) {
                    Some(object) => PlatformReply::Object(Box::new(object.clone())),
                    None => PlatformReply::Missing(StoreEra::UNTOLD),
                })
            }
            PlatformCall::List { .. } => {
                self.reads += 1;
                Ok(self.changed(Version::without_era(0)))
            }
            PlatformCall::Watch { after, .. } => Ok(self.changed(after)),
            PlatformCall::Put { .. } => {
                self.writes += 1;
                match self.fault {
                    Fault::LoseWrite => Err(NoAnswer),
                    Fault::LateWrite => {
                        self.late.push(call);
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

    /// Writes whose callers gave up take effect now.
    pub fn land_late_writes(&mut self) {
        for call in std::mem::take(&mut self.late) {
            let _ = self.put(call);
        }
    }

    fn put(&mut self, call: PlatformCall) -> PlatformResult {
        let PlatformCall::Put {
            key,
            expect,
            object,
        } = call
        else {
            return Err(NoAnswer);
        };
        let current = self
            .objects
            .get(&key)
            .map_or(Version::without_era(0), |o| o.version);
        if current != expect {
            return Ok(PlatformReply::Conflict(StoreEra::UNTOLD));
        }
        Ok(PlatformReply::Written(self.write(key, *object)))
    }

    pub fn write(&mut self, key: ObjectKey, object: Object) -> Version {
        let current = self.objects.get(&key).map_or(0, |o| o.version.number);
        let version = Version::without_era(current + 1);
        if let Object::Fleet(fleet) = &object
            && let Some(last) = fleet.operations.last()
        {
            self.operations.push(last);
        }
        self.revision = Version::without_era(self.revision.number + 1);
        self.revisions.insert(key.clone(), self.revision);
        let value = object;
        self.objects.insert(key, Versioned { version, value });
        version
    }

    pub fn has_changed(&self, after: Version) -> bool {
        matches!(self.changed(after), PlatformReply::Objects { updates, .. } if !updates.is_empty())
    }

    pub fn changed(&self, after: Version) -> PlatformReply {
        let is_shared = |key: &ObjectKey| {
            matches!(
                key,
                ObjectKey::Fleet | ObjectKey::Hosts | ObjectKey::Assignment(_)
            )
        };
        let updates = self
            .objects
            .iter()
            .filter(|(key, _)| is_shared(key) && self.revisions[*key] > after)
            .map(|(key, object)| ObjectUpdate {
                key: key.clone(),
                version: object.version,
                object: object.value.clone(),
            })
            .collect();
        PlatformReply::Objects {
            revision: self.revision,
            updates,
        }
    }
}
