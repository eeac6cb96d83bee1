//! What one upstream says of the requests that it takes, as this daemon heard it.

use crate::core::named_limit::{NamedLimit, RequestRate};
use crate::core::types::Timestamp;

/// A limit that differs by less from the one in the last log line makes no other line.
const LOGGED_CHANGE: f64 = 0.1;

/// A limit that is in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// Requests from all daemons together.
    pub rate: RequestRate,
    /// When the answer came that named it.
    pub named_at: Timestamp,
}

/// How a limit changed.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// There was none.
    Begins(RequestRate),
    /// There was another one.
    Changes(RequestRate),
    /// There is none any more.
    Ends,
    /// The upstream says something that is no limit; what was in force stays.
    Unreadable(String),
}

/// The limit of one upstream.
#[derive(Clone, Debug, Default)]
pub struct LimitState {
    known: Option<KnownLimit>,
    logged: Option<RequestRate>,
    is_unreadable: bool,
}

impl LimitState {
    /// The limit in force.
    pub fn known(&self) -> Option<KnownLimit> {
        self.known
    }

    /// An answer came to a request that was sent at `sent_at`. Returns what is worth a log line.
    pub fn hear(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        limit: NamedLimit,
    ) -> Option<LimitChange> {
        let was_unreadable = std::mem::replace(&mut self.is_unreadable, false);
        match limit {
            NamedLimit::Rate(rate) => self.set(KnownLimit {
                rate,
                named_at: now,
            }),
            NamedLimit::None => self.end(sent_at),
            NamedLimit::Unreadable(text) => {
                self.is_unreadable = true;
                (!was_unreadable).then_some(LimitChange::Unreadable(text))
            }
        }
    }

    fn set(&mut self, limit: KnownLimit) -> Option<LimitChange> {
        let had_one = self.known.replace(limit).is_some();
        let rate = limit.rate;
        let is_near = self
            .logged
            .is_some_and(|logged| (logged.get() - rate.get()).abs() < logged.get() * LOGGED_CHANGE);
        if had_one && (is_near || self.logged == Some(rate)) {
            return None;
        }
        self.logged = Some(rate);
        Some(if had_one {
            LimitChange::Changes(rate)
        } else {
            LimitChange::Begins(rate)
        })
    }

    /// Answers overtake one another: one to a request from before the limit was named may have
    /// been made before it, and ends nothing.
    fn end(&mut self, sent_at: Timestamp) -> Option<LimitChange> {
        self.known.take_if(|known| known.named_at <= sent_at)?;
        Some(LimitChange::Ends)
    }
}
