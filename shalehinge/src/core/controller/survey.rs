//! Survey of engines that report their own state, after the stored assignment was lost.
//!
//! An assignment that was restored from a backup, or that cannot be decoded, may lack groups that
//! serve. No daemon may know them any more, but their engines do. All engines of the failure
//! domain are asked before anything is ordered. A host that does not answer is in no new group
//! until it has answered.

use std::collections::{BTreeMap, BTreeSet};

use super::{CallPurpose, Controller, ControllerAction};
use crate::core::engine::EngineStatus;
use crate::core::objects::{Assignment, Group, Member};
use crate::core::types::{Address, GroupNumber, HostId, Timestamp};
use crate::settings::control::Assembly;

/// Number of unanswered probes after which the survey no longer waits for a host.
const MAX_UNANSWERED: u32 = 2;

/// What the engines of a failure domain reported since the assignment was read.
#[derive(Clone, Debug, Default)]
pub(super) struct Survey {
    /// Statuses of the hosts that answered.
    statuses: BTreeMap<HostId, EngineStatus>,
    /// Number of unanswered probes of each host that has not answered.
    unanswered: BTreeMap<HostId, u32>,
    /// Whether the running groups were adopted.
    is_adopted: bool,
    /// Hosts that answered after that and reported a group, until they are released from it.
    strays: BTreeMap<HostId, GroupNumber>,
}

impl Survey {
    fn is_settled(&self, host: &HostId) -> bool {
        self.statuses.contains_key(host)
            || self
                .unanswered
                .get(host)
                .is_some_and(|count| *count >= MAX_UNANSWERED)
    }
}

impl Controller {
    /// Starts a survey if the stored assignment may lack groups that engines report, or members
    /// of its groups.
    pub(super) fn begin_survey(&mut self) {
        if self.settings.assembly != Assembly::Engines {
            return;
        }
        if self.may_lack_groups() {
            self.survey = Some(Survey::default());
            return;
        }
        if self.has_unknown_members() {
            self.survey.get_or_insert_default();
        }
        self.end_survey();
    }

    /// Whether a group of the stored assignment has members that are not known.
    fn has_unknown_members(&self) -> bool {
        let mut groups = self.stored.iter().flat_map(|s| s.value.groups.values());
        groups.any(|group| group.unknown_members > 0)
    }

    /// Whether engines are still being asked which groups they are in, so that nothing may be
    /// ordered.
    pub(super) fn is_surveying(&self) -> bool {
        self.survey
            .as_ref()
            .is_some_and(|survey| !survey.is_adopted)
    }

    /// Whether every engine answered, or was given up for now.
    pub(super) fn is_survey_complete(&self) -> bool {
        self.survey.as_ref().is_some_and(|survey| {
            let mut hosts = self.addresses.keys();
            !self.addresses.is_empty() && hosts.all(|host| survey.is_settled(host))
        })
    }

    /// Ends the wait for answers, as the running groups are adopted.
    pub(super) fn end_survey(&mut self) {
        if let Some(survey) = &mut self.survey {
            survey.is_adopted = true;
        }
    }

    /// Probes of the engines that have not answered.
    pub(super) fn survey_probes(&mut self, now: Timestamp) -> Vec<ControllerAction> {
        let hosts = self.unsurveyed_hosts();
        self.probe_hosts(now, hosts)
    }

    /// Probes, after the running groups were adopted, of free hosts that have not answered; the
    /// others are called for their groups.
    pub(super) fn late_survey_probes(&mut self, now: Timestamp) -> Vec<ControllerAction> {
        let mut hosts = self.unsurveyed_hosts();
        if let Some(stored) = &self.stored {
            hosts.retain(|host| !stored.value.is_in_use(host));
        }
        self.probe_hosts(now, hosts)
    }

    fn probe_hosts(&mut self, now: Timestamp, hosts: BTreeSet<HostId>) -> Vec<ControllerAction> {
        let group = GroupNumber::PRIMING;
        let mut actions = Vec::new();
        for host in hosts {
            let Some(address) = self.addresses.get(&host).copied() else {
                continue;
            };
            if self.try_call(now, &host, CallPurpose::Survey) {
                let member = Member { host, address };
                actions.push(ControllerAction::Probe { group, member });
            }
        }
        actions
    }

    /// Hosts of which it is not known whether they are in a group that the assignment lacks.
    pub(super) fn unsurveyed_hosts(&self) -> BTreeSet<HostId> {
        let Some(survey) = &self.survey else {
            return BTreeSet::new();
        };
        let hosts = self.addresses.keys();
        let unknown = hosts.filter(|host| !survey.statuses.contains_key(*host));
        unknown.cloned().collect()
    }

    /// Records an engine's status, or that it did not answer.
    pub(super) fn record_surveyed(&mut self, host: &HostId, status: Option<&EngineStatus>) {
        let Some(survey) = &mut self.survey else {
            return;
        };
        let Some(status) = status else {
            *survey.unanswered.entry(host.clone()).or_default() += 1;
            return;
        };
        if survey.statuses.contains_key(host) {
            return;
        }
        survey.statuses.insert(host.clone(), status.clone());
        if let Some(group) = status.group.filter(|_| survey.is_adopted) {
            survey.strays.insert(host.clone(), group);
        }
    }

    /// Engines that answered the survey, with their addresses.
    pub(super) fn surveyed(&self) -> impl Iterator<Item = (&HostId, Address, &EngineStatus)> {
        let statuses = self.survey.iter().flat_map(|survey| &survey.statuses);
        statuses.filter_map(|(host, status)| {
            let address = *self.addresses.get(host)?;
            Some((host, address, status))
        })
    }

    /// Whether a member of the group reported that it is in another one.
    pub(super) fn has_moved_member(&self, number: GroupNumber, group: &Group) -> bool {
        let mut surveyed = self.surveyed();
        surveyed.any(|(host, _, status)| {
            group.contains(host) && status.group.is_some_and(|reported| reported != number)
        })
    }

    /// Releases surveyed hosts from groups that the adopted assignment does not contain, as these
    /// were not complete.
    pub(super) fn release_incomplete_groups(&self, value: &mut Assignment) {
        let used = value.used_hosts();
        let strays: Vec<(HostId, GroupNumber)> = self
            .surveyed()
            .filter(|(host, ..)| !used.contains(*host))
            .filter_map(|(host, _, status)| Some((host.clone(), status.group?)))
            .collect();
        value.releasing.extend(strays);
    }

    /// Hosts that answered only after the running groups were adopted, and that no group of the
    /// assignment contains.
    pub(super) fn unused_strays(&self, value: &Assignment) -> BTreeMap<HostId, GroupNumber> {
        let used = value.used_hosts();
        let strays = self.survey.iter().flat_map(|survey| &survey.strays);
        let unused = strays.filter(|(host, _)| !used.contains(host));
        unused
            .map(|(host, number)| (host.clone(), *number))
            .collect()
    }

    /// Releases hosts that answered only after the running groups were adopted.
    pub(super) fn release_strays(&mut self, value: &mut Assignment) {
        let Some(survey) = &mut self.survey else {
            return;
        };
        let used = value.used_hosts();
        survey.strays.retain(|host, _| !used.contains(host));
        value.releasing.extend(survey.strays.clone());
    }
}
