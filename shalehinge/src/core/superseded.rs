//! Since when a daemon knows that its configuration is not the newest.
//!
//! A peer tells the version in force there at once, while the configuration itself may take its
//! time over a busy link. What an operator took away must not go on working meanwhile. A daemon
//! that no peer tells of it any more is cut off, and goes on with what it knows.

use std::collections::BTreeMap;
use std::time::Duration;

use super::types::{FleetVersion, Timestamp};

/// Versions that are remembered. A change each 0.3 s for five seconds.
const MAX_REMEMBERED: usize = 16;

/// Configurations that a daemon heard of and does not have.
#[derive(Clone, Debug, Default)]
pub struct NewerConfigurations {
    first_reported_at: BTreeMap<FleetVersion, Timestamp>,
    last_reported_at: Timestamp,
}

impl NewerConfigurations {
    /// A peer has this version in force; `own` is in force here.
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

    /// This version is in force here.
    pub fn on_accepted(&mut self, own: FleetVersion) {
        self.first_reported_at
            .retain(|version, _| version.supersedes(own));
    }

    /// Whether peers have told of a newer version than the one in force here for so long, and
    /// not for so long ago.
    pub fn is_outdated_for(&self, now: Timestamp, time: Duration) -> bool {
        let mut first_reports = self.first_reported_at.values();
        let is_long_outdated = first_reports.any(|at| now.since(*at) >= time);
        is_long_outdated && now.since(self.last_reported_at) < time
    }
}
