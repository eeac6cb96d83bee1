//! One attempt of a relayed request. All headers but those of a single connection are forwarded
//! unchanged in both directions.
//!
//! A response is accepted only if it echoes the request's id, carries the upstream's signature if
//! it reports success, and has no content encoding. Streams are forwarded event by event. An
//! incomplete event is dropped, so that another upstream can resume the stream after the last
//! complete one.

use std::sync::Arc;

use futures_lite::AsyncReadExt;
use trillium_client::{Client, Conn, ResponseBody};
use trillium_http::Headers;

use super::attempt::{
    OutgoingRequest, ResponsePart, ResponseSink, WholeResponse, is_final, read_body,
};
use super::signal::{self, SignalHeaderNames};
use super::stream_position::{EventSplitter, StreamPosition};
use crate::core::admission::urgency::MAX_RANK;
use crate::core::router::request::{Attempt, AttemptEnd};
use crate::core::types::Address;
use crate::utils::body::shared_body;
use crate::utils::headers::forwarded_headers;
use crate::utils::http::is_not_connected;
use crate::utils::raw_target::raw_target_url;
use crate::utils::response_bounds::{Excess, UNLIMITED, report, report_error};

/// Maximum size of the body of a whole response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;
/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Maximum number of bytes read from a stream at a time.
const READ_SIZE: usize = 4 * 1024;
/// Status by which an instance reports that the request was meant for another one.
const MISDIRECTED_REQUEST: u16 = 421;
/// Statuses that inform a caller that the request did not run. An upstream reports this reliably
/// only by its `not_run` header (or by 421), so these statuses are never forwarded.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Names of the headers that the relay reads or writes, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct RelayHeaderNames {
    /// Id of one request of a caller; upstreams echo it.
    pub request_id: &'static str,
    /// Time until the caller's deadline, in milliseconds.
    pub deadline: &'static str,
    /// The customer; sent to upstreams only.
    pub customer: &'static str,
    /// The host that must respond; sent to upstreams only.
    pub host: &'static str,
    /// Set by an upstream that did not run the request.
    pub not_run: &'static str,
    /// The model that the caller requests.
    pub model: &'static str,
    /// Number of prompt tokens and maximum number of output tokens, separated by a comma.
    pub tokens: &'static str,
    /// Parts of the prompt, in order, as `ID:TOKENS` separated by commas. The last one is the
    /// request's own.
    pub prompt_parts: &'static str,
    /// Signature of an upstream; a successful response without it is rejected.
    pub signature: &'static str,
    /// Id of the last event that the caller has received.
    pub last_event_id: &'static str,
    /// Urgency of the request, 0 first; sent to upstreams only, if requests are sent with one.
    pub priority: &'static str,
    /// Headers by which an upstream reports its own state.
    pub signals: SignalHeaderNames,
    /// Scheme before the key in `Authorization`, with the blank that follows it.
    pub credential_scheme: &'static str,
}

/// What an attempt of a relayed request needs besides the request itself.
#[derive(Clone, Debug)]
pub struct RelayContext {
    /// Names of headers.
    pub names: RelayHeaderNames,
    /// The request's id, if the caller sent one.
    pub request_id: Option<String>,
    /// The customer, if the request came with a key.
    pub customer: Option<String>,
    /// Position in the request's stream, shared by all attempts.
    pub position: Arc<StreamPosition>,
}

/// Status and headers of a response, as they are forwarded to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those that concern a single connection.
    pub headers: Headers,
}

/// Sends the request to the upstream of the attempt and passes its response to the sink.
/// Returns how the attempt ended.
pub async fn run(
    client: &Client,
    attempt: &Attempt,
    request: &OutgoingRequest,
    relay: &RelayContext,
    sink: &impl ResponseSink,
) -> AttemptEnd {
    let conn = match build_request(client, attempt, request, relay).await {
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
    let is_success = (200..300).contains(&status);
    let rejection = rejection_by_head(&conn, status, relay);
    // A response from another upstream, or to another request, says nothing about this one.
    if rejection != Some(AttemptEnd::WrongAnswer) && status != MISDIRECTED_REQUEST {
        sink.on_signal(signal::read(&conn, status, relay.names.signals));
    }
    if let Some(end) = rejection {
        return end;
    }
    let content_type = conn.response_headers().get_str("content-type");
    let is_stream = content_type.is_some_and(|kind| kind.starts_with("text/event-stream"));
    let has_started = relay.position.get().has_head();
    if is_success && is_stream {
        return read_stream(conn, status, attempt.address, relay, sink).await;
    }
    if has_started {
        // A stream that has started can only be resumed by more events.
        return AttemptEnd::Failed { status };
    }
    read_whole(conn, status, attempt.address, sink).await
}

/// Decides how an attempt ends if its response is rejected by status and headers alone.
fn rejection_by_head(conn: &Conn, status: u16, relay: &RelayContext) -> Option<AttemptEnd> {
    if !is_final(status) {
        return Some(AttemptEnd::WrongAnswer);
    }
    let headers = conn.response_headers();
    let names = relay.names;
    let echoed = headers.get_str(names.request_id);
    let is_for_other_request = relay.request_id.is_some() && echoed != relay.request_id.as_deref();
    let reports_not_run = headers.get_str(names.not_run).is_some() || status == MISDIRECTED_REQUEST;
    if reports_not_run && (echoed.is_none() || !is_for_other_request) {
        return Some(AttemptEnd::Refused);
    }
    if is_for_other_request || headers.get_str("content-encoding").is_some() {
        return Some(AttemptEnd::WrongAnswer);
    }
    let is_success = (200..300).contains(&status);
    if is_success && headers.get_str(names.signature).is_none() {
        return Some(AttemptEnd::WrongAnswer);
    }
    // The caller would read these statuses as a guarantee that the request did not run, which
    // the upstream has not given.
    NOT_RUN_STATUSES
        .contains(&status)
        .then_some(AttemptEnd::Lost)
}

fn build_request(
    client: &Client,
    attempt: &Attempt,
    request: &OutgoingRequest,
    relay: &RelayContext,
) -> Conn {
    let names = relay.names;
    let url = raw_target_url(attempt.address, &request.target);
    let mut conn = client.build_conn(request.method, url);
    if !request.body.is_empty() {
        conn = conn.with_body(shared_body(request.body.clone()));
    }
    conn.request_headers_mut()
        .insert_all(request.headers.clone());
    let time_left = attempt.time_left.as_millis().max(1).to_string();
    conn = conn.with_request_header(names.deadline, time_left);
    if let Some(host) = &attempt.host {
        conn = conn.with_request_header(names.host, host.as_str().to_owned());
    }
    if let Some(customer) = &relay.customer {
        conn = conn.with_request_header(names.customer, customer.clone());
    }
    if let Some(urgency) = attempt.urgency {
        let priority = MAX_RANK.saturating_sub(urgency).to_string();
        conn = conn.with_request_header(names.priority, priority);
    }
    match relay.position.get().last_event() {
        Some(event) => conn.with_request_header(names.last_event_id, event.to_string()),
        None => conn,
    }
}

/// Status and headers that are forwarded to the caller.
fn response_head(conn: &Conn, status: u16) -> ResponseHead {
    let headers = forwarded_headers(conn.response_headers(), |_| false);
    ResponseHead { status, headers }
}

async fn read_whole(
    mut conn: Conn,
    status: u16,
    upstream: Address,
    sink: &impl ResponseSink,
) -> AttemptEnd {
    let head = response_head(&conn, status);
    let body = read_body(&mut conn, MAX_RESPONSE_BYTES, upstream, sink).await;
    let Some(body) = body else {
        return AttemptEnd::Lost;
    };
    let response = WholeResponse {
        status,
        content_type: None,
        headers: head.headers,
        body,
    };
    sink.pass(ResponsePart::Whole(response)).await;
    if status < 500 {
        AttemptEnd::Completed { output_tokens: 0 }
    } else {
        AttemptEnd::Failed { status }
    }
}

/// Forwards a stream event by event.
async fn read_stream(
    mut conn: Conn,
    status: u16,
    upstream: Address,
    relay: &RelayContext,
    sink: &impl ResponseSink,
) -> AttemptEnd {
    let head = response_head(&conn, status);
    let body = conn.take_response_body();
    let Some(mut body) = body.map(|body| body.with_max_len(UNLIMITED)) else {
        return AttemptEnd::Lost;
    };
    let mut splitter = EventSplitter::default();
    let mut memory = sink.memory().reservation();
    let mut count = 0;
    let mut chunk = vec![0; READ_SIZE];
    loop {
        let Some(length) = read_chunk(&mut body, &mut chunk).await else {
            return AttemptEnd::Lost;
        };
        if length == 0 {
            break;
        }
        let events = splitter.feed(&chunk[..length]);
        if splitter.has_excess(MAX_EVENT_BYTES) {
            report(Excess::Event, &upstream);
            return AttemptEnd::Lost;
        }
        splitter.reserve(&mut memory).await;
        count += relay.position.pass_events(&head, &events, sink).await;
    }
    if splitter.has_excess(0) {
        return AttemptEnd::Lost;
    }
    // A stream without any event is complete as well.
    relay.position.pass_head(&head, sink).await;
    AttemptEnd::Completed {
        output_tokens: count,
    }
}

/// Reads the next bytes: 0 at the end, `None` if the connection failed.
async fn read_chunk(body: &mut ResponseBody<'static>, chunk: &mut [u8]) -> Option<usize> {
    body.read(chunk).await.ok()
}
