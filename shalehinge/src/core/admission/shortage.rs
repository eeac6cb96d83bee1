//! Whether a target is overloaded, and the order of its new requests while it is.
//!
//! A daemon sees only a few first outputs a second, so it decides only whether there is an overload.
//! How many requests can be on time is not estimated: the new requests are spread over bands, which
//! the upstreams serve in order.

use std::time::Duration;

use crate::core::types::Timestamp;

use super::latency_sample::LatencySample;
use super::urgency::{Band, RANK_CLASSES, Standing, rank_class};

/// Added for a late request.
const STEP_LATE: f64 = 1.0;
/// Subtracted for a request on time while no overload is detected.
const STEP_ON_TIME: f64 = 0.3;
/// Subtracted for a request on time during an overload, once none was late for `QUIET_TIME`. At 4
/// requests a second, an overload then ends within 5 s of its last late request.
const STEP_QUIET: f64 = 1.0;
/// Time without any late request after which an overload has probably ended: while it goes on, the
/// requests of the last bands are late.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Level from which on an overload is assumed. One or two late requests occur without one.
const BEGIN_LEVEL: f64 = 2.5;
/// Highest level, so that an overload ends soon however long it lasted.
const MAX_LEVEL: f64 = 6.0;
/// Evidence older than this is discarded.
const EVIDENCE_TTL: Duration = Duration::from_secs(5);
/// Time constant of the counts of requests by rank.
const RANK_DECAY: Duration = Duration::from_secs(10);
/// Fraction of the requests of each rank that is placed without regard to the rank, so that no rank
/// is left without any answer in time during a long overload.
const UNRANKED_FRACTION: f64 = 0.1;

/// A change that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageChange {
    /// Requests are spread over bands from now on.
    Begins,
    /// They no longer are.
    Ends,
}

/// The state of one target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shortage {
    /// Rises with late requests and falls with those on time.
    level: f64,
    /// Whether an overload is assumed.
    is_detected: bool,
    /// Time of the last sample.
    sampled_at: Option<Timestamp>,
    /// Time of the last late sample.
    late_at: Option<Timestamp>,
    /// Decayed number of new requests of each rank class.
    requests: [f64; RANK_CLASSES],
    /// Time as of which `requests` are.
    counted_at: Timestamp,
    /// Whether the begin of the overload was reported.
    is_reported: bool,
}

impl Shortage {
    /// Whether an overload is assumed.
    pub fn is_detected(&self) -> bool {
        self.is_detected
    }

    /// Applies the sample of a request.
    pub fn record(&mut self, now: Timestamp, sample: LatencySample) {
        self.discard_old(now);
        self.sampled_at = Some(now);
        if !sample.is_on_time {
            self.late_at = Some(now);
        }
        let is_quiet = self
            .late_at
            .is_none_or(|late_at| now.since(late_at) >= QUIET_TIME);
        let step = match (sample.is_on_time, self.is_detected) {
            (false, _) => STEP_LATE,
            (true, false) => -STEP_ON_TIME,
            (true, true) if is_quiet => -STEP_QUIET,
            (true, true) => 0.0,
        };
        self.level = (self.level + step).clamp(0.0, MAX_LEVEL);
        self.is_detected = self.level >= BEGIN_LEVEL || self.is_detected && self.level > 0.0;
    }

    /// Decides on a new request. `hash` is a hash of the request, and `can_be_on_time` whether its
    /// first output can still arrive within its latency target.
    pub fn admit(
        &mut self,
        now: Timestamp,
        priority: u8,
        hash: u64,
        can_be_on_time: bool,
    ) -> Standing {
        self.discard_old(now);
        let class = rank_class(priority);
        self.count(now, class);
        if !self.is_detected {
            Standing::Ordinary
        } else if can_be_on_time {
            Standing::InBand(Band::at(self.position(class, unit_interval(hash))))
        } else {
            Standing::InBand(Band::LAST)
        }
    }

    /// Discards old evidence, and returns a change that is worth a log line. To be called
    /// periodically.
    pub fn on_tick(&mut self, now: Timestamp) -> Option<ShortageChange> {
        self.discard_old(now);
        if self.is_detected == self.is_reported {
            return None;
        }
        self.is_reported = self.is_detected;
        Some(if self.is_detected {
            ShortageChange::Begins
        } else {
            ShortageChange::Ends
        })
    }

    /// The position of a request in the order of service, from 0 to 1: requests of higher ranks
    /// come before it, those of its own rank are in the order of their hashes.
    fn position(&self, class: usize, hash: f64) -> f64 {
        if hash < UNRANKED_FRACTION {
            return hash / UNRANKED_FRACTION;
        }
        let hash = (hash - UNRANKED_FRACTION) / (1.0 - UNRANKED_FRACTION);
        let total: f64 = self.requests.iter().sum();
        let higher: f64 = self.requests.iter().take(class).sum();
        let own = self.requests.get(class).copied().unwrap_or(0.0);
        if total > 0.0 {
            (higher + hash * own) / total
        } else {
            hash
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
