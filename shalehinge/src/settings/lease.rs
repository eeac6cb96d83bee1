//! Settings for the control lease of a failure domain.

use std::time::Duration;

use super::reader::Reader;

/// Section `[lease]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a candidate must see the lease unchanged before it may take it.
    pub term: Duration,
    /// How much earlier than `term` the lease holder stops acting; covers differences in clock
    /// rates.
    pub margin: Duration,
    /// Time between two renewals by the lease holder, or two reads by a candidate.
    pub interval: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            interval: Duration::from_secs(2),
        }
    }
}

impl LeaseSettings {
    /// Reads section `[lease]`; problems are collected in `reader`.
    pub fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("lease");
        let default = Self::default();
        Self {
            term: section.duration("term", default.term),
            margin: section.duration("margin", default.margin),
            interval: section.duration("interval", default.interval),
        }
    }
}
