//! Settings for routing, queueing, retries and ejection.

use std::time::Duration;

use super::reader::Reader;

/// Section `[router]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Maximum number of candidate replicas per model in the daemon's own failure domain.
    pub local_candidates: usize,
    /// Maximum number of candidate replicas per model in other failure domains.
    pub remote_candidates: usize,
    /// Time between two requests for a load report of a candidate.
    pub report_interval: Duration,
    /// How long a report proves that a replica is complete, counted from when it was requested.
    pub evidence_ttl: Duration,
    /// Maximum number of queued requests of all customers together.
    pub max_waiting: usize,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Retry budget gained per first attempt, in retries.
    pub retry_ratio: f64,
    /// Maximum retry budget that can accumulate, in retries.
    pub retry_burst: f64,
    /// Number of consecutive failures after which an upstream is ejected.
    pub eject_after: u32,
    /// Duration of the first ejection; it doubles with each further one.
    pub eject_for: Duration,
    /// Maximum fraction of a target's upstreams that may be ejected.
    pub max_ejected: f64,
    /// An upstream is also ejected if it is slower than the median by this factor.
    pub slow_factor: f64,
    /// Maximum number of concurrent requests to an instance of a plain service.
    pub service_concurrency: u32,
    /// Requests sent to an engine beyond its batch slots, as a fraction of the slots.
    pub engine_backlog: f64,
    /// Whether the expected peak of KV-cache memory is reserved before a request is sent.
    pub reserve_kv: bool,
    /// Whether to prefer a replica that has a prefix of the prompt cached.
    pub prefix_affinity: bool,
    /// Maximum load of a replica preferred for its prefix, as a multiple of the mean load.
    pub affinity_load_bound: f64,
    /// Whether to reject a request immediately if it is expected to miss its deadline or to wait
    /// longer than `max_wait`.
    pub early_refusal: bool,
    /// Maximum estimated wait for an upstream, with `early_refusal`.
    pub max_wait: Duration,
    /// Whether to send requests that can still meet their deadline before those that are already
    /// late.
    pub timely_first: bool,
    /// Whether requests are sent with an urgency, so that overloaded upstreams serve first what can
    /// be on time.
    pub overload_order: bool,
    /// Time by which a replica in another failure domain must be better to be preferred.
    pub remote_penalty: Duration,
    /// How an upstream is chosen for a request.
    pub policy: ChoicePolicy,
    /// Maximum use of a listed upstream's capacity by one daemon, as a multiple of its share, which
    /// follows its requests in progress.
    pub uneven_share: f64,
    /// A listed replica with requests running gets no new ones, and its requests get second attempts
    /// elsewhere, if none of them makes progress for this long.
    pub stall_after: Duration,
    /// As `stall_after`, but until the lease holder is notified, which then probes the members.
    pub suspect_after: Duration,
    /// Whether `retry_burst` applies to the fleet as a whole and is divided among its daemons.
    pub retry_burst_is_shared: bool,
    /// Number of upstreams that must crash while running a request, with none completing it,
    /// before the request is retried in isolation; 0 disables this.
    pub quarantine_after: u32,
    /// How long a request that is proven to crash upstreams is rejected after the last crash.
    pub quarantine_for: Duration,
    /// Time after which rejected callers are asked to retry, if no better estimate is available.
    pub retry_after: Duration,
}

/// How an upstream is chosen. All policies but `Score` are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// By the lowest estimated time to the last token.
    #[default]
    Score,
    /// Round robin.
    RoundRobin,
    /// By the fewest requests in flight from this daemon.
    LeastInFlight,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            local_candidates: 16,
            remote_candidates: 8,
            report_interval: Duration::from_millis(500),
            evidence_ttl: Duration::from_secs(2),
            max_waiting: 2_000,
            max_attempts: 3,
            retry_ratio: 0.1,
            retry_burst: 10.0,
            eject_after: 3,
            eject_for: Duration::from_secs(5),
            max_ejected: 0.4,
            slow_factor: 3.0,
            service_concurrency: 64,
            engine_backlog: 0.1,
            reserve_kv: true,
            prefix_affinity: true,
            affinity_load_bound: 1.25,
            early_refusal: true,
            max_wait: Duration::from_secs(2),
            timely_first: true,
            overload_order: false,
            remote_penalty: Duration::from_millis(5),
            policy: ChoicePolicy::Score,
            uneven_share: 3.0,
            stall_after: Duration::from_millis(800),
            suspect_after: Duration::from_millis(800),
            retry_burst_is_shared: false,
            quarantine_after: 2,
            quarantine_for: Duration::from_secs(1_800),
            retry_after: Duration::from_secs(2),
        }
    }
}

impl RouterSettings {
    /// Reads section `[router]`; problems are collected in `reader`.
    pub fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("router");
        let default = Self::default();
        Self {
            local_candidates: section.count("local_candidates", default.local_candidates),
            remote_candidates: section.count("remote_candidates", default.remote_candidates),
            report_interval: section.duration("report_interval", default.report_interval),
            evidence_ttl: section.duration("evidence_ttl", default.evidence_ttl),
            max_waiting: section.count("max_waiting", default.max_waiting),
            max_attempts: section.count("max_attempts", default.max_attempts),
            retry_ratio: section.fraction("retry_ratio", default.retry_ratio),
            retry_burst: section.fraction("retry_burst", default.retry_burst),
            eject_after: section.count("eject_after", default.eject_after),
            eject_for: section.duration("eject_for", default.eject_for),
            max_ejected: section.proportion("max_ejected", default.max_ejected),
            slow_factor: section.fraction("slow_factor", default.slow_factor),
            service_concurrency: section.count("service_concurrency", default.service_concurrency),
            engine_backlog: section.fraction("engine_backlog", default.engine_backlog),
            reserve_kv: section.flag("reserve_kv", default.reserve_kv),
            prefix_affinity: section.flag("prefix_affinity", default.prefix_affinity),
            affinity_load_bound: section
                .fraction("affinity_load_bound", default.affinity_load_bound),
            early_refusal: section.flag("early_refusal", default.early_refusal),
            max_wait: section.duration("max_wait", default.max_wait),
            timely_first: section.flag("timely_first", default.timely_first),
            overload_order: section.condition("overload_order", default.overload_order),
            remote_penalty: section.duration("remote_penalty", default.remote_penalty),
            policy: section.policy("policy", default.policy),
            uneven_share: section.fraction("uneven_share", default.uneven_share),
            stall_after: section.duration("stall_after", default.stall_after),
            suspect_after: section.duration("suspect_after", default.suspect_after),
            retry_burst_is_shared: section
                .flag("retry_burst_is_shared", default.retry_burst_is_shared),
            quarantine_after: section.count_or_zero("quarantine_after", default.quarantine_after),
            quarantine_for: section.duration("quarantine_for", default.quarantine_for),
            retry_after: section.duration("retry_after", default.retry_after),
        }
    }
}
