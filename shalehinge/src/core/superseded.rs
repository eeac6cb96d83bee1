//! Since when a daemon knows that its configuration is not the newest.
//!
//! A peer tells the version in force there at once, while the configuration itself may take its
//! time over a busy link. What an operator took away must not go on working meanwhile. A daemon
//! that no peer tells of it any more is cut off, and goes on with what it knows.

use std::collections::BTreeMap;
use std::time::Duration;

use super::types::{FleetVersion, Timestamp};

/// Versions that are remembered. A change each 0.3 s for five seconds.
const MOST_REMEMBERED: usize = 16;

/// Configurations that a daemon heard of and does not have.
#[derive(Clone, Debug, Default)]
pub struct Superseded {
    first_heard_at: BTreeMap<FleetVersion, Timestamp>,
    last_heard_at: Timestamp,
}

impl Superseded {
    /// A peer has this version in force; `own` is in force here.
    pub fn hear(&mut self, now: Timestamp, version: FleetVersion, own: FleetVersion) {
        self.take(own);
        if !version.supersedes(own) {
            return;
        }
        self.last_heard_at = now;
        if self.first_heard_at.len() < MOST_REMEMBERED {
            self.first_heard_at.entry(version).or_insert(now);
        }
    }

    /// This version is in force here.
    pub fn take(&mut self, own: FleetVersion) {
        self.first_heard_at
            .retain(|version, _| version.supersedes(own));
    }

    /// Whether peers have told of a newer version than the one in force here for so long, and
    /// not for so long ago.
    pub fn is_known_for(&self, now: Timestamp, time: Duration) -> bool {
        let mut first = self.first_heard_at.values();
        let is_long_known = first.any(|at| now.since(*at) >= time);
        is_long_known && now.since(self.last_heard_at) < time
    }
}
