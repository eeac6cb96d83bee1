//! Events of the order among requests of which a daemon counts the occurrences.

use super::latency_sample::LatencySample;
use super::urgency::Preference;

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
    pub fn of_preference(preference: Preference) -> Option<Self> {
        (preference == Preference::Deprioritized).then_some(Self::Deprioritized)
    }

    /// The event that is counted for a sample.
    pub fn of_sample(sample: LatencySample) -> Option<Self> {
        match (sample.preference, sample.is_on_time) {
            (Preference::Preferred, true) => Some(Self::PreferredOnTime),
            (Preference::Preferred, false) => Some(Self::PreferredLate),
            (Preference::Deprioritized, _) => None,
        }
    }
}
