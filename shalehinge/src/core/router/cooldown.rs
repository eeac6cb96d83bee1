//! Cooldowns that an upstream requested from this daemon.
//!
//! The upstream receives no requests until the cooldown ends, and then one at a time until one of
//! them produces output. A cooldown of several hours may be a mistake, so a few single requests
//! are sent during it as probes.

use std::time::Duration;

use crate::core::signal::RequestedCooldown;
use crate::core::types::Timestamp;

/// Time without a request after which a probe checks whether the cooldown is still needed.
const PROBE_INTERVAL: Duration = Duration::from_secs(600);
/// Maximum number of probes per cooldown.
const MAX_PROBES: u32 = 2;

/// A change to report in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CooldownChange {
    /// The upstream asked for no requests for this long.
    Begins(Duration),
    /// The requested cooldown is not a valid duration; holds its text.
    Unreadable(String),
}

/// The cooldown state of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Cooldown {
    /// When the cooldown ends.
    until: Timestamp,
    /// When an answer last requested a cooldown.
    requested_at: Timestamp,
    /// A cooldown has begun and its end has not been reported yet.
    is_in_force: bool,
    /// No request sent since the cooldown was requested has produced output yet.
    is_recovering: bool,
    /// A request sent since the cooldown was requested is in flight.
    has_probe_in_flight: bool,
    /// Number of probes that may still be sent during the cooldown.
    probes_left: u32,
    /// When the next probe may be sent.
    next_probe_at: Timestamp,
    /// The last requested cooldown was not a valid duration.
    is_unreadable: bool,
}

impl Cooldown {
    /// When the cooldown ends.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// The time before which no request may be sent; `None` if one may be sent now.
    pub fn blocked_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = if self.probes_left > 0 {
            self.until.min(self.next_probe_at)
        } else {
            self.until
        };
        (now < until).then_some(until)
    }

    /// Whether the upstream may run one more request, as far as the cooldown is concerned: while
    /// it recovers, it runs one at a time.
    pub fn has_room(&self) -> bool {
        !(self.is_recovering && self.has_probe_in_flight)
    }

    /// Handles the cooldown requested by an answer. A shorter cooldown never ends an earlier one
    /// prematurely: answers may arrive out of order, and each applies for its own duration.
    pub fn on_requested(
        &mut self,
        now: Timestamp,
        requested: &RequestedCooldown,
    ) -> Option<CooldownChange> {
        match requested {
            RequestedCooldown::None => None,
            RequestedCooldown::For(time) => {
                self.is_unreadable = false;
                self.extend(now, *time)
            }
            RequestedCooldown::Unreadable(text) => {
                let was_unreadable = std::mem::replace(&mut self.is_unreadable, true);
                (!was_unreadable).then(|| CooldownChange::Unreadable(text.clone()))
            }
        }
    }

    fn extend(&mut self, now: Timestamp, time: Duration) -> Option<CooldownChange> {
        if time.is_zero() {
            return None;
        }
        let is_new = !self.is_in_force || now >= self.until;
        self.until = self.until.max(now + time);
        self.requested_at = now;
        self.next_probe_at = now + PROBE_INTERVAL;
        self.is_recovering = true;
        self.has_probe_in_flight = false;
        self.is_in_force = true;
        if !is_new {
            return None;
        }
        self.probes_left = MAX_PROBES;
        Some(CooldownChange::Begins(time))
    }

    /// Records that a request was sent to the upstream.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.has_probe_in_flight = self.is_recovering;
        if now < self.until {
            self.probes_left = self.probes_left.saturating_sub(1);
            self.next_probe_at = now + PROBE_INTERVAL;
        }
    }

    /// Records that a request sent at `sent_at` produced output. Output of a request sent before
    /// the cooldown was requested proves nothing.
    pub fn on_output(&mut self, now: Timestamp, sent_at: Timestamp) {
        if sent_at > self.requested_at {
            self.is_recovering = false;
            self.until = self.until.min(now);
        }
    }

    /// Records that a request sent at `sent_at` has ended.
    pub fn on_ended(&mut self, sent_at: Timestamp) {
        if sent_at > self.requested_at {
            self.has_probe_in_flight = false;
        }
    }

    /// Whether the cooldown has ended since the last call.
    pub fn take_end(&mut self, now: Timestamp) -> bool {
        let has_ended = self.is_in_force && now >= self.until;
        if has_ended {
            self.is_in_force = false;
        }
        has_ended
    }
}
