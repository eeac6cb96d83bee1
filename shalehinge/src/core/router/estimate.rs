//! Estimates how fast a target's queue drains and how long a request will wait.

use std::time::Duration;

use crate::core::types::Timestamp;

/// Weight of a new window in the smoothed rate.
const SMOOTHING: f64 = 0.3;
/// Length of a measurement window.
const WINDOW: Duration = Duration::from_millis(500);

/// The rate at which this daemon's requests to one target are processed, in tokens per second.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    /// Smoothed rate; `None` until it has been measured.
    tokens_per_second: Option<f64>,
    /// Start of the current measurement window.
    window_start: Timestamp,
    /// Cost of the requests sent in the current window, in tokens.
    window_tokens: f64,
}

impl DrainRate {
    /// Records that a request of `cost` tokens was sent at `now`; `has_queued` is whether more
    /// requests are queued.
    pub fn record(&mut self, now: Timestamp, cost: f64, has_queued: bool) {
        self.end_window(now, has_queued);
        self.window_tokens += cost;
    }

    /// Restarts the measurement window at `now`. Used when nothing can be sent, as the elapsed
    /// time then says nothing about the rate.
    pub fn restart(&mut self, now: Timestamp) {
        self.window_start = now;
        self.window_tokens = 0.0;
    }

    /// Ends the window if it is long enough. If no requests are queued, the measured rate is only
    /// a lower bound, so it can raise the estimate but not lower it.
    fn end_window(&mut self, now: Timestamp, has_queued: bool) {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let rate = self.window_tokens / elapsed.as_secs_f64();
        let known = self.tokens_per_second;
        if has_queued || known.is_some_and(|known| rate > known) {
            let smoothed = known.map_or(rate, |known| known + SMOOTHING * (rate - known));
            self.tokens_per_second = Some(smoothed);
        }
        self.window_start = now;
        self.window_tokens = 0.0;
    }

    /// Time to process `cost` tokens at a fraction of the rate, at most one hour; `None` if the
    /// rate is unknown.
    pub fn wait(&self, cost: f64, fraction: f64) -> Option<Duration> {
        const MAX_WAIT_SECONDS: f64 = 3600.0;
        let rate = self.tokens_per_second? * fraction;
        if rate <= 0.0 {
            return None;
        }
        // Rounding can leave the cost of an empty queue slightly below 0.
        let seconds = cost / rate;
        if seconds > 0.0 {
            Some(Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS)))
        } else {
            Some(Duration::ZERO)
        }
    }
}

/// An exponential moving average of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedDuration(Option<Duration>);

impl SmoothedDuration {
    /// Adds a sample.
    pub fn record(&mut self, value: Duration) {
        const SMOOTHING: f64 = 0.1;
        let smoothed = self.0.map_or(value, |known| {
            known.mul_f64(1.0 - SMOOTHING) + value.mul_f64(SMOOTHING)
        });
        self.0 = Some(smoothed);
    }

    /// The average; `None` without samples.
    pub fn get(self) -> Option<Duration> {
        self.0
    }
}

/// An estimate that follows low samples quickly and high samples slowly. It approximates the
/// duration of a request that does not have to wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct LowerEnvelope(Option<Duration>);

impl LowerEnvelope {
    /// Adds a sample.
    pub fn record(&mut self, value: Duration) {
        /// Weight of a sample below the estimate.
        const FALL_WEIGHT: f64 = 0.3;
        /// Weight of a sample above the estimate; about 70 samples move it halfway.
        const RISE_WEIGHT: f64 = 0.01;
        let estimate = self.0.map_or(value, |known| {
            let weight = if value < known {
                FALL_WEIGHT
            } else {
                RISE_WEIGHT
            };
            known.mul_f64(1.0 - weight) + value.mul_f64(weight)
        });
        self.0 = Some(estimate);
    }

    /// The estimate; `None` without samples.
    pub fn get(self) -> Option<Duration> {
        self.0
    }
}
