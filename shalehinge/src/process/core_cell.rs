//! Holds the core behind its lock, and ends the process if the core panics.
//!
//! A panic may leave the core's state half changed, so nothing is decided by it afterwards. The
//! process exits from within the panic, while the lock is still held: whichever task or thread
//! handled the event, and whatever would catch the panic, no other event is handled. See
//! docs/design/FAULT_BOUNDS_AND_ADMISSION.md.

use std::cell::Cell;
use std::panic::{self, PanicHookInfo};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, Once};
use std::time::Duration;

use crate::core::daemon::Daemon;
use crate::core::event::{Action, Event};
use crate::core::types::Timestamp;
use crate::utils::fatal::exit_after;

/// Age of the last tick from which the daemon is not ready: 40 ticks.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// The state machine that the driver runs. The daemon runs [`Daemon`]; the trait lets a test wrap
/// it in one that panics or blocks.
pub trait Core: Send {
    /// Handles an event and adds the resulting actions to `actions`.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);

    /// The daemon's state, for reading.
    fn daemon(&self) -> &Daemon;
}

impl Core for Daemon {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Daemon::handle(self, now, event, actions);
    }

    fn daemon(&self) -> &Daemon {
        self
    }
}

/// Whether a core of this process has panicked.
static HAS_PANICKED: AtomicBool = AtomicBool::new(false);

thread_local! {
    /// Number of core sections that this thread is in.
    static CORE_SECTIONS: Cell<u32> = const { Cell::new(0) };
}

/// While it exists, a panic of its thread ends the process.
pub struct CoreSection(());

impl CoreSection {
    /// Enters a section.
    pub fn enter() -> Self {
        CORE_SECTIONS.set(CORE_SECTIONS.get() + 1);
        Self(())
    }
}

impl Drop for CoreSection {
    fn drop(&mut self) {
        CORE_SECTIONS.set(CORE_SECTIONS.get() - 1);
    }
}

/// Makes panics within a [`CoreSection`] end the process. Other panics are handled as before.
pub fn install_panic_hook() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        let previous = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            if CORE_SECTIONS.get() > 0 {
                // From here on, the readiness check fails.
                HAS_PANICKED.store(true, Ordering::SeqCst);
                exit_after_core_panic(&describe(info), || previous(info));
            }
            previous(info);
        }));
    });
}

/// Message and location of a panic in one line.
fn describe(info: &PanicHookInfo<'_>) -> String {
    let message = info.payload_as_str().unwrap_or("no message");
    let message = message.replace('\n', " ");
    match info.location() {
        Some(location) => format!("{message}, at {location}"),
        None => message,
    }
}

fn exit_after_core_panic(reason: &str, report_details: impl FnOnce()) -> ! {
    exit_after("daemon: the core panicked", Some(reason), report_details)
}

/// The core behind its lock, and what is known of it without the lock.
pub struct CoreCell {
    core: Mutex<Box<dyn Core>>,
    /// Whether the daemon was ready after the last event.
    is_ready: AtomicBool,
    /// Time of the last tick, in milliseconds of the core's time; 0 before the first one.
    last_tick_ms: AtomicU64,
}

impl CoreCell {
    /// Wraps a core that has not been ticked.
    pub fn new(core: Box<dyn Core>) -> Self {
        Self {
            core: Mutex::new(core),
            is_ready: AtomicBool::new(false),
            last_tick_ms: AtomicU64::new(0),
        }
    }

    /// Locks the core. A panic while the lock is held ends the process.
    pub fn lock(&self) -> LockedCore<'_> {
        let section = CoreSection::enter();
        let core = match self.core.lock() {
            Ok(core) => core,
            // Reached only if the panic hook was replaced after `install_panic_hook`.
            Err(_) => exit_after_core_panic("its lock is poisoned", || ()),
        };
        LockedCore {
            cell: self,
            core,
            _section: section,
        }
    }

    /// Records that a tick was handled at `now`.
    pub fn record_tick(&self, now: Timestamp) {
        self.last_tick_ms.store(millis(now), Ordering::Release);
    }

    /// Time of the last tick, in milliseconds of the core's time; 0 before the first one. Takes no lock.
    pub fn last_tick_ms(&self) -> u64 {
        self.last_tick_ms.load(Ordering::Acquire)
    }

    /// Whether the daemon should receive new requests: it is ready, and its core has handled a tick
    /// within [`HEARTBEAT_TIMEOUT`]. Takes no lock, so it also answers while the core is blocked.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let last_tick_ms = self.last_tick_ms();
        let age_ms = millis(now).saturating_sub(last_tick_ms);
        !HAS_PANICKED.load(Ordering::SeqCst)
            && last_tick_ms > 0
            && u128::from(age_ms) <= HEARTBEAT_TIMEOUT.as_millis()
            && self.is_ready.load(Ordering::Acquire)
    }
}

/// At least 1, as 0 stands for "never".
fn millis(now: Timestamp) -> u64 {
    (now.as_duration().as_millis() as u64).max(1)
}

/// The locked core.
pub struct LockedCore<'a> {
    cell: &'a CoreCell,
    core: MutexGuard<'a, Box<dyn Core>>,
    _section: CoreSection,
}

impl LockedCore<'_> {
    /// Passes an event to the core and returns the resulting actions.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(now, event, &mut actions);
        let is_ready = self.core.daemon().is_ready();
        self.cell.is_ready.store(is_ready, Ordering::Release);
        actions
    }

    /// The daemon's state.
    pub fn daemon(&self) -> &Daemon {
        self.core.daemon()
    }
}
