//! Permits to send requests to upstreams that state a limit on their request rate.
//!
//! Such a limit applies to all daemons together, so one daemon, the owner of the limit, grants
//! permits. A permit is for one request and expires after a short time. The limit is not divided
//! into fixed shares, as a daemon can't send less than one request: 340 daemons with a share each
//! would send 340 requests at once.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::named_limit::RequestRate;
use super::router::request::UpstreamId;
use super::types::{Address, EngineStart, FailureDomain, Timestamp};

/// How long an owner keeps a daemon's permit request. It is longer than the interval between two
/// requests of a daemon, so that the daemon at the end of the queue keeps its place.
const QUESTION_TIME: Duration = Duration::from_millis(2_500);
/// How long a permit is valid after it was received, and the interval between two permit requests
/// of a daemon with waiting requests.
pub const PERMIT_TIME: Duration = Duration::from_secs(1);
/// Unused permits that may accumulate beyond the first one, in seconds of the rate.
const SAVED_SECONDS: f64 = 0.5;
/// Lowest effective rate in requests per second: without any request, no answer could end a limit
/// of 0.
const LEAST_RATE: f64 = 0.25;
/// Minimum interval between two broadcasts on one upstream, as an upstream may start or end its
/// limit in every answer.
const TOLD_SPACING: Duration = Duration::from_secs(1);
/// A limit is removed if no daemon has reported it or asked for it for this time.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Maximum number of upstreams whose limits are tracked.
const MOST_UPSTREAMS: usize = 4_096;

/// Rate at which permits are granted for this limit, in requests per second.
pub fn effective(limit: RequestRate) -> f64 {
    limit.get().max(LEAST_RATE)
}

/// Maximum number of unused permits at this limit.
pub fn at_once(limit: RequestRate) -> f64 {
    1.0 + effective(limit) * SAVED_SECONDS
}

/// What a daemon knows of an upstream's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// The upstream's start, if known. A limit ends with the process that stated it.
    pub started: Option<EngineStart>,
    /// The limit; `None` if the upstream states no limit any more.
    pub rate: Option<RequestRate>,
    /// Age of the answer that stated this, in milliseconds, rounded up.
    pub ms_ago: u64,
}

/// A daemon's request for permits to the owner of an upstream's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the requesting daemon knows of the limit.
    pub known: LimitReport,
    /// Number of permits that it can use within [`PERMIT_TIME`].
    pub wanted: u32,
}

/// Permits that an owner grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The upstream that they are for.
    pub upstream: UpstreamId,
    /// Number of requests that may be sent.
    pub count: u32,
}

/// A limit, or its absence, with the time at which it was stated.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Known {
    started: Option<EngineStart>,
    rate: Option<RequestRate>,
    as_of: Timestamp,
}

/// A token bucket that is filled at the rate of a limit.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// Creates an empty bucket, as the previous owner may have granted all available permits.
    fn empty(now: Timestamp) -> Self {
        Self {
            tokens: 0.0,
            filled_at: now,
        }
    }

    fn fill(&mut self, now: Timestamp, rate: RequestRate) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * effective(rate)).min(at_once(rate));
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes up to `wanted` whole tokens and returns their number.
    fn take(&mut self, wanted: u32) -> u32 {
        let count = (self.tokens.floor() as u32).min(wanted);
        self.tokens -= f64::from(count);
        count
    }
}

/// A daemon waiting for permits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    daemon: Address,
    wanted: u32,
    asked_at: Timestamp,
}

/// A limit owned by this daemon.
#[derive(Clone, Debug)]
struct OwnedLimit {
    failure_domain: FailureDomain,
    known: Known,
    bucket: TokenBucket,
    /// Waiting daemons in the order of their first request.
    waiting: Vec<Waiting>,
    /// Whether the last broadcast stated a limit.
    told: bool,
    /// Time of the last broadcast.
    told_at: Option<Timestamp>,
    /// When a daemon last reported on the limit.
    used_at: Timestamp,
}

/// Permits granted to a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granted {
    /// The daemon that receives the permits.
    pub daemon: Address,
    /// The permits.
    pub grant: PermitGrant,
}

/// The limits owned by one daemon.
#[derive(Clone, Debug, Default)]
pub struct PermitOwner {
    limits: BTreeMap<UpstreamId, OwnedLimit>,
}

impl PermitOwner {
    /// Records a report whose age is relative to `told_at`. Reports on an older state are
    /// ignored.
    pub fn learn(&mut self, now: Timestamp, told_at: Timestamp, report: &LimitReport) {
        let known = Known {
            started: report.started,
            rate: report.rate,
            as_of: told_at.minus(Duration::from_millis(report.ms_ago)),
        };
        let Some(owned) = self.limits.get_mut(&report.upstream) else {
            if self.limits.len() < MOST_UPSTREAMS {
                let domain = report.failure_domain.clone();
                let owned = OwnedLimit::new(now, domain, known);
                self.limits.insert(report.upstream.clone(), owned);
            }
            return;
        };
        owned.used_at = now;
        if known.as_of < owned.known.as_of {
            return;
        }
        let is_same_life = !EngineStart::differ(known.started, owned.known.started);
        match owned.known.rate.filter(|_| is_same_life) {
            // The time until now counts at the previous rate.
            Some(rate) => owned.bucket.fill(now, rate),
            None => owned.bucket = TokenBucket::empty(now),
        }
        owned.known = known;
    }

    /// Queues a daemon's request for permits. A later request of the same daemon replaces the
    /// earlier one and keeps its place.
    pub fn ask(&mut self, now: Timestamp, daemon: Address, upstream: &UpstreamId, wanted: u32) {
        let Some(owned) = self.limits.get_mut(upstream) else {
            return;
        };
        let question = Waiting {
            daemon,
            wanted,
            asked_at: now,
        };
        match owned.waiting.iter_mut().find(|w| w.daemon == daemon) {
            Some(known) => *known = question,
            None => owned.waiting.push(question),
        }
    }

    /// Grants the available permits in the order of the requests.
    pub fn grant(&mut self, now: Timestamp) -> Vec<Granted> {
        self.limits
            .retain(|_, owned| now.since(owned.used_at) < FORGET_AFTER);
        let mut granted = Vec::new();
        for (upstream, owned) in &mut self.limits {
            owned.grant(now, upstream, &mut granted);
        }
        granted
    }

    /// The known state of an upstream's limit, for a daemon that asks for permits of a limit that
    /// has ended.
    pub fn report(&self, now: Timestamp, upstream: &UpstreamId) -> Option<LimitReport> {
        let owned = self.limits.get(upstream)?;
        Some(owned.report(now, upstream))
    }

    /// Returns the limits that started or ended since the last broadcast and are due for another
    /// one.
    pub fn news(&mut self, now: Timestamp) -> Vec<LimitReport> {
        let mut news = Vec::new();
        for (upstream, owned) in &mut self.limits {
            let is_limited = owned.known.rate.is_some();
            let is_due = owned.told_at.is_none_or(|at| now.since(at) >= TOLD_SPACING);
            if is_limited != owned.told && is_due {
                owned.told = is_limited;
                owned.told_at = Some(now);
                news.push(owned.report(now, upstream));
            }
        }
        news
    }
}

impl OwnedLimit {
    fn new(now: Timestamp, failure_domain: FailureDomain, known: Known) -> Self {
        Self {
            failure_domain,
            known,
            bucket: TokenBucket::empty(now),
            waiting: Vec::new(),
            told: false,
            told_at: None,
            used_at: now,
        }
    }

    fn report(&self, now: Timestamp, upstream: &UpstreamId) -> LimitReport {
        LimitReport {
            upstream: upstream.clone(),
            failure_domain: self.failure_domain.clone(),
            started: self.known.started,
            rate: self.known.rate,
            ms_ago: now.millis_since(self.known.as_of),
        }
    }

    fn grant(&mut self, now: Timestamp, upstream: &UpstreamId, granted: &mut Vec<Granted>) {
        self.waiting
            .retain(|waiting| now.since(waiting.asked_at) < QUESTION_TIME);
        let Some(rate) = self.known.rate else {
            self.waiting.clear();
            return;
        };
        self.bucket.fill(now, rate);
        while let Some(first) = self.waiting.first() {
            let count = self.bucket.take(first.wanted);
            if count == 0 {
                return;
            }
            granted.push(Granted {
                daemon: first.daemon,
                grant: PermitGrant {
                    upstream: upstream.clone(),
                    count,
                },
            });
            self.waiting.remove(0);
        }
    }
}
