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

use super::bounded_transport::BoundedTransport;
use super::raw_target::RawTargetConnector;
use super::response_bounds::{Excess, MAX_BODY_BYTES, report, report_error, report_io_error};
use super::time::with_timeout;

/// Time-out for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time-out for establishing the connection of an attempt of a caller's request: below the time
/// after which a lost packet is sent again, as another upstream can take the request at once.
pub const ATTEMPT_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Connects with a time-out, bounds what servers send, and reports every connection failure by the same error kind, so that
/// "nothing was sent" can be distinguished from "no response arrived".
#[derive(Clone, Copy, Debug)]
pub struct BoundedConnector {
    config: ClientConfig,
    timeout: Duration,
}

impl Connector for BoundedConnector {
    type Runtime = SmolRuntime;
    type Transport = BoundedTransport<<ClientConfig as Connector>::Transport>;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.config.runtime()
    }

    async fn connect(&self, url: &Url) -> std::io::Result<Self::Transport> {
        self.connect_to(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> std::io::Result<Self::Transport> {
        let connect = self.config.with_nodelay(true).connect_to_owned(destination);
        match with_timeout(self.timeout, connect).await {
            Some(Ok(transport)) => Ok(BoundedTransport::new(transport)),
            Some(Err(error)) => Err(not_connected(&error.to_string())),
            None => Err(not_connected("timed out")),
        }
    }

    async fn resolve(&self, host: &str, port: u16) -> std::io::Result<Vec<SocketAddr>> {
        self.config.resolve(host, port).await
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

fn not_connected(reason: &str) -> Error {
    Error::new(
        ErrorKind::ConnectionRefused,
        format!("not connected: {reason}"),
    )
}

/// Whether a client error shows that no connection was established, so that nothing was sent.
pub fn is_not_connected(error: &trillium_client::Error) -> bool {
    matches!(error, trillium_client::Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Body size from which the client sends `Expect: 100-continue`. Bodies are always held in memory,
/// so it is never sent: servers that don't support `Expect` would cost the client a time-out.
const NEVER_EXPECT_CONTINUE: usize = usize::MAX;

/// Creates a client that reuses connections, for calls whose response is read to its end.
pub fn pooled_client() -> Client {
    client(connector(CONNECT_TIMEOUT))
}

/// Creates a client that uses each connection once: the rest of an abandoned response can then never
/// be taken for the response to another request.
pub fn single_use_client() -> Client {
    client(connector(ATTEMPT_CONNECT_TIMEOUT)).without_keepalive()
}

/// Like [`single_use_client`], for attempts of callers' requests, whose targets are sent unchanged.
/// It takes only URLs of [`raw_target_url`](super::raw_target::raw_target_url).
pub fn attempt_client() -> Client {
    client(RawTargetConnector(connector(ATTEMPT_CONNECT_TIMEOUT))).without_keepalive()
}

fn connector(timeout: Duration) -> BoundedConnector {
    BoundedConnector {
        config: ClientConfig::default(),
        timeout,
    }
}

fn client(connector: impl Connector) -> Client {
    Client::new(connector).with_max_buffered_request_body(NEVER_EXPECT_CONTINUE)
}

/// Builds an `http` URL from an address and a path. The path is rewritten to the form that a URL
/// parser gives it, so it must not be one that a caller sent.
pub fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Additional time for a large response to complete while its data keeps arriving: the time that
/// 1 MB, the platform's maximum object size, takes over a twentieth of a 20 Mbit/s link.
pub const LARGE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time-outs for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimeouts {
    /// Maximum time until the head has arrived.
    pub head: Duration,
    /// Maximum time between two chunks of the body.
    pub idle: Duration,
    /// Maximum time until the response is complete.
    pub total: Duration,
}

impl ResponseTimeouts {
    /// The whole response must arrive within `limit`.
    pub fn uniform(limit: Duration) -> Self {
        Self {
            head: limit,
            idle: limit,
            total: limit,
        }
    }

    /// Time-outs for a large response: the head must arrive within `head`, and then chunks of the
    /// body at intervals of at most `idle`. With `head` as the limit for the whole response,
    /// one that is too large for a busy link would be abandoned and requested again forever.
    pub fn for_large_response(head: Duration, idle: Duration) -> Self {
        Self {
            head,
            idle,
            total: head + LARGE_RESPONSE_TIMEOUT,
        }
    }
}

/// Sends a request and reads its whole response. Returns the status and the body, or `None` if the
/// response did not arrive completely within `limit`.
pub async fn exchange(conn: ClientConn, limit: Duration) -> Option<(u16, Vec<u8>)> {
    exchange_with_timeouts(conn, ResponseTimeouts::uniform(limit)).await
}

/// Sends a request and reads its whole response. Returns the status and the body, or `None` if the
/// response did not arrive completely within these time-outs.
pub async fn exchange_with_timeouts(
    conn: ClientConn,
    timeouts: ResponseTimeouts,
) -> Option<(u16, Vec<u8>)> {
    let response = exchange_with_headers(conn, timeouts).await?;
    Some((response.status, response.body))
}

/// A response that was read to its end.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
}

/// Like [`exchange_with_timeouts`], and returns the response headers too.
pub async fn exchange_with_headers(
    conn: ClientConn,
    timeouts: ResponseTimeouts,
) -> Option<HttpResponse> {
    let receive = async {
        let mut response = PendingResponse::new(conn);
        with_timeout(timeouts.head, response.read_head()).await??;
        let body = response.read(timeouts.idle).await?;
        response.into_http_response(body)
    };
    with_timeout(timeouts.total, receive).await.flatten()
}

/// A response that is awaited or being read. Unless it was read to its end, its connection is closed on drop.
/// The HTTP library would otherwise read the rest in order to reuse the connection, and abandoned
/// responses would saturate the link.
struct PendingResponse(Option<ClientConn>);

impl PendingResponse {
    fn new(conn: ClientConn) -> Self {
        Self(Some(conn))
    }

    /// Sends the request and reads the head of its response.
    async fn read_head(&mut self) -> Option<()> {
        let conn = self.0.as_mut()?;
        let server = conn.url().authority().to_owned();
        let result = conn.await;
        result
            .inspect_err(|error| report_error(error, &server))
            .ok()
    }

    async fn read(&mut self, idle: Duration) -> Option<Vec<u8>> {
        const CHUNK_SIZE: usize = 16 * 1024;
        let conn = self.0.as_mut()?;
        let server = conn.url().authority().to_owned();
        let mut body = conn.response_body().with_max_len(MAX_BODY_BYTES);
        // The library would read a declared length up to the limit before it fails.
        if body
            .content_length()
            .is_some_and(|length| length > MAX_BODY_BYTES)
        {
            report(Excess::Body, &server);
            return None;
        }
        let mut chunk = vec![0; CHUNK_SIZE];
        let mut bytes = Vec::new();
        loop {
            let read = with_timeout(idle, body.read(&mut chunk)).await?;
            let length = read
                .inspect_err(|error| report_io_error(error, &server))
                .ok()?;
            if length == 0 {
                return Some(bytes);
            }
            bytes.extend_from_slice(&chunk[..length]);
        }
    }

    /// Releases the connection for reuse, as the response was read to its end.
    fn into_http_response(mut self, body: Vec<u8>) -> Option<HttpResponse> {
        let conn = self.0.take()?;
        Some(HttpResponse {
            status: u16::from(conn.status()?),
            headers: conn.response_headers().clone(),
            body,
        })
    }
}

impl Drop for PendingResponse {
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

/// Number of new connections that may wait to be accepted. The standard library sets 128; callers
/// that exceed it repeat their first packet only after a second.
const BACKLOG: i32 = 1_024;

/// Binds a listener and returns it with its actual address. The socket is bound here and not by
/// the server library, which would panic if the port is in use.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(address: SocketAddr) -> Result<(smol::net::TcpListener, SocketAddr), ListenError> {
    let bind = || {
        let listener = TcpListener::bind(address)?;
        rustix::net::listen(&listener, BACKLOG)?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        let listener = smol::Async::new_nonblocking(listener)?;
        Ok((listener.into(), bound))
    };
    bind().map_err(|error| ListenError { address, error })
}
