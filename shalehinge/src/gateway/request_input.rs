//! Reading and validation of callers' request headers and bodies.

use std::hash::Hasher;
use std::time::Duration;

use bytes::Bytes;
use siphasher::sip128::{Hasher128, SipHasher13};
use trillium::Conn;

use super::GatewayContext;
use super::response::ErrorResponse;
use crate::core::objects::KeyHash;
use crate::core::types::Customer;
use crate::settings::daemon::LimitSettings;
use crate::utils::body::{BodyError, BodyLimits, read_body};
use crate::utils::request_target::RequestTargetError;

/// Request header with the time until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Request header with the priority, from 0 to 9.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Request header with an idempotency key: requests of a customer with the same key run at most
/// once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header that is `true` if running the request twice would do harm.
pub const NOT_REPEATABLE_HEADER: &str = "x-not-repeatable";

/// Highest priority that a caller can ask for.
const MAX_PRIORITY: u8 = 9;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The options that a caller sets by request headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOptions {
    /// Time from now until the whole response must have been sent.
    pub time_limit: Duration,
    /// Priority, from 0 to 9.
    pub priority: u8,
    /// Hash of the customer and the idempotency key, if a key was given.
    pub key: Option<KeyHash>,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
}

/// Reads the options of a request from its headers.
///
/// # Errors
///
/// Returns an error response with status 400 if one of the headers is invalid.
pub fn options(
    context: &GatewayContext,
    conn: &Conn,
    customer: &Customer,
) -> Result<RequestOptions, ErrorResponse> {
    let headers = conn.request_headers();
    let key = headers.get_str(IDEMPOTENCY_KEY_HEADER);
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        let message = format!("Idempotency-Key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(ErrorResponse::bad_request("bad_key", message));
    }
    let not_repeatable = match headers.get_str(NOT_REPEATABLE_HEADER) {
        None | Some("false") => false,
        Some("true") => true,
        Some(_) => {
            let message = "x-not-repeatable must be true or false";
            return Err(ErrorResponse::bad_request("bad_not_repeatable", message));
        }
    };
    Ok(RequestOptions {
        time_limit: time_limit(context, headers.get_str(DEADLINE_HEADER))?,
        priority: priority(headers.get_str(PRIORITY_HEADER))?,
        key: key.map(|key| key_hash(customer, key)),
        repeatable: !not_repeatable && key.is_none(),
    })
}

fn time_limit(context: &GatewayContext, header: Option<&str>) -> Result<Duration, ErrorResponse> {
    let Some(text) = header else {
        return Ok(context.limits.default_deadline);
    };
    let milliseconds = text.trim().parse::<i64>().map_err(|_| {
        let message = "x-deadline-ms must be a whole number of milliseconds from now";
        ErrorResponse::bad_request("bad_deadline", message)
    })?;
    if milliseconds <= 0 {
        let message = "the deadline has passed; send the request with time left";
        return Err(ErrorResponse::bad_request("deadline_in_past", message));
    }
    let time_limit = Duration::from_millis(milliseconds.unsigned_abs());
    Ok(time_limit.min(context.limits.max_deadline))
}

fn priority(header: Option<&str>) -> Result<u8, ErrorResponse> {
    let Some(text) = header else {
        return Ok(0);
    };
    let parsed = text.trim().parse::<u8>().ok();
    parsed
        .filter(|value| *value <= MAX_PRIORITY)
        .ok_or_else(|| {
            let message = "x-priority must be a whole number from 0 to 9";
            ErrorResponse::bad_request("bad_priority", message)
        })
}

/// Hashes a key together with its customer, so that equal keys of two customers differ. The hash
/// is the same on every daemon.
fn key_hash(customer: &Customer, key: &str) -> KeyHash {
    let mut hasher = SipHasher13::new();
    hasher.write(customer.as_str().as_bytes());
    // Customer names and header values contain no zero byte, so it separates them unambiguously.
    hasher.write_u8(0);
    hasher.write(key.as_bytes());
    KeyHash(hasher.finish128().as_u128())
}

/// Reads the whole body within the gateway's limits of size and time.
///
/// # Errors
///
/// Returns an error response that closes the connection if the body is too large, does not
/// arrive in time, is cut off or gets no memory.
pub async fn body(context: &GatewayContext, conn: &mut Conn) -> Result<Bytes, ErrorResponse> {
    let limits = body_limits(&context.limits);
    let body = read_body(conn, limits, &context.driver.memory).await;
    body.map_err(body_error_response)
}

/// The limits for callers' request bodies.
pub fn body_limits(limits: &LimitSettings) -> BodyLimits {
    BodyLimits {
        max_bytes: limits.max_body_bytes,
        timeout: limits.body_timeout,
    }
}

/// The error response to a request whose target can't be forwarded unchanged.
pub fn target_error_response(error: RequestTargetError) -> ErrorResponse {
    ErrorResponse::bad_request("bad_target", error.to_string())
}

fn body_error_response(error: BodyError) -> ErrorResponse {
    let code = match error {
        BodyError::TooLong { .. } => "body_too_large",
        BodyError::Incomplete => "body_broken",
        BodyError::TooSlow { .. } => "body_too_slow",
        BodyError::Memory(_) => "no_memory",
    };
    ErrorResponse {
        status: error.status(),
        closes_connection: true,
        retry_after: error.retry_after(),
        ..ErrorResponse::bad_request(code, error.to_string())
    }
}
