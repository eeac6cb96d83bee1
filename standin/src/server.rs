//! What the stand-in servers share.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use shalehinge::utils::http::bind;
use trillium::{Conn, Handler, KnownHeaderName, Status};
use trillium_server_common::ServerHandle;

/// Bytes of a body at most.
const MAX_BODY: u64 = 16 * 1024 * 1024;

/// Serves on an address; port 0 lets the system choose.
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

/// Reads a body in JSON.
pub async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    let body = conn.request_body().with_max_len(MAX_BODY);
    let bytes = body.read_bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Answers with JSON.
pub fn write_json(conn: Conn, status: Status, value: &impl Serialize) -> Conn {
    let body = serde_json::to_string(value).unwrap_or_default();
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(body)
        .halt()
}

/// A parameter of the query.
pub fn query<T: std::str::FromStr>(conn: &Conn, name: &str) -> Option<T> {
    conn.querystring()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Prints a line that a script can read the bound address from.
pub fn announce(what: &str, address: SocketAddr) {
    println!("{what} listens on {address}");
}
