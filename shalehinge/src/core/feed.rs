//! One part of what the platform keeps, listed once and then watched.
//!
//! A feed also knows how fresh its knowledge is: an exact answer shows how things
//! stood when the platform was asked, never later, as a watch that hears nothing
//! proves nothing until it answers. An answer that may be stale proves what an exact
//! one proved of an older or the same revision.

use std::time::Duration;

use super::platform::{Freshness, PlatformCall, PlatformReply, PlatformResult, Scope};
use super::types::{Timestamp, Version};

/// How long a feed whose answers lagged behind asks exactly.
const EXACT_AFTER_LAG: Duration = Duration::from_secs(5);

/// That the platform had reached a revision at a time, by an exact answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The revision.
    pub revision: Version,
    /// When the platform was asked.
    pub at: Timestamp,
}

/// A call that was made and not answered yet.
#[derive(Clone, Copy, Debug)]
struct Question {
    at: Timestamp,
    freshness: Freshness,
}

/// The state of one feed.
#[derive(Clone, Debug)]
pub struct Feed {
    scope: Scope,
    revision: Version,
    has_listed: bool,
    question: Option<Question>,
    next_at: Timestamp,
    as_of: Option<Timestamp>,
    heard_at: Option<Timestamp>,
    /// Answers lagged behind: until then only exact ones are asked for.
    exact_until: Timestamp,
    /// How new the next list must be.
    list_freshness: Freshness,
    /// The open question is of an era that is over: its answer only shows that the next may be asked.
    is_question_outdated: bool,
}

impl Feed {
    /// A feed that knows nothing yet.
    pub fn new(scope: Scope) -> Self {
        Self {
            scope,
            revision: Version::NONE,
            has_listed: false,
            question: None,
            next_at: Timestamp::ZERO,
            as_of: None,
            heard_at: None,
            exact_until: Timestamp::ZERO,
            list_freshness: Freshness::Exact,
            is_question_outdated: false,
        }
    }

    /// A feed whose first list may be stale: its watches bring what is missing.
    pub fn with_stale_list(scope: Scope) -> Self {
        Self {
            list_freshness: Freshness::MayBeStale,
            ..Self::new(scope)
        }
    }

    /// Lists anew, exactly, as what was listed does not follow what is known.
    pub fn list_again(&mut self, now: Timestamp) {
        self.has_listed = false;
        self.list_freshness = Freshness::Exact;
        self.next_at = now;
    }

    /// Lists anew in another era of the store, as soon as an open question has ended.
    pub fn begin_era(&mut self, now: Timestamp) {
        self.list_again(now);
        self.is_question_outdated = self.question.is_some();
    }

    /// What it is about.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// The time of which its knowledge is true at least, if it has any.
    pub fn as_of(&self) -> Option<Timestamp> {
        self.as_of
    }

    /// When the platform last answered.
    pub fn heard_at(&self) -> Option<Timestamp> {
        self.heard_at
    }

    /// Whether it has listed, or is about to.
    pub fn is_active(&self) -> bool {
        self.has_listed || self.question.is_some()
    }

    /// Forgets all, as what is known now comes from elsewhere.
    pub fn reset(&mut self) {
        *self = Self::with_stale_list(self.scope);
    }

    /// Whether it has read everything once.
    pub fn has_listed(&self) -> bool {
        self.has_listed
    }

    /// The next call, if it is time: a list first, then watches of this freshness;
    /// none after the list without one.
    pub fn next_call(
        &mut self,
        now: Timestamp,
        watch: Option<Freshness>,
        wait: Duration,
    ) -> Option<PlatformCall> {
        if self.question.is_some() || now < self.next_at {
            return None;
        }
        if !self.has_listed {
            let freshness = self.list_freshness;
            self.question = Some(Question { at: now, freshness });
            let scope = self.scope;
            return Some(PlatformCall::List { scope, freshness });
        }
        let mut freshness = watch?;
        if now < self.exact_until {
            freshness = Freshness::Exact;
        }
        self.question = Some(Question { at: now, freshness });
        Some(PlatformCall::Watch {
            scope: self.scope,
            after: self.revision,
            wait,
            freshness,
        })
    }

    /// The call was answered, or not; the next one comes `spacing` after the last
    /// began, or `pause` from now where it failed. `confirmed` is the newest known.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        result: &PlatformResult,
        spacing: Duration,
        pause: Duration,
        confirmed: Option<Confirmation>,
    ) {
        let Some(question) = self.question.take() else {
            return;
        };
        if std::mem::take(&mut self.is_question_outdated) {
            self.next_at = now;
            return;
        }
        match result {
            Ok(PlatformReply::Objects { revision, .. }) => {
                // A stale answer never takes back what is known.
                self.revision = self.revision.max(*revision);
                self.has_listed = true;
                self.heard_at = Some(now);
                self.next_at = question.at + spacing;
                match question.freshness {
                    Freshness::Exact => self.as_of = self.as_of.max(Some(question.at)),
                    Freshness::MayBeStale => self.judge(now, question, *revision, confirmed),
                }
            }
            Ok(PlatformReply::HistoryGone(_)) => {
                self.list_again(now);
            }
            _ => self.next_at = now + pause,
        }
    }

    /// What an answer that may be stale proves.
    fn judge(
        &mut self,
        now: Timestamp,
        question: Question,
        revision: Version,
        confirmed: Option<Confirmation>,
    ) {
        let Some(confirmed) = confirmed else {
            return;
        };
        if revision >= confirmed.revision {
            self.as_of = self.as_of.max(Some(confirmed.at));
        } else if question.at >= confirmed.at {
            self.exact_until = now + EXACT_AFTER_LAG;
            self.next_at = now;
        }
    }

    /// What the last exact answer proved.
    pub fn confirmation(&self, result: &PlatformResult) -> Option<Confirmation> {
        let question = self
            .question
            .filter(|question| question.freshness == Freshness::Exact)?;
        match result {
            Ok(PlatformReply::Objects { revision, .. }) => Some(Confirmation {
                revision: *revision,
                at: question.at,
            }),
            _ => None,
        }
    }

    /// Asks again as soon as possible.
    pub fn hurry(&mut self, now: Timestamp) {
        self.next_at = now;
    }
}
