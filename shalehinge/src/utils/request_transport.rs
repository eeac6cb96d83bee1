//! A caller's connection that passes request heads to the HTTP library only when they are complete.
//!
//! The library doubles its buffer at each read of a head, however few bytes that read returns, so
//! that 30 bytes that arrive one by one would take gigabytes. Incomplete heads are held here instead,
//! within limits of size, time and memory.

use std::borrow::Cow;
use std::convert::Infallible;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use trillium_server_common::{Acceptor, Transport};

use super::body_framing::{BodyFraming, TrailersTooLong};

/// Maximum number of bytes that are read at a time while a head is incomplete.
const READ_SIZE: usize = 4 * 1024;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// End of a line; before a request line it is ignored.
const LINE_END: &[u8] = b"\r\n";
/// First line of a connection that uses HTTP/2 without negotiation.
const HTTP2_PREFACE_LINE: &[u8] = b"PRI * HTTP/2.0\r\n";
/// Start of the response by which the library asks for the body of a request.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 ";
/// How long the rest of a rejected head is read and discarded. If a connection is closed while
/// received bytes are unread, the system resets it, and the caller may lose the response.
const DISCARD_FOR: Duration = Duration::from_secs(2);

/// Limits for the heads of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Maximum size of a request line with its headers, in bytes.
    pub max_bytes: usize,
    /// How long the caller may take to send a complete head, from its first byte.
    pub timeout: Duration,
}

/// An amount that several connections share.
#[derive(Clone, Debug)]
pub struct SharedAmount {
    used: Arc<AtomicUsize>,
    max: usize,
}

impl SharedAmount {
    /// An amount of which nothing is reserved.
    pub fn new(max: usize) -> Self {
        Self {
            used: Arc::default(),
            max,
        }
    }

    fn reservation(&self) -> Reservation {
        Reservation {
            shared: self.clone(),
            reserved: 0,
        }
    }
}

/// A part of a [`SharedAmount`], which is released on drop.
#[derive(Debug)]
struct Reservation {
    shared: SharedAmount,
    reserved: usize,
}

impl Reservation {
    /// Changes the reservation; returns false, and changes nothing, if too little is left.
    fn resize(&mut self, amount: usize) -> bool {
        let (before, max) = (self.reserved, self.shared.max);
        let change = |used: usize| {
            let used = used - before + amount;
            (amount <= before || used <= max).then_some(used)
        };
        let used = &self.shared.used;
        let changed = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
        if changed.is_ok() {
            self.reserved = amount;
        }
        changed.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Wraps the accepted connections of a listener in [`RequestTransport`].
#[derive(Clone)]
pub struct RequestAcceptor {
    limits: Arc<dyn Fn() -> HeadLimits + Send + Sync>,
    memory: SharedAmount,
    /// Connections of the listener that are served.
    served: SharedAmount,
    /// Connections of the listener whose head is incomplete.
    incomplete: SharedAmount,
    /// Connections of the listener whose head was rejected and that are not closed yet.
    rejected: SharedAmount,
}

impl RequestAcceptor {
    /// Applies these limits, which are read at each new connection. `memory` is that of all
    /// incomplete heads of the process, in bytes. Connections above `max_connections` are rejected at
    /// once. Half of that number may have an incomplete head, so that these leave places for other
    /// callers, and a quarter may wait for the callers whose heads were rejected.
    pub fn new(
        limits: impl Fn() -> HeadLimits + Send + Sync + 'static,
        memory: SharedAmount,
        max_connections: usize,
    ) -> Self {
        Self {
            limits: Arc::new(limits),
            memory,
            served: SharedAmount::new(max_connections),
            incomplete: SharedAmount::new(max_connections / 2),
            rejected: SharedAmount::new(max_connections / 4),
        }
    }
}

impl<T: Transport> Acceptor<T> for RequestAcceptor {
    type Output = RequestTransport<T>;
    type Error = Infallible;

    async fn accept(&self, inner: T) -> std::result::Result<Self::Output, Infallible> {
        Ok(RequestTransport::new(inner, self))
    }

    fn is_secure(&self) -> bool {
        false
    }
}

/// Why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejection {
    TooLong,
    TooSlow,
    /// The caller expects HTTP/2, which is not supported.
    Http2,
    /// There are too many connections or incomplete heads, or no memory for them.
    TooMany,
}

impl Rejection {
    fn response(self) -> &'static [u8] {
        match self {
            Self::TooLong => {
                b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            }
            Self::TooSlow => {
                b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            }
            Self::Http2 => {
                b"HTTP/1.1 505 HTTP Version Not Supported\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            }
            Self::TooMany => {
                b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
            }
        }
    }
}

/// What the next received bytes belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// A head, of which this many bytes contain no end.
    Head {
        scanned: usize,
    },
    Body(BodyFraming),
}

/// Progress of the response to the last request that the library has read, or is reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseState {
    /// The response is to come, while the request is incomplete.
    Later,
    /// The response has begun before the request was complete.
    Early,
    /// The request is complete, and its response has not begun.
    Due,
    /// The request is complete, and its response has begun.
    Begun,
}

#[derive(Debug)]
enum State {
    Open,
    /// The caller has ended the connection, or the connection is to be closed.
    Ended,
    /// A head was rejected, and this many bytes of the response are written.
    Rejecting {
        rejection: Rejection,
        written: usize,
    },
    /// The response is written; the rest of the request is discarded.
    Discarding {
        until: Timer,
    },
}

/// A caller's connection, whose heads are held until they are complete.
#[derive(Debug)]
pub struct RequestTransport<T> {
    inner: T,
    limits: HeadLimits,
    /// Memory of an incomplete head, in bytes.
    memory: Reservation,
    /// The connection's place among those that are served.
    place: Reservation,
    incomplete: Reservation,
    rejected: Reservation,
    part: Part,
    /// Received bytes that the library has not read.
    received: Vec<u8>,
    /// Number of bytes of `received` that the library has read.
    served: usize,
    /// Number of bytes of `received` that the library may read.
    complete: usize,
    /// Number of bytes of ignored line ends before the head, which count as part of it.
    ignored: usize,
    /// End of the time for the head that is incomplete.
    head_due: Option<Timer>,
    response: ResponseState,
    state: State,
}

impl<T: Transport> RequestTransport<T> {
    fn new(inner: T, acceptor: &RequestAcceptor) -> Self {
        let mut transport = Self {
            inner,
            limits: (acceptor.limits)(),
            memory: acceptor.memory.reservation(),
            place: acceptor.served.reservation(),
            incomplete: acceptor.incomplete.reservation(),
            rejected: acceptor.rejected.reservation(),
            part: Part::Head { scanned: 0 },
            received: Vec::new(),
            served: 0,
            complete: 0,
            ignored: 0,
            head_due: None,
            response: ResponseState::Begun,
            state: State::Open,
        };
        if !transport.place.resize(1) {
            transport.reject(Rejection::TooMany);
        }
        transport
    }

    /// The connection without the handling of heads.
    pub fn inner(&self) -> &T {
        &self.inner
    }

    /// Copies bytes that the library may read; returns 0 if there are none.
    fn serve(&mut self, buffer: &mut [u8]) -> usize {
        let rest = &self.received[self.served..self.complete];
        let length = rest.len().min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        self.served += length;
        if self.served == self.complete {
            self.received.drain(..self.complete);
            self.received.shrink_to_fit();
            (self.served, self.complete) = (0, 0);
        }
        length
    }

    /// Releases the next part of the received bytes to the library: a complete head, or bytes of a
    /// body, but nothing of the request after it.
    fn release_received(&mut self) -> Result<()> {
        match self.part {
            Part::Head { scanned } => self.release_head(scanned),
            Part::Body(mut framing) => {
                let accepted = framing.on_received(&self.received);
                self.continue_request(framing);
                self.complete = accepted.map_err(trailers_error)?;
            }
        }
        Ok(())
    }

    fn release_head(&mut self, scanned: usize) {
        let line_ends = self.received.chunks_exact(LINE_END.len());
        let ignored = line_ends.take_while(|chunk| *chunk == LINE_END).count() * LINE_END.len();
        self.received.drain(..ignored);
        self.ignored += ignored;
        // The end may have begun in the bytes that were scanned before.
        let from = scanned.saturating_sub(HEAD_END.len() - 1);
        let windows = self.received[from.min(self.received.len())..].windows(HEAD_END.len());
        let end = windows.into_iter().position(|window| window == HEAD_END);
        let length = end.map_or(self.received.len(), |end| from + end + HEAD_END.len());
        if length + self.ignored > self.limits.max_bytes {
            self.reject(Rejection::TooLong);
            return;
        }
        if end.is_none() {
            self.part = Part::Head { scanned: length };
            return;
        }
        let head = &self.received[..length];
        if head.starts_with(HTTP2_PREFACE_LINE) {
            self.reject(Rejection::Http2);
            return;
        }
        let lines = head.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
        let framing = BodyFraming::of_headers(lines.skip(1)).unwrap_or(BodyFraming::Complete);
        self.response = ResponseState::Later;
        self.continue_request(framing);
        self.complete = length;
        self.ignored = 0;
        self.head_due = None;
        self.release_reservations();
    }

    /// Reserves memory for the incomplete head, and limits the time for it.
    fn hold_head(&mut self, context: &mut Context<'_>) {
        if self.received.is_empty() && self.ignored == 0 {
            return;
        }
        if !self.incomplete.resize(1) || !self.memory.resize(self.received.capacity()) {
            self.reject(Rejection::TooMany);
            return;
        }
        let timeout = self.limits.timeout;
        let due = self.head_due.get_or_insert_with(|| Timer::after(timeout));
        if Pin::new(due).poll(context).is_ready() {
            self.reject(Rejection::TooSlow);
        }
    }

    /// Releases what is reserved for an incomplete head.
    fn release_reservations(&mut self) {
        self.memory.resize(0);
        self.incomplete.resize(0);
    }

    fn reject(&mut self, rejection: Rejection) {
        if let Ok(Some(peer)) = self.inner.peer_addr() {
            log::debug!(target: "shalehinge", "http: rejected a request head of {peer}: {rejection:?}");
        }
        self.received = Vec::new();
        self.head_due = None;
        self.release_reservations();
        self.place.resize(0);
        self.state = State::Rejecting {
            rejection,
            written: 0,
        };
    }

    /// Reads and releases received bytes until the library can read some, or the connection ends.
    fn poll_received(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        while self.complete == 0 && matches!(self.state, State::Open) {
            if !self.received.is_empty() {
                self.release_received()?;
                if self.complete > 0 || !matches!(self.state, State::Open) {
                    continue;
                }
            }
            let mut bytes = [0; READ_SIZE];
            match Pin::new(&mut self.inner).poll_read(context, &mut bytes) {
                Poll::Ready(Ok(0)) => self.state = State::Ended,
                Poll::Ready(Ok(length)) => self.received.extend_from_slice(&bytes[..length]),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    self.hold_head(context);
                    if matches!(self.state, State::Open) {
                        return Poll::Pending;
                    }
                }
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Reads bytes of a body without a copy, as no other bytes are held.
    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
        mut framing: BodyFraming,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let length = ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        if length == 0 {
            self.state = State::Ended;
            return Poll::Ready(Ok(0));
        }
        let bytes = &buffer[..length];
        let accepted = framing.on_received(bytes).map_err(trailers_error)?;
        self.received.extend_from_slice(&bytes[accepted..]);
        self.continue_request(framing);
        Poll::Ready(Ok(accepted))
    }

    /// Records how far the body of the request was received.
    fn continue_request(&mut self, framing: BodyFraming) {
        if framing != BodyFraming::Complete {
            self.part = Part::Body(framing);
            return;
        }
        self.part = Part::Head { scanned: 0 };
        self.response = match self.response {
            ResponseState::Later | ResponseState::Due => ResponseState::Due,
            ResponseState::Early | ResponseState::Begun => ResponseState::Begun,
        };
    }

    /// Waits for the end of the connection while a response is due. Only the first bytes of what the
    /// caller sends next are received until then, as a response to it would be taken for the one that
    /// is due, and the library has no limit for what it reads at that time.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Result<usize>> {
        if !self.received.is_empty() {
            // The library reads again after the response.
            return Poll::Pending;
        }
        let mut bytes = [0; READ_SIZE];
        let length = ready!(Pin::new(&mut self.inner).poll_read(context, &mut bytes))?;
        if length == 0 {
            return Poll::Ready(Ok(0));
        }
        self.received.extend_from_slice(&bytes[..length]);
        Poll::Pending
    }

    /// Writes the response to a rejected head and discards the rest of the request.
    fn poll_reject(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        loop {
            match &mut self.state {
                State::Open | State::Ended => return Poll::Ready(Ok(())),
                State::Rejecting { rejection, written } => {
                    let rest = &rejection.response()[*written..];
                    if rest.is_empty() {
                        ready!(Pin::new(&mut self.inner).poll_close(context))?;
                        self.state = if self.rejected.resize(1) {
                            let until = Timer::after(DISCARD_FOR);
                            State::Discarding { until }
                        } else {
                            State::Ended
                        };
                    } else {
                        *written += ready!(Pin::new(&mut self.inner).poll_write(context, rest))?;
                    }
                }
                State::Discarding { until } => {
                    let mut bytes = [0; READ_SIZE];
                    let is_over = Pin::new(until).poll(context).is_ready();
                    if is_over
                        || ready!(Pin::new(&mut self.inner).poll_read(context, &mut bytes))? == 0
                    {
                        self.state = State::Ended;
                    } else {
                        // Lets other tasks run between the reads of a caller that sends without end.
                        context.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                }
            }
        }
    }
}

fn trailers_error(_: TrailersTooLong) -> Error {
    Error::new(ErrorKind::InvalidData, "the trailers are too long")
}

impl<T: Transport> AsyncRead for RequestTransport<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        match self.part {
            Part::Body(framing) if self.received.is_empty() => {
                self.poll_body(context, framing, buffer)
            }
            Part::Head { .. } if self.response == ResponseState::Due && self.complete == 0 => {
                self.poll_end(context)
            }
            Part::Head { .. } | Part::Body(_) => {
                ready!(self.poll_received(context))?;
                ready!(self.poll_reject(context))?;
                Poll::Ready(Ok(self.serve(buffer)))
            }
        }
    }
}

impl<T: Transport> AsyncWrite for RequestTransport<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        if !bytes.starts_with(INTERIM_RESPONSE) {
            self.response = match self.response {
                ResponseState::Later | ResponseState::Early => ResponseState::Early,
                ResponseState::Due | ResponseState::Begun => ResponseState::Begun,
            };
        }
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}

impl<T: Transport> Transport for RequestTransport<T> {
    fn set_linger(&mut self, linger: Option<Duration>) -> Result<()> {
        self.inner.set_linger(linger)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> Result<()> {
        self.inner.set_ip_ttl(ttl)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> Result<()> {
        self.inner.set_nodelay(nodelay)
    }

    fn peer_addr(&self) -> Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }

    /// HTTP/1.1, so that the library doesn't check for the HTTP/2 preface itself.
    fn negotiated_alpn(&self) -> Option<Cow<'_, [u8]>> {
        Some(Cow::Borrowed(b"http/1.1"))
    }
}
