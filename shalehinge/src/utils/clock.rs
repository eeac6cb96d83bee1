//! The clock that all terms and ages are reckoned on.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Time since a start, on a clock that goes on while the machine is suspended. The steady clock
/// of the standard library stands still meanwhile: a lease holder that slept past its term would
/// go on as if it held it, and keys that were taken away would count for as long as it slept.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: since_boot(),
        }
    }

    /// Time since the start, time of sleep included; never less than before.
    pub fn elapsed(&self) -> Duration {
        since_boot().saturating_sub(self.started)
    }
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // The kernel gives neither below zero.
    Duration::new(tv_sec.unsigned_abs(), tv_nsec.unsigned_abs() as u32)
}
