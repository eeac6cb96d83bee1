//! Reads bodies within limits of size, time and memory.

use std::time::Duration;

use bytes::Bytes;
use futures_lite::io::Cursor;
use futures_lite::{AsyncRead, AsyncReadExt};
use trillium::{Body, Conn, Status};

use super::caller_connection::discard_rest_after_response;
use super::memory_budget::{BodyReservation, GrowingReservation, MemoryBudget, MemoryError, hold};
use super::time::with_timeout;

/// First step by which the buffer of a body of unknown length grows.
const FIRST_STEP: u64 = 16 * 1024;
/// Further steps: few enough calls for a body of several megabytes.
const STEP: u64 = 256 * 1024;
/// When callers are told to come back whose bodies got no memory.
pub const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits for a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub max_bytes: u64,
    /// How long the sender may take to send the complete body.
    pub timeout: Duration,
}

/// Why a request body can't be read. The rest of the request is not read, so the connection can't
/// be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body may have {max_bytes} bytes")]
    TooLong {
        /// Maximum size, in bytes.
        max_bytes: u64,
    },
    /// The sender closed the connection, or sent an invalid chunk.
    #[error("the body broke off; send it whole")]
    Incomplete,
    /// The body did not arrive in time.
    #[error("the body did not come within {} s; send it faster", timeout.as_secs())]
    TooSlow {
        /// How long the sender may take.
        timeout: Duration,
    },
    /// The budget has no memory for the body.
    #[error("there is no memory for the body: {0}; it did not run, so send it again later")]
    Memory(MemoryError),
}

impl BodyError {
    /// The HTTP status of the response.
    pub fn status(self) -> Status {
        match self {
            Self::TooLong { .. } => Status::PayloadTooLarge,
            Self::Incomplete => Status::BadRequest,
            Self::TooSlow { .. } => Status::RequestTimeout,
            Self::Memory(_) => Status::ServiceUnavailable,
        }
    }

    /// When the caller may send the request again, if a retry makes sense.
    pub fn retry_after(self) -> Option<Duration> {
        matches!(self, Self::Memory(_)).then_some(MEMORY_RETRY_AFTER)
    }
}

/// Reads the whole body of a request. Its memory is reserved before it is read, and given back when
/// the last reference to the returned bytes is dropped.
///
/// # Errors
///
/// Returns an error if the body is too long, breaks off, does not arrive in time or gets no memory.
pub async fn read_body(
    conn: &mut Conn,
    limits: BodyLimits,
    memory: &MemoryBudget,
) -> Result<Bytes, BodyError> {
    let (bytes, reservation) = read_body_and_reservation(conn, limits, memory).await?;
    Ok(hold(bytes, reservation))
}

/// Like [`read_body`], with the reservation apart.
///
/// # Errors
///
/// Returns an error if the body is too long, breaks off, does not arrive in time or gets no memory.
pub async fn read_body_and_reservation(
    conn: &mut Conn,
    limits: BodyLimits,
    memory: &MemoryBudget,
) -> Result<(Vec<u8>, BodyReservation), BodyError> {
    let BodyLimits { max_bytes, timeout } = limits;
    // The limit is checked below, where its error can be told from that of an invalid chunk.
    let body = conn.request_body().with_max_len(u64::MAX);
    let length = body.content_length();
    let read = read_reserved(body, length, max_bytes, Some(timeout), memory.body());
    let result = read.await.map_err(|error| match error {
        ReadError::TooLong => BodyError::TooLong { max_bytes },
        ReadError::Incomplete => BodyError::Incomplete,
        ReadError::TooSlow => BodyError::TooSlow { timeout },
        ReadError::Memory(error) => BodyError::Memory(error),
    });
    let sender_may_go_on = !matches!(result, Ok(_) | Err(BodyError::Incomplete));
    if sender_may_go_on {
        discard_rest_after_response(conn);
    }
    result
}

/// Why a body can't be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// It is longer than allowed.
    TooLong,
    /// Its connection ended, or it is not valid.
    Incomplete,
    /// It did not arrive in time.
    TooSlow,
    /// It got no memory.
    Memory(MemoryError),
}

/// Reads a body of at most `max_bytes` to its end, without a copy of it: with a known `length` all
/// of its memory is reserved before it is read, otherwise in steps. The wait for the memory of a
/// known length does not count against `timeout`.
///
/// # Errors
///
/// Returns an error if the body is too long, breaks off, does not arrive in time or gets no memory.
pub async fn read_reserved<R: GrowingReservation>(
    mut body: impl AsyncRead + Unpin,
    length: Option<u64>,
    max_bytes: u64,
    timeout: Option<Duration>,
    mut reservation: R,
) -> Result<(Vec<u8>, R), ReadError> {
    if length == Some(0) {
        return Ok((Vec::new(), reservation));
    }
    if length.is_some_and(|length| length > max_bytes) {
        return Err(ReadError::TooLong);
    }
    let capacity = length.unwrap_or(FIRST_STEP);
    grow(&mut reservation, capacity).await?;
    let read = async {
        let mut buffer = vec![0; capacity as usize];
        let mut filled = 0;
        loop {
            if filled == buffer.len() {
                if length.is_some() {
                    break;
                }
                let step = if (filled as u64) < STEP {
                    FIRST_STEP
                } else {
                    STEP
                };
                let capacity = filled as u64 + step;
                grow(&mut reservation, capacity).await?;
                buffer.reserve_exact(step as usize);
                buffer.resize(capacity as usize, 0);
            }
            let count = body.read(&mut buffer[filled..]).await;
            let count = count.map_err(|_| ReadError::Incomplete)?;
            if count == 0 {
                break;
            }
            filled += count;
            if filled as u64 > max_bytes {
                return Err(ReadError::TooLong);
            }
        }
        buffer.truncate(filled);
        buffer.shrink_to_fit();
        Ok(buffer)
    };
    let buffer = match timeout {
        Some(timeout) => with_timeout(timeout, read)
            .await
            .ok_or(ReadError::TooSlow)??,
        None => read.await?,
    };
    reservation.shrink_to(buffer.len() as u64);
    Ok((buffer, reservation))
}

async fn grow(reservation: &mut impl GrowingReservation, total: u64) -> Result<(), ReadError> {
    let reserved = reservation.grow_to(total).await;
    reserved.map_err(ReadError::Memory)
}

/// A body to send, which refers to the bytes instead of copying them.
pub fn shared_body(bytes: Bytes) -> Body {
    if bytes.is_empty() {
        return Body::new_static(Vec::new());
    }
    let length = bytes.len() as u64;
    Body::new_streaming(Cursor::new(bytes), Some(length))
}

/// Like [`shared_body`], of pieces that are sent one after the other.
pub fn shared_body_of([first, second, third]: [Bytes; 3]) -> Body {
    let length = first.len() + second.len() + third.len();
    let rest = Cursor::new(second).chain(Cursor::new(third));
    Body::new_streaming(Cursor::new(first).chain(rest), Some(length as u64))
}
