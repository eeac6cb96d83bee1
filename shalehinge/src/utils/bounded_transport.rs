//! A client's connection that ends when the server's response exceeds its bounds.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};
use trillium_server_common::Transport;

use super::response_bounds::{Excess, ResponseBounds, report};

/// Maximum number of bytes of a head that are read at a time.
const READ_SIZE: usize = 4 * 1024;

/// Applies [`ResponseBounds`] to a connection. Once a bound is exceeded, the connection is closed
/// and has nothing more to read, so that it is not reused either.
///
/// A head is handed to the HTTP library only when it is complete: the library doubles its buffer at
/// each read of a head, however few bytes that read returns, so that 30 bytes that arrive one by
/// one would take gigabytes.
#[derive(Debug)]
pub struct BoundedTransport<T> {
    inner: T,
    bounds: ResponseBounds,
    /// Received bytes from the start of a head, until the library has read them.
    held: Vec<u8>,
    /// Number of bytes of `held` that the library has read.
    served: usize,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// The server has closed the connection.
    Ended,
    /// Surplus bytes followed a response, which itself is complete.
    Surplus,
    /// A response exceeded a bound.
    Failed,
}

impl<T: Transport> BoundedTransport<T> {
    /// Wraps a connection on which nothing has been sent.
    pub fn new(inner: T) -> Self {
        Self {
            inner,
            bounds: ResponseBounds::default(),
            held: Vec::new(),
            served: 0,
            state: State::Open,
        }
    }

    /// Applies the bounds to received bytes; returns how many of them belong to the response.
    fn accept(&mut self, context: &mut Context<'_>, bytes: &[u8]) -> Result<usize> {
        match self.bounds.on_received(bytes) {
            Ok(accepted) if accepted == bytes.len() => Ok(accepted),
            Ok(accepted) => {
                self.close(context, Excess::Surplus, State::Surplus);
                Ok(accepted)
            }
            Err(excess) => {
                self.close(context, excess, State::Failed);
                Err(excess_error())
            }
        }
    }

    fn close(&mut self, context: &mut Context<'_>, excess: Excess, state: State) {
        self.state = state;
        if state == State::Failed {
            self.held = Vec::new();
            self.served = 0;
        }
        match self.inner.peer_addr() {
            Ok(Some(peer)) => report(excess, &peer),
            _ => report(excess, &"a server"),
        }
        // Tells the server at once; the socket is closed when the connection is dropped.
        let _ = Pin::new(&mut self.inner).poll_close(context);
    }

    /// Reads until the final head of the response is complete, or the connection ends.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        while self.state == State::Open && self.bounds.awaits_head() {
            let mut bytes = [0; READ_SIZE];
            let length = ready!(Pin::new(&mut self.inner).poll_read(context, &mut bytes))?;
            if length == 0 {
                self.state = State::Ended;
            }
            let accepted = self.accept(context, &bytes[..length])?;
            self.held.extend_from_slice(&bytes[..accepted]);
        }
        Poll::Ready(Ok(()))
    }

    /// Copies held bytes; returns 0 if there are none.
    fn serve_held(&mut self, buffer: &mut [u8]) -> usize {
        let rest = &self.held[self.served..];
        let length = rest.len().min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        self.served += length;
        if self.served == self.held.len() {
            self.held = Vec::new();
            self.served = 0;
        }
        length
    }
}

fn excess_error() -> Error {
    Error::new(ErrorKind::InvalidData, "the response exceeds its bounds")
}

impl<T: Transport> AsyncRead for BoundedTransport<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        ready!(self.poll_head(context))?;
        let length = self.serve_held(buffer);
        if length > 0 {
            return Poll::Ready(Ok(length));
        }
        match self.state {
            State::Open => {}
            // An error would make the library drop the end of a response that it has buffered.
            State::Ended | State::Surplus => return Poll::Ready(Ok(0)),
            State::Failed => return Poll::Ready(Err(excess_error())),
        }
        let length = ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        Poll::Ready(self.accept(context, &buffer[..length]))
    }
}

impl<T: Transport> AsyncWrite for BoundedTransport<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(context, bytes))?;
        self.bounds.on_sent(&bytes[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}

impl<T: Transport> Transport for BoundedTransport<T> {
    fn set_ip_ttl(&mut self, ttl: u32) -> Result<()> {
        self.inner.set_ip_ttl(ttl)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> Result<()> {
        self.inner.set_nodelay(nodelay)
    }

    fn peer_addr(&self) -> Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }
}
