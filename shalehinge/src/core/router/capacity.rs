//! Whether a target has as many upstreams as it lately had.

use std::time::Duration;

use crate::core::types::Timestamp;

/// How long a number of upstreams counts as what there should be.
const REMEMBERED: Duration = Duration::from_secs(10);

/// The most upstreams of a target that were there lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualCapacity {
    most: usize,
    seen_at: Timestamp,
}

impl UsualCapacity {
    /// So many are there now.
    pub fn note(&mut self, now: Timestamp, present: usize) {
        if present >= self.most || now.since(self.seen_at) > REMEMBERED {
            self.most = present;
            self.seen_at = now;
        }
    }

    /// Whether fewer are there than lately.
    pub fn is_short(&self, present: usize) -> bool {
        present < self.most
    }
}
