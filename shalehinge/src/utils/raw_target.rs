//! Connections that write a request target exactly as the caller sent it.
//!
//! The client library writes the path and query of a parsed URL, and parsing rewrites them: `/a/../b`
//! becomes `/b`, and `'` in a query becomes `%27`. It writes another target for `OPTIONS` and
//! `CONNECT` only. So the URL of an attempt carries the target in hexadecimal digits, which no URL
//! parser changes, and the connection replaces them by the target when the request line is written.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use trillium_server_common::url::Url;
use trillium_server_common::{AsyncRead, AsyncWrite, Connector, Destination, Transport};

use super::http::url;
use super::request_target::RequestTarget;

/// The URL of a request with this target, for a client whose connector is a [`RawTargetConnector`].
pub fn raw_target_url(address: SocketAddr, target: &RequestTarget) -> String {
    let digits = target.as_str().bytes().map(|byte| format!("{byte:02x}"));
    url(address, &format!("/{}", digits.collect::<String>()))
}

/// Connects like `C`, for a single request to a URL of [`raw_target_url`] on each connection.
#[derive(Clone, Copy, Debug)]
pub struct RawTargetConnector<C>(pub C);

impl<C: Connector> Connector for RawTargetConnector<C> {
    type Runtime = C::Runtime;
    type Transport = RawTargetTransport<C::Transport>;
    type Udp = C::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.0.runtime()
    }

    async fn connect(&self, url: &Url) -> Result<Self::Transport> {
        self.0.connect(url).await.map(RawTargetTransport::new)
    }

    async fn connect_to(&self, destination: Destination) -> Result<Self::Transport> {
        let transport = self.0.connect_to(destination).await?;
        Ok(RawTargetTransport::new(transport))
    }

    async fn resolve(&self, host: &str, port: u16) -> Result<Vec<SocketAddr>> {
        self.0.resolve(host, port).await
    }
}

/// A transport that decodes the target in the request line of the first request.
#[derive(Debug)]
pub struct RawTargetTransport<T> {
    transport: T,
    progress: Progress,
}

/// How far the start of the request line, method and target, has been written.
#[derive(Debug)]
enum Progress {
    NotStarted,
    Writing { start: Vec<u8>, written: usize },
    Done,
}

impl<T> RawTargetTransport<T> {
    /// Wraps a connection on which nothing has been written.
    pub fn new(transport: T) -> Self {
        Self {
            transport,
            progress: Progress::NotStarted,
        }
    }
}

/// Decodes the start of a request line, up to the target. Returns it with the number of bytes that
/// it takes in `head`; `None` if the target is not one of [`raw_target_url`].
fn decode_start(head: &[u8]) -> Option<(Vec<u8>, usize)> {
    let mut parts = head.splitn(3, |byte| *byte == b' ');
    let (method, path, _) = (parts.next()?, parts.next()?, parts.next()?);
    let digits = std::str::from_utf8(path.strip_prefix(b"/")?).ok()?;
    let mut start = [method, b" "].concat();
    for index in (0..digits.len()).step_by(2) {
        let byte = digits.get(index..index + 2)?;
        start.push(u8::from_str_radix(byte, 16).ok()?);
    }
    Some((start, method.len() + 1 + path.len()))
}

impl<T: AsyncRead + Unpin> AsyncRead for RawTargetTransport<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.transport).poll_read(cx, bytes)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for RawTargetTransport<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let Self {
            transport,
            progress,
        } = &mut *self;
        let mut transport = Pin::new(transport);
        loop {
            match progress {
                // The client library passes the whole head in its first call.
                Progress::NotStarted => {
                    let Some((start, length)) = decode_start(bytes) else {
                        return Poll::Ready(Err(Error::from(ErrorKind::InvalidInput)));
                    };
                    *progress = Progress::Writing { start, written: 0 };
                    return Poll::Ready(Ok(length));
                }
                Progress::Writing { start, written } => {
                    let remaining = &start[*written..];
                    let remaining_length = remaining.len();
                    let slices = [IoSlice::new(remaining), IoSlice::new(bytes)];
                    let length = ready!(transport.as_mut().poll_write_vectored(cx, &slices))?;
                    if length < remaining_length {
                        if length == 0 {
                            return Poll::Ready(Ok(0));
                        }
                        *written += length;
                        continue;
                    }
                    *progress = Progress::Done;
                    if length > remaining_length {
                        return Poll::Ready(Ok(length - remaining_length));
                    }
                }
                Progress::Done => return transport.poll_write(cx, bytes),
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.transport).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.transport).poll_close(cx)
    }
}

impl<T: Transport> Transport for RawTargetTransport<T> {
    fn peer_addr(&self) -> Result<Option<SocketAddr>> {
        self.transport.peer_addr()
    }
}
