//! How many requests this daemon keeps at a target's upstreams at a time.
//!
//! An engine queues what it has no place for, first come first served. Under overload
//! each request there is then late, and what waits here can no longer choose which ones
//! are on time. So the number in flight is lowered while first outputs come late, and
//! raised again by one for each number's worth that come early, as congestion control
//! does (additive increase, multiplicative decrease). Without lateness there is no limit.

use std::time::Duration;

use crate::core::types::Timestamp;

/// Part of the aim after which a first output counts as late. The rest is for the way to
/// the caller and for what waited before it was sent. Chosen, not measured.
const LATE_PART: f64 = 0.8;
/// Weight of one first output against the past. Chosen: some ten of them decide.
const SMOOTHING: f64 = 0.1;
/// Part of first outputs that may be late before the limit is lowered: a slow replica
/// among many is no overload. Chosen, not measured.
const TOLERATED_PART: f64 = 0.3;
/// What is left of the limit when it is lowered.
const DECREASE: f64 = 0.85;

/// The limit of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    limit: Option<f64>,
    late_part: f64,
    lowered_at: Timestamp,
}

impl ConcurrencyLimit {
    /// Whether one more request may be sent beside those in flight.
    pub fn allows(&self, in_flight: u32) -> bool {
        self.limit.is_none_or(|limit| f64::from(in_flight) < limit)
    }

    /// A first output came `took` after its request was sent, where `aim` is wanted. The
    /// limit is never lowered below `least`, and ends where it is above `most`.
    pub fn on_first_output(
        &mut self,
        now: Timestamp,
        took: Duration,
        aim: Duration,
        in_flight: u32,
        bounds: LimitBounds,
    ) {
        let is_late = took > aim.mul_f64(LATE_PART);
        let part = if is_late { 1.0 } else { 0.0 };
        self.late_part += SMOOTHING * (part - self.late_part);
        if is_late {
            let may_lower = now.since(self.lowered_at) >= aim;
            if may_lower && self.late_part > TOLERATED_PART {
                let used = f64::from(in_flight);
                let from = self.limit.map_or(used, |limit| limit.min(used));
                self.limit = Some((from * DECREASE).max(bounds.least));
                self.lowered_at = now;
            }
            return;
        }
        let raised = self.limit.map(|limit| limit + 1.0 / limit.max(1.0));
        self.limit = raised.filter(|limit| *limit <= bounds.most);
    }
}

/// Between what the limit stays.
#[derive(Clone, Copy, Debug)]
pub struct LimitBounds {
    /// Never lower.
    pub least: f64,
    /// Above this there is no limit.
    pub most: f64,
}
