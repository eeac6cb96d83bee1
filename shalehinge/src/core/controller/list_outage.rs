//! Entries of hosts that lapse while the platform is away.
//!
//! A host's entry goes when it has not been renewed for three heartbeats, also where the
//! platform was away and the host lives. Such entries are back soon after the platform's
//! return; until then a host that is missing is not taken as gone.

use std::time::Duration;

use crate::core::types::Timestamp;

/// Heartbeats without a newer list after which entries may have lapsed: an entry lapses
/// after three, and its last one may lie one before the outage.
const LAPSE_HEARTBEATS: u32 = 2;
/// Time after the platform's return in which lapsed entries come back. The platform
/// promises about two seconds; the rest is for the list's own delay.
pub(super) const RETURN_WAIT: Duration = Duration::from_millis(2_500);

/// How the list's age went on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListOutage {
    as_of: Option<Timestamp>,
    /// The time of which the first list after the last outage was true.
    returned_at: Option<Timestamp>,
}

impl ListOutage {
    /// The list is now known to be true as of then.
    pub(super) fn note(&mut self, as_of: Option<Timestamp>, heartbeat: Duration) {
        let passed = as_of.zip(self.as_of).map(|(now, then)| now.since(then));
        if passed.is_some_and(|passed| passed > heartbeat * LAPSE_HEARTBEATS) {
            self.returned_at = as_of;
        }
        self.as_of = self.as_of.max(as_of);
    }

    /// Whether entries that lapsed may still come back.
    pub(super) fn may_return(&self) -> bool {
        let (Some(as_of), Some(returned_at)) = (self.as_of, self.returned_at) else {
            return false;
        };
        as_of.since(returned_at) < RETURN_WAIT
    }
}
