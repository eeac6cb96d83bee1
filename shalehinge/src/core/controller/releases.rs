//! Which hosts have left their groups, given that engines may carry out orders late.
//!
//! An order that was not answered may be carried out seconds later, after newer ones. A host that
//! confirmed that it left a group may therefore join that group again by an earlier order.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::types::{GroupNumber, HostId, Timestamp};

/// Time within which an engine may carry out an order that it did not answer.
const LATE_ORDER_WINDOW: Duration = Duration::from_secs(12);
/// Time after which the host list reflects that a host has left its group.
const LIST_DELAY: Duration = Duration::from_millis(500);

/// What is known of the last group of each host.
#[derive(Clone, Debug, Default)]
pub(super) struct Releases {
    /// The last group that the engine of each host confirmed to have left, and when.
    confirmed: BTreeMap<HostId, (GroupNumber, Timestamp)>,
    /// The group that each host was last ordered to join without an answer, and when.
    unanswered_joins: BTreeMap<HostId, (GroupNumber, Timestamp)>,
}

impl Releases {
    /// Records that a host confirmed that it left a group.
    pub(super) fn confirm(&mut self, now: Timestamp, host: &HostId, group: GroupNumber) {
        self.confirmed.insert(host.clone(), (group, now));
    }

    /// Records an order to join a group, sent at `asked_at`, that was not answered.
    pub(super) fn record_unanswered_join(
        &mut self,
        asked_at: Timestamp,
        host: &HostId,
        group: GroupNumber,
    ) {
        self.unanswered_joins
            .insert(host.clone(), (group, asked_at));
    }

    /// Forgets a host whose engine restarted: it is in no group, and the orders were for its
    /// earlier life.
    pub(super) fn forget(&mut self, host: &HostId) {
        self.confirmed.remove(host);
        self.unanswered_joins.remove(host);
    }

    /// Whether the host confirmed that it left this group, and has not joined it again as far as
    /// is known.
    pub(super) fn has_left(&self, host: &HostId, group: GroupNumber) -> bool {
        let confirmed = self.confirmed.get(host);
        confirmed.is_some_and(|(known, _)| *known == group)
    }

    /// Whether the host may yet join this group again by an order that it did not answer.
    pub(super) fn may_rejoin(&self, now: Timestamp, host: &HostId, group: GroupNumber) -> bool {
        let unanswered = self.unanswered_joins.get(host);
        unanswered.is_some_and(|(known, asked_at)| {
            *known == group && now.since(*asked_at) < LATE_ORDER_WINDOW
        })
    }

    /// Withdraws the releases of hosts that the list, current at `as_of`, shows in the group that
    /// they had left. Returns these hosts.
    pub(super) fn withdraw_rejoined(
        &mut self,
        as_of: Timestamp,
        listed_group: impl Fn(&HostId) -> Option<GroupNumber>,
    ) -> Vec<(HostId, GroupNumber)> {
        let has_rejoined = |host: &HostId, &mut (group, confirmed_at): &mut (_, Timestamp)| {
            as_of >= confirmed_at + LIST_DELAY && listed_group(host) == Some(group)
        };
        let rejoined = self.confirmed.extract_if(.., has_rejoined);
        rejoined.map(|(host, (group, _))| (host, group)).collect()
    }
}
