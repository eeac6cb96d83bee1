//! Checks whether anything listens at an upstream's address.

use std::io::ErrorKind;
use std::time::Duration;

use smol::net::TcpStream;

use crate::core::types::Address;
use crate::utils::time::with_timeout;

/// Time within which a host must accept or refuse a connection. This is about a hundred round trips;
/// a host that stays silent for longer is partitioned or down.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether the host is up and refuses connections at this address, so that the upstream's process
/// has ended. Returns `false` if the connection is accepted or the host does not respond.
pub async fn refuses_connections(address: Address) -> bool {
    let connection = with_timeout(REPLY_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connection, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Whether a connection to this address can be established.
pub async fn accepts_connections(address: Address) -> bool {
    let connection = with_timeout(REPLY_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connection, Some(Ok(_)))
}
