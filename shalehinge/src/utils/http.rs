//! Common configuration of HTTP clients and listeners.

use std::io::{Error, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use futures_lite::AsyncReadExt;
use trillium_client::{Client, Conn as ClientConn, KnownHeaderName};
use trillium_http::Headers;
use trillium_server_common::url::Url;
use trillium_server_common::{Connector, Destination};
use trillium_smol::{ClientConfig, SmolRuntime};

use super::time::within;

/// Time-out for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects with a time-out and reports every connection failure by the same error kind, so that
/// "nothing was sent" can be distinguished from "no response arrived".
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

/// Like [`Connector::connect_to`], but takes the configuration by value, so that the future
/// borrows nothing.
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

/// Whether a client error shows that no connection was established, so that nothing was sent.
pub fn is_not_connected(error: &trillium_client::Error) -> bool {
    matches!(error, trillium_client::Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Body size from which the client sends `Expect: 100-continue`. Bodies are always held in memory,
/// so it is never sent: servers that don't support `Expect` would cost the client a time-out.
const NEVER_ASK_FIRST: usize = usize::MAX;

/// Creates a client that reuses connections, for calls whose response is read to its end.
pub fn pooled_client() -> Client {
    Client::new(BoundedConnector::default()).with_max_buffered_request_body(NEVER_ASK_FIRST)
}

/// Creates a client that uses each connection once, for attempts of callers' requests: the rest of
/// an abandoned response can then never be taken for the response to another request.
pub fn single_use_client() -> Client {
    pooled_client().without_keepalive()
}

/// Builds an `http` URL from an address and a path.
pub fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Additional time for a large response to complete while its data keeps arriving: the time that
/// 1 MB, the platform's maximum object size, takes over a twentieth of a 20 Mbit/s link.
pub const LARGE_ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Time-outs for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Maximum time until the head has arrived.
    pub head: Duration,
    /// Maximum time between two chunks of the body.
    pub silence: Duration,
    /// Maximum time until the response is complete.
    pub whole: Duration,
}

impl AnswerLimits {
    /// The whole response must arrive within `limit`.
    pub fn in_all(limit: Duration) -> Self {
        Self {
            head: limit,
            silence: limit,
            whole: limit,
        }
    }

    /// Time-outs for a large response: the head must arrive within `head`, and then chunks of the
    /// body at intervals of at most `silence`. With `head` as the limit for the whole response,
    /// one that is too large for a busy link would be abandoned and requested again forever.
    pub fn of_large(head: Duration, silence: Duration) -> Self {
        Self {
            head,
            silence,
            whole: head + LARGE_ANSWER_TIMEOUT,
        }
    }
}

/// Sends a request and reads its whole response. Returns the status and the body, or `None` if the
/// response did not arrive completely within `limit`.
pub async fn exchange(conn: ClientConn, limit: Duration) -> Option<(u16, Vec<u8>)> {
    exchange_within(conn, AnswerLimits::in_all(limit)).await
}

/// Sends a request and reads its whole response. Returns the status and the body, or `None` if the
/// response did not arrive completely within these time-outs.
pub async fn exchange_within(conn: ClientConn, limits: AnswerLimits) -> Option<(u16, Vec<u8>)> {
    let answer = exchange_with_headers(conn, limits).await?;
    Some((answer.status, answer.body))
}

/// A response that was read to its end.
#[derive(Debug)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
}

/// Like [`exchange_within`], and returns the response headers too.
pub async fn exchange_with_headers(conn: ClientConn, limits: AnswerLimits) -> Option<WholeAnswer> {
    let whole = async {
        let conn = within(limits.head, conn.into_future()).await?.ok()?;
        let mut answer = Answer::new(conn);
        let body = answer.read(limits.silence).await?;
        answer.into_parts(body)
    };
    within(limits.whole, whole).await.flatten()
}

/// A response that is being read. Unless it was read to its end, its connection is closed on drop.
/// The HTTP library would otherwise read the rest in order to reuse the connection, and abandoned
/// responses would saturate the link.
struct Answer(Option<ClientConn>);

impl Answer {
    fn new(conn: ClientConn) -> Self {
        Self(Some(conn))
    }

    async fn read(&mut self, silence: Duration) -> Option<Vec<u8>> {
        const PIECE: usize = 16 * 1024;
        let mut body = self.0.as_mut()?.response_body();
        let mut piece = vec![0; PIECE];
        let mut bytes = Vec::new();
        loop {
            let count = within(silence, body.read(&mut piece)).await?.ok()?;
            if count == 0 {
                return Some(bytes);
            }
            bytes.extend_from_slice(&piece[..count]);
        }
    }

    /// Releases the connection for reuse, as the response was read to its end.
    fn into_parts(mut self, body: Vec<u8>) -> Option<WholeAnswer> {
        let conn = self.0.take()?;
        Some(WholeAnswer {
            status: u16::from(conn.status()?),
            headers: conn.response_headers().clone(),
            body,
        })
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if let Some(conn) = self.0.take() {
            drop(conn.with_request_header(KnownHeaderName::Connection, "close"));
        }
    }
}

/// Error of binding a listener.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("can't listen on {address}: {error}")]
#[diagnostic(help("choose another port in [listen], or stop the process that uses this one"))]
pub struct ListenError {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub error: Error,
}

/// Binds a listener and returns it with its actual address. The socket is bound here and not by
/// the server library, which would panic if the port is in use.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
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
