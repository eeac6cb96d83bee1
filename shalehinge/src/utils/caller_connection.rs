//! Notices that a caller has closed its connection while a response is being written to it.
//!
//! The HTTP library reads from a connection only between requests, and otherwise notices its end
//! at the next write. A stream without output for a while would keep its upstream busy until then.

use std::any::Any;
use std::future::pending;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_lite::AsyncReadExt;
use smol::net::TcpStream;
use trillium::{Conn, Transport};
use trillium_server_common::Server;

use super::listener::Listener;
use super::request_transport::RequestTransport;
use super::task::spawn;
use super::time::with_timeout;

/// The transport of connections that a [`Listener`] accepts.
type ServerTransport = RequestTransport<<Listener as Server>::Transport>;

/// A second handle of a caller's connection.
#[derive(Clone, Debug)]
pub struct CallerConnection(Option<TcpStream>);

impl CallerConnection {
    /// Takes a handle of the connection. One that is not a plain TCP connection is not observed.
    pub fn new(conn: &Conn) -> Self {
        let inner: &trillium_http::Conn<Box<dyn Transport>> = conn.as_ref();
        let tcp = tcp_stream(&**inner.transport());
        if tcp.is_none() {
            log::warn!(target: "shalehinge", "route: a caller's connection can't be observed");
        }
        Self(tcp)
    }

    /// Waits for a value, or returns `None` if the caller closes the connection first.
    pub async fn unless_closed<T>(&self, value: impl Future<Output = T>) -> Option<T> {
        let arrives = async { Some(value.await) };
        let closes = async {
            self.closed().await;
            None
        };
        // A value that is ready takes precedence over the end of the connection.
        smol::future::or(arrives, closes).await
    }

    /// Completes when the caller has closed the connection. Stays pending if the caller sends
    /// another request meanwhile, as its end can't be seen behind that request.
    async fn closed(&self) {
        let Some(stream) = &self.0 else {
            return pending().await;
        };
        let mut byte = [0];
        match stream.peek(&mut byte).await {
            Ok(0) => {}
            Err(error) if is_disconnect(error.kind()) => {}
            Ok(_) => pending().await,
            Err(error) => {
                log::warn!(target: "shalehinge", "route: can't observe a caller: {error}");
                pending().await
            }
        }
    }
}

/// How long the rest of a request is read and discarded after its response.
const DISCARD_FOR: Duration = Duration::from_secs(2);
/// Maximum number of connections whose rest is discarded at the same time; others are closed at once.
const MAX_DISCARDING: usize = 256;

static DISCARDING: AtomicUsize = AtomicUsize::new(0);

/// Reads and discards the rest of the request after its response was sent, for a while. If a
/// connection is closed while bytes of its request have not been read, the system resets it, and the
/// caller may lose the response.
pub fn discard_rest_after_response(conn: &mut Conn) {
    let inner: &mut trillium_http::Conn<Box<dyn Transport>> = conn.as_mut();
    let Some(stream) = tcp_stream(&**inner.transport()) else {
        return;
    };
    inner.after_send(move |_| {
        let before = DISCARDING.fetch_add(1, Ordering::Relaxed);
        if before < MAX_DISCARDING {
            spawn(async move {
                with_timeout(DISCARD_FOR, discard(stream)).await;
                DISCARDING.fetch_sub(1, Ordering::Relaxed);
            })
            .detach();
        } else {
            DISCARDING.fetch_sub(1, Ordering::Relaxed);
        }
    });
}

/// Ends the own side of a connection and reads until the other side has ended its own.
async fn discard(mut stream: TcpStream) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut chunk = vec![0; 16 * 1024];
    while let Ok(1..) = stream.read(&mut chunk).await {}
}

/// The TCP stream in a transport, which the HTTP library may have boxed more than once.
fn tcp_stream(transport: &dyn Transport) -> Option<TcpStream> {
    let content: &dyn Any = transport;
    if let Some(boxed) = content.downcast_ref::<Box<dyn Transport>>() {
        return tcp_stream(&**boxed);
    }
    let tcp = content.downcast_ref::<ServerTransport>()?.inner();
    Some(tcp.clone().into_inner())
}

/// The error that ends the response to a caller that has closed the connection.
pub fn caller_left() -> std::io::Error {
    std::io::Error::new(ErrorKind::ConnectionAborted, "the caller disconnected")
}

fn is_disconnect(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::BrokenPipe
            | ErrorKind::NotConnected
    )
}
