//! Hosts that this daemon can reach, as far as it knows.
//!
//! The host list shows that a host is alive and reaches the platform, but not that this daemon
//! reaches the host. A host that left a status probe unanswered is excluded from new groups until
//! it answers one. If hosts became silent although they are still listed, others may have been
//! cut off together with them. Free hosts must then answer a probe before they join a new group,
//! because a group with an unreachable member never opens.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Controller, ControllerAction};
use crate::core::objects::{Assignment, HostState, Member};
use crate::core::types::{GroupNumber, HostId, Timestamp};

/// Interval between probes of a host that left an order unanswered or is a member of a suspected
/// group. Two probes prove a loss, and the group waits for this proof.
pub(super) const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between probes of a host that is known to be silent. The end of a cut is noticed
/// within half a second, at the cost of a few probes per second.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_millis(500);

impl Controller {
    /// Schedules a probe of a host that left an order unanswered. The order is repeated and may
    /// be carried out late, which group numbers make harmless. Only a host that does not answer
    /// probes either is unreachable.
    pub(super) fn schedule_probe(&mut self, now: Timestamp, host: &HostId) {
        self.next_probe_at.entry(host.clone()).or_insert(now);
    }

    /// Records that a host left a probe unanswered.
    pub(super) fn record_silence(&mut self, now: Timestamp, host: &HostId) {
        if !self.unreachable.contains_key(host) {
            self.unreachable.insert(host.clone(), now);
            let line = format!("{host} answers no probe, it joins no new group until it does");
            self.log_lines.push(line);
        }
        let mut groups = self.stored.iter().flat_map(|s| s.value.groups.values());
        let is_member = groups.any(|group| group.contains(host));
        let interval = if is_member {
            SUSPECT_PROBE_INTERVAL
        } else {
            SILENT_PROBE_INTERVAL
        };
        self.next_probe_at.insert(host.clone(), now + interval);
    }

    /// Records that a host answered an order or a probe.
    pub(super) fn record_answer(&mut self, now: Timestamp, host: &HostId) {
        if self.unreachable.remove(host).is_some() {
            self.log_lines.push(format!("{host} answers again"));
        }
        self.next_probe_at.remove(host);
        self.silences.end(host);
        self.answered_at.insert(host.clone(), now);
    }

    /// Hosts that new groups must not use: silent hosts, and free hosts that have not answered
    /// since others became silent. Probes of the latter are scheduled.
    pub(super) fn unusable_hosts(
        &mut self,
        now: Timestamp,
        value: &Assignment,
    ) -> BTreeSet<HostId> {
        let listed = &self.listed;
        self.unreachable.retain(|host, _| listed.contains_key(host));
        self.answered_at.retain(|host, _| listed.contains_key(host));
        let mut hosts: BTreeSet<HostId> = self.unreachable.keys().cloned().collect();
        let Some(since) = self.silent_since() else {
            return hosts;
        };
        let used = value.used_hosts();
        let unconfirmed: Vec<HostId> = self
            .listed
            .keys()
            .filter(|host| self.is_live(host) && !used.contains(*host))
            .filter(|host| self.answered_at.get(*host).is_none_or(|at| *at < since))
            .cloned()
            .collect();
        for host in unconfirmed {
            self.schedule_probe(now, &host);
            hosts.insert(host);
        }
        hosts
    }

    /// Time since which any host that the list shows alive is silent.
    fn silent_since(&self) -> Option<Timestamp> {
        let silent = self.unreachable.iter();
        let listed = silent.filter(|(host, _)| self.is_live(host));
        listed.map(|(_, since)| *since).min()
    }

    /// Whether the list shows the host as live, and not as leaving.
    pub(super) fn is_live(&self, host: &HostId) -> bool {
        let listed = self.listed.get(host);
        listed.is_some_and(|host| host.is_listed && host.record.state == HostState::Live)
    }

    /// Sends the due probes of hosts that left an order or a probe unanswered.
    pub(super) fn send_due_probes(&mut self, now: Timestamp, actions: &mut Vec<ControllerAction>) {
        let listed = &self.listed;
        self.next_probe_at
            .retain(|host, _| listed.contains_key(host));
        for (host, next_at) in &mut self.next_probe_at {
            if now < *next_at {
                continue;
            }
            *next_at = now + SUSPECT_PROBE_INTERVAL;
            let host = host.clone();
            let address = listed[&host].record.address;
            actions.push(ControllerAction::Probe {
                group: GroupNumber::PRIMING,
                member: Member { host, address },
            });
        }
    }
}
