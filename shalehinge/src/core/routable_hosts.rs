//! The part of the host list that routing needs, and how it changed lately.
//!
//! A list of hundreds of hosts changes many times a second while groups form, but
//! requests go only to instances of plain services and to the rank 0 of open groups.
//! Daemons that don't read the list themselves hear of these alone, and of what changed
//! since they last asked.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::objects::{HostChanges, HostList, HostRecord};
use super::types::{HostId, Version};

/// Changes that are remembered. Some ten seconds of changes of a large fleet; who
/// asks later is told the whole part.
const MOST_REMEMBERED: usize = 128;

/// Changes of the part of the list that routing needs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutableChanges {
    /// The version that they follow, or one before it.
    pub after: Version,
    /// What changed.
    pub changes: HostChanges,
}

/// What routing needs of a host; `None` if no request goes to it.
fn routable(record: &HostRecord) -> Option<HostRecord> {
    let is_instance = record.status.is_none();
    let is_needed = is_instance || record.open_group().is_some();
    is_needed.then(|| HostRecord {
        staged: Vec::new(),
        ..record.clone()
    })
}

/// The hosts of a list that routing needs.
pub fn routable_hosts(list: &HostList) -> HostList {
    let hosts = list.hosts.iter();
    let needed = hosts.filter_map(|(id, record)| Some((id.clone(), routable(record)?)));
    HostList {
        hosts: needed.collect(),
    }
}

/// What changed for routing between two lists.
pub fn difference(old: &HostList, new: &HostList) -> HostChanges {
    let (old, new) = (routable_hosts(old).hosts, routable_hosts(new).hosts);
    let removed = old.keys().filter(|id| !new.contains_key(id));
    HostChanges {
        removed: removed.cloned().collect(),
        changed: new
            .into_iter()
            .filter(|(id, record)| old.get(id) != Some(record))
            .collect(),
    }
}

/// What a change of a list changes for routing.
pub fn of_changes(known: &HostList, changes: &HostChanges) -> HostChanges {
    let was = |id: &HostId| known.hosts.get(id).and_then(routable);
    let mut of_routing = HostChanges::default();
    for (id, record) in &changes.changed {
        let (was, is) = (was(id), routable(record));
        match is {
            Some(record) if was.as_ref() != Some(&record) => {
                of_routing.changed.insert(id.clone(), record);
            }
            None if was.is_some() => {
                of_routing.removed.insert(id.clone());
            }
            _ => {}
        }
    }
    let gone = changes.removed.iter().filter(|id| was(id).is_some());
    of_routing.removed.extend(gone.cloned());
    of_routing
}

/// The latest changes, each at its version.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// All changes after this version are remembered.
    complete_after: Version,
    changes: VecDeque<(Version, HostChanges)>,
}

impl ChangeLog {
    /// Nothing is remembered of what was before this version.
    pub fn restart(&mut self, version: Version) {
        self.complete_after = version;
        self.changes.clear();
    }

    /// Remembers what changed up to a version.
    pub fn push(&mut self, version: Version, changes: HostChanges) {
        if changes.changed.is_empty() && changes.removed.is_empty() {
            return;
        }
        self.changes.push_back((version, changes));
        while self.changes.len() > MOST_REMEMBERED {
            if let Some((version, _)) = self.changes.pop_front() {
                self.complete_after = version;
            }
        }
    }

    /// All changes after a version in one, if they are remembered.
    pub fn since(&self, version: Version) -> Option<RoutableChanges> {
        if version < self.complete_after {
            return None;
        }
        let mut changed: BTreeMap<HostId, HostRecord> = BTreeMap::new();
        let mut removed: BTreeSet<HostId> = BTreeSet::new();
        for (_, changes) in self.changes.iter().filter(|(at, _)| *at > version) {
            for id in &changes.removed {
                changed.remove(id);
                removed.insert(id.clone());
            }
            for (id, record) in &changes.changed {
                removed.remove(id);
                changed.insert(id.clone(), record.clone());
            }
        }
        Some(RoutableChanges {
            after: version,
            changes: HostChanges { changed, removed },
        })
    }
}
