//! Settings of the claims of request keys.

use std::time::Duration;

use super::reader::Reader;

/// Section `[claims]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Objects over which the keys are divided; the same for the whole fleet, for ever.
    pub partitions: u16,
    /// Time between two writes of one partition by one daemon.
    pub write_interval: Duration,
    /// How long a request waits for its claim before it is refused.
    pub timeout: Duration,
    /// How long a key is remembered.
    pub retention: Duration,
    /// Keys that one partition holds at most.
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
    /// Reads section `[claims]`.
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
