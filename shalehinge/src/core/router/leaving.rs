//! Tracks whether an upstream has announced that it is leaving.

use std::time::Duration;

use crate::core::signal::LeavingMark;
use crate::core::types::Timestamp;

use super::request::UpstreamId;

/// How long an upstream whose restart cannot be detected counts as leaving.
const LEAVING_RETENTION: Duration = Duration::from_secs(60);

/// What an upstream announced since it started.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeavingState {
    /// When the upstream last announced that it is leaving.
    announced_at: Option<Timestamp>,
    /// An answer carried a mark that is not valid.
    is_unreadable: bool,
}

impl LeavingState {
    /// Whether the upstream is leaving. This lasts until it restarts, which the host list or its
    /// group number shows, or for `LEAVING_RETENTION` where nothing shows a restart.
    pub fn is_leaving(&self, now: Timestamp, id: &UpstreamId) -> bool {
        match id {
            UpstreamId::Replica(_) | UpstreamId::Host(..) => self.announced_at.is_some(),
            UpstreamId::Instance(..) => self
                .announced_at
                .is_some_and(|at| now.since(at) < LEAVING_RETENTION),
        }
    }

    /// Handles the mark of an answer; returns whether it changes anything. An answer without the
    /// mark does not end the state, as it may date from before the upstream began to leave.
    pub fn on_marked(&mut self, now: Timestamp, mark: &LeavingMark) -> bool {
        match mark {
            LeavingMark::Absent => false,
            LeavingMark::Leaving => self.announced_at.replace(now).is_none(),
            LeavingMark::Unreadable(_) => !std::mem::replace(&mut self.is_unreadable, true),
        }
    }
}
