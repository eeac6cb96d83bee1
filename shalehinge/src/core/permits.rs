//! Permits to send requests to upstreams that name how many they take.
//!
//! Such a limit holds for all daemons together, so that one of them, its owner, hands out permits:
//! a permit is for one request, and counts for a short time. A daemon that kept a part of the
//! limit for itself could not send less than one request: 340 of them would send 340 at once.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::advertised_limit::RequestRate;
use super::router::request::UpstreamId;
use super::types::{Address, EngineStart, FailureDomain, Timestamp};

/// How long an owner remembers who asks: longer than the pause between two questions, so that
/// whoever comes last keeps its turn.
const QUESTION_TIME: Duration = Duration::from_millis(2_500);
/// How long a permit may be used after it came, and the pause between two questions of a daemon
/// with requests that wait.
pub const PERMIT_TIME: Duration = Duration::from_secs(1);
/// Permits that may be saved up, in seconds of the rate, beside one.
const SAVED_SECONDS: f64 = 0.5;
/// Least rate, in requests a second: without any request no answer could end a limit of 0.
const LEAST_RATE: f64 = 0.25;
/// Time between two messages to all daemons on one upstream, which may change its mind in every
/// answer.
const TOLD_SPACING: Duration = Duration::from_secs(1);
/// A limit of which nobody asks or tells is forgotten after so long.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Upstreams that are remembered.
const MOST_UPSTREAMS: usize = 4_096;

/// Requests a second for which permits are handed out at this limit.
pub fn effective(limit: RequestRate) -> f64 {
    limit.get().max(LEAST_RATE)
}

/// Permits that can be saved up at this limit.
pub fn at_once(limit: RequestRate) -> f64 {
    1.0 + effective(limit) * SAVED_SECONDS
}

/// What a daemon tells of an upstream's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Which upstream.
    pub upstream: UpstreamId,
    /// Where it is.
    pub failure_domain: FailureDomain,
    /// Which life of it, where that is known: a limit ends with it.
    pub started: Option<EngineStart>,
    /// The limit; `None` if it named none any more.
    pub rate: Option<RequestRate>,
    /// How long ago the answer came that showed it, in milliseconds, rounded up.
    pub ms_ago: u64,
}

/// A daemon asks the owner of an upstream's limit for permits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the asker knows of the limit.
    pub known: LimitReport,
    /// Permits that it can use within [`PERMIT_TIME`].
    pub wanted: u32,
}

/// An owner hands out permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// For which upstream.
    pub upstream: UpstreamId,
    /// So many requests.
    pub count: u32,
}

/// A limit, or that there is none, with the time of which it is known.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Known {
    started: Option<EngineStart>,
    rate: Option<RequestRate>,
    as_of: Timestamp,
}

/// Requests that may be sent now, which grow with the rate.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// An empty one: who owned the limit until now may have granted all that there was.
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

    /// Takes out whole tokens, so many at most.
    fn take(&mut self, wanted: u32) -> u32 {
        let count = (self.tokens.floor() as u32).min(wanted);
        self.tokens -= f64::from(count);
        count
    }
}

/// A daemon that waits for permits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    daemon: Address,
    wanted: u32,
    asked_at: Timestamp,
}

/// A limit that this daemon owns.
#[derive(Clone, Debug)]
struct OwnedLimit {
    failure_domain: FailureDomain,
    known: Known,
    bucket: TokenBucket,
    /// Who waits, the first to come at the front.
    waiting: Vec<Waiting>,
    /// What all daemons were last told: whether there is a limit.
    told: bool,
    told_at: Option<Timestamp>,
    used_at: Timestamp,
}

/// Permits for a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Who gets them.
    pub daemon: Address,
    /// What it gets.
    pub grant: PermitGrant,
}

/// The limits that one daemon owns.
#[derive(Clone, Debug, Default)]
pub struct PermitOwner {
    limits: BTreeMap<UpstreamId, OwnedLimit>,
}

impl PermitOwner {
    /// Takes in what a daemon tells as of `told_at`. Older news change nothing.
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
            // What has passed counts at the rate that was in force.
            Some(rate) => owned.bucket.fill(now, rate),
            None => owned.bucket = TokenBucket::empty(now),
        }
        owned.known = known;
    }

    /// A daemon asks for permits. A later question takes the place of an earlier one, which
    /// keeps its turn.
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

    /// Hands out what there is now, in the order of the questions.
    pub fn grant(&mut self, now: Timestamp) -> Vec<Granted> {
        self.limits
            .retain(|_, owned| now.since(owned.used_at) < FORGET_AFTER);
        let mut granted = Vec::new();
        for (upstream, owned) in &mut self.limits {
            owned.grant(now, upstream, &mut granted);
        }
        granted
    }

    /// What is known of an upstream's limit, for a daemon that asks on a limit that has ended.
    pub fn report(&self, now: Timestamp, upstream: &UpstreamId) -> Option<LimitReport> {
        let owned = self.limits.get(upstream)?;
        Some(owned.report(now, upstream))
    }

    /// What all daemons should be told: limits that began or ended.
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
