//! Communication between daemons, by MessagePack over HTTP.
//!
//! - `client`: sends pulls and notices to peers
//! - `forward_message`: the request that a daemon hands to a peer, and the peer's answer
//! - `forward_client`, `forward_server`: the two sides of that
//! - `server`: handles pulls and notices from peers

pub mod client;
mod forward_client;
pub mod forward_message;
mod forward_server;
pub mod server;

/// Path that pulls are posted to.
pub const PULL_PATH: &str = "/peer/pull";
/// Path that requests are posted to which a daemon hands to a peer.
pub const FORWARD_PATH: &str = "/peer/forward";
/// Path that notices are posted to.
pub const NOTICE_PATH: &str = "/peer/notice";
