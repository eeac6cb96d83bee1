//! Whether one upstream said that it is leaving.

use std::time::Duration;

use crate::core::signal::LeavingMark;
use crate::core::types::Timestamp;

use super::request::UpstreamId;

/// How long an upstream counts as leaving whose restart would not be seen.
const COUNTS_FOR: Duration = Duration::from_secs(60);

/// What an upstream said in this life of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeavingState {
    said_at: Option<Timestamp>,
    is_unreadable: bool,
}

impl LeavingState {
    /// Whether the upstream with this name is leaving: to the end of its life, which the host
    /// list or the number of its group shows, or for a while where nothing does.
    pub fn is_leaving(&self, now: Timestamp, id: &UpstreamId) -> bool {
        match id {
            UpstreamId::Replica(_) | UpstreamId::Host(..) => self.said_at.is_some(),
            UpstreamId::Instance(..) => self.said_at.is_some_and(|at| now.since(at) < COUNTS_FOR),
        }
    }

    /// An answer came with this mark; true if that changes anything. An answer without the mark ends
    /// nothing: it may be from before the upstream began to leave.
    pub fn on_marked(&mut self, now: Timestamp, mark: &LeavingMark) -> bool {
        match mark {
            LeavingMark::Absent => false,
            LeavingMark::Leaving => self.said_at.replace(now).is_none(),
            LeavingMark::Unreadable(_) => !std::mem::replace(&mut self.is_unreadable, true),
        }
    }
}
