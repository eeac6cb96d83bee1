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
    tokens_per_second: Option<f64>,
    window_start: Timestamp,
    window_tokens: f64,
}

impl DrainRate {
    /// Records that a request of `cost` tokens was sent at `now`; `line_waits` tells whether more
    /// requests are queued.
    pub fn record(&mut self, now: Timestamp, cost: f64, line_waits: bool) {
        self.roll(now, line_waits);
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

    /// Time to process `cost` tokens at a fraction of the rate, at most one hour; `None` if the
    /// rate is unknown.
    pub fn wait(&self, cost: f64, part: f64) -> Option<Duration> {
        const MOST: f64 = 3600.0;
        let rate = self.tokens_per_second? * part;
        if rate <= 0.0 {
            return None;
        }
        Some(Duration::from_secs_f64((cost / rate).min(MOST)))
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
        const FALL: f64 = 0.3;
        /// Weight of a sample above the estimate; about 70 samples move it halfway.
        const RISE: f64 = 0.01;
        let estimate = self.0.map_or(value, |known| {
            let weight = if value < known { FALL } else { RISE };
            known.mul_f64(1.0 - weight) + value.mul_f64(weight)
        });
        self.0 = Some(estimate);
    }

    /// The estimate; `None` without samples.
    pub fn get(self) -> Option<Duration> {
        self.0
    }
}
