//! The part of the configuration that relayed requests follow: routes, models that
//! share a service's hosts, and bounds.

use serde::{Deserialize, Serialize};

use super::types::ServiceName;

/// Which requests go to which service, and what may be done with them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Its name, for logs.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// Start of the path; the longest that fits decides.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RequestKind,
    /// Longest time that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer has its full worth, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank of its requests, 0 first.
    pub rank: u8,
    /// Upstreams that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_anonymous: bool,
    /// Whether a stream may be continued by another upstream.
    pub is_resumable: bool,
    /// Services with their weights.
    pub backends: Vec<WeightedService>,
}

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// It may run more than once.
    Repeatable,
    /// It may run once at most.
    NotRepeatable,
    /// The answer is a stream of events.
    Stream,
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part of all weights.
    pub weight: u32,
}

/// What is known of a model's replicas before they run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelProfile {
    /// Service whose hosts may form its replicas.
    pub service: ServiceName,
    /// Hosts that form one replica.
    pub hosts_per_replica: u32,
    /// Its part of the service's work, from 0 to 1.
    pub work_share: f64,
    /// Factor on all times of a replica.
    pub pace: f64,
    /// Requests that a replica runs at once.
    pub slots: u32,
    /// The times of an engine before `pace`, where they are known.
    #[serde(default)]
    pub times: Option<EngineTimes>,
    /// Seconds that a host takes to load its weights, where that is known.
    #[serde(default)]
    pub load_seconds: Option<f64>,
}

/// How long an engine takes for the parts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineTimes {
    /// Milliseconds of a step, in which each running request gets a token.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    pub step_ms_per_request: f64,
    /// Steps, and so tokens, that one event of a stream brings.
    pub steps_per_event: u32,
    /// Tokens of prompts that are read in a second.
    pub prompt_tokens_per_second: f64,
}

/// Bounds for relayed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
}

/// How fast weights may be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadRate {
    /// Loads that may begin each second, over the whole fleet.
    pub per_second: f64,
    /// Loads that run at a time without slowing each other down, over the whole fleet.
    #[serde(default)]
    pub at_once: Option<f64>,
}
