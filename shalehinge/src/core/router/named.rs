//! The limit of one upstream as a daemon knows it, and the daemon's permits to send there.

use std::time::Duration;

use crate::core::advertised_limit::{AdvertisedLimit, RequestRate};
use crate::core::permits::PERMIT_LIFETIME;
use crate::core::types::Timestamp;

/// A limit that differs by less from the one in the last log line makes no other line.
const LOGGED_CHANGE: f64 = 0.1;
/// Longest pause between two questions for permits while other upstreams serve.
const MOST_PAUSE: Duration = Duration::from_secs(8);
/// Most permits that are asked for at once.
const MOST_WANTED: u32 = 64;

/// How a limit changed.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// There was none.
    Begins(RequestRate),
    /// There was another one.
    Changes(RequestRate),
    /// There is none any more.
    Ends,
    /// The upstream says something that is no limit; what was in force stays.
    Unreadable(String),
}

/// Whether requests wait that no other upstream can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// They wait.
    Waited,
    /// Other upstreams take what comes.
    Spare,
}

/// Permits to send that are left, and what was asked of the limit's owner.
#[derive(Clone, Copy, Debug)]
struct Permits {
    left: u32,
    until: Timestamp,
    asked_at: Option<Timestamp>,
    /// Pause after the last question, which grows while nothing comes.
    pause: Duration,
    /// So many are asked for: more while all are used, fewer while some lapse.
    wanted: u32,
}

impl Default for Permits {
    fn default() -> Self {
        Self {
            left: 0,
            until: Timestamp::ZERO,
            asked_at: None,
            pause: PERMIT_LIFETIME,
            wanted: 1,
        }
    }
}

/// The limit of one upstream.
#[derive(Clone, Debug, Default)]
pub struct LimitState {
    rate: Option<RequestRate>,
    /// The time that the last answer spoke of which counted, here or at another daemon.
    as_of: Timestamp,
    logged: Option<RequestRate>,
    is_unreadable: bool,
    permits: Permits,
}

impl LimitState {
    /// The limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// The time of which the limit, or that there is none, is known.
    pub fn as_of(&self) -> Timestamp {
        self.as_of
    }

    /// An answer came to a request that was sent at `sent_at`. Returns what is worth a log line.
    pub fn hear(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        limit: AdvertisedLimit,
    ) -> Option<LimitChange> {
        let was_unreadable = std::mem::replace(&mut self.is_unreadable, false);
        match limit {
            AdvertisedLimit::Rate(rate) => self.set(now, Some(rate)),
            // Answers overtake one another: this one may be from before the limit was named.
            AdvertisedLimit::None => self.set(sent_at, None),
            AdvertisedLimit::Unreadable(text) => {
                self.is_unreadable = true;
                (!was_unreadable).then_some(LimitChange::Unreadable(text))
            }
        }
    }

    /// Takes in what is known as of then; what is known of later stays.
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
                self.permits = Permits::default();
                self.logged = Some(rate);
                Some(LimitChange::Begins(rate))
            }
            (Some(_), Some(rate)) => {
                let logged = self.logged.unwrap_or(rate);
                let change = (logged.get() - rate.get()).abs();
                if change <= logged.get() * LOGGED_CHANGE {
                    return None;
                }
                self.logged = Some(rate);
                Some(LimitChange::Changes(rate))
            }
        }
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, now: Timestamp) -> bool {
        self.rate.is_none() || (self.permits.left > 0 && now < self.permits.until)
    }

    /// A request was sent.
    pub fn on_sent(&mut self) {
        if self.rate.is_none() {
            return;
        }
        let permits = &mut self.permits;
        permits.left = permits.left.saturating_sub(1);
        if permits.left == 0 {
            permits.wanted = (permits.wanted * 2).min(MOST_WANTED);
        }
    }

    /// How many permits should be asked for now, if any; notes that they were.
    pub fn permits_wanted(&mut self, now: Timestamp, urgency: Urgency) -> Option<u32> {
        if self.may_send(now) {
            return None;
        }
        let permits = &mut self.permits;
        let pause = match urgency {
            Urgency::Waited => PERMIT_LIFETIME,
            Urgency::Spare => permits.pause,
        };
        if permits.asked_at.is_some_and(|at| now.since(at) < pause) {
            return None;
        }
        if permits.left > 0 {
            permits.left = 0;
            permits.wanted = (permits.wanted / 2).max(1);
        }
        if permits.asked_at.is_some() {
            // Nothing came: others ask for more than there is.
            permits.pause = (permits.pause * 2).min(MOST_PAUSE);
        }
        permits.asked_at = Some(now);
        Some(permits.wanted)
    }

    /// Permits came. Any that are left from before lapse: they count from when they were made.
    pub fn on_granted(&mut self, now: Timestamp, count: u32) {
        let permits = &mut self.permits;
        permits.left = count;
        permits.until = now + PERMIT_LIFETIME;
        permits.asked_at = None;
        permits.pause = PERMIT_LIFETIME;
    }

    /// Whether permits were asked for lately and did not come yet.
    pub fn awaits_permits(&self, now: Timestamp) -> bool {
        let asked_at = self.permits.asked_at;
        asked_at.is_some_and(|at| now.since(at) < PERMIT_LIFETIME)
    }
}
