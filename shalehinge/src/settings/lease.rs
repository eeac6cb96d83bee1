//! Settings of the control lease.

use std::time::Duration;

use super::reader::Reader;

/// Section `[lease]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a candidate waits after the last change that it saw.
    pub term: Duration,
    /// How much earlier the holder stops: covers clock rates that differ.
    pub margin: Duration,
    /// Time between two renewals, or two looks of a candidate.
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
    /// Reads section `[lease]`.
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
