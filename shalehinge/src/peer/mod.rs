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

use serde::de::DeserializeOwned;

use crate::core::bounds::{CheckBounds, OutOfBounds};

/// Why a peer's message can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The sender runs another version, or is no daemon.
    #[error("not a message of this version: {0}")]
    Format(#[from] rmp_serde::decode::Error),
    /// A value is impossible.
    #[error(transparent)]
    Bounds(#[from] OutOfBounds),
}

/// Decodes a peer's message and checks its values.
///
/// # Errors
///
/// The message has another form, or contains a value out of its range.
pub fn decode_message<T: DeserializeOwned + CheckBounds>(message: &[u8]) -> Result<T, DecodeError> {
    let message: T = rmp_serde::from_slice(message)?;
    message.check_bounds()?;
    Ok(message)
}

/// Path that pulls are posted to.
pub const PULL_PATH: &str = "/peer/pull";
/// Path that requests are posted to which a daemon hands to a peer.
pub const FORWARD_PATH: &str = "/peer/forward";
/// Path that notices are posted to.
pub const NOTICE_PATH: &str = "/peer/notice";
