//! Which fraction of the new requests to a target is deprioritized.
//!
//! A controller follows the first outputs that callers observe: late ones raise the fraction, those
//! on time lower it. A daemon sees only a few of them a second, so that each one moves the fraction
//! by a fixed step; the fractions of many daemons average out.

use std::time::Duration;

use crate::core::types::Timestamp;

use super::latency_sample::LatencySample;
use super::urgency::{Preference, RANK_CLASSES, rank_class};

/// Highest fraction that is deprioritized, of all requests and of those of one rank.
pub const MAX_FRACTION: f64 = 0.9;
/// Added for a late preferred request. If all are late, 4 requests a second raise the fraction to
/// 0.4 in two seconds.
const STEP_LATE: f64 = 0.06;
/// Subtracted for a preferred request on time. The fraction is stable if one preferred request in
/// eleven is late.
const STEP_ON_TIME: f64 = 0.006;
/// Subtracted for a deprioritized request on time, which shows that capacity is available.
const STEP_DEPRIORITIZED_ON_TIME: f64 = 0.05;
/// Subtracted for any request on time once none was late for `QUIET_TIME`. At 4 requests a second,
/// the fraction then reaches zero within 5 s of the end of an overload.
const STEP_QUIET: f64 = 0.05;
/// Time without any late request after which an overload has probably ended: while it goes on, at
/// least the deprioritized requests are late.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Level from which on a shortage is assumed. One late request alone is not a shortage.
const BEGIN_LEVEL: f64 = 0.1;
/// Level below which the shortage has ended.
const END_LEVEL: f64 = 0.05;
/// Evidence older than this is discarded.
const EVIDENCE_TTL: Duration = Duration::from_secs(5);
/// Time constant of the counts of requests by rank.
const RANK_DECAY: Duration = Duration::from_secs(10);
/// Minimum time between two reports of a changed fraction.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum change of the fraction that is reported.
const REPORTED_CHANGE: f64 = 0.1;

/// A change of the fraction that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShortageChange {
    /// Requests are deprioritized from now on.
    Begins(f64),
    /// The fraction has changed.
    Changes(f64),
    /// No requests are deprioritized any more.
    Ends,
}

/// The controller of one target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shortage {
    /// The fraction as the samples move it, whether or not a shortage is assumed.
    level: f64,
    /// Whether a shortage is assumed.
    is_detected: bool,
    /// Time of the last sample.
    sampled_at: Option<Timestamp>,
    /// Time of the last late sample, of any preference.
    late_at: Option<Timestamp>,
    /// Decayed number of new requests of each rank class.
    requests: [f64; RANK_CLASSES],
    /// Time as of which `requests` are.
    counted_at: Timestamp,
    /// The fraction reported last, and when; `None` if the end was reported.
    reported: Option<(Timestamp, f64)>,
}

impl Shortage {
    /// The fraction of new requests that is deprioritized.
    pub fn fraction(&self) -> f64 {
        if self.is_detected { self.level } else { 0.0 }
    }

    /// Applies the sample of a request.
    pub fn record(&mut self, now: Timestamp, sample: LatencySample) {
        self.discard_old(now);
        self.sampled_at = Some(now);
        if !sample.is_on_time {
            self.late_at = Some(now);
        }
        let is_late = |late_at: Timestamp| now.since(late_at) < QUIET_TIME;
        let is_quiet = !self.late_at.is_some_and(is_late);
        let step = match (sample.preference, sample.is_on_time) {
            (_, true) if is_quiet => -STEP_QUIET,
            (Preference::Preferred, false) => STEP_LATE,
            (Preference::Preferred, true) => -STEP_ON_TIME,
            (Preference::Deprioritized, true) => -STEP_DEPRIORITIZED_ON_TIME,
            // It gave way to others, so that its lateness does not show a lack of capacity for them.
            (Preference::Deprioritized, false) => 0.0,
        };
        self.level = (self.level + step).clamp(0.0, MAX_FRACTION);
        self.is_detected = self.level >= BEGIN_LEVEL || self.is_detected && self.level >= END_LEVEL;
    }

    /// Decides on a new request. `hash` is a hash of the request, and `can_be_on_time` whether its
    /// first output can still arrive within its latency target.
    pub fn admit(
        &mut self,
        now: Timestamp,
        priority: u8,
        hash: u64,
        can_be_on_time: bool,
    ) -> Preference {
        self.discard_old(now);
        let class = rank_class(priority);
        self.count(now, class);
        let is_selected = unit_interval(hash) < self.fraction_of(class);
        if self.is_detected && (is_selected || !can_be_on_time) {
            Preference::Deprioritized
        } else {
            Preference::Preferred
        }
    }

    /// Discards old evidence, and returns a change that is worth a log line. To be called
    /// periodically.
    pub fn on_tick(&mut self, now: Timestamp) -> Option<ShortageChange> {
        self.discard_old(now);
        let fraction = self.fraction();
        let Some((reported_at, reported)) = self.reported else {
            if !self.is_detected {
                return None;
            }
            self.reported = Some((now, fraction));
            return Some(ShortageChange::Begins(fraction));
        };
        if !self.is_detected {
            self.reported = None;
            return Some(ShortageChange::Ends);
        }
        let is_due = now.since(reported_at) >= REPORT_INTERVAL;
        if !is_due || (fraction - reported).abs() <= REPORTED_CHANGE {
            return None;
        }
        self.reported = Some((now, fraction));
        Some(ShortageChange::Changes(fraction))
    }

    /// The fraction of the requests of a rank class that is deprioritized: the lowest class gives
    /// way first, but keeps a part that is served in time.
    fn fraction_of(&self, class: usize) -> f64 {
        let total: f64 = self.requests.iter().sum();
        let lower: f64 = self.requests.iter().skip(class + 1).sum();
        let own = self.requests.get(class).copied().unwrap_or(0.0);
        let remaining = self.fraction() * total - MAX_FRACTION * lower;
        if own > 0.0 {
            (remaining / own).clamp(0.0, MAX_FRACTION)
        } else {
            0.0
        }
    }

    /// Counts a new request.
    fn count(&mut self, now: Timestamp, class: usize) {
        let age = now.since(self.counted_at);
        let remaining = (-age.as_secs_f64() / RANK_DECAY.as_secs_f64()).exp();
        for requests in &mut self.requests {
            *requests *= remaining;
        }
        self.counted_at = now;
        if let Some(requests) = self.requests.get_mut(class) {
            *requests += 1.0;
        }
    }

    /// Returns to the initial level if there was no sample for too long, as after a pause of the
    /// process.
    fn discard_old(&mut self, now: Timestamp) {
        let is_old = |sampled_at: Timestamp| now.since(sampled_at) > EVIDENCE_TTL;
        if self.sampled_at.is_some_and(is_old) {
            self.sampled_at = None;
            self.late_at = None;
            self.level = 0.0;
            self.is_detected = false;
        }
    }
}

/// Maps a hash to the interval from 0 to 1, without 1.
fn unit_interval(hash: u64) -> f64 {
    const BITS: u32 = 53;
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}
