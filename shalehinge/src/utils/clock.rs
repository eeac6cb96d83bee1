//! The clock by which lease terms and ages are measured.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Measures the time since its creation, including time during which the machine is suspended.
/// The standard library's monotonic clock stops during suspension: a lease holder that was
/// suspended past the end of its term would go on as if it still held the lease, and revoked keys
/// would stay valid for the time of the suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self {
            started_at: time_since_boot(),
        }
    }

    /// Time since the clock was started, including suspension. The value never decreases.
    pub fn elapsed(&self) -> Duration {
        time_since_boot().saturating_sub(self.started_at)
    }
}

fn time_since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // The kernel never returns negative values here.
    Duration::new(tv_sec.unsigned_abs(), tv_nsec.unsigned_abs() as u32)
}
