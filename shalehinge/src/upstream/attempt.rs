//! One attempt of a caller's request, at an engine or a plain service.
//!
//! Each attempt uses a connection of its own. Responses of engines are passed on only if they
//! carry this attempt's id.

use bytes::Bytes;
use futures_lite::AsyncReadExt;
use serde::{Deserialize, Serialize};
use trillium_client::{Client, Conn, Method, ResponseBody};
use trillium_http::Headers;

use super::relay::{self, RelayContext, ResponseHead};
use super::signal::{self, SIGNAL_HEADER_NAMES};
use crate::core::router::request::{Attempt, AttemptEnd};
use crate::core::signal::UpstreamSignal;
use crate::core::types::Address;
use crate::utils::body::{ReadError, read_reserved, shared_body};
use crate::utils::headers::forwarded_headers;
use crate::utils::http::is_not_connected;
use crate::utils::memory_budget::{ResponseMemory, hold};
use crate::utils::raw_target::raw_target_url;
use crate::utils::request_target::RequestTarget;
use crate::utils::response_bounds::{Excess, UNLIMITED, report, report_error};

/// Start of the names of headers between daemons and upstreams, which are never forwarded.
pub const OWN_HEADER_PREFIX: &str = "x-shalehinge-";
/// Header with the attempt's id, sent to upstreams and echoed by them.
pub const ATTEMPT_HEADER: &str = "x-shalehinge-attempt";
/// Request header with the id of the replica group that must respond.
pub const GROUP_HEADER: &str = "x-shalehinge-group";
/// Request header with the time left until the deadline, in milliseconds.
pub const TIME_LEFT_HEADER: &str = "x-shalehinge-time-left-ms";
/// Request header with the priority, from 0 to 9.
pub const PRIORITY_HEADER: &str = "x-shalehinge-priority";
/// Response header by which an engine reports that it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-shalehinge-not-run";
/// Start of the line that ends a stream of events.
pub const STREAM_END_MARKER: &[u8] = b"data: [DONE]";

/// Maximum size of the body of a whole response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;
/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Number of bytes at the start of a line that are kept, enough to recognize the end marker.
const LINE_PREFIX_BYTES: usize = 64;
/// Maximum number of bytes read from a stream at a time.
const READ_SIZE: usize = 8 * 1024;

/// A request as it is sent to upstreams.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Request target, as the caller sent it.
    pub target: RequestTarget,
    /// Headers to forward.
    pub headers: Headers,
    /// Body, shared by all attempts of the request.
    pub body: Bytes,
    /// How the response is read.
    pub response_mode: ResponseMode,
    /// Set if the request is relayed unchanged.
    pub relay: Option<RelayContext>,
}

/// How the response to an attempt is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseMode {
    /// A model's response in one piece.
    Whole,
    /// A model's response as a stream of events.
    Stream,
    /// A plain service's response, forwarded unchanged.
    Service,
}

/// A part of a response that an attempt passes on to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The start of a stream.
    StreamStart,
    /// The start of a relayed stream, with its status and headers.
    Head(ResponseHead),
    /// A chunk of a stream.
    Chunk(Bytes),
    /// A whole response.
    Whole(WholeResponse),
}

/// A response in one piece.
#[derive(Clone, Debug, PartialEq)]
pub struct WholeResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if one was given.
    pub content_type: Option<String>,
    /// Headers to forward to the caller; none of a model's response.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
}

/// Receives the response parts and signals of an attempt.
pub trait ResponseSink {
    /// Passes on a part; waits while the caller reads slowly. Returns whether it was passed on: not
    /// if another attempt of the request has taken the place of this one.
    fn pass(&self, part: ResponsePart) -> impl Future<Output = bool> + Send;

    /// The memory of the response.
    fn memory(&self) -> &ResponseMemory;

    /// Reports what the upstream states about itself in its response headers.
    fn on_signal(&self, signal: UpstreamSignal);
}

/// Sends the request to the upstream of the attempt and passes its response to the sink.
/// Returns how the attempt ended.
pub async fn run(
    client: &Client,
    attempt: &Attempt,
    request: &OutgoingRequest,
    sink: &impl ResponseSink,
) -> AttemptEnd {
    if let Some(relay) = &request.relay {
        return relay::run(client, attempt, request, relay, sink).await;
    }
    let conn = match build_request(client, attempt, request).await {
        Ok(conn) => conn,
        Err(error) if is_not_connected(&error) => return AttemptEnd::NotSent,
        Err(error) => {
            report_error(&error, &attempt.address);
            return AttemptEnd::Lost;
        }
    };
    let Some(status) = conn.status().map(u16::from) else {
        return AttemptEnd::Lost;
    };
    if !is_final(status) {
        return AttemptEnd::WrongAnswer;
    }
    let headers = conn.response_headers();
    let echoed = headers.get_str(ATTEMPT_HEADER);
    let has_wrong_id = match request.response_mode {
        ResponseMode::Whole | ResponseMode::Stream => {
            echoed != Some(attempt.id.to_string().as_str())
        }
        // Plain services are not required to echo the header.
        ResponseMode::Service => echoed.is_some_and(|echoed| echoed != attempt.id.to_string()),
    };
    if has_wrong_id {
        return AttemptEnd::WrongAnswer;
    }
    let is_success = (200..300).contains(&status);
    sink.on_signal(signal::read(&conn, status, SIGNAL_HEADER_NAMES));
    let is_engine = request.response_mode != ResponseMode::Service;
    if is_engine && headers.get_str(NOT_RUN_HEADER).is_some() {
        return AttemptEnd::Refused;
    }
    if request.response_mode == ResponseMode::Stream && is_success {
        return read_stream(conn, attempt.address, sink).await;
    }
    read_whole(conn, status, attempt.address, is_engine, sink).await
}

/// Whether a response with this status is an answer to a request. No request asks for an upgrade, so
/// `101 Switching Protocols` is none.
pub(super) fn is_final(status: u16) -> bool {
    (200..600).contains(&status)
}

fn build_request(client: &Client, attempt: &Attempt, request: &OutgoingRequest) -> Conn {
    let mut conn = client
        .build_conn(
            request.method,
            raw_target_url(attempt.address, &request.target),
        )
        .with_body(shared_body(request.body.clone()));
    conn.request_headers_mut()
        .insert_all(request.headers.clone());
    let time_left = attempt.time_left.as_millis().to_string();
    let priority = attempt.urgency.unwrap_or(attempt.priority);
    conn = conn
        .with_request_header(ATTEMPT_HEADER, attempt.id.to_string())
        .with_request_header(TIME_LEFT_HEADER, time_left)
        .with_request_header(PRIORITY_HEADER, priority.to_string());
    match attempt.group {
        Some(group) => conn.with_request_header(GROUP_HEADER, group.0.to_string()),
        None => conn,
    }
}

async fn read_whole(
    mut conn: Conn,
    status: u16,
    upstream: Address,
    is_engine: bool,
    sink: &impl ResponseSink,
) -> AttemptEnd {
    let content_type = conn
        .response_headers()
        .get_str("content-type")
        .map(str::to_owned);
    let headers = if is_engine {
        Headers::new()
    } else {
        service_headers(&conn)
    };
    let body = read_body(&mut conn, MAX_RESPONSE_BYTES, upstream, sink).await;
    let Some(body) = body else {
        return AttemptEnd::Lost;
    };
    let is_success = (200..300).contains(&status);
    let mut output_tokens = 0;
    if is_engine && is_success {
        let Some(tokens) = completion_tokens(&body) else {
            return AttemptEnd::WrongAnswer;
        };
        output_tokens = tokens;
    }
    let response = WholeResponse {
        status,
        content_type,
        headers,
        body,
    };
    sink.pass(ResponsePart::Whole(response)).await;
    if is_success || (!is_engine && status < 500) {
        AttemptEnd::Completed { output_tokens }
    } else {
        AttemptEnd::Failed { status }
    }
}

/// Reads a whole response body; `None` if it breaks off or is longer than `max_bytes`.
pub(super) async fn read_body(
    conn: &mut Conn,
    max_bytes: u64,
    upstream: Address,
    sink: &impl ResponseSink,
) -> Option<Bytes> {
    let body = conn.response_body().with_max_len(u64::MAX);
    let (length, memory) = (body.content_length(), sink.memory().reservation());
    let read = read_reserved(body, length, max_bytes, None, memory).await;
    if let Err(ReadError::TooLong) = read {
        report(Excess::Body, &upstream);
    }
    read.ok().map(|(bytes, memory)| hold(bytes, memory))
}

/// Headers of a plain service's response that are forwarded to the caller.
fn service_headers(conn: &Conn) -> Headers {
    forwarded_headers(conn.response_headers(), |name| {
        name.starts_with(OWN_HEADER_PREFIX)
    })
}

/// Number of output tokens of a whole response, or `None` if the body is not a model's response.
fn completion_tokens(body: &[u8]) -> Option<u32> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get("choices")?;
    let tokens = value.get("usage")?.get("completion_tokens")?.as_u64()?;
    u32::try_from(tokens).ok()
}

/// Passes on a stream of events. The stream is complete only if the end marker arrived.
async fn read_stream(mut conn: Conn, upstream: Address, sink: &impl ResponseSink) -> AttemptEnd {
    let body = conn.take_response_body();
    let Some(mut body) = body.map(|body| body.with_max_len(UNLIMITED)) else {
        return AttemptEnd::Lost;
    };
    let mut events = EventCounter::default();
    let mut has_started = false;
    loop {
        let Some(mut chunk) = read_chunk(&mut body).await else {
            return AttemptEnd::Lost;
        };
        if chunk.is_empty() {
            break;
        }
        let length = events.feed(&chunk);
        if events.event_bytes > MAX_EVENT_BYTES {
            report(Excess::Event, &upstream);
            return AttemptEnd::Lost;
        }
        chunk.truncate(length);
        if !has_started {
            has_started = true;
            sink.pass(ResponsePart::StreamStart).await;
        }
        sink.pass(ResponsePart::Chunk(chunk.into())).await;
        if events.has_ended {
            break;
        }
    }
    if events.has_ended {
        AttemptEnd::Completed {
            output_tokens: events.tokens,
        }
    } else {
        AttemptEnd::Lost
    }
}

/// Reads the next chunk: empty at the end, `None` if the connection failed.
async fn read_chunk(body: &mut ResponseBody<'static>) -> Option<Vec<u8>> {
    let mut chunk = vec![0; READ_SIZE];
    let length = body.read(&mut chunk).await.ok()?;
    chunk.truncate(length);
    Some(chunk)
}

/// Counts the events of a stream. Chunks may split lines at any byte.
#[derive(Debug, Default)]
struct EventCounter {
    /// Start of the current line.
    line: Vec<u8>,
    /// Size of the current event so far.
    event_bytes: usize,
    tokens: u32,
    has_ended: bool,
}

impl EventCounter {
    /// Processes a chunk and returns how many of its bytes belong to the response, which ends
    /// with the empty line after the end marker.
    fn feed(&mut self, chunk: &[u8]) -> usize {
        for (index, byte) in chunk.iter().enumerate() {
            self.event_bytes += 1;
            if *byte != b'\n' {
                if self.line.len() < LINE_PREFIX_BYTES {
                    self.line.push(*byte);
                }
                continue;
            }
            self.end_line();
            if self.has_ended {
                let has_empty_line = chunk.get(index + 1) == Some(&b'\n');
                return index + 1 + usize::from(has_empty_line);
            }
        }
        chunk.len()
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if matches!(line.as_slice(), b"" | b"\r") {
            self.event_bytes = 0;
        }
        if line.starts_with(STREAM_END_MARKER) {
            self.has_ended = true;
        } else if line.starts_with(b"data:") {
            self.tokens += 1;
        }
    }
}
