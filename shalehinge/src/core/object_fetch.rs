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
const LOCAL_WAIT: Duration = Duration::from_millis(400);

/// Whether a peer is in the own failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// In the own failure domain, or this daemon has no objects yet.
    Local,
    /// In another failure domain.
    Remote,
}

/// The state of one daemon's fetch of objects.
#[derive(Clone, Debug, Default)]
pub struct ObjectFetch {
    is_running: bool,
    /// The peer in the own failure domain that last reported a newer version.
    local: Option<Address>,
    /// The remote peer that last reported a newer version, and when the first of them did.
    remote: Option<(Address, Timestamp)>,
}

impl ObjectFetch {
    /// Records that a peer has a newer version.
    pub fn note_newer_version(&mut self, now: Timestamp, from: Address, locality: Locality) {
        match locality {
            Locality::Local => self.local = Some(from),
            Locality::Remote => {
                let since = self.remote.map_or(now, |(_, since)| since);
                self.remote = Some((from, since));
            }
        }
    }

    /// Starts a fetch if none is running, and returns the peer to fetch from: the last one that
    /// reported a newer version, with preference for the own failure domain.
    pub fn begin(&mut self, now: Timestamp) -> Option<Address> {
        if self.is_running {
            return None;
        }
        let remote = self
            .remote
            .filter(|(_, since)| now.since(*since) >= LOCAL_WAIT);
        let from = self.local.or(remote.map(|(from, _)| from))?;
        self.local = None;
        self.remote = None;
        self.is_running = true;
        Some(from)
    }

    /// Records that the fetch was answered or abandoned.
    pub fn end(&mut self) {
        self.is_running = false;
    }
}
