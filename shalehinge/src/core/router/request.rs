//! Requests, attempts and outcomes as values.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::fingerprint::Fingerprint;
use crate::core::objects::KeyHash;
use crate::core::types::{
    Address, AttemptId, Customer, GroupNumber, HostId, ModelName, ReplicaId, RequestId,
    ServiceName, Timestamp,
};

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => write!(f, "{model}"),
            Self::Service(service) => write!(f, "{service}"),
        }
    }
}

/// Hashes of growing starts of a prompt, one per [`super::prefix::BLOCK_BYTES`].
pub type PrefixChain = Vec<u64>;

/// What the core knows of a request; the body stays outside.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMeta {
    /// Who sent it.
    pub customer: Customer,
    /// What it asks, the same each time that it comes.
    pub fingerprint: Fingerprint,
    /// What it is for.
    pub target: Target,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that the caller wants.
    pub max_output_tokens: u32,
    /// When the answer must be whole.
    pub deadline: Timestamp,
    /// How soon its first output should come to be worth its full value, if that is known.
    pub first_output_within: Option<Duration>,
    /// 0 is the lowest; passed on to the engine.
    pub priority: u8,
    /// Hash of customer and key, where the request may run at most once per key.
    pub key: Option<KeyHash>,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// Start of the prompt, hashed.
    pub prefix: PrefixChain,
    /// Upstreams that may run it; as many as the settings say without.
    pub max_attempts: Option<u32>,
    /// Whether another upstream may continue its stream.
    pub is_resumable: bool,
    /// SHA-256 of the key that it came with, where that key may be taken away.
    pub credential: Option<Credential>,
}

/// SHA-256 of a key in hexadecimal.
pub type Credential = std::sync::Arc<str>;

/// Names an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum UpstreamId {
    /// A replica of a model.
    Replica(ReplicaId),
    /// An instance of a plain service, by its place in the configuration.
    Instance(ServiceName, Address),
    /// An instance of a plain service that the host list names.
    Host(ServiceName, HostId),
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Replica(replica) => write!(f, "{replica}"),
            Self::Instance(service, address) => write!(f, "{service}@{address}"),
            Self::Host(service, host) => write!(f, "{service}@{host}"),
        }
    }
}

/// An order to the shell: send the request to this upstream, once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// This try of it.
    pub id: AttemptId,
    /// Which upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: Address,
    /// The group that must answer; others refuse.
    pub group: Option<GroupNumber>,
    /// The host that must answer, where the host list names it.
    pub host: Option<HostId>,
    /// Not to be sent at or after this time: the process may have been paused
    /// since, and the evidence that the upstream is complete has run out.
    pub valid_until: Timestamp,
    /// Time that remains for the whole answer.
    pub time_left: Duration,
    /// Priority for the engine.
    pub priority: u8,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer came, with this attempt's id.
    Completed {
        /// Tokens of the answer, 0 if not known.
        output_tokens: u32,
    },
    /// Nothing was sent.
    NotSent,
    /// The upstream said that it did not run it.
    Refused,
    /// The upstream answered that it failed.
    Failed {
        /// HTTP status of the answer.
        status: u16,
    },
    /// It was sent, and no whole answer came.
    Lost,
    /// An answer came that was not this attempt's.
    WrongAnswer,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller has the whole answer.
    Completed,
    /// The upstream answered that it failed.
    Failed {
        /// HTTP status of the upstream.
        status: u16,
    },
    /// It certainly did not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run.
    Unknown {
        /// Why that is not known.
        reason: UnknownReason,
    },
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// No replica or instance can take it now.
    NoUpstream,
    /// Every upstream is held back for longer than the request can wait.
    NoUpstreamInTime,
    /// It could not be answered by its deadline.
    WouldBeLate,
    /// Too many requests wait.
    QueueFull,
    /// Every upstream that was tried refused.
    Refused,
    /// No such model or service.
    UnknownTarget,
    /// The key could not be claimed, as the platform does not answer.
    ClaimUnavailable,
    /// The daemon is stopping.
    Stopping,
    /// The caller left before it was sent.
    CallerLeft,
    /// The caller's key was taken away while the request waited.
    KeyTakenAway,
    /// The configuration may be out of date, so keys can't be trusted.
    OutOfDate,
    /// The same request crashed the upstreams that ran it.
    Quarantined,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// The upstream went silent or broke off.
    Lost,
    /// The upstream answered something else.
    WrongAnswer,
    /// The deadline passed while it ran.
    DeadlinePassed,
    /// An earlier request with this key has run, or may have.
    KeyUsed,
    /// The caller left while it ran.
    CallerLeft,
}
