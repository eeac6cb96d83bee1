//! Rate limit for loads from the weight store.
//!
//! The limit applies to the whole fleet. Each failure domain uses an equal part of it, so that
//! the total stays below the limit without coordination. The store also serves only a limited
//! number of loads at full speed; further loads slow each other down. Forming groups need their
//! loads immediately, so weights of second models are loaded only with the capacity that forming
//! groups leave.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::core::types::Timestamp;

/// Maximum unused budget, as seconds of the rate.
const BURST_SECONDS: f64 = 1.0;
/// Fraction of the full-speed loads that weights of second models may use. Without this limit,
/// about 120 loads ran where 20 run at full speed after a tenth of the hosts was cut off, and
/// groups that lacked one load took more than 16 s to form instead of 12 s.
const SECOND_MODEL_FRACTION: f64 = 0.5;
/// Load duration that is assumed if the model does not specify one: that of a large model.
const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(16);

/// Load budget of one failure domain.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    per_second: Option<f64>,
    max_concurrent: Option<f64>,
    load_time: Duration,
    tokens: f64,
    refilled_at: Timestamp,
    /// End of each running load, assuming full speed.
    running_until: BinaryHeap<Reverse<Timestamp>>,
}

impl Default for LoadBudget {
    fn default() -> Self {
        Self {
            per_second: None,
            max_concurrent: None,
            load_time: DEFAULT_LOAD_TIME,
            tokens: 0.0,
            refilled_at: Timestamp::ZERO,
            running_until: BinaryHeap::new(),
        }
    }
}

impl LoadBudget {
    /// Sets the rate for this failure domain in loads per second; `None` means no limit.
    pub fn set_rate(&mut self, per_second: Option<f64>) {
        self.per_second = per_second;
    }

    /// Sets the number of loads of this failure domain that run at full speed at the same time,
    /// and the duration of one load. `None` means no limit and a default duration, respectively.
    pub fn set_concurrency(&mut self, max_concurrent: Option<f64>, load_time: Option<Duration>) {
        self.max_concurrent = max_concurrent;
        self.load_time = load_time.unwrap_or(DEFAULT_LOAD_TIME);
    }

    /// Takes one load for a forming group from the budget. Returns whether the load may begin.
    pub fn try_acquire(&mut self, now: Timestamp) -> bool {
        let is_allowed = self.try_acquire_token(now);
        if is_allowed {
            self.record_running(now);
        }
        is_allowed
    }

    /// Takes one load for the weights of a second model from the budget. Returns whether the load
    /// may begin.
    pub fn try_acquire_for_second_model(&mut self, now: Timestamp) -> bool {
        let limit = self
            .max_concurrent
            .map(|max_concurrent| max_concurrent * SECOND_MODEL_FRACTION);
        let running = self.running(now) as f64;
        // A single load is always allowed.
        let has_capacity = running == 0.0 || limit.is_none_or(|limit| running + 1.0 <= limit);
        has_capacity && self.try_acquire(now)
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

    fn record_running(&mut self, now: Timestamp) {
        self.running(now);
        self.running_until.push(Reverse(now + self.load_time));
    }

    fn try_acquire_token(&mut self, now: Timestamp) -> bool {
        let Some(rate) = self.per_second else {
            return true;
        };
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let limit = (rate * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + elapsed * rate).min(limit);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
