//! Adoption of running groups when the stored assignment cannot be decoded, or comes from a
//! backup that the store was restored from.
//!
//! The host list shows which hosts belong to which group, and which host takes requests for it. A
//! group that is listed completely is adopted as it is; hosts of any other group are ordered to
//! leave it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::list_outage::RECOVERY_WAIT;
use super::service_plan::ONLY_VERSION;
use super::{Controller, ListedHost};
use crate::core::engine::EngineStatus;
use crate::core::fleet_state::FleetState;
use crate::core::objects::{Assignment, Group, GroupPhase, Member};
use crate::core::types::{GroupNumber, HostId, ModelName, ModelVersion};
use crate::settings::control::Assembly;

/// Number of group numbers above the highest listed one that are skipped, because they may have
/// been used. This is far more than the number of groups that a failure domain starts between two
/// host lists, and unused numbers cost nothing.
pub(super) const GROUP_NUMBER_MARGIN: u64 = 1_000;

/// Origin of an assignment that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Written in the current era of the store.
    Current,
    /// Restored from a backup: older than the current era of the store, so later changes are
    /// lost.
    Restored,
    /// Overwritten by another program, in a format that this daemon cannot decode.
    Foreign,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Current => "current",
            Self::Restored => "restored from a backup",
            Self::Foreign => "not readable",
        })
    }
}

type ShownHosts<'a> = Vec<(&'a HostId, &'a ListedHost)>;

impl Controller {
    /// Whether running groups are adopted from the host list before anything else is decided.
    /// Only engines that join by order report their groups in the list.
    pub(super) fn must_adopt(&self) -> bool {
        self.origin != Origin::Current && self.settings.assembly == Assembly::Orders
    }

    /// Whether the host list is recent enough to show the running groups. After a restore, hosts
    /// need some time to write their entries again.
    pub(super) fn shows_running_groups(&self) -> bool {
        let wait = match self.origin {
            Origin::Restored => RECOVERY_WAIT,
            Origin::Current | Origin::Foreign => Duration::ZERO,
        };
        let seen_at = self.stored_seen_at;
        seen_at.is_some_and(|seen_at| self.is_list_newer(seen_at + wait))
    }

    /// Merges the running groups into the stored assignment; where both disagree, the host list
    /// takes precedence.
    pub(super) fn merge_running_groups(
        &self,
        stored: Assignment,
        state: &FleetState,
    ) -> Assignment {
        let shown = self.listed_groups(state);
        let mut value = stored;
        let is_shown = |host: &HostId| shown.groups.values().any(|group| group.contains(host));
        value.groups.retain(|number, group| {
            let is_same = shown.groups.get(number).is_some_and(|other| {
                other.members.len() == group.members.len()
                    && other
                        .members
                        .iter()
                        .all(|member| group.contains(&member.host))
            });
            is_same || !group.members.iter().any(|member| is_shown(&member.host))
        });
        value.releasing.retain(|host, _| !is_shown(host));
        value.next_group = value.next_group.max(shown.next_group);
        for (number, group) in shown.groups {
            value.groups.entry(number).or_insert(group);
        }
        value
    }

    /// The assignment that follows from the host list alone.
    fn listed_groups(&self, state: &FleetState) -> Assignment {
        let mut by_group: BTreeMap<GroupNumber, ShownHosts<'_>> = BTreeMap::new();
        for (host, listed) in self.listed.iter().filter(|(_, listed)| listed.is_listed) {
            if let Some(number) = status_of(listed).and_then(|status| status.group) {
                by_group.entry(number).or_default().push((host, listed));
            }
        }
        let highest = by_group.keys().next_back().map_or(0, |number| number.0);
        let complete = by_group
            .into_iter()
            .filter(|(number, _)| *number != GroupNumber::PRIMING)
            .filter_map(|(number, shown)| Some((number, complete_group(number, shown, state)?)));
        Assignment {
            next_group: GroupNumber(highest + GROUP_NUMBER_MARGIN),
            groups: complete.collect(),
            ..Assignment::default()
        }
    }
}

/// The group that these hosts report, if its rank 0 takes requests and no member is missing.
fn complete_group(
    number: GroupNumber,
    mut shown: ShownHosts<'_>,
    state: &FleetState,
) -> Option<Group> {
    let is_open = |listed: &ListedHost| status_of(listed).is_some_and(|s| s.shows_open(number));
    let is_ready = |listed: &ListedHost| status_of(listed).is_some_and(|s| s.shows_ready(number));
    shown.sort_by_key(|(host, listed)| (!is_open(listed), *host));
    let (_, rank_zero) = shown.first()?;
    let model = status_of(rank_zero)?.held.as_ref()?.model.clone();
    let is_complete = shown.len() == hosts_per_replica_of(&model, state)?;
    let serves = is_open(rank_zero) && shown.iter().all(|(_, listed)| is_ready(listed));
    (is_complete && serves).then(|| Group {
        model,
        version: ModelVersion::new(ONLY_VERSION),
        members: shown.into_iter().map(member).collect(),
        phase: GroupPhase::Serving,
    })
}

fn status_of(listed: &ListedHost) -> Option<&EngineStatus> {
    listed.record.status.as_ref()
}

fn member((host, listed): (&HostId, &ListedHost)) -> Member {
    Member {
        host: host.clone(),
        address: listed.record.address,
    }
}

/// Number of hosts of a replica, according to the configuration.
fn hosts_per_replica_of(model: &ModelName, state: &FleetState) -> Option<usize> {
    let profile = state.fleet()?.value.profiles.get(model)?;
    Some(profile.hosts_per_replica as usize)
}
