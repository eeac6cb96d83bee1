//! Hosts that leave their groups, and the conditions under which other groups may use them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{CallPurpose, Controller, ControllerAction};
use crate::core::engine::Command;
use crate::core::objects::{Assignment, Member};
use crate::core::types::{Epoch, GroupNumber, HostId, Timestamp};

/// How long the formation of new groups waits for hosts that are being released.
const SURVIVOR_WAIT: Duration = Duration::from_millis(400);

impl Controller {
    pub(super) fn release(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        number: GroupNumber,
        member: &Member,
        actions: &mut Vec<ControllerAction>,
    ) {
        let purpose = CallPurpose::Leave(number);
        if !self.has_left(&member.host, number) && self.is_call_due(now, &member.host, purpose) {
            self.record_call(now, &member.host, purpose);
            let command = Command::Release { drain: false };
            actions.push(self.order(epoch, number, member, command));
        }
    }

    /// Orders hosts to leave their group if the group was dissolved, or if the assignment no
    /// longer contains the group that the list shows them in.
    pub(super) fn release_hosts(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        value: &Assignment,
        actions: &mut Vec<ControllerAction>,
    ) {
        let mut leaving: Vec<(Member, GroupNumber)> = Vec::new();
        for (host, number) in &value.releasing {
            if let Some(listed) = self.listed.get(host) {
                let address = listed.record.address;
                let member = Member {
                    host: host.clone(),
                    address,
                };
                leaving.push((member, *number));
            }
        }
        for (host, number) in self.hosts_in_removed_groups(value) {
            if number == GroupNumber::PRIMING && !self.is_primed(&host) {
                continue;
            }
            let address = self.listed[&host].record.address;
            leaving.push((Member { host, address }, number));
        }
        for (member, number) in leaving {
            self.release(now, epoch, number, &member, actions);
        }
    }

    /// Hosts without a group in the assignment that the list shows in one, if the list is recent
    /// enough to be sure that the group no longer exists. They are ordered to leave it. Members of
    /// an adopted group that is not complete yet are added to it instead.
    fn hosts_in_removed_groups(&self, value: &Assignment) -> BTreeMap<HostId, GroupNumber> {
        if !self.trusts_absence() {
            return BTreeMap::new();
        }
        let is_incomplete = |number: &GroupNumber| {
            let group = value.groups.get(number);
            group.is_some_and(|group| group.unknown_members > 0)
        };
        let mut hosts = self.shown_in_a_group(value);
        hosts.retain(|_, number| !is_incomplete(number));
        hosts
    }

    /// Hosts without a group in the assignment that the list shows in one. They must not be used
    /// until they have left it, even if the list is old: a member that was cut off when its group
    /// was dissolved may be reachable again without having been ordered to leave, while its rank
    /// 0 is still open. A new lease holder that considered only newer lists put such a member into
    /// another group within 100 ms (in one of eight replays of a day with network cuts and a
    /// lease handover).
    pub(super) fn shown_in_a_group(&self, value: &Assignment) -> BTreeMap<HostId, GroupNumber> {
        let used = value.used_hosts();
        self.listed
            .iter()
            .filter(|(host, listed)| listed.is_listed && !used.contains(host))
            .filter_map(|(host, listed)| {
                let number = listed.record.status.as_ref()?.group?;
                let has_left = self.has_left(host, number);
                (!has_left).then(|| (host.clone(), number))
            })
            .collect()
    }

    /// Frees hosts of dissolved groups once they have left and the rank 0 of their group is known
    /// to have stopped serving.
    pub(super) fn free_departed_hosts(&mut self, now: Timestamp, value: &mut Assignment) {
        let incomplete = self.incomplete_groups(value);
        // A member that is back completes its group again.
        self.stalled_since
            .retain(|number, _| incomplete.contains(number));
        for number in incomplete {
            self.stalled_since.entry(number).or_insert(now);
        }
        let stopped: BTreeSet<GroupNumber> = value
            .heads
            .iter()
            .filter(|(number, rank_zero)| self.has_stopped_serving(now, **number, rank_zero))
            .map(|(number, _)| *number)
            .collect();
        let (releases, heads) = (&self.releases, &value.heads);
        let listed = &self.listed;
        value.releasing.retain(|host, number| {
            let has_rank_zero = heads.contains_key(number);
            let is_settled = !has_rank_zero || stopped.contains(number);
            let is_gone = !listed.get(host).is_some_and(|listed| listed.is_listed);
            let has_left = releases.has_left(host, *number);
            // A member that is back may let rank 0 go on, unless that has left as well.
            let is_over = heads
                .get(number)
                .is_none_or(|rank_zero| rank_zero != host && releases.has_left(rank_zero, *number));
            let may_rejoin = !is_over && releases.may_rejoin(now, host, *number);
            !(is_settled && (has_left || is_gone) && !may_rejoin)
        });
        let releasing = &value.releasing;
        value
            .heads
            .retain(|number, _| releasing.values().any(|other| other == number));
    }

    /// Dissolved groups that a member other than rank 0 has left.
    fn incomplete_groups(&self, value: &Assignment) -> BTreeSet<GroupNumber> {
        let releasing = value.releasing.iter();
        let left = releasing.filter(|(host, number)| {
            let is_rank_zero = value.heads.get(number) == Some(*host);
            !is_rank_zero && self.has_left(host, **number)
        });
        left.map(|(_, number)| *number).collect()
    }

    /// Whether hosts that can soon be used again are still being released, within the time that
    /// new groups wait for them.
    pub(super) fn awaits_survivors(
        &mut self,
        now: Timestamp,
        value: &Assignment,
        avoided: &BTreeSet<HostId>,
    ) -> bool {
        self.releasing_since
            .retain(|host, _| value.releasing.contains_key(host));
        for host in value.releasing.keys() {
            self.releasing_since.entry(host.clone()).or_insert(now);
        }
        self.releasing_since.iter().any(|(host, since)| {
            now.since(*since) < SURVIVOR_WAIT && !avoided.contains(host) && self.is_listed(host)
        })
    }

    /// Whether rank 0 of a dissolved group has left it, or has been stalled since the other
    /// members left for so long that it is considered broken.
    fn has_stopped_serving(&self, now: Timestamp, number: GroupNumber, rank_zero: &HostId) -> bool {
        let has_stalled = self
            .stalled_since
            .get(&number)
            .is_some_and(|since| now.since(*since) >= self.settings.stall);
        self.has_left(rank_zero, number) || has_stalled
    }
}
