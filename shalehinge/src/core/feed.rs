//! One scope of the platform's objects, listed once and then watched.
//!
//! A feed also tracks how recent its data is. An exact answer proves the state at the time of the
//! call and not later: a watch without an answer yet proves nothing. An answer that may be stale
//! proves as much as an exact answer that reported the same or a lower revision.

use std::time::Duration;

use super::platform::{Freshness, PlatformCall, PlatformReply, PlatformResult, Scope};
use super::types::{Timestamp, Version};

/// How long a feed makes only exact calls after its answers lagged behind.
const EXACT_AFTER_LAG: Duration = Duration::from_secs(5);

/// Proof from an exact answer that the platform had reached a revision at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The revision.
    pub revision: Version,
    /// When the call was made.
    pub at: Timestamp,
}

/// A call without an answer yet.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    called_at: Timestamp,
    freshness: Freshness,
}

/// A list-and-watch loop over one scope.
#[derive(Clone, Debug)]
pub struct Feed {
    scope: Scope,
    revision: Version,
    has_listed: bool,
    pending_call: Option<PendingCall>,
    next_at: Timestamp,
    as_of: Option<Timestamp>,
    last_answer_at: Option<Timestamp>,
    /// Answers lagged behind: only exact calls are made before this time.
    exact_until: Timestamp,
    /// Freshness that the next list call requires.
    list_freshness: Freshness,
    /// The call in flight belongs to a previous era: its answer only allows the next call.
    is_pending_call_outdated: bool,
}

impl Feed {
    /// Creates a feed that has not listed yet. Its first list is exact.
    pub fn new(scope: Scope) -> Self {
        Self {
            scope,
            revision: Version::NONE,
            has_listed: false,
            pending_call: None,
            next_at: Timestamp::ZERO,
            as_of: None,
            last_answer_at: None,
            exact_until: Timestamp::ZERO,
            list_freshness: Freshness::Exact,
            is_pending_call_outdated: false,
        }
    }

    /// Creates a feed whose first list may be stale; its watches bring the missing changes.
    pub fn with_stale_list(scope: Scope) -> Self {
        Self {
            list_freshness: Freshness::MayBeStale,
            ..Self::new(scope)
        }
    }

    /// Starts over with an exact list, as the known revision can't be continued.
    pub fn relist(&mut self, now: Timestamp) {
        self.has_listed = false;
        self.list_freshness = Freshness::Exact;
        self.next_at = now;
    }

    /// Starts over with an exact list in a new era of the store, once the call in flight has
    /// ended.
    pub fn begin_era(&mut self, now: Timestamp) {
        self.relist(now);
        self.is_pending_call_outdated = self.pending_call.is_some();
    }

    /// The scope that the feed lists and watches.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// The latest time for which the feed's data is proven current; `None` without proof.
    pub fn as_of(&self) -> Option<Timestamp> {
        self.as_of
    }

    /// When the platform last answered successfully.
    pub fn last_answer_at(&self) -> Option<Timestamp> {
        self.last_answer_at
    }

    /// Whether a list is complete, or a call is in flight.
    pub fn is_active(&self) -> bool {
        self.has_listed || self.pending_call.is_some()
    }

    /// Discards all state. Used when the data comes from another source.
    pub fn reset(&mut self) {
        *self = Self::with_stale_list(self.scope);
    }

    /// Whether a list is complete.
    pub fn has_listed(&self) -> bool {
        self.has_listed
    }

    /// The next call, if one is due: first a list, then watches with the given freshness. Without
    /// a freshness no call follows the list. `wait` is how long the platform may hold a watch
    /// open.
    pub fn next_call(
        &mut self,
        now: Timestamp,
        watch: Option<Freshness>,
        wait: Duration,
    ) -> Option<PlatformCall> {
        if self.pending_call.is_some() || now < self.next_at {
            return None;
        }
        if !self.has_listed {
            let freshness = self.list_freshness;
            self.pending_call = Some(PendingCall {
                called_at: now,
                freshness,
            });
            let scope = self.scope;
            return Some(PlatformCall::List { scope, freshness });
        }
        let mut freshness = watch?;
        if now < self.exact_until {
            freshness = Freshness::Exact;
        }
        self.pending_call = Some(PendingCall {
            called_at: now,
            freshness,
        });
        Some(PlatformCall::Watch {
            scope: self.scope,
            after: self.revision,
            wait,
            freshness,
        })
    }

    /// Handles the result of the call in flight. The next call is due `min_interval` after this
    /// one was made, or `retry_delay` from now if it failed. `confirmed` is the most recent proof
    /// of any feed.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        result: &PlatformResult,
        min_interval: Duration,
        retry_delay: Duration,
        confirmed: Option<Confirmation>,
    ) {
        let Some(pending_call) = self.pending_call.take() else {
            return;
        };
        if std::mem::take(&mut self.is_pending_call_outdated) {
            self.next_at = now;
            return;
        }
        match result {
            Ok(PlatformReply::Objects { revision, .. }) => {
                // A stale answer never lowers the known revision.
                self.revision = self.revision.max(*revision);
                self.has_listed = true;
                self.last_answer_at = Some(now);
                self.next_at = pending_call.called_at + min_interval;
                match pending_call.freshness {
                    Freshness::Exact => self.as_of = self.as_of.max(Some(pending_call.called_at)),
                    Freshness::MayBeStale => {
                        self.apply_stale_answer(now, pending_call, *revision, confirmed)
                    }
                }
            }
            Ok(PlatformReply::HistoryGone(_)) => {
                self.relist(now);
            }
            _ => self.next_at = now + retry_delay,
        }
    }

    /// Updates the proven time from an answer that may be stale, or requires exact calls if it
    /// lags behind.
    fn apply_stale_answer(
        &mut self,
        now: Timestamp,
        pending_call: PendingCall,
        revision: Version,
        confirmed: Option<Confirmation>,
    ) {
        let Some(confirmed) = confirmed else {
            return;
        };
        if revision >= confirmed.revision {
            self.as_of = self.as_of.max(Some(confirmed.at));
        } else if pending_call.called_at >= confirmed.at {
            self.exact_until = now + EXACT_AFTER_LAG;
            self.next_at = now;
        }
    }

    /// The proof that the result gives if the call in flight was exact.
    pub fn confirmation(&self, result: &PlatformResult) -> Option<Confirmation> {
        let pending_call = self
            .pending_call
            .filter(|pending_call| pending_call.freshness == Freshness::Exact)?;
        match result {
            Ok(PlatformReply::Objects { revision, .. }) => Some(Confirmation {
                revision: *revision,
                at: pending_call.called_at,
            }),
            _ => None,
        }
    }

    /// Makes the next call due now.
    pub fn schedule_now(&mut self, now: Timestamp) {
        self.next_at = now;
    }
}
