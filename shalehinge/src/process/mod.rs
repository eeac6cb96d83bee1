//! The daemon process: sockets, timers and tasks around the core, which decides.
//!
//! - `driver`: passes events to the core and executes the actions it returns
//! - `pending_requests`: requests in progress whose responses are still being delivered
//! - `peer_traffic`: statistics on pulls from peers
//! - `run`: starts the daemon and shuts it down

pub mod driver;
pub mod peer_traffic;
pub mod pending_requests;
pub mod run;

pub use driver::Driver;
