//! How fast a target's waiting line drains, and so how long a wait would be.

use std::time::Duration;

use crate::core::types::Timestamp;

/// Weight of a new window against the past.
const SMOOTHING: f64 = 0.3;
/// Length of one window.
const WINDOW: Duration = Duration::from_millis(500);

/// Tokens that one target finishes for this daemon, per second.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    tokens_per_second: Option<f64>,
    window_start: Timestamp,
    window_tokens: f64,
}

impl DrainRate {
    /// Work of this cost was sent at `now`; `line_waits` says whether more waited.
    pub fn record(&mut self, now: Timestamp, cost: f64, line_waits: bool) {
        self.roll(now, line_waits);
        self.window_tokens += cost;
    }

    /// Nothing could be sent: the time until now shows nothing.
    pub fn restart(&mut self, now: Timestamp) {
        self.window_start = now;
        self.window_tokens = 0.0;
    }

    /// Closes a window; without a line the rate is only a lower bound.
    fn roll(&mut self, now: Timestamp, line_waits: bool) {
        let passed = now.since(self.window_start);
        if passed < WINDOW {
            return;
        }
        let rate = self.window_tokens / passed.as_secs_f64();
        let known = self.tokens_per_second;
        if line_waits || known.is_some_and(|known| rate > known) {
            let smoothed = known.map_or(rate, |known| known + SMOOTHING * (rate - known));
            self.tokens_per_second = Some(smoothed);
        }
        self.window_start = now;
        self.window_tokens = 0.0;
    }

    /// Time until this cost is through, at a part of the rate; `None` if not known.
    pub fn wait(&self, cost: f64, part: f64) -> Option<Duration> {
        const MOST: f64 = 3600.0;
        let rate = self.tokens_per_second? * part;
        if rate <= 0.0 {
            return None;
        }
        Some(Duration::from_secs_f64((cost / rate).min(MOST)))
    }
}

/// A smoothed mean of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedDuration(Option<Duration>);

impl SmoothedDuration {
    /// Takes in one value.
    pub fn record(&mut self, value: Duration) {
        const SMOOTHING: f64 = 0.1;
        let smoothed = self.0.map_or(value, |known| {
            known.mul_f64(1.0 - SMOOTHING) + value.mul_f64(SMOOTHING)
        });
        self.0 = Some(smoothed);
    }

    /// The mean, if anything was recorded.
    pub fn get(self) -> Option<Duration> {
        self.0
    }
}

/// An estimate that follows low values quickly and high ones slowly: what a request takes
/// that need not wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct LowerEnvelope(Option<Duration>);

impl LowerEnvelope {
    /// Takes in one value.
    pub fn record(&mut self, value: Duration) {
        /// Weight of a value below the estimate.
        const FALL: f64 = 0.3;
        /// Weight of a value above it. Some seventy of them take it half the way.
        const RISE: f64 = 0.01;
        let estimate = self.0.map_or(value, |known| {
            let weight = if value < known { FALL } else { RISE };
            known.mul_f64(1.0 - weight) + value.mul_f64(weight)
        });
        self.0 = Some(estimate);
    }

    /// The estimate, if anything was recorded.
    pub fn get(self) -> Option<Duration> {
        self.0
    }
}
