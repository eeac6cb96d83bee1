//! To whom a daemon sends its permit requests: the owner of the limit and, while the owner does
//! not grant any, the standby owner.

use std::collections::BTreeMap;
use std::time::Duration;

use super::router::request::UpstreamId;
use super::types::{Address, Timestamp};

/// How long requests go to the standby too after it granted permits or reported a limit.
const STANDBY_MEMORY: Duration = Duration::from_secs(10);
/// An upstream for which no permits are requested is forgotten after this time.
const IDLE_EXPIRY: Duration = Duration::from_secs(60);

/// Recipients of a message on a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRecipients {
    /// The owner alone.
    Owner,
    /// The owner and its standby.
    OwnerAndStandby,
}

/// The permit requests for one upstream.
#[derive(Clone, Copy, Debug)]
struct RequestState {
    /// The owner at the last request.
    owner: Address,
    /// Whether no permits have been granted since the last request.
    is_unanswered: bool,
    /// Until when the standby receives requests too.
    standby_until: Timestamp,
    last_used_at: Timestamp,
}

impl RequestState {
    /// Returns whether the standby was not active before.
    fn extend_standby(&mut self, now: Timestamp) -> bool {
        let has_taken_over = now >= self.standby_until;
        self.standby_until = now + STANDBY_MEMORY;
        has_taken_over
    }
}

/// The permit requests of one daemon, by upstream.
#[derive(Clone, Debug, Default)]
pub struct PermitRecipients {
    upstreams: BTreeMap<UpstreamId, RequestState>,
}

impl PermitRecipients {
    /// Records a permit request, and returns its recipients.
    pub fn on_request(
        &mut self,
        now: Timestamp,
        upstream: &UpstreamId,
        owner: Address,
    ) -> LimitRecipients {
        let state = self.state(now, upstream, owner);
        let is_repeated = std::mem::replace(&mut state.is_unanswered, true);
        if is_repeated || now < state.standby_until {
            LimitRecipients::OwnerAndStandby
        } else {
            LimitRecipients::Owner
        }
    }

    /// Recipients of a report on an upstream's limit.
    pub fn of_report(&self, now: Timestamp, upstream: &UpstreamId) -> LimitRecipients {
        match self.upstreams.get(upstream) {
            Some(state) if now < state.standby_until => LimitRecipients::OwnerAndStandby,
            _ => LimitRecipients::Owner,
        }
    }

    /// Records that a daemon granted permits. Returns whether the standby has just taken over.
    pub fn on_granted(&mut self, now: Timestamp, upstream: &UpstreamId, from: Address) -> bool {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return false;
        };
        state.is_unanswered = false;
        if from == state.owner {
            state.standby_until = now;
            return false;
        }
        state.extend_standby(now)
    }

    /// Records that the standby acts for the owner. Returns whether it has just taken over.
    pub fn on_standby_active(
        &mut self,
        now: Timestamp,
        upstream: &UpstreamId,
        owner: Address,
    ) -> bool {
        self.state(now, upstream, owner).extend_standby(now)
    }

    fn state(
        &mut self,
        now: Timestamp,
        upstream: &UpstreamId,
        owner: Address,
    ) -> &mut RequestState {
        self.upstreams
            .retain(|_, state| now.since(state.last_used_at) < IDLE_EXPIRY);
        let state = self
            .upstreams
            .entry(upstream.clone())
            .or_insert(RequestState {
                owner,
                is_unanswered: false,
                standby_until: now,
                last_used_at: now,
            });
        state.owner = owner;
        state.last_used_at = now;
        state
    }
}
