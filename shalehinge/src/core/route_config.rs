//! Configuration of relayed requests: routes, profiles of models that share a service's hosts, and
//! limits.

use serde::{Deserialize, Serialize};

use super::advertised_limit::RequestRate;
use super::types::ServiceName;

/// Maps requests to services, and states how they may be handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name that the request must be addressed to, without port; case is ignored.
    pub host: String,
    /// Path prefix of matching requests; the route with the longest matching prefix applies.
    pub path_prefix: String,
    /// Whether its requests may be repeated or streamed.
    pub kind: RequestKind,
    /// Maximum time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency in milliseconds, 0 for none; a later answer is worth less to the caller.
    pub target_latency_ms: u64,
    /// Priority rank of its requests; 0 is served first.
    pub rank: u8,
    /// Maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// Whether callers are admitted without an API key.
    pub is_anonymous: bool,
    /// Whether another upstream may continue an interrupted stream.
    pub is_resumable: bool,
    /// Services that the requests are divided between.
    pub backends: Vec<WeightedService>,
}

/// How the requests of a route may be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// The request may run more than once.
    Repeatable,
    /// The request may run at most once.
    NotRepeatable,
    /// The response is a stream of events.
    Stream,
}

/// A service that gets a weighted fraction of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Known properties of a model's replicas, for estimates before any replica has run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelProfile {
    /// Service whose hosts may form replicas of the model.
    pub service: ServiceName,
    /// Number of hosts per replica.
    pub hosts_per_replica: u32,
    /// The model's fraction of the service's load, from 0 to 1.
    pub work_share: f64,
    /// Factor by which all times of a replica are multiplied.
    pub pace: f64,
    /// Number of requests that a replica runs concurrently.
    pub slots: u32,
    /// Processing times of an engine before `pace` is applied, if known.
    #[serde(default)]
    pub times: Option<EngineTimes>,
    /// Time that a host takes to load the model's weights, in seconds, if known.
    #[serde(default)]
    pub load_seconds: Option<f64>,
}

/// Processing times of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineTimes {
    /// Base duration of a decoding step in milliseconds; each running request gets one token per
    /// step.
    pub step_ms: f64,
    /// Additional duration of a step for each running request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Number of steps, and thus of tokens, per event of a stream.
    pub steps_per_event: u32,
    /// Prompt tokens processed per second.
    pub prompt_tokens_per_second: f64,
}

/// Limit on the requests to an upstream of a service while it warms up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUpLimit {
    /// Requests that one upstream accepts from all daemons together.
    pub rate: RequestRate,
    /// Duration of a warm-up in milliseconds.
    pub duration_ms: u64,
}

/// Limits on relayed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a request line with its headers, in bytes.
    #[serde(default)]
    pub max_head_bytes: Option<usize>,
    /// How long a caller may take to send a complete request head, in milliseconds.
    #[serde(default)]
    pub head_timeout_ms: Option<u64>,
}

/// Limits on loads of model weights, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadRate {
    /// Number of loads that may start per second.
    pub per_second: f64,
    /// Number of loads that can run concurrently without slowing each other down, if known.
    #[serde(default)]
    pub at_once: Option<f64>,
}
