//! Limits how many requests of this daemon run at a target while its upstreams are overloaded.
//!
//! Without load reports, a daemon can't see the queues of the upstreams. If most first outputs
//! arrive after the requests' target times, requests wait in these queues, and all of them are
//! late. The daemon then lowers the number of requests that it has in flight, until those that it
//! sends are on time, and keeps the others in its own queue, which is fair, sends first what can
//! still be on time, and refuses early what can't be served.

use std::time::Duration;

use crate::core::types::Timestamp;

/// Weight of a new sample in the fraction of late first outputs.
const SMOOTHING: f64 = 0.1;
/// Fraction of late first outputs above which the limit is lowered.
const OVERLOADED_FRACTION: f64 = 0.5;
/// Fraction of late first outputs below which the limit is raised.
const RELIEVED_FRACTION: f64 = 0.25;
/// Minimum time between two changes of the limit, about the time in which a change shows.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
/// Factor by which the limit is lowered.
const DECREASE: f64 = 0.8;
/// Factor by which the limit is raised.
const INCREASE: f64 = 1.1;
/// The same while hardly any first output is late.
const FAST_INCREASE: f64 = 1.5;
/// Fraction of late first outputs below which the limit is raised faster.
const NO_LATE_FRACTION: f64 = 0.05;
/// The limit ends once it is this many times the number of requests in flight.
const END_FACTOR: f64 = 2.0;
/// Lowest limit.
const MIN_LIMIT: f64 = 1.0;

/// The limit on one target's requests in flight from this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Smoothed fraction of late first outputs, from 0 to 1.
    late_fraction: f64,
    /// The limit; `None` while the upstreams are not overloaded.
    limit: Option<f64>,
    /// When the limit was last changed.
    adjusted_at: Timestamp,
}

impl ConcurrencyLimit {
    /// Records whether the first output of a request came after its target time, counted from
    /// when it was sent.
    pub fn record(&mut self, now: Timestamp, is_late: bool, in_flight: u32) {
        let sample = if is_late { 1.0 } else { 0.0 };
        self.late_fraction += SMOOTHING * (sample - self.late_fraction);
        if now.since(self.adjusted_at) >= ADJUST_INTERVAL {
            self.adjust(now, f64::from(in_flight));
        }
    }

    fn adjust(&mut self, now: Timestamp, in_flight: f64) {
        let limit = self.limit.unwrap_or(in_flight);
        if self.late_fraction > OVERLOADED_FRACTION {
            self.limit = Some((limit.min(in_flight) * DECREASE).max(MIN_LIMIT));
        } else if self.late_fraction < RELIEVED_FRACTION && self.limit.is_some() {
            let is_relieved = self.late_fraction < NO_LATE_FRACTION;
            let raised = if is_relieved {
                (limit * FAST_INCREASE).max(limit + 1.0)
            } else {
                limit * INCREASE
            };
            let is_over = raised > (in_flight + 1.0) * END_FACTOR;
            self.limit = (!is_over).then_some(raised);
        } else {
            return;
        }
        self.adjusted_at = now;
    }

    /// Whether one more request may be sent while this many are in flight.
    pub fn has_room(&self, in_flight: u32) -> bool {
        self.limit
            .is_none_or(|limit| f64::from(in_flight) < limit.floor())
    }

    /// The limit; `None` while the upstreams are not overloaded.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }
}
