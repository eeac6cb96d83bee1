//! Seeded runs of fleets on a store that carries out writes late.

#![allow(dead_code)]

pub mod fleet_play;
pub mod summary;

use std::time::Duration;

use shalehinge::core::daemon::Daemon;
use shalehinge::core::types::Timestamp;

/// Whether the daemon may act for its failure domain at this time.
pub fn holds_control(daemon: &Daemon, now: Duration) -> bool {
    let now = Timestamp::from_duration(now);
    daemon.lease().held(now).is_some()
}
