//! Detects whether a target has fewer upstreams than it had recently.

use std::time::Duration;

use crate::core::types::Timestamp;

/// How long the highest observed number of upstreams is retained as the expected number.
const RETENTION: Duration = Duration::from_secs(10);

/// The highest number of upstreams that a target had recently.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentCapacity {
    /// The highest number observed.
    max_present: usize,
    /// When it was last observed.
    seen_at: Timestamp,
}

impl RecentCapacity {
    /// Records the number of upstreams that are present now.
    pub fn record(&mut self, now: Timestamp, present: usize) {
        if present >= self.max_present || now.since(self.seen_at) > RETENTION {
            self.max_present = present;
            self.seen_at = now;
        }
    }

    /// Whether fewer upstreams are present than recently.
    pub fn is_below_recent(&self, present: usize) -> bool {
        present < self.max_present
    }
}
