//! Adoption of running groups when the stored assignment cannot be decoded, or comes from a
//! backup that the store was restored from.
//!
//! Where engines join by order, the host list shows which hosts belong to which group, and which
//! host takes requests for it. Other engines are asked. A group that serves is adopted as it is;
//! hosts of any other group are ordered to leave it.
//!
//! A member of a group that serves may be missing from the host list because it cannot reach the
//! platform, or may not answer this daemon. Its group is adopted without it, and completed once
//! the list shows the host or the host answers. If it was lost, rank 0 reports it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::Controller;
use super::list_outage::RECOVERY_WAIT;
use super::service_plan::ONLY_VERSION;
use crate::core::engine::EngineStatus;
use crate::core::fleet_state::FleetState;
use crate::core::objects::{Assignment, Group, GroupPhase, Member};
use crate::core::types::{Address, GroupNumber, HostId, ModelName, ModelVersion};
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

/// A host, and the state that its engine reports.
#[derive(Clone, Copy)]
struct ShownHost<'a> {
    host: &'a HostId,
    address: Address,
    status: &'a EngineStatus,
}

impl Controller {
    /// Whether the stored assignment may lack groups that run, so that these are adopted before
    /// anything else is decided.
    pub(super) fn may_lack_groups(&self) -> bool {
        self.origin != Origin::Current
    }

    /// Whether the running groups are known. After a restore, hosts need some time to write their
    /// entries in the host list again.
    pub(super) fn knows_running_groups(&self) -> bool {
        if self.settings.assembly == Assembly::Engines {
            return self.is_survey_complete();
        }
        let wait = match self.origin {
            Origin::Restored => RECOVERY_WAIT,
            Origin::Current | Origin::Foreign => Duration::ZERO,
        };
        let seen_at = self.stored_seen_at;
        seen_at.is_some_and(|seen_at| self.is_list_newer(seen_at + wait))
    }

    /// Merges the running groups into the stored assignment; where both disagree, what engines
    /// report takes precedence.
    pub(super) fn merge_running_groups(
        &self,
        stored: Assignment,
        state: &FleetState,
    ) -> Assignment {
        let shown = self.shown_groups(state);
        let mut value = stored;
        let is_shown = |host: &HostId| shown.groups.values().any(|group| group.contains(host));
        value.groups.retain(|number, group| {
            // The stored group may list members that are missing from the host list.
            let is_same = shown.groups.get(number).is_some_and(|other| {
                let mut members = other.members.iter();
                other.size() == group.size() && members.all(|member| group.contains(&member.host))
            });
            let is_replaced = group.members.iter().any(|member| is_shown(&member.host));
            is_same || !is_replaced && !self.has_moved_member(*number, group)
        });
        value.releasing.retain(|host, _| !is_shown(host));
        value.next_group = value.next_group.max(shown.next_group);
        for (number, group) in shown.groups {
            value.groups.entry(number).or_insert(group);
        }
        value
    }

    /// Adds hosts that are known by now to be in a group that was adopted without them.
    pub(super) fn complete_adopted_groups(&self, value: &mut Assignment, log: &mut Vec<String>) {
        for (host, number) in self.hosts_missing_from_groups(value) {
            let Some(group) = value.groups.get_mut(&number) else {
                continue;
            };
            let Some(address) = self.address_of(&host) else {
                continue;
            };
            if group.unknown_members == 0 {
                continue;
            }
            log.push(format!("{host} is a member of group {}", number.0));
            group.unknown_members -= 1;
            group.members.push(Member { host, address });
        }
    }

    fn address_of(&self, host: &HostId) -> Option<Address> {
        let listed = self.listed.get(host).map(|listed| listed.record.address);
        listed.or_else(|| self.addresses.get(host).copied())
    }

    /// Hosts that are shown, or reported after the adoption, in a group of the assignment that
    /// does not contain them.
    fn hosts_missing_from_groups(&self, value: &Assignment) -> BTreeMap<HostId, GroupNumber> {
        let mut hosts = self.shown_in_a_group(value);
        hosts.extend(self.unused_strays(value));
        hosts.retain(|_, number| value.groups.contains_key(number));
        hosts
    }

    /// The hosts whose engines are known to be in a group.
    fn shown_hosts(&self) -> Vec<ShownHost<'_>> {
        if self.settings.assembly == Assembly::Engines {
            let surveyed = self.surveyed().map(|(host, address, status)| ShownHost {
                host,
                address,
                status,
            });
            return surveyed.collect();
        }
        let listed = self.listed.iter().filter(|(_, listed)| listed.is_listed);
        let shown = listed.filter_map(|(host, listed)| {
            Some(ShownHost {
                host,
                address: listed.record.address,
                status: listed.record.status.as_ref()?,
            })
        });
        shown.collect()
    }

    /// The assignment that follows from what engines report alone.
    fn shown_groups(&self, state: &FleetState) -> Assignment {
        let mut by_group: BTreeMap<GroupNumber, Vec<ShownHost<'_>>> = BTreeMap::new();
        for shown in self.shown_hosts() {
            if let Some(number) = shown.status.group {
                by_group.entry(number).or_default().push(shown);
            }
        }
        let highest = by_group.keys().next_back().map_or(0, |number| number.0);
        let is_reported = self.settings.assembly == Assembly::Engines;
        let serving = by_group
            .into_iter()
            .filter(|(number, _)| *number != GroupNumber::PRIMING)
            .filter_map(|(number, shown)| {
                let group = if is_reported {
                    serving_reported_group(number, shown)
                } else {
                    serving_listed_group(number, shown, state)
                };
                Some((number, group?))
            });
        Assignment {
            next_group: GroupNumber(highest.saturating_add(GROUP_NUMBER_MARGIN)),
            groups: serving.collect(),
            ..Assignment::default()
        }
    }
}

/// The group that these listed hosts belong to, if its rank 0 takes requests. Further members may
/// be missing from the list.
fn serving_listed_group(
    number: GroupNumber,
    mut shown: Vec<ShownHost<'_>>,
    state: &FleetState,
) -> Option<Group> {
    shown.sort_by_key(|shown| (!shown.status.shows_open(number), shown.host));
    let rank_zero = shown.first()?;
    let model = rank_zero.status.held.as_ref()?.model.clone();
    let unknown_members = hosts_per_replica_of(&model, state)?.checked_sub(shown.len())?;
    let serves = rank_zero.status.shows_open(number)
        && shown.iter().all(|shown| shown.status.shows_ready(number));
    let version = ModelVersion::new(ONLY_VERSION);
    serves.then(|| Group {
        unknown_members: unknown_members as u32,
        ..serving_group(model, version, &shown)
    })
}

/// The group that these engines report, if its rank 0 sees all members. Some of them may not have
/// answered this daemon.
fn serving_reported_group(number: GroupNumber, mut shown: Vec<ShownHost<'_>>) -> Option<Group> {
    shown.sort_by_key(|shown| (!shown.status.shows_complete(number), shown.host));
    let rank_zero = shown.first()?;
    let held = rank_zero.status.held.clone()?;
    let member_count = rank_zero.status.member_count as usize;
    let unknown_members = member_count.checked_sub(shown.len())?;
    let is_complete = rank_zero.status.shows_complete(number);
    is_complete.then(|| Group {
        unknown_members: unknown_members as u32,
        ..serving_group(held.model, held.version, &shown)
    })
}

fn serving_group(model: ModelName, version: ModelVersion, shown: &[ShownHost<'_>]) -> Group {
    let members = shown.iter().map(|shown| Member {
        host: shown.host.clone(),
        address: shown.address,
    });
    Group {
        model,
        version,
        members: members.collect(),
        unknown_members: 0,
        phase: GroupPhase::Serving,
    }
}

/// Number of hosts of a replica, according to the configuration.
fn hosts_per_replica_of(model: &ModelName, state: &FleetState) -> Option<usize> {
    let profile = state.fleet()?.value.profiles.get(model)?;
    Some(profile.hosts_per_replica as usize)
}
