//! One part of what the platform keeps, listed once and then watched.
//!
//! A feed also knows how fresh its knowledge is: an answer shows how things stood
//! when the platform was asked, never later, as a watch that hears nothing proves
//! nothing until it answers.

use std::time::Duration;

use super::platform::{PlatformCall, PlatformReply, PlatformResult, Revision, Scope};
use super::types::Timestamp;

/// The state of one feed.
#[derive(Clone, Debug)]
pub struct Feed {
    scope: Scope,
    revision: Revision,
    has_listed: bool,
    asked_at: Option<Timestamp>,
    next_at: Timestamp,
    as_of: Option<Timestamp>,
}

impl Feed {
    /// A feed that knows nothing yet.
    pub fn new(scope: Scope) -> Self {
        Self {
            scope,
            revision: Revision(0),
            has_listed: false,
            asked_at: None,
            next_at: Timestamp::ZERO,
            as_of: None,
        }
    }

    /// What it is about.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// The time of which its knowledge is true at least, if it has any.
    pub fn as_of(&self) -> Option<Timestamp> {
        self.as_of
    }

    /// Whether it has read everything once.
    pub fn has_listed(&self) -> bool {
        self.has_listed
    }

    /// The next call, if it is time. Only those who `may_watch` do after the list.
    pub fn next_call(
        &mut self,
        now: Timestamp,
        may_watch: bool,
        wait: Duration,
    ) -> Option<PlatformCall> {
        let is_waiting = self.asked_at.is_some();
        let has_nothing_to_do = self.has_listed && !may_watch;
        if is_waiting || now < self.next_at || has_nothing_to_do {
            return None;
        }
        self.asked_at = Some(now);
        if !self.has_listed {
            return Some(PlatformCall::List(self.scope));
        }
        Some(PlatformCall::Watch {
            scope: self.scope,
            after: self.revision,
            wait,
        })
    }

    /// The call was answered, or not; the next one comes `spacing` after the last
    /// began, or `pause` from now where it failed.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        result: &PlatformResult,
        spacing: Duration,
        pause: Duration,
    ) {
        let Some(asked_at) = self.asked_at.take() else {
            return;
        };
        match result {
            Ok(PlatformReply::Objects { revision, .. }) => {
                self.revision = *revision;
                self.has_listed = true;
                self.as_of = Some(asked_at);
                self.next_at = asked_at + spacing;
            }
            Ok(PlatformReply::HistoryGone) => {
                self.has_listed = false;
                self.next_at = now;
            }
            _ => self.next_at = now + pause,
        }
    }

    /// Asks again as soon as possible.
    pub fn hurry(&mut self, now: Timestamp) {
        self.next_at = now;
    }
}
