//! Messages between a daemon and the engine on a host: orders and status reports.
//!
//! Orders state the target state, so they are idempotent. Engines that check fences reject an
//! order that is older than one they have accepted.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::types::{
    Address, EngineStart, Epoch, FailureDomain, GroupNumber, HostId, ModelName, ModelVersion,
};

/// Why a status request brought no valid status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoStatus {
    /// The host refused the connection: no process listens at the address. A paused process keeps
    /// its socket, whose connections the kernel still accepts.
    Refused,
    /// No valid status arrived in time. The process may have ended, be paused or be cut off.
    Unanswered,
}

/// An order to the engine on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Failure domain whose lease holder sends the order.
    pub failure_domain: FailureDomain,
    /// Epoch of that lease; serves as the fencing token.
    pub epoch: Epoch,
    /// The group that the order concerns.
    pub group: GroupNumber,
    /// The command to carry out.
    pub command: Command,
}

/// Command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// Join the group as one rank and load its model.
    Load(LoadCommand),
    /// Start to accept requests; sent to rank 0 of a group whose members are all ready.
    Open,
    /// Load a model's weights onto the host in the background.
    Stage {
        /// Model to load.
        model: ModelName,
    },
    /// Leave the group.
    Release {
        /// Whether to finish running requests first.
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

/// What to load, and the engine's position in the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCommand {
    /// Model to load.
    pub model: ModelName,
    /// Version to load.
    pub version: ModelVersion,
    /// Rank within the group; rank 0 takes the requests.
    pub rank: u32,
    /// Addresses of all members, in order of rank.
    pub members: Vec<Address>,
    /// Names of all members, in order of rank; empty if the sender states none.
    #[serde(default)]
    pub hosts: Vec<HostId>,
}

/// Precedence of an order: an engine rejects every order whose fence is lower than that of the
/// last one it accepted. Members are compared in the order of their declaration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Epoch of the sender's lease.
    pub epoch: Epoch,
    /// Group that the order concerns.
    pub group: GroupNumber,
    /// Whether the order is a release, which takes precedence over a load for the same group.
    pub release: bool,
}

impl Order {
    /// The fence of the order.
    pub fn fence(&self) -> Fence {
        Fence {
            epoch: self.epoch,
            group: self.group,
            release: matches!(self.command, Command::Release { .. }),
        }
    }
}

/// An engine's reply to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the order was accepted; if not, a newer one had been accepted before.
    pub accepted: bool,
    /// The engine's status after the order.
    pub status: EngineStatus,
}

/// Status report of the engine on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The host.
    pub host: HostId,
    /// Current phase of the engine.
    pub phase: EnginePhase,
    /// The group that the engine belongs to; `None` when idle.
    pub group: Option<GroupNumber>,
    /// The model whose weights are in memory, also when idle.
    pub held: Option<HeldModel>,
    /// Number of members that rank 0 sees ready, including itself.
    pub members_present: u32,
    /// Total number of members of the group.
    pub member_count: u32,
    /// How long ago rank 0 last checked the members, in milliseconds by its own monotonic clock. A
    /// high value shows that the engine was paused.
    #[serde(default)]
    pub members_age_ms: u64,
    /// Load of the replica; all zero except at rank 0.
    pub load: EngineLoad,
    /// Start time of the engine, if it reports one.
    #[serde(default)]
    pub started: Option<EngineStart>,
}

/// The model whose weights are in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
}

/// Phase of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EnginePhase {
    /// Member of no group.
    Idle,
    /// Loading weights.
    Loading,
    /// Ready to serve in its rank.
    Ready,
    /// Accepting requests; only reported by engines that wait for [`Command::Open`].
    Serving,
    /// The group lost a member and can no longer serve.
    Broken,
    /// Finishing running requests before leaving the group.
    Draining,
}

/// Load of a replica as reported by its rank 0. It lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests that wait for a batch slot or for KV cache memory.
    pub waiting: u32,
    /// Number of batch slots.
    pub slots: u32,
    /// KV cache memory in use, in tokens.
    pub kv_used: u64,
    /// Total KV cache memory, in tokens.
    pub kv_total: u64,
    /// Age of these figures in milliseconds, if the engine reports it.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

impl EngineStatus {
    /// Whether the report shows that all members of the group are present and ready.
    pub fn shows_complete(&self, group: GroupNumber) -> bool {
        self.group == Some(group)
            && self.phase == EnginePhase::Ready
            && self.member_count > 0
            && self.members_present == self.member_count
    }

    /// Whether the report shows the host as a member of the group, in any phase but broken.
    pub fn shows_member(&self, group: GroupNumber) -> bool {
        self.group == Some(group) && self.phase != EnginePhase::Broken
    }

    /// Whether the report shows the host as a ready member of the group.
    pub fn shows_ready(&self, group: GroupNumber) -> bool {
        let is_ready = matches!(self.phase, EnginePhase::Ready | EnginePhase::Serving);
        self.group == Some(group) && is_ready
    }

    /// Whether the report shows that the host accepts requests as rank 0 of the group.
    pub fn shows_open(&self, group: GroupNumber) -> bool {
        self.group == Some(group) && self.phase == EnginePhase::Serving
    }

    /// Whether the report shows that the host finishes its requests as rank 0 of the group and
    /// accepts no further ones.
    pub fn shows_closing(&self, group: GroupNumber) -> bool {
        self.group == Some(group) && self.phase == EnginePhase::Draining
    }

    /// Whether the report shows that the host is not, or no longer, a member of the group.
    pub fn shows_released(&self, group: GroupNumber) -> bool {
        self.group != Some(group)
    }
}
