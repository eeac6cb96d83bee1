//! Whether and when an upstream can accept a request from this daemon.
//!
//! Every code path that sends to an upstream uses [`Upstream::availability`]: upstream selection,
//! retries, resumed streams, trials, permits, early refusal, and the retry-after time that
//! refused callers receive.

use std::time::Duration;

use crate::core::types::Timestamp;

use super::target::TargetState;
use super::upstream::{Evidence, Upstream};

/// Whether and when an upstream can accept a request from this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// A request can be sent now.
    Open,
    /// A request can be sent once the limit's owner has granted a permit.
    NeedsPermit,
    /// No request can be sent before this time: the upstream requested a cooldown, failed or was
    /// ejected.
    From(Timestamp),
    /// There is currently no evidence that the upstream can serve.
    Unproven,
    /// The upstream accepts no further requests.
    Closed,
}

impl Upstream {
    /// Returns whether and when this daemon can send the upstream a request.
    pub fn availability(&self, now: Timestamp) -> Availability {
        if !self.is_present(now) {
            return Availability::Closed;
        }
        if !self.is_complete(now) {
            return Availability::Unproven;
        }
        if let Some(until) = self.unavailable_until(now) {
            return Availability::From(until);
        }
        if self.is_stalled() {
            return Availability::Unproven;
        }
        if !self.is_within_limit(now) {
            return Availability::NeedsPermit;
        }
        Availability::Open
    }

    /// Whether the upstream can serve, possibly only with a permit.
    pub fn is_eligible(&self, now: Timestamp) -> bool {
        matches!(
            self.availability(now),
            Availability::Open | Availability::NeedsPermit
        )
    }

    /// Whether a request can be sent to the upstream now.
    pub fn may_be_sent(&self, now: Timestamp) -> bool {
        self.availability(now) == Availability::Open
    }

    /// The earliest time at which the upstream is expected to serve, based on current knowledge;
    /// `None` if nothing indicates that it will.
    fn available_from(&self, now: Timestamp) -> Option<Timestamp> {
        match self.availability(now) {
            Availability::Open | Availability::NeedsPermit => Some(now),
            Availability::From(at) => Some(at),
            // A stalled listed upstream may resume at any time.
            Availability::Unproven => (self.spec.evidence == Evidence::Listed).then_some(now),
            Availability::Closed => None,
        }
    }
}

impl TargetState {
    /// How long no upstream of the target will be able to serve, based on current knowledge. Zero
    /// if one can serve now; `None` if nothing indicates that any will.
    pub(super) fn unavailable_for(&self, now: Timestamp) -> Option<Duration> {
        let upstreams = self.upstreams.iter();
        let earliest = upstreams.filter_map(|u| u.available_from(now)).min();
        earliest.map(|from| from.since(now))
    }
}
