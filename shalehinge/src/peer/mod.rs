//! HTTP with MessagePack between daemons.
//!
//! - `client`: pulls and notices to peers
//! - `server`: what peers send to this daemon

pub mod client;
pub mod server;

/// Path of pulls.
pub const PULL_PATH: &str = "/peer/pull";
/// Path of notices.
pub const NOTICE_PATH: &str = "/peer/notice";
