//! HTTP clients and servers, built alike everywhere.

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

/// Time in which a large answer must be whole, though parts of it go on coming. 1 MB,
/// the most that the platform keeps in one object, over a twentieth of a link of 20 Mbit/s.
pub const LARGE_ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// How long an answer may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Time until its head comes.
    pub head: Duration,
    /// Time in which no part of its body comes.
    pub silence: Duration,
    /// Time until it is whole.
    pub whole: Duration,
}

impl AnswerLimits {
    /// All of it within so long.
    pub fn in_all(limit: Duration) -> Self {
        Self {
            head: limit,
            silence: limit,
            whole: limit,
        }
    }

    /// Its head within `head`; then parts of it must come at intervals of `silence` at most.
    /// With a limit for the whole, what is too large for a busy link is given up and asked
    /// for again without end.
    pub fn of_large(head: Duration, silence: Duration) -> Self {
        Self {
            head,
            silence,
            whole: head + LARGE_ANSWER_TIMEOUT,
        }
    }
}

/// Sends a request and reads its whole answer, if all of it comes in time.
pub async fn exchange(conn: ClientConn, limit: Duration) -> Option<(u16, Vec<u8>)> {
    exchange_within(conn, AnswerLimits::in_all(limit)).await
}

/// Sends a request and reads its whole answer, as long as it comes within these limits.
pub async fn exchange_within(conn: ClientConn, limits: AnswerLimits) -> Option<(u16, Vec<u8>)> {
    let answer = exchange_with_headers(conn, limits).await?;
    Some((answer.status, answer.body))
}

/// An answer that came whole.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
}

/// Like [`exchange_within`], with the headers of the answer.
pub async fn exchange_with_headers(conn: ClientConn, limits: AnswerLimits) -> Option<WholeAnswer> {
    let whole = async {
        let conn = within(limits.head, conn.into_future()).await?.ok()?;
        let mut answer = Answer::new(conn);
        let body = answer.read(limits.silence).await?;
        answer.into_parts(body)
    };
    within(limits.whole, whole).await.flatten()
}

/// An answer that is being read. Its connection is closed unless all of it was: the library
/// would else read on to use it again, and answers that were given up would fill the link.
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

    /// Gives the connection back, as its answer was read whole.
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
