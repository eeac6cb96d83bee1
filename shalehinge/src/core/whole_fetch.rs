//! Chooses the peer from which a daemon fetches objects that are sent in full.
//!
//! Every answer of a peer states the versions in force there, but only this fetch is answered
//! with objects, which may be large. One fetch runs at a time: several answers would share the
//! link, and if each then took longer than its time limit, none would ever complete.
//!
//! Peers in the own failure domain are preferred, as traffic between failure domains is charged.

use std::time::Duration;

use super::types::{Address, Timestamp};

/// How long to wait for a peer in the own failure domain after a remote peer reported a newer
/// version. A daemon that reads from the platform takes about 300 ms to read 0.5 MB over a link
/// of 20 Mbit/s.
const NEAR_FIRST: Duration = Duration::from_millis(400);

/// Whether a peer is in the own failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the own failure domain, or this daemon has no objects yet.
    Near,
    /// In another failure domain.
    Far,
}

/// The state of one daemon's fetch of objects.
#[derive(Clone, Debug, Default)]
pub struct WholeFetch {
    is_open: bool,
    /// The peer in the own failure domain that last reported a newer version.
    near: Option<Address>,
    /// The remote peer that last reported a newer version, and when the first of them did.
    far: Option<(Address, Timestamp)>,
}

impl WholeFetch {
    /// Records that a peer has a newer version.
    pub fn hear(&mut self, now: Timestamp, from: Address, distance: Distance) {
        match distance {
            Distance::Near => self.near = Some(from),
            Distance::Far => {
                let since = self.far.map_or(now, |(_, since)| since);
                self.far = Some((from, since));
            }
        }
    }

    /// Starts a fetch if none is running, and returns the peer to fetch from: the last one that
    /// reported a newer version, with preference for the own failure domain.
    pub fn begin(&mut self, now: Timestamp) -> Option<Address> {
        if self.is_open {
            return None;
        }
        let far = self
            .far
            .filter(|(_, since)| now.since(*since) >= NEAR_FIRST);
        let from = self.near.or(far.map(|(from, _)| from))?;
        self.near = None;
        self.far = None;
        self.is_open = true;
        Some(from)
    }

    /// Records that the fetch was answered or given up.
    pub fn end(&mut self) {
        self.is_open = false;
    }
}
