//! Small helpers that belong to no part.
//!
//! - `http`: clients and servers built alike everywhere
//! - `time`: waiting with a limit

pub mod http;
pub mod time;
