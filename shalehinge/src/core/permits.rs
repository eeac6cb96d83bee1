//! Permits to send requests to upstreams that state a limit on their request rate.
//!
//! Such a limit applies to all daemons together, so one daemon, the owner of the limit, grants
//! permits. A permit is for one request and expires after a short time. The limit is not divided
//! into fixed shares, as a daemon can't send less than one request: 340 daemons with a share each
//! would send 340 requests at the same time.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::advertised_limit::RequestRate;
use super::router::request::UpstreamId;
use super::types::{Address, EngineStart, FailureDomain, Timestamp};

/// How long an owner keeps a daemon's permit request. It is longer than the interval between two
/// requests of a daemon, so that the daemon at the end of the queue keeps its place.
const REQUEST_LIFETIME: Duration = Duration::from_millis(2_500);
/// How long a permit is valid after it was received, and the interval between two permit requests
/// of a daemon with waiting requests.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Unused permits that may accumulate beyond the first one, in seconds of the rate.
const BURST_SECONDS: f64 = 0.5;
/// An owner that granted nothing for this time was suspended, as it grants at every tick.
const SUSPENSION: Duration = Duration::from_secs(1);
/// Fraction of a limit that a standby grants while the owner does not answer. The owner may be
/// alive and unreachable for the standby alone, and both then grant permits.
const STANDBY_FRACTION: f64 = 0.5;
/// Lowest effective rate in requests per second: without any request, no answer could end a limit
/// of 0.
const MIN_RATE: f64 = 0.25;
/// Minimum interval between two broadcasts on one upstream, as an upstream may start or end its
/// limit in every answer.
const BROADCAST_INTERVAL: Duration = Duration::from_secs(1);
/// A limit is removed if no daemon has reported it or asked for it for this time.
const IDLE_EXPIRY: Duration = Duration::from_secs(60);
/// Maximum number of upstreams whose limits are tracked.
const MAX_UPSTREAMS: usize = 4_096;

/// Rate at which permits are granted for this limit, in requests per second.
pub fn effective_rate(limit: RequestRate) -> f64 {
    limit.get().max(MIN_RATE)
}

/// Maximum number of unused permits at this limit.
pub fn burst_size(limit: RequestRate) -> f64 {
    1.0 + effective_rate(limit) * BURST_SECONDS
}

/// Maximum number of unused permits of an upstream that warms up: together with the permits that
/// are granted and used within a second, more would exceed what it can bear.
const WARM_UP_BURST: f64 = 1.0;
/// How long after its start a daemon grants no permits of warm-ups. A daemon that knows few
/// members takes itself for the owner of many upstreams, as do others that started with it.
const WARM_UP_OWNER_DELAY: Duration = Duration::from_secs(10);

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
    /// Time until the limit ends by itself, in milliseconds, for the limit of a warm-up. All
    /// daemons know such a limit from the host list, so it isn't broadcast.
    #[serde(default)]
    pub expires_in_ms: Option<u64>,
}

/// A daemon's request for permits to the owner of an upstream's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the requesting daemon knows of the limit.
    pub known: LimitReport,
    /// Number of permits that it can use within [`PERMIT_LIFETIME`].
    pub wanted: u32,
    /// The owner that did not answer, in requests to its standby.
    #[serde(default)]
    pub in_place_of: Option<Address>,
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
struct LimitState {
    started: Option<EngineStart>,
    rate: Option<RequestRate>,
    as_of: Timestamp,
    /// When the limit ends by itself, if it is that of a warm-up.
    expires_at: Option<Timestamp>,
}

impl LimitState {
    fn is_warm_up(&self) -> bool {
        self.expires_at.is_some()
    }

    fn rate(&self, now: Timestamp) -> Option<RequestRate> {
        self.rate
            .filter(|_| self.expires_at.is_none_or(|at| now < at))
    }

    fn burst(&self, rate: RequestRate) -> f64 {
        if self.is_warm_up() {
            WARM_UP_BURST
        } else {
            burst_size(rate)
        }
    }
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

    /// Adds the tokens since the last time at `rate` tokens per second.
    fn fill(&mut self, now: Timestamp, rate: f64, burst: f64) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(burst);
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
struct PermitWaiter {
    daemon: Address,
    wanted: u32,
    asked_at: Timestamp,
}

/// In which role a daemon grants permits of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GrantRole {
    /// As the owner of the limit.
    #[default]
    Owner,
    /// In place of the owner at this address, which does not answer.
    Standby(Address),
}

impl GrantRole {
    /// The fraction of a limit that is granted in this role.
    fn fraction(self) -> f64 {
        match self {
            Self::Owner => 1.0,
            Self::Standby(_) => STANDBY_FRACTION,
        }
    }
}

/// A limit whose permits this daemon grants.
#[derive(Clone, Debug)]
struct OwnedLimit {
    failure_domain: FailureDomain,
    role: GrantRole,
    known: LimitState,
    bucket: TokenBucket,
    /// Waiting daemons in the order of their first request.
    waiters: Vec<PermitWaiter>,
    /// Whether the last broadcast stated a limit.
    was_limit_broadcast: bool,
    /// Time of the last broadcast.
    broadcast_at: Option<Timestamp>,
    /// When a daemon last reported on the limit.
    last_report_at: Timestamp,
}

/// Permits granted to a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonGrant {
    /// The daemon that receives the permits.
    pub daemon: Address,
    /// The permits.
    pub grant: PermitGrant,
}

/// The limits whose permits one daemon grants, as their owner or in its place.
#[derive(Clone, Debug, Default)]
pub struct PermitOwner {
    limits: BTreeMap<UpstreamId, OwnedLimit>,
    /// When permits were last granted, or would have been.
    granted_at: Option<Timestamp>,
}

impl PermitOwner {
    /// Records a report whose age is relative to `reported_at`. Reports on an older state are
    /// ignored.
    pub fn record_report(&mut self, now: Timestamp, reported_at: Timestamp, report: &LimitReport) {
        let known = LimitState {
            started: report.started,
            rate: report.rate,
            as_of: reported_at.minus(Duration::from_millis(report.ms_ago)),
            expires_at: report
                .expires_in_ms
                .map(|left| now + Duration::from_millis(left)),
        };
        let Some(owned) = self.limits.get_mut(&report.upstream) else {
            if self.limits.len() < MAX_UPSTREAMS {
                let domain = report.failure_domain.clone();
                let owned = OwnedLimit::new(now, domain, known);
                self.limits.insert(report.upstream.clone(), owned);
            }
            return;
        };
        owned.last_report_at = now;
        if known.as_of < owned.known.as_of {
            return;
        }
        let is_same_start = !EngineStart::differ(known.started, owned.known.started);
        match owned.known.rate.filter(|_| is_same_start) {
            // The time until now counts at the previous rate.
            Some(rate) => owned.fill_bucket(now, rate),
            None => owned.bucket = TokenBucket::empty(now),
        }
        owned.known = known;
    }

    /// Sets the role in which permits of an upstream are granted. Those of a standby accumulate
    /// from `silent_since`, as the owner has not answered since. Returns whether the role changed.
    pub fn set_role(
        &mut self,
        now: Timestamp,
        silent_since: Timestamp,
        upstream: &UpstreamId,
        role: GrantRole,
    ) -> bool {
        let Some(owned) = self.limits.get_mut(upstream) else {
            return false;
        };
        if owned.role == role {
            return false;
        }
        match (role, owned.known.rate) {
            // The time until now counts at the rate of the previous role.
            (GrantRole::Owner, Some(rate)) => owned.fill_bucket(now, rate),
            _ => owned.bucket = TokenBucket::empty(silent_since),
        }
        owned.role = role;
        true
    }

    /// Whether this daemon grants permits of an upstream in place of the owner.
    pub fn is_standby(&self, upstream: &UpstreamId) -> bool {
        let role = self.limits.get(upstream).map(|owned| owned.role);
        matches!(role, Some(GrantRole::Standby(_)))
    }

    /// Removes a limit that this daemon granted as its owner and that another daemon owns by now.
    /// Requests that are still queued would be granted by both.
    pub fn relinquish(&mut self, upstream: &UpstreamId) {
        let role = self.limits.get(upstream).map(|owned| owned.role);
        if role == Some(GrantRole::Owner) {
            self.limits.remove(upstream);
        }
    }

    /// Removes the limits that were granted in place of an owner. Returns whether there were any.
    pub fn end_standby(&mut self, owner: Address) -> bool {
        let before = self.limits.len();
        let role = GrantRole::Standby(owner);
        self.limits.retain(|_, owned| owned.role != role);
        self.limits.len() < before
    }

    /// Queues a daemon's request for permits. A later request of the same daemon replaces the
    /// earlier one and keeps its place.
    pub fn queue_request(
        &mut self,
        now: Timestamp,
        daemon: Address,
        upstream: &UpstreamId,
        wanted: u32,
    ) {
        let Some(owned) = self.limits.get_mut(upstream) else {
            return;
        };
        let waiter = PermitWaiter {
            daemon,
            wanted,
            asked_at: now,
        };
        match owned
            .waiters
            .iter_mut()
            .find(|waiter| waiter.daemon == daemon)
        {
            Some(known) => *known = waiter,
            None => owned.waiters.push(waiter),
        }
    }

    /// Grants the available permits in the order of the requests.
    pub fn grant(&mut self, now: Timestamp) -> Vec<DaemonGrant> {
        self.limits
            .retain(|_, owned| now.since(owned.last_report_at) < IDLE_EXPIRY);
        let last_granted_at = self.granted_at.replace(now);
        if last_granted_at.is_some_and(|at| now.since(at) >= SUSPENSION) {
            self.discard_tokens(now);
        }
        let mut granted = Vec::new();
        for (upstream, owned) in &mut self.limits {
            owned.grant(now, upstream, &mut granted);
        }
        granted
    }

    /// Discards all available permits, as another daemon may have granted them meanwhile.
    fn discard_tokens(&mut self, now: Timestamp) {
        for owned in self.limits.values_mut() {
            owned.bucket = TokenBucket::empty(now);
        }
    }

    /// The known state of an upstream's limit, for a daemon that asks for permits of a limit that
    /// has ended.
    pub fn report(&self, now: Timestamp, upstream: &UpstreamId) -> Option<LimitReport> {
        let owned = self.limits.get(upstream)?;
        Some(owned.report(now, upstream))
    }

    /// Returns the limits that started or ended since the last broadcast and are due for another
    /// one.
    pub fn take_due_broadcasts(&mut self, now: Timestamp) -> Vec<LimitReport> {
        let mut due = Vec::new();
        for (upstream, owned) in &mut self.limits {
            let is_limited = owned.known.rate.is_some() && !owned.known.is_warm_up();
            let is_due = owned
                .broadcast_at
                .is_none_or(|at| now.since(at) >= BROADCAST_INTERVAL);
            if is_limited != owned.was_limit_broadcast && is_due {
                owned.was_limit_broadcast = is_limited;
                owned.broadcast_at = Some(now);
                due.push(owned.report(now, upstream));
            }
        }
        due
    }
}

impl OwnedLimit {
    fn new(now: Timestamp, failure_domain: FailureDomain, known: LimitState) -> Self {
        Self {
            failure_domain,
            role: GrantRole::default(),
            known,
            bucket: TokenBucket::empty(now),
            waiters: Vec::new(),
            was_limit_broadcast: false,
            broadcast_at: None,
            last_report_at: now,
        }
    }

    fn fill_bucket(&mut self, now: Timestamp, rate: RequestRate) {
        let granted_rate = effective_rate(rate) * self.role.fraction();
        self.bucket.fill(now, granted_rate, self.known.burst(rate));
    }

    fn report(&self, now: Timestamp, upstream: &UpstreamId) -> LimitReport {
        LimitReport {
            upstream: upstream.clone(),
            failure_domain: self.failure_domain.clone(),
            started: self.known.started,
            rate: self.known.rate,
            ms_ago: now.millis_since(self.known.as_of),
            expires_in_ms: None,
        }
    }

    fn grant(&mut self, now: Timestamp, upstream: &UpstreamId, granted: &mut Vec<DaemonGrant>) {
        self.waiters
            .retain(|waiter| now.since(waiter.asked_at) < REQUEST_LIFETIME);
        let Some(rate) = self.known.rate(now) else {
            self.waiters.clear();
            return;
        };
        if self.known.is_warm_up() && now.as_duration() < WARM_UP_OWNER_DELAY {
            return;
        }
        self.fill_bucket(now, rate);
        while let Some(first) = self.waiters.first() {
            let count = self.bucket.take(first.wanted);
            if count == 0 {
                return;
            }
            granted.push(DaemonGrant {
                daemon: first.daemon,
                grant: PermitGrant {
                    upstream: upstream.clone(),
                    count,
                },
            });
            self.waiters.remove(0);
        }
    }
}
