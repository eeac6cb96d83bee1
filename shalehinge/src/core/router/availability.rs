//! Whether and when an upstream may get a request of this daemon.
//!
//! Every path to an upstream asks [`Upstream::availability`]: the choice, retries, streams that go on
//! elsewhere, trials, permits, early refusal and the time that refused callers get.

use std::time::Duration;

use crate::core::types::Timestamp;

use super::target::TargetState;
use super::upstream::{Evidence, Upstream};

/// Whether and when an upstream may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It may get one now.
    Open,
    /// It may get one with a permit of its limit's owner.
    NeedsPermit,
    /// It may get one from then on: it asked for a cooldown, failed, or was ejected.
    From(Timestamp),
    /// Nothing shows at present that it can serve.
    Unproven,
    /// It gets none any more.
    Closed,
}

impl Upstream {
    /// Whether and when it may get a request of this daemon.
    pub fn availability(&self, now: Timestamp) -> Availability {
        if !self.is_present(now) {
            return Availability::Closed;
        }
        if !self.is_complete(now) {
            return Availability::Unproven;
        }
        if let Some(until) = self.held_back_until(now) {
            return Availability::From(until);
        }
        if self.is_stalled() {
            return Availability::Unproven;
        }
        if !self.limit.may_send(now) {
            return Availability::NeedsPermit;
        }
        Availability::Open
    }

    /// Whether it may serve, perhaps with a permit.
    pub fn is_eligible(&self, now: Timestamp) -> bool {
        matches!(
            self.availability(now),
            Availability::Open | Availability::NeedsPermit
        )
    }

    /// Whether a request may be sent there now.
    pub fn may_be_sent(&self, now: Timestamp) -> bool {
        self.availability(now) == Availability::Open
    }

    /// From when on it may serve, on what is known now; `None` if nothing shows that it will.
    fn available_from(&self, now: Timestamp) -> Option<Timestamp> {
        match self.availability(now) {
            Availability::Open | Availability::NeedsPermit => Some(now),
            Availability::From(at) => Some(at),
            // One that stalls may move again at any moment.
            Availability::Unproven => (self.spec.evidence == Evidence::Listed).then_some(now),
            Availability::Closed => None,
        }
    }
}

impl TargetState {
    /// How long no upstream may serve, on what is known now; `None` if nothing shows that one
    /// will.
    pub(super) fn unavailable_for(&self, now: Timestamp) -> Option<Duration> {
        let upstreams = self.upstreams.iter();
        let earliest = upstreams.filter_map(|u| u.available_from(now)).min();
        earliest.map(|from| from.since(now))
    }
}
