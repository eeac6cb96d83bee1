//! The part of the host list that routing needs, and its recent changes.
//!
//! A list of hundreds of hosts changes many times a second while groups form, but requests only
//! go to instances of plain services and to rank 0 of open groups. Daemons that don't read the
//! list from the platform receive only these hosts, and only the changes since their last
//! request.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::objects::{HostChanges, HostList, HostRecord};
use super::types::{HostId, Version};

/// Maximum number of logged changes: about ten seconds of changes in a large fleet. Peers that
/// ask later receive the whole routable part.
const MAX_LOGGED_CHANGES: usize = 128;

/// Changes to the routable part of the host list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutableChanges {
    /// The version that the changes start from. They also apply to a later version.
    pub after: Version,
    /// The changed and removed hosts.
    pub changes: HostChanges,
}

/// The part of a record that routing needs; `None` if no request is routed to the host.
fn routable(record: &HostRecord) -> Option<HostRecord> {
    let is_instance = record.status.is_none();
    let is_needed = is_instance || record.open_group().is_some();
    is_needed.then(|| HostRecord {
        staged: Vec::new(),
        ..record.clone()
    })
}

/// Returns the hosts of a list that requests are routed to.
pub fn routable_hosts(list: &HostList) -> HostList {
    let hosts = list.hosts.iter();
    let needed = hosts.filter_map(|(id, record)| Some((id.clone(), routable(record)?)));
    HostList {
        hosts: needed.collect(),
    }
}

/// Returns the changes to the routable part between two lists.
pub fn routable_difference(old: &HostList, new: &HostList) -> HostChanges {
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

/// Returns the effect of changes to a list on its routable part.
pub fn routable_changes(known: &HostList, changes: &HostChanges) -> HostChanges {
    let routable_before = |id: &HostId| known.hosts.get(id).and_then(routable);
    let mut effect = HostChanges::default();
    for (id, record) in &changes.changed {
        let (before, after) = (routable_before(id), routable(record));
        match after {
            Some(record) if before.as_ref() != Some(&record) => {
                effect.changed.insert(id.clone(), record);
            }
            None if before.is_some() => {
                effect.removed.insert(id.clone());
            }
            _ => {}
        }
    }
    let removed = changes
        .removed
        .iter()
        .filter(|id| routable_before(id).is_some());
    effect.removed.extend(removed.cloned());
    effect
}

/// The latest changes, each with the version that it led to.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// The log contains all changes after this version.
    complete_after: Version,
    changes: VecDeque<(Version, HostChanges)>,
}

impl ChangeLog {
    /// Clears the log; it is complete from this version on.
    pub fn restart(&mut self, version: Version) {
        self.complete_after = version;
        self.changes.clear();
    }

    /// Appends the changes that led to a version; empty changes are not logged. The oldest
    /// changes are dropped beyond the maximum length of the log.
    pub fn push(&mut self, version: Version, changes: HostChanges) {
        if changes.changed.is_empty() && changes.removed.is_empty() {
            return;
        }
        self.changes.push_back((version, changes));
        while self.changes.len() > MAX_LOGGED_CHANGES {
            if let Some((version, _)) = self.changes.pop_front() {
                self.complete_after = version;
            }
        }
    }

    /// Merges all changes after a version; `None` if the log does not reach back that far.
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
