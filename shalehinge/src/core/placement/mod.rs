//! Replica placement: which hosts form which group, and why.
//!
//! Pure functions that map the known objects to placement steps. `planner` computes the next
//! steps of one failure domain, and the lease holder carries them out. `preview` simulates the
//! same planner, so that an operator sees the effects of a change before it is made.
//!
//! - `planner`: the next steps of a failure domain
//! - `host_choice`: which free hosts form a group
//! - `preemption`: preempting groups of a well-supplied model for a model with a larger shortage
//! - `make_room`: relocating a small group so that a large one can be formed
//! - `yielding`: when customers give borrowed hosts back
//! - `shares`: replica counts of one failure domain, derived from the models' work shares
//! - `fleet_shares`: replica counts across failure domains, some of which are too small for every
//!   model
//! - `replica_demand`: how many replicas the workload of each model keeps busy
//! - `divide`: distribution of a model's replicas over failure domains
//! - `stranded`: idle accelerators that no group can use
//! - `preview`: simulation of the planner

pub mod divide;
pub mod fleet_shares;
pub mod host_choice;
pub mod make_room;
pub mod planner;
pub mod preemption;
pub mod preview;
pub mod replica_demand;
pub mod shares;
pub mod stranded;
pub mod yielding;

pub use planner::{PlacementContext, next_steps};
pub use preview::{Effects, preview};

use std::fmt;

use serde::{Deserialize, Serialize};

use super::objects::Member;
use super::types::{Customer, GroupNumber, HostId, ModelName, ModelVersion};

/// A single change to the assignment of a failure domain, with the reason for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementStep {
    /// Forms a new group from free hosts.
    Form {
        /// Model that the group serves.
        model: ModelName,
        /// Model version that the group loads.
        version: ModelVersion,
        /// Hosts in rank order.
        members: Vec<Member>,
        /// Number of hosts that must load weights from the weight store.
        loads: u32,
        /// Why the group is formed.
        reason: FormReason,
    },
    /// Retires a group: it completes its requests, then its hosts are released.
    Retire {
        /// Group to retire.
        group: GroupNumber,
        /// Why the group is retired.
        reason: RetireReason,
    },
    /// Releases a group's hosts immediately, because the group cannot serve.
    Dissolve {
        /// Group to dissolve.
        group: GroupNumber,
        /// Member whose loss made the group unusable, if known.
        lost: Option<HostId>,
    },
}

/// Why a group is formed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormReason {
    /// Fewer replicas exist than the intent asks for.
    Missing {
        /// Replicas wanted in this failure domain.
        wanted: u32,
        /// Replicas that serve or are forming.
        present: u32,
    },
    /// Replaces a group that runs another version.
    NewVersion {
        /// Group that is replaced.
        replaces: GroupNumber,
    },
    /// Replaces a group whose hosts are needed for a replica of another model.
    MakeRoom {
        /// Group that is replaced.
        replaces: GroupNumber,
        /// Model that can be formed once the hosts are free.
        room_for: ModelName,
    },
    /// Replaces a group that has a leaving host.
    HostLeaving {
        /// Group that is replaced.
        replaces: GroupNumber,
    },
}

/// Why a group is retired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireReason {
    /// More replicas exist than the intent asks for, or the model is no longer wanted.
    Surplus,
    /// The group runs another version than the wanted one.
    OldVersion {
        /// Wanted version.
        wanted: ModelVersion,
    },
    /// This member of the group is leaving.
    HostLeaving(HostId),
    /// Another model has a larger shortage of replicas than this model will have.
    Preempted {
        /// Model that gets the hosts.
        to: ModelName,
    },
    /// The owner of the group uses more than its share, and another customer is below its own.
    Yield {
        /// Customer that gets the hosts.
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
