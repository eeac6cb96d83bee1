//! HTTP helpers shared by the stand-in servers.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use shalehinge::utils::http::bind;
use trillium::{Conn, Handler, KnownHeaderName, Status};
use trillium_server_common::ServerHandle;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Starts a server in the background and returns its bound address and its handle. With port 0,
/// the operating system chooses the port.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn serve(
    address: SocketAddr,
    handler: impl Handler,
) -> miette::Result<(SocketAddr, ServerHandle)> {
    let (listener, bound) = bind(address)?;
    let handle = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_prebound_server(listener)
        .spawn(handler);
    Ok((bound, handle))
}

/// Reads a JSON request body. Returns `None` if it can't be read, is longer than 16 MiB or
/// doesn't parse as `T`.
pub async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    let body = conn.request_body().with_max_len(MAX_BODY_BYTES);
    let bytes = body.read_bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Sets a JSON response body and halts the connection, so that later handlers don't run.
pub fn write_json(conn: Conn, status: Status, value: &impl Serialize) -> Conn {
    let body = serde_json::to_string(value).unwrap_or_default();
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(body)
        .halt()
}

/// Returns a parameter of the query string, or `None` if it is absent or doesn't parse as `T`.
/// Percent-encoding isn't decoded.
pub fn query_parameter<T: std::str::FromStr>(conn: &Conn, name: &str) -> Option<T> {
    conn.querystring()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Prints the bound address to standard output, where scripts read it from.
pub fn print_listen_address(name: &str, address: SocketAddr) {
    println!("{name} listens on {address}");
}
