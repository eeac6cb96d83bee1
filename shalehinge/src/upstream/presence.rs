//! Whether anything listens where an upstream was.

use std::io::ErrorKind;
use std::time::Duration;

use smol::net::TcpStream;

use crate::core::types::Address;
use crate::utils::time::within;

/// Time for a host to refuse a connection. Some hundred round trips; a host that says
/// nothing for so long is cut off or dark.
const ANSWERS_WITHIN: Duration = Duration::from_millis(300);

/// Whether the host is there and nothing listens at this address any more. An upstream that
/// takes the connection, and a host that says nothing, give `false`.
pub async fn refuses_connections(address: Address) -> bool {
    let connected = within(ANSWERS_WITHIN, TcpStream::connect(address)).await;
    matches!(connected, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
