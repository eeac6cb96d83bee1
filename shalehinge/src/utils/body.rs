//! Reads request bodies within limits of size and time.

use std::time::Duration;

use trillium::{Conn, Status};

use super::time::with_timeout;

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
}

impl BodyError {
    /// The HTTP status of the response.
    pub fn status(self) -> Status {
        match self {
            Self::TooLong { .. } => Status::PayloadTooLarge,
            Self::Incomplete => Status::BadRequest,
            Self::TooSlow { .. } => Status::RequestTimeout,
        }
    }
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns an error if the body is too long, breaks off or does not arrive in time.
pub async fn read_body(conn: &mut Conn, limits: BodyLimits) -> Result<Vec<u8>, BodyError> {
    let BodyLimits { max_bytes, timeout } = limits;
    let body = conn.request_body().with_max_len(max_bytes);
    match with_timeout(timeout, body.read_bytes()).await {
        Some(Ok(bytes)) => Ok(bytes),
        Some(Err(trillium_http::Error::ReceivedBodyTooLong(_))) => {
            Err(BodyError::TooLong { max_bytes })
        }
        Some(Err(_)) => Err(BodyError::Incomplete),
        None => Err(BodyError::TooSlow { timeout }),
    }
}
