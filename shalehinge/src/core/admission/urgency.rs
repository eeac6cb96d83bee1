//! The urgency with which a request is sent to an upstream: 9 is served first.

/// Highest rank and highest urgency. Priorities in the core run in the opposite direction of ranks:
/// rank 0 is priority 9.
pub const MAX_RANK: u8 = 9;
/// Urgency of a request of which an upstream may have run a part.
const ADMITTED: u8 = 9;
/// Urgency of a preferred request of rank 0.
const PREFERRED: u8 = 8;
/// Urgency of a deprioritized request of rank 0.
const DEPRIORITIZED: u8 = 3;
/// Number of rank classes that are told apart; the last one includes all lower ranks.
pub const RANK_CLASSES: usize = 4;

/// Whether a new request is served before or after the requests without a priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// Before them.
    Preferred,
    /// After them.
    Deprioritized,
}

/// How a request stands when it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is a retry, a hedge or a resumed stream.
    Admitted,
    /// It is sent for the first time.
    New(Preference),
}

/// The class of a request with this priority in the core, in which rank 0 is priority 9.
pub fn rank_class(priority: u8) -> usize {
    let rank = MAX_RANK.saturating_sub(priority);
    usize::from(rank).min(RANK_CLASSES - 1)
}

/// The urgency of a request with this standing and priority. No request has urgency 4, which
/// upstreams assume for requests without a priority.
pub fn urgency(standing: Standing, priority: u8) -> u8 {
    let class = rank_class(priority) as u8;
    match standing {
        Standing::Admitted => ADMITTED,
        Standing::New(Preference::Preferred) => PREFERRED - class,
        Standing::New(Preference::Deprioritized) => DEPRIORITIZED - class,
    }
}

/// Whether a request with this urgency is served after those without a priority.
pub fn is_deprioritized(urgency: u8) -> bool {
    urgency <= DEPRIORITIZED
}
