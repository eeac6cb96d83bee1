//! Host entries that expire during an outage of the platform.
//!
//! The entry of a host expires when it was not renewed for three heartbeats, even if the host is
//! alive and only the platform was unavailable. Such entries reappear soon after the platform
//! recovers; until then a host that is missing from the list is not considered gone.

use std::time::Duration;

use crate::core::types::Timestamp;

/// Number of heartbeats without a newer list after which entries may have expired. An entry
/// expires after three, and its last renewal may be one heartbeat older than the outage.
const EXPIRY_HEARTBEATS: u32 = 2;
/// Time after the recovery of the platform within which expired entries reappear. The platform
/// promises about two seconds; the rest covers the delay of the list itself.
pub(super) const RECOVERY_WAIT: Duration = Duration::from_millis(2_500);

/// Tracks how the age of the host list develops.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListOutage {
    as_of: Option<Timestamp>,
    /// Time at which the first list after the last outage was current.
    recovered_at: Option<Timestamp>,
}

impl ListOutage {
    /// Records that the list is current as of this time.
    pub(super) fn update(&mut self, as_of: Option<Timestamp>, heartbeat: Duration) {
        let elapsed = as_of.zip(self.as_of).map(|(now, then)| now.since(then));
        if elapsed.is_some_and(|elapsed| elapsed > heartbeat * EXPIRY_HEARTBEATS) {
            self.recovered_at = as_of;
        }
        self.as_of = self.as_of.max(as_of);
    }

    /// Whether entries that expired during the last outage may still reappear.
    pub(super) fn entries_may_reappear(&self) -> bool {
        let (Some(as_of), Some(recovered_at)) = (self.as_of, self.recovered_at) else {
            return false;
        };
        as_of.since(recovered_at) < RECOVERY_WAIT
    }
}
