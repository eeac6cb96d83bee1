//! Small helpers that belong to no part.
//!
//! - `http`: clients and servers built alike everywhere
//! - `task`: tasks side by side
//! - `time`: waiting with a limit

pub mod http;
pub mod task;
pub mod time;
