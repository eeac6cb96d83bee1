//! Hosts as they were known in an earlier era of the store.
//!
//! The copy that a store is restored from is some seconds old: hosts that came since are missing in
//! it, and hosts that began to leave, or left, are listed as they were before. So what was known
//! of a host counts until the new era reports that host, or until the time in which hosts write
//! their entries again is over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::objects::{HostChanges, HostList, HostRecord, HostState};
use super::types::{EngineStart, HostId};

/// Hosts that left and are remembered: a restart of a large failure domain.
const MOST_DEPARTED: usize = 512;

/// Hosts that left the list lately, and the life that ended.
#[derive(Clone, Debug, Default)]
pub struct DepartedHosts(VecDeque<(HostId, Option<EngineStart>)>);

impl DepartedHosts {
    /// Notes hosts that changes remove from a list.
    pub fn note(&mut self, list: &HostList, removed: &BTreeSet<HostId>) {
        for host in removed {
            if let Some(record) = list.hosts.get(host) {
                self.0.push_back((host.clone(), record.started));
            }
        }
        while self.0.len() > MOST_DEPARTED {
            self.0.pop_front();
        }
    }

    /// Whether this life of the host is known to have left.
    fn contains(&self, host: &HostId, record: &HostRecord) -> bool {
        let mut departed = self.0.iter();
        departed
            .any(|(known, started)| known == host && !EngineStart::differ(*started, record.started))
    }
}

/// What an earlier era reported of hosts that the new one has not reported yet.
#[derive(Clone, Debug)]
pub struct EarlierHosts {
    listed: BTreeMap<HostId, HostRecord>,
    departed: DepartedHosts,
    reported_anew: BTreeSet<HostId>,
}

impl EarlierHosts {
    /// The last list of the earlier era, and who left it.
    pub fn new(list: HostList, departed: DepartedHosts) -> Self {
        Self {
            listed: list.hosts,
            departed,
            reported_anew: BTreeSet::new(),
        }
    }

    /// The new era reports these hosts.
    pub fn note_changes(&mut self, changes: &HostChanges) {
        let told = changes.changed.keys().chain(&changes.removed);
        for host in told {
            self.listed.remove(host);
            self.reported_anew.insert(host.clone());
        }
    }

    /// A list of the new era, with what still counts of the earlier one.
    pub fn laid_over(&self, list: &HostList) -> HostList {
        let mut hosts = list.hosts.clone();
        hosts.retain(|host, record| {
            let may_have_left =
                !self.reported_anew.contains(host) && !self.listed.contains_key(host);
            !(may_have_left && self.departed.contains(host, record))
        });
        for (host, known) in &self.listed {
            let is_leaving = hosts.get(host).is_some_and(|record| {
                record.state == HostState::Leaving
                    && !EngineStart::differ(record.started, known.started)
            });
            if !is_leaving {
                hosts.insert(host.clone(), known.clone());
            }
        }
        HostList { hosts }
    }
}

/// What changed between two lists of one era.
pub fn changes_between(old: &HostList, new: &HostList) -> HostChanges {
    let removed = old.hosts.keys().filter(|id| !new.hosts.contains_key(id));
    let changed = new.hosts.iter();
    let changed = changed.filter(|(id, record)| old.hosts.get(id) != Some(record));
    HostChanges {
        removed: removed.cloned().collect(),
        changed: changed
            .map(|(id, record)| (id.clone(), record.clone()))
            .collect(),
    }
}
