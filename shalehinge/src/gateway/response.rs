//! Responses to callers: errors with a stable code, whole responses and streams.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use futures_util::TryStreamExt;
use futures_util::stream;
use serde::Serialize;
use trillium::{Body, Conn, KnownHeaderName, Status};

use super::GatewayContext;
use crate::core::router::request::{NotRunReason, Outcome, RequestMeta, UnknownReason};
use crate::core::types::RequestId;
use crate::process::Driver;
use crate::process::disconnect_guard::DisconnectGuard;
use crate::process::pending_requests::CallerMessage;
use crate::upstream::attempt::{OutgoingRequest, ResponsePart, WholeResponse};
use crate::utils::body::shared_body;
use crate::utils::caller_connection::{CallerConnection, caller_left};

/// Response header with the outcome of the request: `completed`, `failed`, `not_run` or
/// `unknown`.
pub const OUTCOME_HEADER: &str = "x-shalehinge-outcome";
/// Response header with the request's number, which is unique within a run of this daemon.
pub const REQUEST_HEADER: &str = "x-shalehinge-request";

/// An error response in the JSON form that callers of this API expect.
#[derive(Clone, Debug, PartialEq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: Status,
    /// Machine-readable error code, which does not change between versions.
    pub code: &'static str,
    /// Human-readable description of the error and of what the caller can do.
    pub message: String,
    /// Value of the [`OUTCOME_HEADER`]: `failed`, `not_run` or `unknown`.
    pub outcome: &'static str,
    /// Time after which the caller may retry, if a retry makes sense.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the response, because the rest of the request can't
    /// be read.
    pub closes_connection: bool,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_seconds: Option<u64>,
}

impl ErrorResponse {
    /// An invalid request, which was not run. The status is 400.
    pub fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: Status::BadRequest,
            code,
            message: message.into(),
            outcome: "not_run",
            retry_after: None,
            closes_connection: false,
        }
    }

    /// The request has no key. The status is 401.
    pub fn no_key() -> Self {
        let message = "no key was given; send it as `Authorization: Bearer KEY`";
        Self {
            status: Status::Unauthorized,
            ..Self::bad_request("no_key", message)
        }
    }

    /// The key belongs to no customer. The status is 401.
    pub fn unknown_key() -> Self {
        let message = "this key is not known; ask the operators of the fleet for one";
        Self {
            status: Status::Unauthorized,
            ..Self::bad_request("unknown_key", message)
        }
    }

    /// The error response for an outcome, or `None` for a completed request.
    pub fn from_outcome(outcome: Outcome) -> Option<Self> {
        match outcome {
            Outcome::Completed => None,
            Outcome::Failed { status } => Some(Self {
                status: Status::BadGateway,
                code: "upstream_failed",
                message: format!("the upstream answered with status {status}; see its own error"),
                outcome: "failed",
                retry_after: None,
                closes_connection: false,
            }),
            Outcome::NotRun {
                reason,
                retry_after,
            } => Some(Self::not_run(reason, retry_after)),
            Outcome::Unknown { reason } => Some(Self::unknown(reason)),
        }
    }

    fn not_run(reason: NotRunReason, retry_after: Duration) -> Self {
        let (status, code, message) = match reason {
            NotRunReason::NoUpstream => (
                Status::ServiceUnavailable,
                "no_upstream",
                "no replica can take the request now; it did not run, so send it again later",
            ),
            NotRunReason::NoUpstreamInTime => (
                Status::ServiceUnavailable,
                "no_upstream_in_time",
                "no upstream takes requests until the time given; it did not run, so send it again then",
            ),
            NotRunReason::WouldBeLate => (
                Status::ServiceUnavailable,
                "would_be_late",
                "the request could not be answered by its deadline; it did not run, so send it again later or with more time",
            ),
            NotRunReason::QueueFull => (
                Status::TooManyRequests,
                "queue_full",
                "too many requests wait; it did not run, so send it again later",
            ),
            NotRunReason::Refused => (
                Status::ServiceUnavailable,
                "refused",
                "every upstream that was tried refused; it did not run, so send it again later",
            ),
            NotRunReason::UnknownTarget => (
                Status::NotFound,
                "unknown_model",
                "there is no such model or service; GET /v1/models lists the models",
            ),
            NotRunReason::ClaimUnavailable => (
                Status::ServiceUnavailable,
                "key_not_claimed",
                "the key could not be recorded, so the request did not run; send it again later with the same key",
            ),
            NotRunReason::Stopping => (
                Status::ServiceUnavailable,
                "stopping",
                "this entry host is stopping; it did not run, so send it again",
            ),
            NotRunReason::CallerLeft => (
                Status::ServiceUnavailable,
                "caller_left",
                "the caller left before the request ran",
            ),
            NotRunReason::KeyTakenAway => (
                Status::Unauthorized,
                "key_taken_away",
                "the key was taken away while the request waited; it did not run",
            ),
            NotRunReason::Quarantined => (
                Status::ServiceUnavailable,
                "quarantined",
                "upstreams crashed when they ran this request; it did not run this time, so change it or ask the operators",
            ),
            NotRunReason::Unreachable => (
                Status::ServiceUnavailable,
                "unreachable",
                "no upstream can be reached from here; it did not run, so send it elsewhere or later",
            ),
            NotRunReason::OutOfDate => (
                Status::ServiceUnavailable,
                "out_of_date",
                "this entry host can't tell whether the key is still good; it did not run, so send it elsewhere or later",
            ),
        };
        Self {
            status,
            code,
            message: message.to_owned(),
            outcome: "not_run",
            retry_after: Some(retry_after),
            closes_connection: false,
        }
    }

    fn unknown(reason: UnknownReason) -> Self {
        let (status, code, message) = match reason {
            UnknownReason::Lost => (
                Status::BadGateway,
                "upstream_lost",
                "the upstream broke off; the request may have run",
            ),
            UnknownReason::WrongAnswer => (
                Status::BadGateway,
                "wrong_answer",
                "the upstream gave an answer that does not belong to this request; it may have run",
            ),
            UnknownReason::DeadlinePassed => (
                Status::GatewayTimeout,
                "deadline_passed",
                "the deadline passed while the request ran; it may have run to its end",
            ),
            UnknownReason::KeyUsed => (
                Status::Conflict,
                "key_used",
                "a request with this key has run, or may have; look for its result before you use a new key",
            ),
            UnknownReason::CallerLeft => (
                Status::BadGateway,
                "caller_left",
                "the caller left while the request ran",
            ),
        };
        Self {
            status,
            code,
            message: message.to_owned(),
            outcome: "unknown",
            retry_after: None,
            closes_connection: false,
        }
    }

    fn json(&self) -> String {
        let is_caller_error = u16::from(self.status) < 500;
        let kind = if is_caller_error {
            "invalid_request_error"
        } else {
            "server_error"
        };
        let body = ErrorBody {
            error: ErrorFields {
                message: &self.message,
                kind,
                code: self.code,
                outcome: self.outcome,
                retry_after_seconds: self.retry_after.map(ceil_seconds),
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Writes the error to the connection as its response.
    pub fn write(&self, conn: Conn) -> Conn {
        let conn = conn
            .with_status(self.status)
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .with_response_header(OUTCOME_HEADER, self.outcome)
            .with_body(self.json());
        let conn = if self.closes_connection {
            conn.with_response_header(KnownHeaderName::Connection, "close")
        } else {
            conn
        };
        match self.retry_after {
            Some(after) => {
                let seconds = ceil_seconds(after).to_string();
                conn.with_response_header(KnownHeaderName::RetryAfter, seconds)
            }
            None => conn,
        }
        .halt()
    }

    /// The error encoded as the last event of a stream.
    fn event(&self) -> Vec<u8> {
        format!("data: {}\n\n", self.json()).into_bytes()
    }
}

/// The duration in seconds, rounded up, at least 1.
fn ceil_seconds(duration: Duration) -> u64 {
    duration.as_millis().div_ceil(1000).max(1) as u64
}

/// A submitted request whose response has not been written yet.
struct PendingResponse {
    driver: Arc<Driver>,
    request: RequestId,
    parts: Receiver<CallerMessage>,
    /// Whether the request is cancelled when its caller disconnects.
    cancels_on_disconnect: bool,
    received_at: Instant,
}

/// Submits a valid request and writes its response, or writes the error found by validation.
pub async fn submit_and_respond(
    context: GatewayContext,
    conn: Conn,
    received_at: Instant,
    prepared: Result<(RequestMeta, OutgoingRequest), ErrorResponse>,
) -> Conn {
    let (meta, outgoing) = match prepared {
        Ok(prepared) => prepared,
        Err(error) => return error.write(conn),
    };
    let cancels_on_disconnect = meta.repeatable;
    let (request, parts) = context.driver.submit(meta, outgoing);
    let pending = PendingResponse {
        driver: context.driver,
        request,
        parts,
        cancels_on_disconnect,
        received_at,
    };
    pending.write(conn).await
}

/// What the wait for the first part of a response ended with.
enum FirstPart {
    Stream,
    Whole(Option<WholeResponse>, Outcome),
}

impl PendingResponse {
    /// Waits for the response and writes it to the connection.
    async fn write(self, mut conn: Conn) -> Conn {
        let guard = if self.cancels_on_disconnect {
            DisconnectGuard::new(self.driver.clone(), self.request)
        } else {
            DisconnectGuard::disarmed(self.driver.clone(), self.request)
        };
        let parts = self.parts.clone();
        let first = conn.cancel_on_disconnect(wait_for_first(parts)).await;
        let conn = conn.with_response_header(REQUEST_HEADER, self.request.0.to_string());
        match first {
            // The caller has disconnected; dropping the guard reports it if it is armed.
            None => conn.halt(),
            Some(FirstPart::Stream) => {
                self.driver
                    .metrics
                    .record_first_output(self.received_at.elapsed());
                write_stream(conn, self.parts, guard)
            }
            Some(FirstPart::Whole(whole, outcome)) => {
                guard.disarm();
                self.driver
                    .metrics
                    .record_first_output(self.received_at.elapsed());
                write_whole(conn, whole, outcome)
            }
        }
    }
}

async fn wait_for_first(parts: Receiver<CallerMessage>) -> FirstPart {
    let mut whole = None;
    loop {
        match parts.recv().await {
            Ok(CallerMessage::Part(ResponsePart::StreamStart)) => return FirstPart::Stream,
            Ok(CallerMessage::Part(ResponsePart::Whole(response))) => whole = Some(response),
            Ok(CallerMessage::Part(ResponsePart::Chunk(_) | ResponsePart::Head(_))) => {}
            Ok(CallerMessage::Ended(outcome)) => return FirstPart::Whole(whole, outcome),
            Err(_) => {
                let reason = UnknownReason::Lost;
                return FirstPart::Whole(None, Outcome::Unknown { reason });
            }
        }
    }
}

fn write_whole(mut conn: Conn, whole: Option<WholeResponse>, outcome: Outcome) -> Conn {
    let forwards_body = matches!(outcome, Outcome::Completed | Outcome::Failed { .. });
    let Some(whole) = whole.filter(|_| forwards_body) else {
        let error = ErrorResponse::from_outcome(outcome);
        let lost = || ErrorResponse::unknown(UnknownReason::Lost);
        return error.unwrap_or_else(lost).write(conn);
    };
    let outcome_name = match outcome {
        Outcome::Completed => "completed",
        _ => "failed",
    };
    let content_type = whole
        .content_type
        .unwrap_or_else(|| "application/octet-stream".into());
    let status = Status::try_from(whole.status).unwrap_or(Status::BadGateway);
    conn.response_headers_mut().insert_all(whole.headers);
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, content_type)
        .with_response_header(OUTCOME_HEADER, outcome_name)
        .with_body(shared_body(whole.body))
        .halt()
}

fn write_stream(conn: Conn, parts: Receiver<CallerMessage>, guard: DisconnectGuard) -> Conn {
    let connection = CallerConnection::new(&conn);
    let chunks = stream::unfold(Some((parts, guard, connection)), |state| async move {
        let (parts, guard, connection) = state?;
        loop {
            // Dropping the guard reports that the caller has disconnected, if it is armed.
            let Some(part) = connection.unless_closed(parts.recv()).await else {
                return Some((Err(caller_left()), None));
            };
            match part {
                Ok(CallerMessage::Part(ResponsePart::Chunk(chunk))) => {
                    return Some((Ok(chunk), Some((parts, guard, connection))));
                }
                Ok(CallerMessage::Part(_)) => {}
                Ok(CallerMessage::Ended(outcome)) => {
                    guard.disarm();
                    let error = ErrorResponse::from_outcome(outcome)?;
                    return Some((Ok(error.event().into()), None));
                }
                Err(_) => return None,
            }
        }
    });
    let body = Body::new_streaming(Box::pin(chunks).into_async_read(), None);
    conn.with_status(Status::Ok)
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_response_header(KnownHeaderName::CacheControl, "no-cache")
        .with_body(body)
        .halt()
}
