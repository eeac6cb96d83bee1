//! How many loads from the weight store may begin now.
//!
//! The rate is the fleet's; each failure domain has an even part of it, so that all
//! together stay below it without asking each other. The store also serves only so many
//! loads at full speed: more slow each other down. Groups that form need their loads now,
//! so second weights are loaded with what those leave.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::core::types::Timestamp;

/// Loads that may be saved up, in seconds of the rate.
const SAVED_SECONDS: f64 = 1.0;
/// Part of the loads at full speed that second weights may take. With all of the rate for
/// them, some 120 loads ran beside 20 at full speed after a tenth of the hosts was cut off,
/// and groups that lacked one load formed for more than 16 s in place of 12.
const SECOND_WEIGHTS_PART: f64 = 0.5;
/// How long a load takes where the model does not say. That of a large model.
const USUAL_LOAD: Duration = Duration::from_secs(16);

/// The budget of one failure domain.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    per_second: Option<f64>,
    at_once: Option<f64>,
    load_time: Duration,
    tokens: f64,
    filled_at: Timestamp,
    /// When the loads that run are over, if they run at full speed.
    running_until: BinaryHeap<Reverse<Timestamp>>,
}

impl Default for LoadBudget {
    fn default() -> Self {
        Self {
            per_second: None,
            at_once: None,
            load_time: USUAL_LOAD,
            tokens: 0.0,
            filled_at: Timestamp::ZERO,
            running_until: BinaryHeap::new(),
        }
    }
}

impl LoadBudget {
    /// Sets the rate of this failure domain; `None` is without bounds.
    pub fn set_rate(&mut self, per_second: Option<f64>) {
        self.per_second = per_second;
    }

    /// Sets how many loads of this failure domain run at full speed at a time, if that is
    /// bounded, and how long one takes, if that is known.
    pub fn set_at_once(&mut self, at_once: Option<f64>, load_time: Option<Duration>) {
        self.at_once = at_once;
        self.load_time = load_time.unwrap_or(USUAL_LOAD);
    }

    /// Takes out one load of a group that forms, if one is allowed now.
    pub fn take(&mut self, now: Timestamp) -> bool {
        let is_allowed = self.take_from_rate(now);
        if is_allowed {
            self.note_running(now);
        }
        is_allowed
    }

    /// Takes out one load of second weights, if one is allowed now.
    pub fn take_for_second_weights(&mut self, now: Timestamp) -> bool {
        let most = self.at_once.map(|at_once| at_once * SECOND_WEIGHTS_PART);
        let running = self.running(now) as f64;
        // One at a time is always allowed.
        let is_free = running == 0.0 || most.is_none_or(|most| running + 1.0 <= most);
        is_free && self.take(now)
    }

    fn running(&mut self, now: Timestamp) -> usize {
        while self
            .running_until
            .peek()
            .is_some_and(|until| until.0 <= now)
        {
            self.running_until.pop();
        }
        self.running_until.len()
    }

    fn note_running(&mut self, now: Timestamp) {
        self.running(now);
        self.running_until.push(Reverse(now + self.load_time));
    }

    fn take_from_rate(&mut self, now: Timestamp) -> bool {
        let Some(rate) = self.per_second else {
            return true;
        };
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let most = (rate * SAVED_SECONDS).max(1.0);
        self.tokens = (self.tokens + passed * rate).min(most);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
