//! Detects whether a target has fewer upstreams than it had recently.

use std::time::Duration;

use crate::core::types::Timestamp;

/// How long the highest observed number of upstreams is retained as the expected number.
const REMEMBERED: Duration = Duration::from_secs(10);

/// The highest number of upstreams that a target had recently.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualCapacity {
    most: usize,
    seen_at: Timestamp,
}

impl UsualCapacity {
    /// Records the number of upstreams that are present now.
    pub fn note(&mut self, now: Timestamp, present: usize) {
        if present >= self.most || now.since(self.seen_at) > REMEMBERED {
            self.most = present;
            self.seen_at = now;
        }
    }

    /// Whether fewer upstreams are present than recently.
    pub fn is_short(&self, present: usize) -> bool {
        present < self.most
    }
}
