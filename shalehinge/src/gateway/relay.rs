//! Requests that are relayed unchanged to the upstreams that the configured routes select.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use futures_util::TryStreamExt;
use futures_util::stream;
use sha2::{Digest, Sha256};
use trillium::{Body, Conn, Headers, KnownHeaderName, Status};

use super::GatewayContext;
use super::request_input::body_limits;
use crate::core::admission::urgency::MAX_RANK;
use crate::core::fingerprint::Fingerprint;
use crate::core::objects::RequestKind;
use crate::core::operator::hex;
use crate::core::router::request::{
    Credential, NotRunReason, Outcome, RequestMeta, Target, UnknownReason,
};
use crate::core::routes::{RouteMatch, RouteQuery, RouteRefusal, model_of_service};
use crate::core::types::Customer;
use crate::process::disconnect_guard::DisconnectGuard;
use crate::process::pending_requests::CallerMessage;
use crate::upstream::attempt::{OutgoingRequest, ResponseMode, ResponsePart, WholeResponse};
use crate::upstream::relay::{RelayContext, RelayHeaderNames, ResponseHead};
use crate::upstream::stream_position::StreamPosition;
use crate::utils::body::{BodyError, BodyLimits, read_body, shared_body};
use crate::utils::caller_connection::{CallerConnection, caller_left};
use crate::utils::headers::forwarded_headers;
use crate::utils::request_target::{RequestTarget, RequestTargetError};

/// Customer that requests without a key are counted under.
const ANONYMOUS: &str = "anonymous";
/// Retry delay for callers that arrive before the daemon has routes in force.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A response that the daemon itself generates, with a plain text body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DaemonResponse {
    status: Status,
    text: &'static str,
    retry_after: Option<Duration>,
    closes_connection: bool,
}

impl DaemonResponse {
    const fn new(status: Status, text: &'static str) -> Self {
        Self {
            status,
            text,
            retry_after: None,
            closes_connection: false,
        }
    }

    fn from_refusal(refusal: RouteRefusal) -> Self {
        match refusal {
            RouteRefusal::UnknownRoute => Self::new(Status::NotFound, "no route fits\n"),
            RouteRefusal::UnknownKey => Self::new(Status::Unauthorized, "the key is not known\n"),
            RouteRefusal::NotReady => Self {
                retry_after: Some(NOT_READY_RETRY_AFTER),
                ..Self::new(
                    Status::ServiceUnavailable,
                    "no configuration that is known to be in force; it did not run\n",
                )
            },
        }
    }

    fn from_target_error(error: RequestTargetError) -> Self {
        let text = match error {
            RequestTargetError::Form => "the request target must be an absolute path\n",
            RequestTargetError::Character => {
                "the request target has a character that must be percent-encoded\n"
            }
        };
        Self::new(Status::BadRequest, text)
    }

    fn from_outcome(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun {
                reason: NotRunReason::KeyTakenAway,
                ..
            } => Self::new(Status::Unauthorized, "the key was taken away\n"),
            Outcome::NotRun { retry_after, .. } => Self {
                retry_after: Some(retry_after),
                ..Self::new(Status::ServiceUnavailable, "it did not run\n")
            },
            Outcome::Unknown {
                reason: UnknownReason::DeadlinePassed,
            } => Self::new(Status::GatewayTimeout, "the deadline passed\n"),
            Outcome::Completed | Outcome::Failed { .. } | Outcome::Unknown { .. } => {
                Self::new(Status::BadGateway, "the upstream gave no whole answer\n")
            }
        }
    }

    fn write(self, conn: Conn) -> Conn {
        let mut conn = conn.with_status(self.status).with_body(self.text);
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            conn = conn.with_response_header(KnownHeaderName::RetryAfter, seconds);
        }
        if self.closes_connection {
            conn = conn.with_response_header(KnownHeaderName::Connection, "close");
        }
        conn.halt()
    }
}

/// Relays a request to an upstream and the response back to the caller.
pub async fn handle(context: GatewayContext, names: RelayHeaderNames, mut conn: Conn) -> Conn {
    let (meta, outgoing) = match prepare(&context, names, &mut conn).await {
        Ok(prepared) => prepared,
        Err(response) => return response.write(conn),
    };
    let log_text = request_log_text(&meta, &outgoing);
    let (request, parts) = context.driver.submit(meta, outgoing);
    log::info!(target: "shalehinge", "route: request {} {log_text}", request.0);
    let guard = DisconnectGuard::new(context.driver.clone(), request);
    let first_part = conn
        .cancel_on_disconnect(wait_for_first(parts.clone()))
        .await;
    match first_part {
        // The caller has disconnected; dropping the guard reports it.
        None => conn.halt(),
        Some(FirstPart::Head(head)) => write_stream(conn, head, parts, guard),
        Some(FirstPart::Ended(whole, outcome)) => {
            guard.disarm();
            let closes_connection = context.driver.read(|_, core| !core.is_ready());
            write_whole(conn, whole, outcome, closes_connection)
        }
    }
}

/// Text of the log line of a received request. Its id links the line to the caller's own logs.
fn request_log_text(meta: &RequestMeta, outgoing: &OutgoingRequest) -> String {
    let id = outgoing
        .relay
        .as_ref()
        .and_then(|relay| relay.request_id.as_deref());
    format!(
        "is {} of {} for {}, {} {}, asks {}",
        id.unwrap_or("without id"),
        meta.customer,
        meta.target,
        outgoing.method,
        outgoing.target,
        meta.fingerprint
    )
}

async fn prepare(
    context: &GatewayContext,
    names: RelayHeaderNames,
    conn: &mut Conn,
) -> Result<(RequestMeta, OutgoingRequest), DaemonResponse> {
    let received_at = context.driver.now();
    let request_target = RequestTarget::of(conn).map_err(DaemonResponse::from_target_error)?;
    let headers = conn.request_headers();
    let credential = credential(names, conn);
    let request_id = headers.get_str(names.request_id).map(str::to_owned);
    let spread = request_id.as_deref().map_or(0, request_id_hash);
    let host = headers.get_str(KnownHeaderName::Host).unwrap_or_default();
    let query = RouteQuery {
        host,
        path: request_target.path(),
        key_sha256: credential.as_deref(),
        split_key: spread,
    };
    let (routed, target, limits, sets_priority) = context
        .driver
        .read(|now, core| {
            let routed = core.route(now, query)?;
            let target = target_of(core, &routed, headers.get_str(names.model));
            let sets_priority = core.router().has_overload_order();
            Ok((routed, target, core.routes().limits(), sets_priority))
        })
        .map_err(DaemonResponse::from_refusal)?;
    let holder = routed.holder.as_ref();
    let customer = holder.map(|holder| holder.customer.clone());
    let timeout = Duration::from_millis(routed.route.timeout_ms);
    let requested_timeout = headers
        .get_str(names.deadline)
        .and_then(|text| text.trim().parse().ok())
        .map_or(timeout, Duration::from_millis);
    let prompt_parts = shared_parts(headers.get_str(names.prompt_parts));
    let (prompt_tokens, max_output_tokens) = token_counts(headers.get_str(names.tokens));
    let forwarded = request_headers(names, sets_priority, conn);
    let host_and_path = format!("{host}{request_target}");
    let max_body_bytes = limits.map_or(context.limits.max_body_bytes, |limits| {
        limits.max_body_bytes
    });
    let body = body(context, conn, max_body_bytes).await?;
    let accounted_customer = customer.clone().unwrap_or_else(|| Customer::new(ANONYMOUS));
    let meta = RequestMeta {
        fingerprint: Fingerprint::of(
            &accounted_customer,
            conn.method().as_str(),
            &host_and_path,
            &body,
        ),
        customer: accounted_customer,
        target,
        prompt_tokens,
        max_output_tokens,
        deadline: received_at + requested_timeout.min(timeout),
        first_output_within: target_latency(routed.route.target_latency_ms),
        priority: MAX_RANK.saturating_sub(routed.rank()),
        key: None,
        repeatable: routed.is_repeatable(),
        prefix: Vec::new(),
        prompt_parts,
        max_attempts: Some(routed.route.max_attempts),
        is_resumable: routed.route.kind == RequestKind::Stream && routed.route.is_resumable,
        credential: credential.filter(|_| !routed.route.is_anonymous),
    };
    let outgoing = OutgoingRequest {
        method: conn.method(),
        target: request_target,
        headers: forwarded,
        body,
        response_mode: ResponseMode::Service,
        relay: Some(RelayContext {
            names,
            request_id,
            customer: customer.map(|customer| customer.to_string()),
            position: Arc::new(StreamPosition::default()),
        }),
    };
    Ok((meta, outgoing))
}

/// The target latency of a route; 0 means none.
fn target_latency(target_latency_ms: u64) -> Option<Duration> {
    (target_latency_ms > 0).then(|| Duration::from_millis(target_latency_ms))
}

/// SHA-256 of the caller's key in hexadecimal, if the request has one.
fn credential(names: RelayHeaderNames, conn: &Conn) -> Option<Credential> {
    let header = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization)?;
    let key = header.strip_prefix(names.credential_scheme)?.trim();
    Some(hex(&Sha256::digest(key.as_bytes())).into())
}

/// A hash of the request's id, so that retries by the caller are routed alike.
fn request_id_hash(request_id: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(request_id.as_bytes());
    hasher.finish()
}

/// The model of the service if the configuration has models for it, otherwise the service.
fn target_of(
    core: &crate::core::daemon::Daemon,
    routed: &RouteMatch,
    model: Option<&str>,
) -> Target {
    let fleet = core.state().fleet();
    let has_models = fleet.is_some_and(|fleet| {
        let mut profiles = fleet.value.profiles.values();
        profiles.any(|profile| profile.service == routed.service)
    });
    if has_models {
        return Target::Model(model_of_service(&routed.service, model.unwrap_or_default()));
    }
    Target::Service(routed.service.clone())
}

/// Reads the numbers of prompt and maximum output tokens; 0 means unknown.
fn token_counts(header: Option<&str>) -> (u32, u32) {
    let mut numbers = header
        .unwrap_or_default()
        .split(',')
        .map(|text| text.trim().parse().unwrap_or(0));
    let prompt = numbers.next().unwrap_or(0);
    (prompt, numbers.next().unwrap_or(0))
}

/// Fingerprints of the parts of the prompt that other requests may share, which are all but the last
/// one.
fn shared_parts(header: Option<&str>) -> Vec<Fingerprint> {
    let ids = header.unwrap_or_default().split(',');
    let mut ids: Vec<&str> = ids
        .filter_map(|part| part.split(':').next())
        .map(str::trim)
        .filter(|id| !id.is_empty())
        .collect();
    ids.pop();
    let parts = ids.into_iter();
    parts
        .map(|id| Fingerprint::of_prompt_part(id.as_bytes()))
        .collect()
}

/// Reads the request body of at most `most` bytes.
async fn body(
    context: &GatewayContext,
    conn: &mut Conn,
    max_body_bytes: u64,
) -> Result<Bytes, DaemonResponse> {
    let limits = BodyLimits {
        max_bytes: max_body_bytes,
        ..body_limits(&context.limits)
    };
    let body = read_body(conn, limits, &context.driver.memory).await;
    body.map_err(|error| {
        let text = match error {
            BodyError::Memory(_) => "no memory is free for the body; it did not run\n",
            _ => "the body can't be read\n",
        };
        DaemonResponse {
            retry_after: error.retry_after(),
            closes_connection: true,
            ..DaemonResponse::new(error.status(), text)
        }
    })
}

/// Request headers that are forwarded to the upstream, without those that the daemon sets or
/// evaluates itself.
fn request_headers(names: RelayHeaderNames, sets_priority: bool, conn: &Conn) -> Headers {
    let consumed_headers = ["authorization", names.customer, names.host, names.deadline];
    forwarded_headers(conn.request_headers(), |name| {
        consumed_headers.contains(&name) || sets_priority && name == names.priority
    })
}

/// What the wait for the first part of a response ended with.
enum FirstPart {
    Head(ResponseHead),
    Ended(Option<WholeResponse>, Outcome),
}

async fn wait_for_first(parts: Receiver<CallerMessage>) -> FirstPart {
    let mut whole = None;
    loop {
        match parts.recv().await {
            Ok(CallerMessage::Part(ResponsePart::Head(head))) => return FirstPart::Head(head),
            Ok(CallerMessage::Part(ResponsePart::Whole(response))) => whole = Some(response),
            Ok(CallerMessage::Part(ResponsePart::StreamStart | ResponsePart::Chunk(_))) => {}
            Ok(CallerMessage::Ended(outcome)) => return FirstPart::Ended(whole, outcome),
            Err(_) => {
                let reason = UnknownReason::Lost;
                return FirstPart::Ended(None, Outcome::Unknown { reason });
            }
        }
    }
}

fn write_whole(
    conn: Conn,
    whole: Option<WholeResponse>,
    outcome: Outcome,
    closes_connection: bool,
) -> Conn {
    let forwards_body = matches!(outcome, Outcome::Completed | Outcome::Failed { .. });
    let Some(whole) = whole.filter(|_| forwards_body) else {
        let response = DaemonResponse {
            closes_connection,
            ..DaemonResponse::from_outcome(outcome)
        };
        return response.write(conn);
    };
    let mut conn = write_head(conn, whole.status, whole.headers);
    if closes_connection {
        conn = conn.with_response_header(KnownHeaderName::Connection, "close");
    }
    conn.with_body(shared_body(whole.body)).halt()
}

fn write_head(mut conn: Conn, status: u16, headers: Headers) -> Conn {
    let status = Status::try_from(status).unwrap_or(Status::BadGateway);
    conn.response_headers_mut().remove(KnownHeaderName::Server);
    conn.response_headers_mut().insert_all(headers);
    conn.with_status(status)
}

/// Forwards events as they arrive. If the stream fails, the connection is aborted, so that the
/// caller can detect that the response is incomplete.
fn write_stream(
    conn: Conn,
    head: ResponseHead,
    parts: Receiver<CallerMessage>,
    guard: DisconnectGuard,
) -> Conn {
    let connection = CallerConnection::new(&conn);
    let chunks = stream::unfold(Some((parts, guard, connection)), |state| async move {
        let (parts, guard, connection) = state?;
        loop {
            // Dropping the guard reports that the caller has disconnected.
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
                    if outcome == Outcome::Completed {
                        return None;
                    }
                    // Lets events received before the failure go out first: the server flushes
                    // its buffer whenever the body has nothing ready, and discards it on an error.
                    futures_lite::future::yield_now().await;
                    return Some((Err(stream_failed()), None));
                }
                Err(_) => return Some((Err(stream_failed()), None)),
            }
        }
    });
    let body = Body::new_streaming(Box::pin(chunks).into_async_read(), None);
    write_head(conn, head.status, head.headers)
        .with_body(body)
        .halt()
}

fn stream_failed() -> std::io::Error {
    std::io::Error::new(
        std::io::ErrorKind::ConnectionAborted,
        "the upstream's stream failed before its end",
    )
}
