//! The urgency with which a request is sent to an upstream: 9 is served first.

/// Highest rank and highest urgency. Priorities in the core run in the opposite direction of ranks:
/// rank 0 is priority 9.
pub const MAX_RANK: u8 = 9;
/// Urgency of a request of which an upstream may have run a part.
const ADMITTED: u8 = 9;
/// Urgency of a request while no overload is detected, the one that upstreams assume for requests
/// without a priority. Requests that were sent before an overload was detected wait behind half of
/// those sent afterwards: most of them are already late.
const ORDINARY: u8 = 4;
/// Number of bands. They take all urgencies but [`ADMITTED`] and [`ORDINARY`].
pub const BANDS: u8 = 8;
/// Number of rank classes that are told apart; the last one includes all lower ranks.
pub const RANK_CLASSES: usize = 4;

/// A part of the new requests during an overload; band 0 is served first. Upstreams serve the bands
/// in order, so that those that fit into the capacity are on time, whatever the capacity is, and
/// all delay falls on the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Band(u8);

impl Band {
    /// The last band.
    pub const LAST: Self = Self(BANDS - 1);

    /// The band at a position from 0 (served first) to 1.
    pub fn at(position: f64) -> Self {
        let band = position.clamp(0.0, 1.0) * f64::from(BANDS);
        Self((band as u8).min(BANDS - 1))
    }
}

/// How a request stands when it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is a retry, a hedge or a resumed stream.
    Admitted,
    /// It is sent for the first time, and no overload is detected.
    Ordinary,
    /// It is sent for the first time during an overload.
    InBand(Band),
}

/// The class of a request with this priority in the core, in which rank 0 is priority 9.
pub fn rank_class(priority: u8) -> usize {
    let rank = MAX_RANK.saturating_sub(priority);
    usize::from(rank).min(RANK_CLASSES - 1)
}

/// The urgency of a request with this standing.
pub fn urgency(standing: Standing) -> u8 {
    match standing {
        Standing::Admitted => ADMITTED,
        Standing::Ordinary => ORDINARY,
        Standing::InBand(Band(band)) if band < BANDS / 2 => ADMITTED - 1 - band,
        Standing::InBand(Band(band)) => BANDS - 1 - band,
    }
}

/// Whether a request with this urgency is served after those without a priority.
pub fn is_deprioritized(urgency: u8) -> bool {
    urgency < ORDINARY
}
