//! One attempt of a caller's request, at an engine or a plain service.
//!
//! Each attempt has a connection of its own. What comes back is passed on only
//! if it carries this attempt's id.

use std::sync::Arc;

use futures_lite::AsyncReadExt;
use trillium_client::{Client, Conn, Method, ResponseBody};

use super::relay::{self, AnswerHead, RelayPart};
use super::signal::{self, SIGNAL_NAMES};
use crate::core::router::request::{Attempt, AttemptEnd};
use crate::core::signal::UpstreamSignal;
use crate::utils::http::{is_not_connected, url};

/// Header with the attempt's id, sent to and echoed by upstreams.
pub const ATTEMPT_HEADER: &str = "x-shalehinge-attempt";
/// Header with the group that must answer.
pub const GROUP_HEADER: &str = "x-shalehinge-group";
/// Header with the time left, in milliseconds.
pub const TIME_LEFT_HEADER: &str = "x-shalehinge-time-left-ms";
/// Header with the priority.
pub const PRIORITY_HEADER: &str = "x-shalehinge-priority";
/// Header by which an upstream says that it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-shalehinge-not-run";
/// End of a stream of events.
pub const STREAM_END: &[u8] = b"data: [DONE]";

/// Bytes of a whole answer at most.
const MAX_WHOLE_ANSWER: u64 = 16 * 1024 * 1024;
/// Bytes read of a stream at a time.
const READ_SIZE: usize = 8 * 1024;

/// A request as it goes to an upstream.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Arc<[u8]>,
    /// How the answer is read.
    pub answer: AnswerForm,
    /// Set where the request is relayed as it is.
    pub relay: Option<RelayPart>,
}

/// How an answer is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// A model's answer in one piece.
    Whole,
    /// A model's answer as a stream of events.
    Stream,
    /// A plain service's answer, passed on as it is.
    Service,
}

/// What an attempt passes on to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart {
    /// A stream begins.
    StreamBegins,
    /// A relayed stream begins, with this head.
    Head(AnswerHead),
    /// A piece of a stream.
    Piece(Vec<u8>),
    /// A whole answer.
    Whole(WholeAnswer),
}

/// An answer in one piece.
#[derive(Clone, Debug, PartialEq)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if one was given.
    pub content_type: Option<String>,
    /// All headers that go through, where the answer is relayed.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Takes what an attempt passes on.
pub trait AnswerSink {
    /// Passes on a part; waits while the caller is slow.
    fn pass(&self, part: AnswerPart) -> impl Future<Output = ()> + Send;

    /// Passes on what the head of the answer states about the upstream.
    fn on_signal(&self, signal: UpstreamSignal);
}

/// Makes the attempt.
pub async fn run(
    client: &Client,
    attempt: &Attempt,
    request: &OutgoingRequest,
    sink: &impl AnswerSink,
) -> AttemptEnd {
    if let Some(relay) = &request.relay {
        return relay::run(client, attempt, request, relay, sink).await;
    }
    let conn = match build(client, attempt, request).await {
        Ok(conn) => conn,
        Err(error) if is_not_connected(&error) => return AttemptEnd::NotSent,
        Err(_) => return AttemptEnd::Lost,
    };
    let Some(status) = conn.status().map(u16::from) else {
        return AttemptEnd::Lost;
    };
    let headers = conn.response_headers();
    let echoed = headers.get_str(ATTEMPT_HEADER);
    let is_wrong = match request.answer {
        AnswerForm::Whole | AnswerForm::Stream => echoed != Some(attempt.id.to_string().as_str()),
        // Plain services need not know the header.
        AnswerForm::Service => echoed.is_some_and(|echoed| echoed != attempt.id.to_string()),
    };
    if is_wrong {
        return AttemptEnd::WrongAnswer;
    }
    let is_success = (200..300).contains(&status);
    sink.on_signal(signal::read(&conn, status, SIGNAL_NAMES));
    let is_engine = request.answer != AnswerForm::Service;
    if is_engine && headers.get_str(NOT_RUN_HEADER).is_some() {
        return AttemptEnd::Refused;
    }
    if request.answer == AnswerForm::Stream && is_success {
        return read_stream(conn, sink).await;
    }
    read_whole(conn, status, is_engine, sink).await
}

fn build(client: &Client, attempt: &Attempt, request: &OutgoingRequest) -> Conn {
    let mut conn = client
        .build_conn(request.method, url(attempt.address, &request.path))
        .with_body(request.body.to_vec());
    for (name, value) in &request.headers {
        conn = conn.with_request_header(name.clone(), value.clone());
    }
    let time_left = attempt.time_left.as_millis().to_string();
    conn = conn
        .with_request_header(ATTEMPT_HEADER, attempt.id.to_string())
        .with_request_header(TIME_LEFT_HEADER, time_left)
        .with_request_header(PRIORITY_HEADER, attempt.priority.to_string());
    match attempt.group {
        Some(group) => conn.with_request_header(GROUP_HEADER, group.0.to_string()),
        None => conn,
    }
}

async fn read_whole(
    mut conn: Conn,
    status: u16,
    is_engine: bool,
    sink: &impl AnswerSink,
) -> AttemptEnd {
    let content_type = conn
        .response_headers()
        .get_str("content-type")
        .map(str::to_owned);
    let body = conn.response_body().with_max_len(MAX_WHOLE_ANSWER);
    let Ok(body) = body.read_bytes().await else {
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
    let answer = WholeAnswer {
        status,
        content_type,
        headers: Vec::new(),
        body,
    };
    sink.pass(AnswerPart::Whole(answer)).await;
    if is_success || (!is_engine && status < 500) {
        AttemptEnd::Completed { output_tokens }
    } else {
        AttemptEnd::Failed { status }
    }
}

/// Tokens of a whole answer; `None` if it is not one of a model.
fn completion_tokens(body: &[u8]) -> Option<u32> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get("choices")?;
    let tokens = value.get("usage")?.get("completion_tokens")?.as_u64()?;
    u32::try_from(tokens).ok()
}

/// Passes on a stream of events; it is whole only if its end mark came.
async fn read_stream(mut conn: Conn, sink: &impl AnswerSink) -> AttemptEnd {
    let Some(mut body) = conn.take_response_body() else {
        return AttemptEnd::Lost;
    };
    let mut events = EventCounter::default();
    let mut has_begun = false;
    loop {
        let Some(mut piece) = read_piece(&mut body).await else {
            return AttemptEnd::Lost;
        };
        if piece.is_empty() {
            break;
        }
        let own = events.feed(&piece);
        piece.truncate(own);
        if !has_begun {
            has_begun = true;
            sink.pass(AnswerPart::StreamBegins).await;
        }
        sink.pass(AnswerPart::Piece(piece)).await;
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

/// The next piece; empty at the end, `None` if the stream broke.
async fn read_piece(body: &mut ResponseBody<'static>) -> Option<Vec<u8>> {
    let mut piece = vec![0; READ_SIZE];
    let length = body.read(&mut piece).await.ok()?;
    piece.truncate(length);
    Some(piece)
}

/// Counts events of a stream, whose lines may be cut anywhere.
#[derive(Debug, Default)]
struct EventCounter {
    line: Vec<u8>,
    tokens: u32,
    has_ended: bool,
}

impl EventCounter {
    /// Takes in a piece; says how much of it belongs to the answer, as nothing
    /// does after the empty line that follows the end mark.
    fn feed(&mut self, piece: &[u8]) -> usize {
        for (index, byte) in piece.iter().enumerate() {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            self.end_line();
            if self.has_ended {
                let has_empty_line = piece.get(index + 1) == Some(&b'\n');
                return index + 1 + usize::from(has_empty_line);
            }
        }
        piece.len()
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if line.starts_with(STREAM_END) {
            self.has_ended = true;
        } else if line.starts_with(b"data:") {
            self.tokens += 1;
        }
    }
}
