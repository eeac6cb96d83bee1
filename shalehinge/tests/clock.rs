//! Tests of the daemon's clock against `CLOCK_BOOTTIME`, which also counts time in suspend.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use shalehinge::utils::clock::Clock;

#[test]
fn clock_starts_at_zero_and_does_not_run_ahead_of_the_boot_time_clock() {
    let before = clock_gettime(ClockId::Boottime);
    let clock = Clock::start();
    let monotonic_start = Instant::now();
    while monotonic_start.elapsed() < Duration::from_millis(5) {
        std::hint::spin_loop();
    }
    let elapsed = clock.elapsed();
    let after = clock_gettime(ClockId::Boottime);
    let nanos = |time: rustix::time::Timespec| time.tv_sec * 1_000_000_000 + time.tv_nsec;
    let max_elapsed = Duration::from_nanos((nanos(after) - nanos(before)).unsigned_abs());
    assert!(elapsed >= Duration::from_millis(5), "{elapsed:?}");
    assert!(elapsed <= max_elapsed, "{elapsed:?} of {max_elapsed:?}");
    assert!(clock.elapsed() >= elapsed, "time never goes back");
}
