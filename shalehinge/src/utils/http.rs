//! HTTP clients and servers, built alike everywhere.

use std::io::{Error, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use trillium_client::{Client, Conn as ClientConn};
use trillium_server_common::url::Url;
use trillium_server_common::{Connector, Destination};
use trillium_smol::{ClientConfig, SmolRuntime};

use super::time::within;

/// Time for a TCP connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects with a limit, and reports every failure to connect in one way, so
/// that "nothing was sent" can be told from "no answer came".
#[derive(Clone, Copy, Debug, Default)]
pub struct BoundedConnector(ClientConfig);

impl Connector for BoundedConnector {
    type Runtime = SmolRuntime;
    type Transport = <ClientConfig as Connector>::Transport;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.0.runtime()
    }

    async fn connect(&self, url: &Url) -> std::io::Result<Self::Transport> {
        self.connect_to(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> std::io::Result<Self::Transport> {
        let connect = self.0.with_nodelay(true).connect_to_owned(destination);
        match within(CONNECT_TIMEOUT, connect).await {
            Some(Ok(transport)) => Ok(transport),
            Some(Err(error)) => Err(not_connected(&error.to_string())),
            None => Err(not_connected("timed out")),
        }
    }

    async fn resolve(&self, host: &str, port: u16) -> std::io::Result<Vec<SocketAddr>> {
        self.0.resolve(host, port).await
    }
}

/// Owns its configuration, so that the future borrows nothing.
trait ConnectOwned {
    async fn connect_to_owned(
        self,
        destination: Destination,
    ) -> std::io::Result<<ClientConfig as Connector>::Transport>;
}

impl ConnectOwned for ClientConfig {
    async fn connect_to_owned(
        self,
        destination: Destination,
    ) -> std::io::Result<<ClientConfig as Connector>::Transport> {
        self.connect_to(destination).await
    }
}

fn not_connected(why: &str) -> Error {
    Error::new(
        ErrorKind::ConnectionRefused,
        format!("not connected: {why}"),
    )
}

/// Whether a client's error shows that no connection was made, so nothing was sent.
pub fn is_not_connected(error: &trillium_client::Error) -> bool {
    matches!(error, trillium_client::Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Bodies are always at hand whole, so no server is asked first whether it wants one:
/// those that don't know `Expect` would cost the wait for an answer to it.
const NEVER_ASK_FIRST: usize = usize::MAX;

/// A client that keeps connections, for calls that are answered whole.
pub fn pooled_client() -> Client {
    Client::new(BoundedConnector::default()).with_max_buffered_request_body(NEVER_ASK_FIRST)
}

/// A client that uses each connection once, for attempts of callers' requests:
/// what is left of an abandoned one can never reach another request.
pub fn single_use_client() -> Client {
    pooled_client().without_keepalive()
}

/// A URL on an address.
pub fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Sends a request and reads its whole answer, if all of it comes in time.
pub async fn exchange(conn: ClientConn, limit: Duration) -> Option<(u16, Vec<u8>)> {
    let whole = async {
        let mut conn = conn.await.ok()?;
        let status = u16::from(conn.status()?);
        let body = conn.response_body().read_bytes().await.ok()?;
        Some((status, body))
    };
    within(limit, whole).await.flatten()
}

/// Why a port can't be listened on.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("can't listen on {address}: {error}")]
#[diagnostic(help("choose another port in [listen], or end what holds this one"))]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// What the system said.
    pub error: Error,
}

/// Binds a listener, so that a taken port is an error and not a panic.
pub fn bind(address: SocketAddr) -> Result<(smol::net::TcpListener, SocketAddr), ListenError> {
    let bind = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        let listener = smol::Async::new_nonblocking(listener)?;
        Ok((listener.into(), bound))
    };
    bind().map_err(|error| ListenError { address, error })
}
