//! Small helpers that belong to no part.
//!
//! - `clock`: the clock that all terms and ages are reckoned on
//! - `http`: clients and servers built alike everywhere
//! - `task`: tasks side by side
//! - `time`: waiting with a limit

pub mod clock;
pub mod http;
pub mod task;
pub mod time;
