//! Settings of routing, limits and retries.

use std::time::Duration;

use super::reader::Reader;

/// Section `[router]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Replicas of the own failure domain that are candidates, per model.
    pub local_candidates: usize,
    /// Replicas of other failure domains that are candidates, per model.
    pub remote_candidates: usize,
    /// Time between two load reports asked of a candidate.
    pub report_interval: Duration,
    /// How long a report proves that a replica is complete, from before it was asked for.
    pub evidence_ttl: Duration,
    /// Requests that may wait, over all customers.
    pub max_waiting: usize,
    /// Attempts of one request at most.
    pub max_attempts: u32,
    /// Retries allowed for each first attempt.
    pub retry_ratio: f64,
    /// Retries that may be saved up.
    pub retry_burst: f64,
    /// Failures in a row that eject an upstream.
    pub eject_after: u32,
    /// How long the first ejection lasts; each further one doubles it.
    pub eject_for: Duration,
    /// Largest part of a target's upstreams that may be ejected.
    pub max_ejected: f64,
    /// An upstream this many times slower than the median is ejected as well.
    pub slow_factor: f64,
    /// Requests at a time to an instance of a plain service.
    pub service_concurrency: u32,
    /// Requests at an engine above its batch slots, as a part of them.
    pub engine_backlog: f64,
    /// Reserve the expected peak of KV memory before a request is sent.
    pub reserve_kv: bool,
    /// Prefer the replica that holds the start of the prompt.
    pub prefix_affinity: bool,
    /// How far above the mean load a replica may be and still be preferred for a prefix.
    pub affinity_load_bound: f64,
    /// Refuse at once what would miss its deadline, or wait longer than `max_wait`.
    pub early_refusal: bool,
    /// Longest estimated wait for an upstream.
    pub max_wait: Duration,
    /// Send what can still be on time before what is late already.
    pub timely_first: bool,
    /// What a replica in another failure domain must be better by.
    pub remote_penalty: Duration,
    /// Choose at random among the upstreams, in turn, or by score.
    pub policy: ChoicePolicy,
    /// How much of a listed upstream a daemon may take, against its even part.
    pub uneven_share: f64,
    /// Requests run at a listed replica, and none moves for so long: it lost a member.
    pub stall_after: Duration,
    /// As `stall_after`, for the lease holder to be told, who asks the members.
    pub suspect_after: Duration,
    /// Whether `retry_burst` is for the whole fleet and each daemon has a part of it.
    pub retry_burst_is_shared: bool,
    /// Upstreams that crash under a request, while it completes at none, before it is tried alone;
    /// 0 for never.
    pub quarantine_after: u32,
    /// How long a request that is proven to crash upstreams is refused after the last crash.
    pub quarantine_for: Duration,
    /// When refused callers are told to come back, where nothing better is known.
    pub retry_after: Duration,
}

/// How an upstream is chosen. All but `Score` are baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// By estimated time to the last token.
    #[default]
    Score,
    /// In turn.
    RoundRobin,
    /// Fewest own requests in flight.
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
    /// Reads section `[router]`.
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
            max_ejected: section.fraction("max_ejected", default.max_ejected),
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
            remote_penalty: section.duration("remote_penalty", default.remote_penalty),
            policy: section.policy("policy", default.policy),
            uneven_share: section.fraction("uneven_share", default.uneven_share),
            stall_after: section.duration("stall_after", default.stall_after),
            suspect_after: section.duration("suspect_after", default.suspect_after),
            retry_burst_is_shared: section
                .flag("retry_burst_is_shared", default.retry_burst_is_shared),
            quarantine_after: section.count("quarantine_after", default.quarantine_after),
            quarantine_for: section.duration("quarantine_for", default.quarantine_for),
            retry_after: section.duration("retry_after", default.retry_after),
        }
    }
}
