//! Groups that stand, where what is stored of them can't be read any more, or is of a copy that
//! the store was restored from.
//!
//! The host list shows which hosts are in which group and who takes its requests. A group that
//! is shown whole is taken over as it stands; hosts of any other are told to leave it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::list_outage::RETURN_WAIT;
use super::service_plan::ONLY_VERSION;
use super::{Controller, ListedHost};
use crate::core::engine::EngineStatus;
use crate::core::fleet_state::FleetState;
use crate::core::objects::{Assignment, Group, GroupPhase, Member};
use crate::core::types::{GroupNumber, HostId, ModelName, ModelVersion};
use crate::settings::control::Assembly;

/// Numbers above the highest shown that may have been used. Far more groups than a
/// failure domain begins between two lists, and numbers cost nothing.
pub(super) const NUMBERS_UNSEEN: u64 = 1_000;

/// Where an assignment that was read comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It was written in the store's present era.
    Current,
    /// It is older than the store's present era, as is all that the store lost since.
    Copy,
    /// Another program wrote it, in a form of its own.
    Foreign,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Current => "current",
            Self::Copy => "of a copy",
            Self::Foreign => "not ours",
        })
    }
}

type Shown<'a> = Vec<(&'a HostId, &'a ListedHost)>;

impl Controller {
    /// Whether groups that stand are taken from the list before anything else is decided. Only a
    /// list of engines that join by order shows them.
    pub(super) fn adopts(&self) -> bool {
        self.origin != Origin::Current && self.settings.assembly == Assembly::Orders
    }

    /// Whether the list shows the groups that stand. After a copy hosts write their entries again,
    /// which takes them a while.
    pub(super) fn knows_what_stands(&self) -> bool {
        let wait = match self.origin {
            Origin::Copy => RETURN_WAIT,
            Origin::Current | Origin::Foreign => Duration::ZERO,
        };
        let seen_at = self.stored_seen_at;
        seen_at.is_some_and(|seen_at| self.is_list_newer(seen_at + wait))
    }

    /// What is stored, where the list does not show otherwise, with the groups that stand.
    pub(super) fn taken_over(&self, stored: Assignment, state: &FleetState) -> Assignment {
        let shown = self.adopted(state);
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

    /// The assignment, by what the list shows.
    fn adopted(&self, state: &FleetState) -> Assignment {
        let mut by_group: BTreeMap<GroupNumber, Shown<'_>> = BTreeMap::new();
        for (host, listed) in self.listed.iter().filter(|(_, listed)| listed.is_listed) {
            if let Some(number) = status_of(listed).and_then(|status| status.group) {
                by_group.entry(number).or_default().push((host, listed));
            }
        }
        let highest = by_group.keys().next_back().map_or(0, |number| number.0);
        let whole = by_group
            .into_iter()
            .filter(|(number, _)| *number != GroupNumber::PRIMING)
            .filter_map(|(number, shown)| Some((number, whole_group(number, shown, state)?)));
        Assignment {
            next_group: GroupNumber(highest + NUMBERS_UNSEEN),
            groups: whole.collect(),
            ..Assignment::default()
        }
    }
}

/// The group that these hosts show, if its rank 0 takes requests and no member is missing.
fn whole_group(number: GroupNumber, mut shown: Shown<'_>, state: &FleetState) -> Option<Group> {
    let is_head = |listed: &ListedHost| status_of(listed).is_some_and(|s| s.shows_open(number));
    let is_ready = |listed: &ListedHost| status_of(listed).is_some_and(|s| s.shows_ready(number));
    shown.sort_by_key(|(host, listed)| (!is_head(listed), *host));
    let (_, head) = shown.first()?;
    let model = status_of(head)?.held.as_ref()?.model.clone();
    let is_whole = shown.len() == hosts_of(&model, state)?;
    let serves = is_head(head) && shown.iter().all(|(_, listed)| is_ready(listed));
    (is_whole && serves).then(|| Group {
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

/// Hosts of a replica, by the configuration.
fn hosts_of(model: &ModelName, state: &FleetState) -> Option<usize> {
    let profile = state.fleet()?.value.profiles.get(model)?;
    Some(profile.hosts_per_replica as usize)
}
