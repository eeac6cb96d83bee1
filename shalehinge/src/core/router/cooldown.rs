//! Cooldowns that an upstream asked this daemon for.
//!
//! It gets nothing until the cooldown ends, and then one request at a time until one brings
//! output. A cooldown of hours may be a mistake: it is tested by a few single requests.

use std::time::Duration;

use crate::core::signal::RequestedCooldown;
use crate::core::types::Timestamp;

/// Time without any request after which one tests whether a cooldown still holds.
const TEST_AFTER: Duration = Duration::from_secs(600);
/// Requests that test one cooldown at most.
const MOST_TESTS: u32 = 2;

/// A change that operators should see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CooldownChange {
    /// It wants no requests for so long.
    Begins(Duration),
    /// It asks for something that is no time.
    Unreadable(String),
}

/// The cooldown of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Cooldown {
    until: Timestamp,
    /// When an answer last asked for one.
    requested_at: Timestamp,
    /// It began, and was not seen to end yet.
    is_in_force: bool,
    /// No request that was sent since has brought output.
    is_recovering: bool,
    /// A request that was sent since runs there.
    is_tried: bool,
    tests_left: u32,
    next_test_at: Timestamp,
    is_unreadable: bool,
}

impl Cooldown {
    /// When it ends.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Until when no request may be sent, if none may be now.
    pub fn blocked_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = if self.tests_left > 0 {
            self.until.min(self.next_test_at)
        } else {
            self.until
        };
        (now < until).then_some(until)
    }

    /// Whether one request more may run there, as far as the last cooldown goes.
    pub fn has_room(&self) -> bool {
        !(self.is_recovering && self.is_tried)
    }

    /// An answer came that asks for this. One that asks for less ends no cooldown early: answers
    /// overtake one another, and each counts for its own time.
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
        self.next_test_at = now + TEST_AFTER;
        self.is_recovering = true;
        self.is_tried = false;
        self.is_in_force = true;
        if !is_new {
            return None;
        }
        self.tests_left = MOST_TESTS;
        Some(CooldownChange::Begins(time))
    }

    /// A request was sent there.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.is_tried = self.is_recovering;
        if now < self.until {
            self.tests_left = self.tests_left.saturating_sub(1);
            self.next_test_at = now + TEST_AFTER;
        }
    }

    /// A request that was sent at `sent_at` brought output. One from before the upstream asked for
    /// the cooldown shows nothing.
    pub fn on_output(&mut self, now: Timestamp, sent_at: Timestamp) {
        if sent_at > self.requested_at {
            self.is_recovering = false;
            self.until = self.until.min(now);
        }
    }

    /// A request that was sent at `sent_at` has ended.
    pub fn on_ended(&mut self, sent_at: Timestamp) {
        if sent_at > self.requested_at {
            self.is_tried = false;
        }
    }

    /// Whether it ended since this was last asked.
    pub fn take_end(&mut self, now: Timestamp) -> bool {
        let has_ended = self.is_in_force && now >= self.until;
        if has_ended {
            self.is_in_force = false;
        }
        has_ended
    }
}
