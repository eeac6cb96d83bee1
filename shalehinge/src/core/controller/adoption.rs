//! Groups that stand, where what is stored of them can't be read any more.
//!
//! The host list shows which hosts are in which group and who takes its requests. A group that
//! is shown whole is taken over as it stands; hosts of any other are told to leave it. Without
//! it a failure domain whose assignment another program had overwritten was controlled by
//! nobody: no lost group was formed anew (`tests/foreign_objects.rs` of the adapter).

use std::collections::BTreeMap;

use super::service_plan::ONLY_VERSION;
use super::{Controller, ListedHost};
use crate::core::engine::EngineStatus;
use crate::core::fleet_state::FleetState;
use crate::core::objects::{Assignment, Group, GroupPhase, Member};
use crate::core::types::{GroupNumber, HostId, ModelName, ModelVersion};

/// Numbers above the highest shown that may have been used. Far more groups than a
/// failure domain begins between two lists, and numbers cost nothing.
const NUMBERS_UNSEEN: u64 = 1_000;

type Shown<'a> = Vec<(&'a HostId, &'a ListedHost)>;

impl Controller {
    /// The assignment, by what the list shows.
    pub(super) fn adopted(&self, state: &FleetState) -> Assignment {
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
