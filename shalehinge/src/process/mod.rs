//! The daemon process: sockets, timers and tasks around the core, which decides.
//!
//! - `core_cell`: the core behind its lock, and the process's exit if the core panics
//! - `driver`: passes events to the core and executes the actions it returns
//! - `disconnect_guard`: cancels a request when whoever waits for its response is gone
//! - `pending_requests`: requests in progress whose responses are still being delivered
//! - `peer_traffic`: statistics on pulls from peers
//! - `run`: starts the daemon and shuts it down
//! - `watchdog`: the process's exit if the core handles no ticks

pub mod core_cell;
pub mod disconnect_guard;
pub mod driver;
pub mod peer_traffic;
pub mod pending_requests;
pub mod run;
pub mod watchdog;

pub use driver::Driver;
