//! Settings for gossip-based membership of daemons.

use std::time::Duration;

use super::reader::Reader;

/// Section `[membership]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two gossip pulls.
    pub interval: Duration,
    /// How long a member's heartbeat counter may stay unchanged before the member is considered
    /// dead.
    pub dead_after: Duration,
    /// How long a dead member is kept before it is removed.
    pub forget_after: Duration,
    /// Maximum number of members described in one message.
    pub sample: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            dead_after: Duration::from_secs(10),
            forget_after: Duration::from_secs(120),
            sample: 8,
        }
    }
}

impl MembershipSettings {
    /// Reads section `[membership]`; problems are collected in `reader`.
    pub fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("membership");
        let default = Self::default();
        Self {
            interval: section.duration("interval", default.interval),
            dead_after: section.duration("dead_after", default.dead_after),
            forget_after: section.duration("forget_after", default.forget_after),
            sample: section.count("sample", default.sample),
        }
    }
}
