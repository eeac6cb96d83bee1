//! The limit of one upstream as known to this daemon, and the permits that the daemon holds for
//! it.

use std::time::Duration;

use crate::core::advertised_limit::{AdvertisedLimit, RequestRate};
use crate::core::permits::PERMIT_LIFETIME;
use crate::core::types::Timestamp;

/// Relative change of a limit, since the last logged value, below which nothing is logged.
const MIN_LOGGED_CHANGE: f64 = 0.1;
/// Longest interval between two permit requests while other upstreams can serve.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_secs(8);
/// Maximum number of permits per request.
const MAX_PERMITS_REQUESTED: u32 = 64;

/// How a limit changed.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// A limit applies where there was none.
    Begins(RequestRate),
    /// The limit has a new value.
    Changes(RequestRate),
    /// There is no limit any more.
    Ends,
    /// The upstream named something that is not a valid limit; holds its text. The previous limit
    /// stays in force.
    Unreadable(String),
}

/// Whether requests are waiting that no other upstream can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitUrgency {
    /// Requests are waiting.
    Immediate,
    /// Other upstreams can take all requests.
    Prefetch,
}

/// Permits held, and the state of requests for more.
#[derive(Clone, Copy, Debug)]
struct Permits {
    /// Number of unused permits.
    remaining: u32,
    /// When they expire.
    until: Timestamp,
    /// When permits were last requested, if none were granted since.
    asked_at: Option<Timestamp>,
    /// Interval after the last permit request, doubled while none are granted.
    interval: Duration,
    /// Number of permits to request: increased when all were used, reduced when some expired.
    request_size: u32,
    /// Number of requests that were sent elsewhere for lack of a permit and have not been made up
    /// for.
    diverted: u32,
}

impl Default for Permits {
    fn default() -> Self {
        Self {
            remaining: 0,
            until: Timestamp::ZERO,
            asked_at: None,
            interval: PERMIT_LIFETIME,
            request_size: 1,
            diverted: 0,
        }
    }
}

/// The limit of one upstream.
#[derive(Clone, Debug, Default)]
pub struct LimitState {
    /// The limit in force.
    rate: Option<RequestRate>,
    /// The time to which the latest known state of the limit refers, learned here or by another
    /// daemon.
    as_of: Timestamp,
    /// The limit that was last logged.
    logged: Option<RequestRate>,
    /// The last answer named something that is not a valid limit.
    is_unreadable: bool,
    /// Permits of this daemon.
    permits: Permits,
}

impl LimitState {
    /// The limit that the upstream named, if any.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// The time to which the known state (a limit, or none) refers.
    pub fn as_of(&self) -> Timestamp {
        self.as_of
    }

    /// Handles the limit in the answer to a request sent at `sent_at`. Returns a change to be
    /// logged.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        limit: AdvertisedLimit,
    ) -> Option<LimitChange> {
        let was_unreadable = std::mem::replace(&mut self.is_unreadable, false);
        match limit {
            AdvertisedLimit::Rate(rate) => self.set(now, Some(rate)),
            // Answers may arrive out of order: this one may date from before the limit was named.
            AdvertisedLimit::None => self.set(sent_at, None),
            AdvertisedLimit::Unreadable(text) => {
                self.is_unreadable = true;
                (!was_unreadable).then_some(LimitChange::Unreadable(text))
            }
        }
    }

    /// Applies what is known as of this time, unless something newer is known. Returns a change
    /// to be logged.
    pub fn set(&mut self, as_of: Timestamp, rate: Option<RequestRate>) -> Option<LimitChange> {
        if as_of < self.as_of {
            return None;
        }
        self.as_of = as_of;
        let before = std::mem::replace(&mut self.rate, rate);
        match (before, rate) {
            (None, None) => None,
            (Some(_), None) => Some(LimitChange::Ends),
            (None, Some(rate)) => {
                self.reset_permits();
                self.logged = Some(rate);
                Some(LimitChange::Begins(rate))
            }
            (Some(_), Some(rate)) => {
                let logged = self.logged.unwrap_or(rate);
                let change = (logged.get() - rate.get()).abs();
                if change <= logged.get() * MIN_LOGGED_CHANGE {
                    return None;
                }
                self.logged = Some(rate);
                Some(LimitChange::Changes(rate))
            }
        }
    }

    /// Whether an unused permit is held.
    pub fn has_permit(&self, now: Timestamp) -> bool {
        self.permits.remaining > 0 && now < self.permits.until
    }

    /// Whether a permit is held and a request was sent elsewhere for lack of one.
    pub fn has_permit_for_diverted(&self, now: Timestamp) -> bool {
        self.permits.diverted > 0 && self.has_permit(now)
    }

    /// Records that a request was sent elsewhere for lack of a permit.
    pub fn on_diverted(&mut self) {
        let diverted = self.permits.diverted + 1;
        self.permits.diverted = diverted.min(MAX_PERMITS_REQUESTED);
    }

    /// Records that a request is sent in place of one that was sent elsewhere.
    pub fn on_made_up(&mut self) {
        self.permits.diverted = self.permits.diverted.saturating_sub(1);
    }

    /// Discards permits and the state of requests for more, when a limit begins.
    pub fn reset_permits(&mut self) {
        self.permits = Permits::default();
    }

    /// Records that a request was sent while a limit applied.
    pub fn on_sent(&mut self) {
        let permits = &mut self.permits;
        permits.remaining = permits.remaining.saturating_sub(1);
        if permits.remaining == 0 {
            permits.request_size = (permits.request_size * 2).min(MAX_PERMITS_REQUESTED);
        }
    }

    /// Returns how many permits to request now, if any, and records the request.
    pub fn permits_wanted(&mut self, now: Timestamp, urgency: PermitUrgency) -> Option<u32> {
        if self.has_permit(now) {
            return None;
        }
        let permits = &mut self.permits;
        let interval = match urgency {
            PermitUrgency::Immediate => PERMIT_LIFETIME,
            PermitUrgency::Prefetch => permits.interval,
        };
        if permits.asked_at.is_some_and(|at| now.since(at) < interval) {
            return None;
        }
        if permits.remaining > 0 {
            permits.remaining = 0;
            permits.request_size = (permits.request_size / 2).max(1);
            permits.diverted = permits.diverted.min(1);
        }
        if permits.asked_at.is_some() {
            // The last request was not granted: demand exceeds the limit.
            permits.interval = (permits.interval * 2).min(MAX_REQUEST_INTERVAL);
            permits.diverted = permits.diverted.min(1);
        }
        permits.asked_at = Some(now);
        Some(permits.request_size)
    }

    /// Handles granted permits. Permits left from an earlier grant expire, as they are valid only
    /// from when they were issued.
    pub fn on_granted(&mut self, now: Timestamp, count: u32) {
        let permits = &mut self.permits;
        permits.remaining = count;
        permits.until = now + PERMIT_LIFETIME;
        permits.asked_at = None;
        permits.interval = PERMIT_LIFETIME;
    }

    /// Forgets the last permit request, which reached no owner of the limit.
    pub fn forget_request(&mut self) {
        self.permits.asked_at = None;
        self.permits.interval = PERMIT_LIFETIME;
    }

    /// Whether a recent permit request is still unanswered.
    pub fn awaits_permits(&self, now: Timestamp) -> bool {
        let asked_at = self.permits.asked_at;
        asked_at.is_some_and(|at| now.since(at) < PERMIT_LIFETIME)
    }
}
