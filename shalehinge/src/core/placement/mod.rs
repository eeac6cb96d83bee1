//! Placement of replicas: which hosts form which group, and why.
//!
//! Pure functions from the known objects to steps. `planner` decides the next
//! steps of one failure domain; the lease holder carries them out. `preview`
//! runs the same planner ahead, so that an operator sees what would happen.
//!
//! - `planner`: the next steps of a failure domain
//! - `host_choice`: which free hosts form a group
//! - `preemption`: groups of a well-served model that are preempted for one that lacks more
//! - `make_room`: moving a small group so that a large one can be formed
//! - `yielding`: when customers give hosts back
//! - `shares`: how many replicas follow from the models' parts of the work
//! - `fleet_shares`: the same for all failure domains, where some are too small for each model
//! - `need`: how many replicas the work of each model keeps busy
//! - `divide`: how many replicas go to which failure domain
//! - `stranded`: idle accelerators that no group can use
//! - `preview`: the planner run ahead

pub mod divide;
pub mod fleet_shares;
pub mod host_choice;
pub mod make_room;
pub mod need;
pub mod planner;
pub mod preemption;
pub mod preview;
pub mod shares;
pub mod stranded;
pub mod yielding;

pub use planner::{PlacementContext, next_steps};
pub use preview::{Effects, preview};

use std::fmt;

use serde::{Deserialize, Serialize};

use super::objects::Member;
use super::types::{Customer, GroupNumber, HostId, ModelName, ModelVersion};

/// One change of a failure domain's assignment, with its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementStep {
    /// Form a new group from free hosts.
    Form {
        /// Model to serve.
        model: ModelName,
        /// Version to load.
        version: ModelVersion,
        /// Hosts by rank.
        members: Vec<Member>,
        /// Hosts that must load weights from the weight store.
        loads: u32,
        /// Why.
        reason: FormReason,
    },
    /// Let a group finish its work and release its hosts.
    Retire {
        /// The group.
        group: GroupNumber,
        /// Why.
        reason: RetireReason,
    },
    /// Release a group's hosts at once, as it can't serve.
    Dissolve {
        /// The group.
        group: GroupNumber,
        /// The member whose loss ended it.
        lost: Option<HostId>,
    },
}

/// Why a group is formed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormReason {
    /// Fewer replicas than the intent asks for.
    Missing {
        /// Replicas wanted here.
        wanted: u32,
        /// Replicas that stand or are being formed.
        present: u32,
    },
    /// Takes over from a group of another version.
    NewVersion {
        /// The group that it replaces.
        replaces: GroupNumber,
    },
    /// Takes over from a group whose hosts another model's replica needs.
    MakeRoom {
        /// The group that it replaces.
        replaces: GroupNumber,
        /// The model that can then be formed.
        room_for: ModelName,
    },
    /// Takes over from a group with a host that is leaving.
    HostLeaving {
        /// The group that it replaces.
        replaces: GroupNumber,
    },
}

/// Why a group is retired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireReason {
    /// More replicas than the intent asks for, or none asked for.
    Surplus,
    /// Another version is wanted.
    OldVersion {
        /// The version wanted.
        wanted: ModelVersion,
    },
    /// One of its hosts is leaving.
    HostLeaving(HostId),
    /// Another model lacks more of its replicas than this one will.
    Preempted {
        /// The model that gets the hosts.
        to: ModelName,
    },
    /// Its owner uses more than its share and another waits for its own.
    Yield {
        /// Who gets the hosts.
        to: Customer,
    },
}

impl fmt::Display for PlacementStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Form {
                model,
                version,
                members,
                loads,
                reason,
            } => {
                let hosts: Vec<&str> = members.iter().map(|m| m.host.as_str()).collect();
                let hosts = hosts.join(" ");
                write!(
                    f,
                    "form {model} {version} on {hosts} ({loads} loads): {reason}"
                )
            }
            Self::Retire { group, reason } => write!(f, "retire group {}: {reason}", group.0),
            Self::Dissolve {
                group,
                lost: Some(host),
            } => write!(f, "dissolve group {}: lost host {host}", group.0),
            Self::Dissolve { group, lost: None } => {
                write!(f, "dissolve group {}: it can't serve", group.0)
            }
        }
    }
}

impl fmt::Display for FormReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { wanted, present } => {
                write!(f, "{present} of {wanted} replicas present")
            }
            Self::NewVersion { replaces } => {
                write!(f, "replaces group {} of another version", replaces.0)
            }
            Self::MakeRoom { replaces, room_for } => {
                write!(
                    f,
                    "replaces group {} to make room for {room_for}",
                    replaces.0
                )
            }
            Self::HostLeaving { replaces } => {
                write!(f, "replaces group {} with a leaving host", replaces.0)
            }
        }
    }
}

impl fmt::Display for RetireReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Surplus => f.write_str("more replicas than wanted"),
            Self::OldVersion { wanted } => write!(f, "version {wanted} is wanted"),
            Self::HostLeaving(host) => write!(f, "host {host} is leaving"),
            Self::Preempted { to } => write!(f, "preempted for {to}, which lacks more"),
            Self::Yield { to } => write!(f, "yields to {to}, which is below its share"),
        }
    }
}
