//! Hosts as they were reported in the previous era of the store.
//!
//! The backup that a store is restored from is a few seconds old: hosts that were added since are
//! missing, and hosts that started to leave, or left, are listed in their former state. The
//! former record of a host is therefore used until the new era reports the host, or until the
//! time in which hosts register again has passed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::objects::{HostChanges, HostList, HostRecord, HostState};
use super::types::{EngineStart, HostId};

/// Maximum number of departed hosts that are tracked: enough for the restart of a large failure
/// domain.
const MAX_DEPARTED_HOSTS: usize = 512;

/// Hosts that were removed from the list recently, each with the start of the engine process that
/// ended.
#[derive(Clone, Debug, Default)]
pub struct DepartedHosts(VecDeque<(HostId, Option<EngineStart>)>);

impl DepartedHosts {
    /// Records the hosts that a change removes from `list`.
    pub fn record_removed(&mut self, list: &HostList, removed: &BTreeSet<HostId>) {
        for host in removed {
            if let Some(record) = list.hosts.get(host) {
                self.0.push_back((host.clone(), record.started));
            }
        }
        while self.0.len() > MAX_DEPARTED_HOSTS {
            self.0.pop_front();
        }
    }

    /// Whether this engine process of the host is known to have left.
    fn contains(&self, host: &HostId, record: &HostRecord) -> bool {
        let mut departed = self.0.iter();
        departed
            .any(|(known, started)| known == host && !EngineStart::differ(*started, record.started))
    }
}

/// Host records of the previous era that the new era has not reported yet.
#[derive(Clone, Debug)]
pub struct EarlierHosts {
    former_records: BTreeMap<HostId, HostRecord>,
    departed: DepartedHosts,
    reported_in_new_era: BTreeSet<HostId>,
}

impl EarlierHosts {
    /// Creates the state from the last list of the previous era and the hosts that had left it.
    pub fn new(list: HostList, departed: DepartedHosts) -> Self {
        Self {
            former_records: list.hosts,
            departed,
            reported_in_new_era: BTreeSet::new(),
        }
    }

    /// Records that the new era reported these hosts, which supersedes their former records.
    pub fn record_changes(&mut self, changes: &HostChanges) {
        let reported = changes.changed.keys().chain(&changes.removed);
        for host in reported {
            self.former_records.remove(host);
            self.reported_in_new_era.insert(host.clone());
        }
    }

    /// Returns a list of the new era combined with the former records that still apply.
    pub fn overlay(&self, list: &HostList) -> HostList {
        let mut hosts = list.hosts.clone();
        hosts.retain(|host, record| {
            let may_have_left =
                !self.reported_in_new_era.contains(host) && !self.former_records.contains_key(host);
            !(may_have_left && self.departed.contains(host, record))
        });
        for (host, known) in &self.former_records {
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

/// Returns the changes between two lists of the same era.
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
