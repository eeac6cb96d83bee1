//! The newest accepted objects that this daemon knows. Versions only rise.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::objects::{
    Assignment, FleetConfig, HostChanges, HostList, Object, ObjectKey, Versioned,
};
use super::types::{FailureDomain, Version};

/// An object that the platform or a peer told of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectUpdate {
    /// Which object.
    pub key: ObjectKey,
    /// At which version.
    pub version: Version,
    /// Its value then.
    pub object: Object,
}

/// Versions of the objects that are spread between daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDigest {
    /// Version of the configuration.
    pub fleet: Version,
    /// Version of the host list.
    pub hosts: Version,
    /// Versions of the assignments.
    pub assignments: Vec<(FailureDomain, Version)>,
}

impl VersionDigest {
    fn version_of(&self, key: &ObjectKey) -> Version {
        match key {
            ObjectKey::Fleet => self.fleet,
            ObjectKey::Hosts => self.hosts,
            ObjectKey::Assignment(domain) => self
                .assignments
                .iter()
                .find(|(known, _)| known == domain)
                .map_or(Version(0), |(_, version)| *version),
            ObjectKey::Lease(_) | ObjectKey::Claims(_) => Version(u64::MAX),
        }
    }
}

/// The objects in force at this daemon.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    fleet: Option<Versioned<FleetConfig>>,
    hosts: Option<Versioned<HostList>>,
    assignments: BTreeMap<FailureDomain, Versioned<Assignment>>,
}

impl FleetState {
    /// The configuration in force; `None` before the first was seen.
    pub fn fleet(&self) -> Option<&Versioned<FleetConfig>> {
        self.fleet.as_ref()
    }

    /// Version of the configuration in force; 0 before the first was seen.
    pub fn fleet_version(&self) -> Version {
        self.fleet.as_ref().map_or(Version(0), |o| o.version)
    }

    /// Version of the host list as last seen; 0 before the first was seen.
    pub fn hosts_version(&self) -> Version {
        self.hosts.as_ref().map_or(Version(0), |o| o.version)
    }

    /// The host list as last seen.
    pub fn hosts(&self) -> Option<&Versioned<HostList>> {
        self.hosts.as_ref()
    }

    /// The assignments by failure domain.
    pub fn assignments(&self) -> &BTreeMap<FailureDomain, Versioned<Assignment>> {
        &self.assignments
    }

    /// Takes in an object if it is newer than what is known; says whether it was.
    pub fn apply(&mut self, update: ObjectUpdate) -> bool {
        let version = update.version;
        match (update.key, update.object) {
            (ObjectKey::Fleet, Object::Fleet(value)) => replace(&mut self.fleet, version, value),
            (ObjectKey::Hosts, Object::Hosts(value)) => replace(&mut self.hosts, version, value),
            (ObjectKey::Hosts, Object::HostChanges(changes)) => self.change_hosts(version, changes),
            (ObjectKey::Assignment(domain), Object::Assignment(value)) => {
                if value.check().is_err() {
                    return false;
                }
                let mut slot = self.assignments.remove(&domain);
                let newer = replace(&mut slot, version, value);
                self.assignments.extend(slot.map(|slot| (domain, slot)));
                newer
            }
            _ => false,
        }
    }

    /// Takes in what changed since the list that is known, or since one before it.
    fn change_hosts(&mut self, version: Version, changes: HostChanges) -> bool {
        let Some(known) = &mut self.hosts else {
            return false;
        };
        if version <= known.version {
            return false;
        }
        known.version = version;
        known.value.hosts.extend(changes.changed);
        for host in &changes.removed {
            known.value.hosts.remove(host);
        }
        true
    }

    /// What a peer needs to see whether it knows more.
    pub fn digest(&self) -> VersionDigest {
        VersionDigest {
            fleet: self.fleet_version(),
            hosts: self.hosts_version(),
            assignments: self
                .assignments
                .iter()
                .map(|(domain, object)| (domain.clone(), object.version))
                .collect(),
        }
    }

    /// The objects that are newer here than in the digest. Only those are copied,
    /// as every pull asks and most have nothing to learn.
    pub fn newer_than(&self, digest: &VersionDigest) -> Vec<ObjectUpdate> {
        let is_newer = |key: &ObjectKey, version: Version| version > digest.version_of(key);
        let mut updates = Vec::new();
        if let Some(object) = &self.fleet
            && is_newer(&ObjectKey::Fleet, object.version)
        {
            updates.push(ObjectUpdate {
                key: ObjectKey::Fleet,
                version: object.version,
                object: Object::Fleet(object.value.clone()),
            });
        }
        if let Some(object) = &self.hosts
            && is_newer(&ObjectKey::Hosts, object.version)
        {
            updates.push(ObjectUpdate {
                key: ObjectKey::Hosts,
                version: object.version,
                object: Object::Hosts(object.value.clone()),
            });
        }
        for (domain, object) in &self.assignments {
            let key = ObjectKey::Assignment(domain.clone());
            if is_newer(&key, object.version) {
                updates.push(ObjectUpdate {
                    key,
                    version: object.version,
                    object: Object::Assignment(object.value.clone()),
                });
            }
        }
        updates
    }

    /// Whether a peer with this digest knows anything newer.
    pub fn is_behind(&self, digest: &VersionDigest) -> bool {
        let mine = self.digest();
        let newer_assignment = digest.assignments.iter().any(|(domain, version)| {
            *version > mine.version_of(&ObjectKey::Assignment(domain.clone()))
        });
        digest.fleet > mine.fleet || digest.hosts > mine.hosts || newer_assignment
    }
}

fn replace<T>(slot: &mut Option<Versioned<T>>, version: Version, value: T) -> bool {
    let newer = slot.as_ref().is_none_or(|known| version > known.version);
    if newer {
        *slot = Some(Versioned { version, value });
    }
    newer
}
