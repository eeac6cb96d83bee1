//! Bounds on what a server sends as a response, applied to the bytes as they arrive.
//!
//! The HTTP library bounds one head and the body that it returns, but not a sequence of interim
//! heads, the number of headers, the trailers of a chunked body, or bytes after a response. See
//! docs/design/ENDLESS_RESPONSES.md.

use std::fmt::{self, Display, Formatter};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use trillium_client::Error;

use super::body_framing::{BodyFraming, TrailersTooLong};

/// Maximum size of the heads of one response together, interim ones included, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers in one head.
pub const MAX_HEADERS: usize = 100;
/// Maximum size of a body that is read as a whole, in bytes.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Limit of a body that is a stream: its events or frames are bounded instead.
pub const UNLIMITED: u64 = u64::MAX;
/// Minimum time between two log lines about exceeded bounds.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The bound that a response exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excess {
    /// The heads are too long.
    Head,
    /// A head has too many headers.
    Headers,
    /// The trailers are too long.
    Trailers,
    /// A whole body is too long.
    Body,
    /// An event of a stream is too long.
    Event,
    /// A frame of a peer's answer is too long.
    Frame,
    /// Bytes follow a complete response.
    Surplus,
}

impl Display for Excess {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Head => "a head that is too long",
            Self::Headers => "too many headers",
            Self::Trailers => "trailers that are too long",
            Self::Body => "a body that is too long",
            Self::Event => "an event that is too long",
            Self::Frame => "a frame that is too long",
            Self::Surplus => "bytes after a complete response",
        })
    }
}

/// Number of responses that exceeded a bound and have not been taken by [`take_exceeded`].
static EXCEEDED: AtomicU64 = AtomicU64::new(0);
/// Time of the last log line, and the number of responses since.
static LOGGED: Mutex<(Option<Instant>, u64)> = Mutex::new((None, 0));

/// Returns the number of responses that exceeded a bound since the last call.
pub fn take_exceeded() -> u64 {
    EXCEEDED.swap(0, Ordering::Relaxed)
}

/// Counts and logs a response from `server` that exceeded a bound.
pub fn report(excess: Excess, server: &dyn Display) {
    EXCEEDED.fetch_add(1, Ordering::Relaxed);
    let Ok(mut logged) = LOGGED.lock() else {
        return;
    };
    let (logged_at, unlogged) = *logged;
    if logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
        logged.1 = unlogged + 1;
        return;
    }
    *logged = (Some(Instant::now()), 0);
    log::warn!(
        target: "shalehinge",
        "http: {server} sent {excess}, its connection is closed; {unlogged} more since the last such line"
    );
}

/// Like [`report`], for an error of the HTTP library if it states that a bound was exceeded.
pub fn report_error(error: &Error, server: &dyn Display) {
    match error {
        Error::HeadersTooLong => report(Excess::Head, server),
        Error::ReceivedBodyTooLong(_) => report(Excess::Body, server),
        Error::Io(error) => report_io_error(error, server),
        _ => {}
    }
}

/// Like [`report_error`], for an error of reading a body.
pub fn report_io_error(error: &std::io::Error, server: &dyn Display) {
    // The library uses this kind only for a body that is too long.
    if error.kind() == std::io::ErrorKind::Unsupported {
        report(Excess::Body, server);
    }
}

/// What the next bytes belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// To nothing: no request awaits a response.
    Nothing,
    Head,
    Body(BodyFraming),
}

impl Part {
    fn body(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::Complete => Self::Nothing,
            framing => Self::Body(framing),
        }
    }
}

/// Follows the framing of the responses on one connection, as far as bounds need it.
#[derive(Clone, Debug)]
pub struct ResponseBounds {
    part: Part,
    /// Whether the request is a HEAD request, whose response has no body.
    is_head_request: bool,
    /// The head that is being received.
    head: Vec<u8>,
    /// Number of line ends in `head`.
    head_lines: usize,
    /// Size of all complete heads of the response.
    earlier_head_bytes: usize,
}

impl Default for ResponseBounds {
    fn default() -> Self {
        Self {
            part: Part::Nothing,
            is_head_request: false,
            head: Vec::new(),
            head_lines: 0,
            earlier_head_bytes: 0,
        }
    }
}

impl ResponseBounds {
    /// Records that bytes are sent. After a complete response, they begin the next request.
    pub fn on_sent(&mut self, bytes: &[u8]) {
        if self.part == Part::Nothing && !bytes.is_empty() {
            self.part = Part::Head;
            self.is_head_request = bytes.starts_with(b"HEAD ");
            self.earlier_head_bytes = 0;
        }
    }

    /// Whether the final head of a response is awaited or incomplete.
    pub fn awaits_head(&self) -> bool {
        self.part == Part::Head
    }

    /// Processes received bytes. Returns how many of them belong to the response; what follows
    /// is surplus.
    ///
    /// # Errors
    ///
    /// The bound that the response exceeds.
    pub fn on_received(&mut self, bytes: &[u8]) -> Result<usize, Excess> {
        let mut at = 0;
        while at < bytes.len() && self.part != Part::Nothing {
            let rest = &bytes[at..];
            at += match self.part {
                Part::Nothing => 0,
                Part::Head => {
                    self.on_head_byte(rest[0])?;
                    1
                }
                Part::Body(mut framing) => {
                    let length = framing.on_received(rest);
                    self.part = Part::body(framing);
                    length.map_err(|TrailersTooLong| Excess::Trailers)?
                }
            };
        }
        Ok(at)
    }

    fn on_head_byte(&mut self, byte: u8) -> Result<(), Excess> {
        if self.earlier_head_bytes + self.head.len() >= MAX_HEAD_BYTES {
            return Err(Excess::Head);
        }
        self.head.push(byte);
        if byte != b'\n' {
            return Ok(());
        }
        self.head_lines += 1;
        // The status line and the empty line are no headers.
        if self.head_lines > MAX_HEADERS + 2 {
            return Err(Excess::Headers);
        }
        if self.head.ends_with(HEAD_END) {
            self.earlier_head_bytes += self.head.len();
            self.head_lines = 0;
            let head = std::mem::take(&mut self.head);
            self.part = self.part_after_head(&head);
        }
        Ok(())
    }

    fn part_after_head(&self, head: &[u8]) -> Part {
        let mut lines = head.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
        let status = lines.next().and_then(status);
        match status {
            None | Some(101) => return Part::Body(BodyFraming::UntilClose),
            Some(100..200) => return Part::Head,
            Some(204 | 304) => return Part::Nothing,
            Some(_) if self.is_head_request => return Part::Nothing,
            Some(_) => {}
        }
        Part::body(BodyFraming::of_headers(lines).unwrap_or(BodyFraming::UntilClose))
    }
}

/// The three digits after the first blank of a status line.
fn status(line: &[u8]) -> Option<u16> {
    let at = line.iter().position(|byte| *byte == b' ')?;
    let digits = line.get(at + 1..at + 4)?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}
