//! Which hosts this daemon reaches, as far as it was shown.
//!
//! The host list tells that a host lives and reaches the platform, not that this daemon
//! reaches the host. A host that left a status probe unanswered stays out of new groups
//! until it answers one. Where hosts fell silent although the list still shows them, they
//! may have been cut off together with others: then a free host must answer a probe
//! before it joins a new group, as a group with one member out of reach never opens.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Controller, ControllerAction};
use crate::core::objects::{Assignment, HostState, Member};
use crate::core::types::{GroupNumber, HostId, Timestamp};

/// Time between two probes of a host that left an order unanswered, or is a member of a
/// suspected group. Two probes are the proof of a loss, and a group waits for it.
pub(super) const DOUBT_SPACING: Duration = Duration::from_millis(100);
/// Time between two probes of a host that is known to be silent. A cut that ends
/// is noticed within half a second, for a few probes a second.
const SILENT_SPACING: Duration = Duration::from_millis(500);

impl Controller {
    /// A host left an order unanswered. The order may be carried out late, which the
    /// numbers of groups make harmless, and is given again; only a host that answers no
    /// probe either is out of reach.
    pub(super) fn doubt(&mut self, now: Timestamp, host: &HostId) {
        self.doubted.entry(host.clone()).or_insert(now);
    }

    /// A host left a probe unanswered.
    pub(super) fn note_silence(&mut self, now: Timestamp, host: &HostId) {
        self.unreachable.entry(host.clone()).or_insert(now);
        let mut groups = self.stored.iter().flat_map(|s| s.value.groups.values());
        let is_member = groups.any(|group| group.contains(host));
        let spacing = if is_member {
            DOUBT_SPACING
        } else {
            SILENT_SPACING
        };
        self.doubted.insert(host.clone(), now + spacing);
    }

    /// A host answered an order or a probe.
    pub(super) fn note_answer(&mut self, now: Timestamp, host: &HostId) {
        self.unreachable.remove(host);
        self.doubted.remove(host);
        self.answered_at.insert(host.clone(), now);
    }

    /// Hosts that new groups must not use: silent ones, and free ones that have not
    /// answered since others fell silent. The latter are asked.
    pub(super) fn out_of_reach(&mut self, now: Timestamp, value: &Assignment) -> BTreeSet<HostId> {
        let listed = &self.listed;
        self.unreachable.retain(|host, _| listed.contains_key(host));
        self.answered_at.retain(|host, _| listed.contains_key(host));
        let mut hosts: BTreeSet<HostId> = self.unreachable.keys().cloned().collect();
        let Some(since) = self.silent_since() else {
            return hosts;
        };
        let used = value.used_hosts();
        let unproven: Vec<HostId> = self
            .listed
            .keys()
            .filter(|host| self.is_live(host) && !used.contains(*host))
            .filter(|host| self.answered_at.get(*host).is_none_or(|at| *at < since))
            .cloned()
            .collect();
        for host in unproven {
            self.doubt(now, &host);
            hosts.insert(host);
        }
        hosts
    }

    /// Since when a host is silent that the list shows alive.
    fn silent_since(&self) -> Option<Timestamp> {
        let silent = self.unreachable.iter();
        let listed = silent.filter(|(host, _)| self.is_live(host));
        listed.map(|(_, since)| *since).min()
    }

    /// Whether the list shows the host alive and not leaving.
    pub(super) fn is_live(&self, host: &HostId) -> bool {
        let listed = self.listed.get(host);
        listed.is_some_and(|host| host.is_listed && host.record.state == HostState::Live)
    }

    /// Probes the hosts that left something unanswered.
    pub(super) fn ask_doubted(&mut self, now: Timestamp, actions: &mut Vec<ControllerAction>) {
        let listed = &self.listed;
        self.doubted.retain(|host, _| listed.contains_key(host));
        for (host, next_at) in &mut self.doubted {
            if now < *next_at {
                continue;
            }
            *next_at = now + DOUBT_SPACING;
            let host = host.clone();
            let address = listed[&host].record.address;
            actions.push(ControllerAction::Probe {
                group: GroupNumber::PRIMING,
                rank_zero: Member { host, address },
            });
        }
    }
}
