//! Events of the order among requests of which a daemon counts the occurrences.

use super::latency_sample::LatencySample;
use super::urgency::{Standing, is_deprioritized, urgency};

/// An event that is counted, each at most once for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedEvent {
    /// A request was deprioritized.
    Deprioritized,
    /// The first output of a preferred request arrived within its latency target.
    PreferredOnTime,
    /// The latency target of a preferred request passed before its first output.
    PreferredLate,
}

impl CountedEvent {
    /// The event that is counted when a request is sent for the first time.
    pub fn of_standing(standing: Standing) -> Option<Self> {
        is_deprioritized(urgency(standing)).then_some(Self::Deprioritized)
    }

    /// The event that is counted for a sample.
    pub fn of_sample(sample: LatencySample) -> Option<Self> {
        match (sample.is_deprioritized, sample.is_on_time) {
            (false, true) => Some(Self::PreferredOnTime),
            (false, false) => Some(Self::PreferredLate),
            (true, _) => None,
        }
    }
}
