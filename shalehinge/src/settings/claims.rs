//! Settings for claims, which ensure that a request with an idempotency key runs at most once.

use std::time::Duration;

use super::reader::Reader;

/// Section `[claims]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Number of objects that keys are partitioned over. Must be the same for the whole fleet, and
    /// must never change.
    pub partitions: u16,
    /// Minimum time between two writes of a partition by one daemon.
    pub write_interval: Duration,
    /// How long a request waits for its claim before it is rejected.
    pub timeout: Duration,
    /// How long a key is kept.
    pub retention: Duration,
    /// Maximum number of keys in a partition.
    pub max_keys: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            partitions: 64,
            write_interval: Duration::from_millis(50),
            timeout: Duration::from_secs(2),
            retention: Duration::from_secs(24 * 3600),
            max_keys: 8_000,
        }
    }
}

impl ClaimSettings {
    /// Reads section `[claims]`; problems are collected in `reader`.
    pub fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("claims");
        let default = Self::default();
        Self {
            partitions: section.count("partitions", default.partitions),
            write_interval: section.duration("write_interval", default.write_interval),
            timeout: section.duration("timeout", default.timeout),
            retention: section.duration("retention", default.retention),
            max_keys: section.count("max_keys", default.max_keys),
        }
    }
}
