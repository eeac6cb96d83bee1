//! Requests that a daemon hands to a peer because it can't connect to upstreams itself.
//!
//! The daemon that received the request keeps the caller's connection, the claim of an idempotency
//! key and the accounting of demand. The peer queues the request, chooses upstreams and retries. It
//! never hands the request on.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::router::request::{Credential, Outcome, PrefixChain, RequestMeta, Target};
use super::types::{Address, AttemptId, Customer, RequestId, Timestamp};

/// What a peer needs to know about a request that it runs for another daemon; times are relative,
/// as daemons share no clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedMeta {
    /// The customer that sent it.
    pub customer: Customer,
    /// Fingerprint of its content.
    pub fingerprint: Fingerprint,
    /// The model or service that it is for.
    pub target: Target,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens that the caller wants.
    pub max_output_tokens: u32,
    /// Time until the complete answer is due.
    pub time_left: Duration,
    /// Time within which the first output is of full value to the caller, if known.
    pub first_output_within: Option<Duration>,
    /// Priority; 0 is the lowest.
    pub priority: u8,
    /// Whether it is safe to run the request more than once.
    pub repeatable: bool,
    /// Hashes of the prompt's prefixes.
    pub prefix: PrefixChain,
    /// Fingerprints of the parts of its prompt that other requests may share.
    pub prompt_parts: Vec<Fingerprint>,
    /// Maximum number of attempts that may run at upstreams; `None` means as many as the settings
    /// allow.
    pub max_attempts: Option<u32>,
    /// Whether another upstream can continue its stream.
    pub is_resumable: bool,
    /// SHA-256 of the API key it was sent with, if that key can be revoked.
    pub credential: Option<Credential>,
}

impl ForwardedMeta {
    /// Describes a request to a peer that may run it `max_attempts` times.
    pub fn new(now: Timestamp, meta: &RequestMeta, max_attempts: Option<u32>) -> Self {
        Self {
            customer: meta.customer.clone(),
            fingerprint: meta.fingerprint,
            target: meta.target.clone(),
            prompt_tokens: meta.prompt_tokens,
            max_output_tokens: meta.max_output_tokens,
            time_left: meta.deadline.since(now),
            first_output_within: meta.first_output_within,
            priority: meta.priority,
            repeatable: meta.repeatable,
            prefix: meta.prefix.clone(),
            prompt_parts: meta.prompt_parts.clone(),
            max_attempts,
            is_resumable: meta.is_resumable,
            credential: meta.credential.clone(),
        }
    }

    /// The request as the peer that received it at `now` sees it. It has no idempotency key, which
    /// the other daemon has claimed.
    pub fn into_meta(self, now: Timestamp) -> RequestMeta {
        RequestMeta {
            customer: self.customer,
            fingerprint: self.fingerprint,
            target: self.target,
            prompt_tokens: self.prompt_tokens,
            max_output_tokens: self.max_output_tokens,
            deadline: now + self.time_left,
            first_output_within: self.first_output_within,
            priority: self.priority,
            key: None,
            repeatable: self.repeatable,
            prefix: self.prefix,
            prompt_parts: self.prompt_parts,
            max_attempts: self.max_attempts,
            is_resumable: self.is_resumable,
            credential: self.credential,
        }
    }
}

/// An instruction to hand a request to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Forward {
    /// The request.
    pub request: RequestId,
    /// Identifies this attempt.
    pub attempt: AttemptId,
    /// Address of the peer.
    pub peer: Address,
    /// The request's properties that the peer needs.
    pub meta: ForwardedMeta,
}

/// How an attempt to have a peer run a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardEnd {
    /// The peer reported the outcome.
    Answered(Outcome),
    /// Nothing reached the peer.
    NotSent,
    /// The peer may have received the request, and its answer broke off.
    Lost,
}
