//! Since when a daemon knows that its configuration is not the newest.
//!
//! A peer tells the version in force there at once, while the configuration itself may take its
//! time over a busy link. What an operator took away must not go on working meanwhile.

use std::collections::BTreeMap;

use super::types::{Timestamp, Version};

/// Versions that are remembered. Chosen: a change each 0.3 s for five seconds.
const MOST_REMEMBERED: usize = 16;

/// Configurations that a daemon heard of and does not have.
#[derive(Clone, Debug, Default)]
pub struct Superseded {
    heard_at: BTreeMap<Version, Timestamp>,
}

impl Superseded {
    /// A peer has this version in force; `own` is in force here.
    pub fn hear(&mut self, now: Timestamp, version: Version, own: Version) {
        self.take(own);
        if version > own && self.heard_at.len() < MOST_REMEMBERED {
            self.heard_at.entry(version).or_insert(now);
        }
    }

    /// This version is in force here.
    pub fn take(&mut self, own: Version) {
        self.heard_at = self.heard_at.split_off(&Version(own.0 + 1));
    }

    /// Since when a newer version than the one in force here is known of.
    pub fn since(&self) -> Option<Timestamp> {
        self.heard_at.values().min().copied()
    }
}
