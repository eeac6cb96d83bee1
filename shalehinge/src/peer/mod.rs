//! Communication between daemons, by MessagePack over HTTP.
//!
//! - `client`: sends pulls and notices to peers
//! - `server`: handles pulls and notices from peers

pub mod client;
pub mod server;

/// Path that pulls are posted to.
pub const PULL_PATH: &str = "/peer/pull";
/// Path that notices are posted to.
pub const NOTICE_PATH: &str = "/peer/notice";
