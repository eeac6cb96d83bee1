//! Ends the process if its core handles no tick for a long time.
//!
//! Such a daemon is not ready and answers nobody, and only a new start helps: its platform starts the
//! process again. A thread of its own checks this, as all threads of the executor may wait for the
//! core's lock.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use super::driver::Driver;
use crate::utils::fatal::exit_after;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Number of successive checks without a tick in between from which the core counts as stopped.
/// Checks are counted, instead of measuring the time, because a suspended process handles no ticks
/// either: it makes at most one check between resuming and its next tick.
const MAX_CHECKS_WITHOUT_TICK: u32 = 5;

/// Counts checks without a tick in between.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StallDetector {
    last_tick_ms: Option<u64>,
    unchanged: u32,
}

impl StallDetector {
    /// Records the time of the core's last tick, and returns whether the core counts as stopped.
    pub fn check(&mut self, last_tick_ms: u64) -> bool {
        if self.last_tick_ms.replace(last_tick_ms) == Some(last_tick_ms) {
            self.unchanged += 1;
        } else {
            self.unchanged = 0;
        }
        self.unchanged >= MAX_CHECKS_WITHOUT_TICK
    }
}

/// The running watchdog, which stops when this is dropped.
#[derive(Debug)]
pub struct Watchdog {
    is_stopped: Arc<AtomicBool>,
}

impl Watchdog {
    /// Starts to watch the core of a driver whose ticks have begun.
    pub fn start(driver: &Arc<Driver>) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (driver, stopped) = (Arc::downgrade(driver), is_stopped.clone());
        let spawned = thread::Builder::new()
            .name("watchdog".to_owned())
            .spawn(move || watch(&driver, &stopped));
        if let Err(error) = spawned {
            log::warn!(target: "shalehinge", "daemon: can't start the watchdog: {error}");
        }
        Self { is_stopped }
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
    }
}

fn watch(driver: &Weak<Driver>, is_stopped: &AtomicBool) {
    let mut detector = StallDetector::default();
    loop {
        thread::sleep(CHECK_INTERVAL);
        let Some(driver) = driver.upgrade() else {
            return;
        };
        if is_stopped.load(Ordering::Acquire) {
            return;
        }
        if detector.check(driver.last_tick_ms()) {
            let stalled_for = CHECK_INTERVAL * MAX_CHECKS_WITHOUT_TICK;
            let event = format!("daemon: the core has handled no tick for {stalled_for:?}");
            exit_after(&event, None, || ());
        }
    }
}
