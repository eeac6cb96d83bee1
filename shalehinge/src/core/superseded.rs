//! Tracks since when a daemon knows that its configuration is out of date.
//!
//! Peers report the version in force without delay, while the transfer of the configuration itself
//! may take long over a congested link. Permissions that an operator revoked must not stay usable
//! in the meantime. A daemon that no longer receives such reports is cut off from its peers, and
//! continues with the configuration it has.

use std::collections::BTreeMap;
use std::time::Duration;

use super::types::{FleetVersion, Timestamp};

/// Maximum number of versions that are tracked: enough for a change every 0.3 s over 5 s.
const MAX_REMEMBERED: usize = 16;

/// Newer configurations that peers reported and that the daemon does not have yet.
#[derive(Clone, Debug, Default)]
pub struct NewerConfigurations {
    first_reported_at: BTreeMap<FleetVersion, Timestamp>,
    last_reported_at: Timestamp,
}

impl NewerConfigurations {
    /// Records that a peer has `version` in force, while `own` is in force at this daemon.
    pub fn on_reported(&mut self, now: Timestamp, version: FleetVersion, own: FleetVersion) {
        self.on_accepted(own);
        if !version.supersedes(own) {
            return;
        }
        self.last_reported_at = now;
        if self.first_reported_at.len() < MAX_REMEMBERED {
            self.first_reported_at.entry(version).or_insert(now);
        }
    }

    /// Records that `own` is now in force at this daemon.
    pub fn on_accepted(&mut self, own: FleetVersion) {
        self.first_reported_at
            .retain(|version, _| version.supersedes(own));
    }

    /// Whether a newer version was first reported at least `time` ago, and the last report of any
    /// newer version is less than `time` old.
    pub fn is_outdated_for(&self, now: Timestamp, time: Duration) -> bool {
        let mut first_reports = self.first_reported_at.values();
        let is_long_outdated = first_reports.any(|at| now.since(*at) >= time);
        is_long_outdated && now.since(self.last_reported_at) < time
    }
}
