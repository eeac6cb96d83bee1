//! Whether one upstream said that it is leaving.

use crate::core::signal::LeavingMark;

/// What an upstream said in this life of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeavingState {
    is_leaving: bool,
    is_unreadable: bool,
}

impl LeavingState {
    /// Whether it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// An answer came with this mark; true if that is news. An answer without the mark ends
    /// nothing: it may be from before the upstream began to leave.
    pub fn on_marked(&mut self, mark: &LeavingMark) -> bool {
        match mark {
            LeavingMark::Absent => false,
            LeavingMark::Leaving => !std::mem::replace(&mut self.is_leaving, true),
            LeavingMark::Unreadable(_) => !std::mem::replace(&mut self.is_unreadable, true),
        }
    }
}
