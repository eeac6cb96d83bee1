//! The clock of a daemon.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use shalehinge::utils::clock::Clock;

#[test]
fn it_starts_at_zero_and_goes_on_with_the_clock_that_counts_sleep() {
    let before = clock_gettime(ClockId::Boottime);
    let clock = Clock::start();
    let steady = Instant::now();
    while steady.elapsed() < Duration::from_millis(5) {
        std::hint::spin_loop();
    }
    let elapsed = clock.elapsed();
    let after = clock_gettime(ClockId::Boottime);
    let nanos = |time: rustix::time::Timespec| time.tv_sec * 1_000_000_000 + time.tv_nsec;
    let most = Duration::from_nanos((nanos(after) - nanos(before)).unsigned_abs());
    assert!(elapsed >= Duration::from_millis(5), "{elapsed:?}");
    assert!(elapsed <= most, "{elapsed:?} of {most:?}");
    assert!(clock.elapsed() >= elapsed, "never less than before");
}
