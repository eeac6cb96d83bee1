//! Data types for requests, attempts and outcomes.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::fingerprint::Fingerprint;
use crate::core::objects::KeyHash;
use crate::core::types::{
    Address, AttemptId, Customer, GroupNumber, HostId, ModelName, ReplicaId, RequestId,
    ServiceName, Timestamp,
};

/// The destination of a request.
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

/// Hashes of successively longer prompt prefixes, one per [`super::prefix::BLOCK_BYTES`].
pub type PrefixChain = Vec<u64>;

/// What the core knows about a request; it does not see the body.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMeta {
    /// The customer that sent it.
    pub customer: Customer,
    /// Fingerprint of its content, identical for every repetition of the request.
    pub fingerprint: Fingerprint,
    /// The model or service that it is for.
    pub target: Target,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens that the caller wants.
    pub max_output_tokens: u32,
    /// When the complete answer is due.
    pub deadline: Timestamp,
    /// Time from arrival within which the first output is of full value to the caller, if known.
    pub first_output_within: Option<Duration>,
    /// Priority; 0 is the lowest. Passed on to the engine.
    pub priority: u8,
    /// Hash of customer and idempotency key, if the request may run at most once per key.
    pub key: Option<KeyHash>,
    /// Whether it is safe to run the request more than once.
    pub repeatable: bool,
    /// Hashes of the prompt's prefixes.
    pub prefix: PrefixChain,
    /// Fingerprints of the parts of its prompt that other requests may share.
    pub prompt_parts: Vec<Fingerprint>,
    /// Maximum number of attempts that may have run; `None` means as many as the settings allow.
    pub max_attempts: Option<u32>,
    /// Whether another upstream can continue its stream.
    pub is_resumable: bool,
    /// SHA-256 of the API key it was sent with, if that key can be revoked.
    pub credential: Option<Credential>,
}

impl RequestMeta {
    /// Everything about the request that may crash upstreams: its content as a whole, and each part
    /// of its prompt, with any model and with the model that it is for. A part may crash the
    /// replicas of all models, or of one that others answer.
    pub fn subjects(&self) -> Vec<Fingerprint> {
        let mut subjects = vec![self.fingerprint];
        if !self.prompt_parts.is_empty() {
            let target = Fingerprint::of_target(&self.target);
            let parts = self.prompt_parts.iter();
            let at_target = parts.clone().map(|part| part.at_target(target));
            subjects.extend(parts.copied().chain(at_target));
        }
        subjects
    }
}

/// SHA-256 of an API key, in hexadecimal.
pub type Credential = std::sync::Arc<str>;

/// Identifies an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum UpstreamId {
    /// A replica of a model.
    Replica(ReplicaId),
    /// An instance of a plain service that the configuration lists, by its address.
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

/// An instruction to send a request to an upstream once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Identifies this attempt.
    pub id: AttemptId,
    /// The upstream to send to.
    pub upstream: UpstreamId,
    /// The address of the upstream.
    pub address: Address,
    /// The group that must answer; any other group refuses.
    pub group: Option<GroupNumber>,
    /// The host that must answer, if the host list names it.
    pub host: Option<HostId>,
    /// The attempt must not be sent at or after this time: the process may have been paused
    /// since, so that the evidence that the upstream is complete has expired.
    pub valid_until: Timestamp,
    /// Time left for the complete answer.
    pub time_left: Duration,
    /// Priority passed on to the engine.
    pub priority: u8,
    /// Urgency passed on to the upstream in place of the priority; 9 is served first. `None` if
    /// requests are sent without one.
    pub urgency: Option<u8>,
    /// Whether another attempt of the request runs, whose upstream is silent.
    pub is_hedge: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete answer arrived with this attempt's id.
    Completed {
        /// Number of output tokens; 0 if unknown.
        output_tokens: u32,
    },
    /// Nothing was sent.
    NotSent,
    /// The upstream stated that it did not run the request.
    Refused,
    /// The upstream answered with a failure.
    Failed {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The request was sent, and no complete answer arrived.
    Lost,
    /// An answer arrived that does not belong to this attempt.
    WrongAnswer,
}

/// The final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The caller has received the complete answer.
    Completed,
    /// The upstream answered with a failure.
    Failed {
        /// HTTP status of the upstream's answer.
        status: u16,
    },
    /// The request certainly did not run.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// When the caller should retry.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why this is unknown.
        reason: UnknownReason,
    },
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// No replica or instance can take it.
    NoUpstream,
    /// Every upstream is unavailable for longer than the request can wait.
    NoUpstreamInTime,
    /// It could not be answered by its deadline.
    WouldBeLate,
    /// Too many requests are queued.
    QueueFull,
    /// Every upstream that was tried refused it.
    Refused,
    /// There is no such model or service.
    UnknownTarget,
    /// Its idempotency key could not be claimed because the platform does not answer.
    ClaimUnavailable,
    /// The daemon is shutting down.
    Stopping,
    /// The caller left before the request was sent.
    CallerLeft,
    /// The caller's API key was revoked while the request waited.
    KeyTakenAway,
    /// The configuration may be out of date, so API keys cannot be trusted.
    OutOfDate,
    /// The same request crashed, or may have crashed, the upstreams that ran it.
    Quarantined,
    /// The daemon was handed the request by a peer and can't connect to the upstreams either.
    Unreachable,
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The upstream stopped answering, or its connection broke.
    Lost,
    /// The upstream returned an answer that does not belong to the attempt.
    WrongAnswer,
    /// The deadline passed while it ran.
    DeadlinePassed,
    /// An earlier request with this idempotency key ran or may have run.
    KeyUsed,
    /// The caller left while it ran.
    CallerLeft,
}
