//! Messages between a daemon and the engine on a host: orders and status.
//!
//! Orders carry absolute state, so that repeating one changes nothing. Engines
//! that check fences refuse an order that is older than one they have taken.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::types::{
    Address, EngineStart, Epoch, FailureDomain, GroupNumber, HostId, ModelName, ModelVersion,
};

/// An order to the engine on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Failure domain whose lease holder sends it.
    pub failure_domain: FailureDomain,
    /// Epoch of that lease.
    pub epoch: Epoch,
    /// The group that the order is about.
    pub group: GroupNumber,
    /// What to do.
    pub command: Command,
}

/// What an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// Load a model as one rank of the group.
    Load(LoadCommand),
    /// Begin to take requests; to rank 0 of a group whose members are all ready.
    Open,
    /// Load a model onto the host, beside whatever it does.
    Stage {
        /// Model to load.
        model: ModelName,
    },
    /// Leave the group.
    Release {
        /// Finish running requests first.
        drain: bool,
    },
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(load) => write!(f, "load {} as rank {}", load.model, load.rank),
            Self::Open => f.write_str("open"),
            Self::Stage { model } => write!(f, "stage {model}"),
            Self::Release { drain: true } => f.write_str("finish and release"),
            Self::Release { drain: false } => f.write_str("release"),
        }
    }
}

/// What to load, and as which part of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCommand {
    /// Model to load.
    pub model: ModelName,
    /// Version to load.
    pub version: ModelVersion,
    /// Position in the group; rank 0 takes the requests.
    pub rank: u32,
    /// Addresses of all members by rank.
    pub members: Vec<Address>,
    /// Names of all members by rank.
    #[serde(default)]
    pub hosts: Vec<HostId>,
}

/// Order of precedence of orders: an engine takes none that is below the last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Epoch of the sender's lease.
    pub epoch: Epoch,
    /// Group of the order.
    pub group: GroupNumber,
    /// Whether the order was a release: it comes after any load of its group.
    pub release: bool,
}

impl Order {
    /// The order's place among others.
    pub fn fence(&self) -> Fence {
        Fence {
            epoch: self.epoch,
            group: self.group,
            release: matches!(self.command, Command::Release { .. }),
        }
    }
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the order was taken; false means that a newer one was taken before.
    pub accepted: bool,
    /// The state after the order.
    pub status: EngineStatus,
}

/// State of the engine on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The host.
    pub host: HostId,
    /// What the engine is doing.
    pub phase: EnginePhase,
    /// The group it belongs to, unless idle.
    pub group: Option<GroupNumber>,
    /// Weights in memory, also when idle.
    pub held: Option<HeldModel>,
    /// Members of the group that rank 0 sees ready, itself among them.
    pub members_present: u32,
    /// Members that the group has.
    pub member_count: u32,
    /// How long ago rank 0 looked at the members, in milliseconds by its own
    /// monotonic clock. An engine that was paused tells here that it was.
    #[serde(default)]
    pub members_age_ms: u64,
    /// Load; all zero but at rank 0.
    pub load: EngineLoad,
    /// When the engine started, where it tells.
    #[serde(default)]
    pub started: Option<EngineStart>,
}

/// Weights in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: ModelVersion,
}

/// What an engine is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EnginePhase {
    /// In no group.
    Idle,
    /// Loads weights.
    Loading,
    /// Ready to serve as its rank.
    Ready,
    /// Takes requests; only engines that wait for the order to open tell this.
    Serving,
    /// Lost a member and can't serve any more.
    Broken,
    /// Finishes its requests before it leaves the group.
    Draining,
}

/// Load of a replica as its rank 0 reports it. It lags behind the truth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a slot or for KV memory.
    pub waiting: u32,
    /// Slots of the batch.
    pub slots: u32,
    /// KV memory in use, in tokens.
    pub kv_used: u64,
    /// KV memory in all, in tokens.
    pub kv_total: u64,
    /// How old these figures are, in milliseconds, where the engine tells.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

impl EngineStatus {
    /// Whether this shows that the group is complete and serves.
    pub fn shows_complete(&self, group: GroupNumber) -> bool {
        self.group == Some(group)
            && self.phase == EnginePhase::Ready
            && self.member_count > 0
            && self.members_present == self.member_count
    }

    /// Whether this shows that the host is a member of the group, on its way or ready.
    pub fn shows_member(&self, group: GroupNumber) -> bool {
        self.group == Some(group) && self.phase != EnginePhase::Broken
    }

    /// Whether this shows that the host is ready as a member of the group.
    pub fn shows_ready(&self, group: GroupNumber) -> bool {
        let is_ready = matches!(self.phase, EnginePhase::Ready | EnginePhase::Serving);
        self.group == Some(group) && is_ready
    }

    /// Whether this shows that rank 0 of the group takes requests.
    pub fn shows_open(&self, group: GroupNumber) -> bool {
        self.group == Some(group) && self.phase == EnginePhase::Serving
    }

    /// Whether this shows that the host has left the group.
    pub fn shows_released(&self, group: GroupNumber) -> bool {
        self.group != Some(group)
    }
}
