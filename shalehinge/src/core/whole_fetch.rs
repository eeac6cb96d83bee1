//! Whom a daemon asks for objects that are told whole.
//!
//! Any answer of a peer tells which versions are in force there, but only this question is
//! answered with objects that may be large. It has one peer at a time: answers of several would
//! share the link, and where each takes longer than its limit none would ever be whole.
//!
//! Peers of the own failure domain go first, as bytes between failure domains are paid for.

use std::time::Duration;

use super::types::{Address, Timestamp};

/// How long the own failure domain has to tell of something that others told of. Its
/// readers take some 300 ms to read 0.5 MB from the platform over a link of 20 Mbit/s.
const NEAR_FIRST: Duration = Duration::from_millis(400);

/// Whether a peer is in the own failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the own failure domain, or nothing is known here yet.
    Near,
    /// In another one.
    Far,
}

/// The question for whole objects of one daemon.
#[derive(Clone, Debug, Default)]
pub struct WholeFetch {
    is_open: bool,
    near: Option<Address>,
    /// A peer of another failure domain, and when the first of these told of something newer.
    far: Option<(Address, Timestamp)>,
}

impl WholeFetch {
    /// A peer told of a newer version.
    pub fn hear(&mut self, now: Timestamp, from: Address, distance: Distance) {
        match distance {
            Distance::Near => self.near = Some(from),
            Distance::Far => {
                let since = self.far.map_or(now, |(_, since)| since);
                self.far = Some((from, since));
            }
        }
    }

    /// The peer to ask now, if no question is open: whoever told last of something newer.
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

    /// The question was answered or given up.
    pub fn end(&mut self) {
        self.is_open = false;
    }
}
