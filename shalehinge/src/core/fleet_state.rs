//! The newest accepted objects that this daemon knows. Versions only rise.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::objects::{
    Assignment, FleetConfig, HostChanges, HostList, Object, ObjectKey, Versioned,
};
use super::routable_hosts::{ChangeLog, RoutableChanges, difference, of_changes, routable_hosts};
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

/// How much of the host list is known, or told to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostDetail {
    /// All hosts.
    #[default]
    Whole,
    /// Those that requests go to.
    Routable,
}

/// What an object changed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Nothing: it was not newer, or does not follow what is known.
    Nothing,
    /// Something that only the control of a failure domain needs.
    ControlOnly,
    /// Something that routing needs, or peers.
    All,
}

/// The objects in force at this daemon.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    fleet: Option<Versioned<FleetConfig>>,
    hosts: Option<Versioned<HostList>>,
    known_hosts: HostDetail,
    told_hosts: HostDetail,
    host_changes: ChangeLog,
    assignments: BTreeMap<FailureDomain, Versioned<Assignment>>,
}

impl FleetState {
    /// Knows nothing yet; tells peers so much of the host list.
    pub fn new(told_hosts: HostDetail) -> Self {
        Self {
            told_hosts,
            ..Self::default()
        }
    }

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

    /// The host list as last seen, or the part of it that routing needs.
    pub fn hosts(&self) -> Option<&Versioned<HostList>> {
        self.hosts.as_ref()
    }

    /// The host list as last seen, if all of it is known.
    pub fn whole_hosts(&self) -> Option<&Versioned<HostList>> {
        let is_whole = self.known_hosts == HostDetail::Whole;
        self.hosts.as_ref().filter(|_| is_whole)
    }

    /// Keeps the part of the host list that routing needs; from now on peers tell what
    /// changes in it.
    pub fn forget_other_hosts(&mut self) {
        if self.known_hosts == HostDetail::Whole {
            self.known_hosts = HostDetail::Routable;
            if let Some(hosts) = &mut self.hosts {
                hosts.value = routable_hosts(&hosts.value);
            }
        }
    }

    /// The assignments by failure domain.
    pub fn assignments(&self) -> &BTreeMap<FailureDomain, Versioned<Assignment>> {
        &self.assignments
    }

    /// Applies an object if it is newer than what is known.
    pub fn apply(&mut self, update: ObjectUpdate) -> Applied {
        let version = update.version;
        let is_newer = match (update.key, update.object) {
            (ObjectKey::Fleet, Object::Fleet(value)) => replace(&mut self.fleet, version, value),
            (ObjectKey::Hosts, object) => return self.apply_hosts(version, object),
            (ObjectKey::Assignment(domain), Object::Assignment(value)) => {
                if value.check().is_err() {
                    return Applied::Nothing;
                }
                let mut slot = self.assignments.remove(&domain);
                let newer = replace(&mut slot, version, value);
                self.assignments.extend(slot.map(|slot| (domain, slot)));
                newer
            }
            _ => false,
        };
        if is_newer {
            Applied::All
        } else {
            Applied::Nothing
        }
    }

    fn apply_hosts(&mut self, version: Version, object: Object) -> Applied {
        let is_newer = self
            .hosts
            .as_ref()
            .is_none_or(|known| version > known.version);
        let knows_whole = self.whole_hosts().is_some();
        match object {
            // A whole list is more than a part of the same version.
            Object::Hosts(list) if is_newer || !knows_whole && self.is_at(version) => {
                self.replace_hosts(version, list, HostDetail::Whole)
            }
            Object::RoutableHosts(list) if is_newer && !knows_whole => {
                self.replace_hosts(version, list, HostDetail::Routable)
            }
            Object::HostChanges(changes) if is_newer && knows_whole => {
                self.change_hosts(version, changes)
            }
            Object::RoutableChanges(RoutableChanges { after, changes })
                if is_newer && !knows_whole && self.hosts_version() >= after =>
            {
                self.change_hosts(version, changes)
            }
            _ => Applied::Nothing,
        }
    }

    fn is_at(&self, version: Version) -> bool {
        self.hosts.is_some() && self.hosts_version() == version
    }

    fn replace_hosts(&mut self, version: Version, list: HostList, detail: HostDetail) -> Applied {
        let changes = match &self.hosts {
            Some(known) => difference(&known.value, &list),
            None => {
                self.host_changes.restart(version);
                difference(&HostList::default(), &list)
            }
        };
        let value = list;
        self.hosts = Some(Versioned { version, value });
        self.known_hosts = detail;
        self.note_changes(version, changes)
    }

    /// Applies what changed since the list that is known, or since one before it.
    fn change_hosts(&mut self, version: Version, changes: HostChanges) -> Applied {
        let Some(known) = &mut self.hosts else {
            return Applied::Nothing;
        };
        let of_routing = of_changes(&known.value, &changes);
        known.version = version;
        known.value.hosts.extend(changes.changed);
        for host in &changes.removed {
            known.value.hosts.remove(host);
        }
        self.note_changes(version, of_routing)
    }

    fn note_changes(&mut self, version: Version, changes: HostChanges) -> Applied {
        let changes_nothing = changes.changed.is_empty() && changes.removed.is_empty();
        self.host_changes.push(version, changes);
        if changes_nothing {
            Applied::ControlOnly
        } else {
            Applied::All
        }
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

    /// The objects that are told whole and are newer here than in the digest. Only those
    /// are copied, as most who ask have little to learn.
    pub fn whole_objects_after(&self, digest: &VersionDigest) -> Vec<ObjectUpdate> {
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
        if let Some(list) = self.whole_hosts()
            && self.told_hosts == HostDetail::Whole
            && is_newer(&ObjectKey::Hosts, list.version)
        {
            updates.push(ObjectUpdate {
                key: ObjectKey::Hosts,
                version: list.version,
                object: Object::Hosts(list.value.clone()),
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

    /// What routing needs of the host list, where only that is told and it is newer here than
    /// in the digest: what changed, as long as that is remembered, else all of it.
    pub fn routable_hosts_after(&self, digest: &VersionDigest) -> Option<ObjectUpdate> {
        let known = self.hosts.as_ref()?;
        if self.told_hosts == HostDetail::Whole || known.version <= digest.hosts {
            return None;
        }
        let object = match self.host_changes.since(digest.hosts) {
            Some(changes) if digest.hosts > Version(0) => Object::RoutableChanges(changes),
            _ => Object::RoutableHosts(routable_hosts(&known.value)),
        };
        Some(ObjectUpdate {
            key: ObjectKey::Hosts,
            version: known.version,
            object,
        })
    }

    /// Whether a peer with this digest knows anything newer. Parts of the host list are
    /// asked for at intervals, not as soon as a peer knows more.
    pub fn is_behind(&self, digest: &VersionDigest) -> bool {
        let mine = self.digest();
        let newer_assignment = digest.assignments.iter().any(|(domain, version)| {
            *version > mine.version_of(&ObjectKey::Assignment(domain.clone()))
        });
        let newer_hosts = self.told_hosts == HostDetail::Whole && digest.hosts > mine.hosts;
        digest.fleet > mine.fleet || newer_hosts || newer_assignment
    }
}

fn replace<T>(slot: &mut Option<Versioned<T>>, version: Version, value: T) -> bool {
    let newer = slot.as_ref().is_none_or(|known| version > known.version);
    if newer {
        *slot = Some(Versioned { version, value });
    }
    newer
}
