//! Responses without an end, from fake servers over real sockets.
//!
//! Each client that the daemon uses must end such a response at a bound, close its connection and
//! hold little memory meanwhile. Without the bounds, interim heads, trailers, headers of engines'
//! events and surplus bytes are read or kept without limit.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::forward::{Forward, ForwardEnd, ForwardedMeta};
use shalehinge::core::router::request::{Attempt, AttemptEnd, Target, UpstreamId};
use shalehinge::core::signal::UpstreamSignal;
use shalehinge::core::types::{
    AttemptId, Customer, Incarnation, RequestId, ServiceName, Timestamp,
};
use shalehinge::peer::client::PeerClient;
use shalehinge::upstream::attempt::{
    self, ATTEMPT_HEADER, OutgoingRequest, ResponseMode, ResponsePart, ResponseSink,
};
use shalehinge::upstream::relay::{RelayContext, RelayHeaderNames};
use shalehinge::upstream::signal::SIGNAL_HEADER_NAMES;
use shalehinge::upstream::stream_position::StreamPosition;
use shalehinge::utils::http::{
    ResponseTimeouts, attempt_client, exchange, exchange_with_timeouts, pooled_client, url,
};
use shalehinge::utils::memory_budget::{MemoryBudget, ResponseMemory};
use shalehinge::utils::request_target::RequestTarget;
use shalehinge::utils::response_bounds::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use shalehinge::utils::time::with_timeout;
use trillium_client::Method;
use trillium_http::Headers;

/// Time within which each response must be ended.
const ENDED_WITHIN: Duration = Duration::from_secs(30);
/// Bytes after which a fake server gives up.
const GIVE_UP_BYTES: usize = 256 * 1024 * 1024;
/// Memory that one response may take at most: a whole body in a buffer that doubles, and more.
const MAX_MEMORY_KB: u64 = 64 * 1024;

const BLOCK_BYTES: usize = 16 * 1024;

/// Tests that measure memory run one at a time.
static MEMORY: Mutex<()> = Mutex::new(());

fn one_at_a_time() -> MutexGuard<'static, ()> {
    MEMORY.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes that a connection's buffers in the kernel may hold on both sides.
fn socket_buffer_bytes() -> usize {
    let maximum = |name: &str| -> usize {
        let path = format!("/proc/sys/net/ipv4/{name}");
        let text = std::fs::read_to_string(path).expect("can read the limits of buffers");
        let last = text.split_whitespace().last();
        let last = last.and_then(|word| word.parse().ok());
        last.expect("the last value is the maximum")
    };
    maximum("tcp_rmem") + maximum("tcp_wmem")
}

/// A value of this process's status, in kB.
fn memory_kb(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("can read the status");
    let line = status
        .lines()
        .find(|line| line.starts_with(name))
        .expect("the status has the value");
    let digits: String = line.chars().filter(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

/// Restarts the measurement of the peak (`VmHWM`) at the present value.
fn reset_peak() {
    std::fs::write("/proc/self/clear_refs", "5").expect("can reset the peak");
}

/// A response that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// Bytes that form no response at all.
    Garbage,
    /// A head with one header that never ends.
    Header,
    /// A head with more and more headers.
    Headers,
    /// Interim heads, one after the other.
    InterimHeads,
    /// A body of more and more chunks.
    Chunks,
    /// A body in one chunk of the largest size.
    HugeChunk,
    /// Trailers of a chunked body.
    Trailers,
    /// A body of a huge declared length.
    HugeLength,
    /// A body that only the end of the connection would end.
    UntilClose,
    /// Lines without the empty line that ends an event.
    EventLines,
}

const FORMS: [Form; 10] = [
    Form::Garbage,
    Form::Header,
    Form::Headers,
    Form::InterimHeads,
    Form::Chunks,
    Form::HugeChunk,
    Form::Trailers,
    Form::HugeLength,
    Form::UntilClose,
    Form::EventLines,
];

/// The id that the attempts of these tests have.
const ATTEMPT: AttemptId = AttemptId {
    incarnation: Incarnation(1),
    sequence: 1,
};

/// A head that every client accepts, up to the headers that frame the body.
fn head_start(content_type: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nSigned: x\r\n{ATTEMPT_HEADER}: {ATTEMPT}\r\n"
    )
}

/// A block of whole copies of `unit`.
fn block_of(unit: &str) -> Vec<u8> {
    unit.repeat((BLOCK_BYTES / unit.len()).max(1)).into_bytes()
}

impl Form {
    /// What is sent first, and what is sent again and again after it.
    fn parts(self, content_type: &str) -> (String, Vec<u8>) {
        let head = head_start(content_type);
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let chunk = |content: &str| format!("{:x}\r\n{content}\r\n", content.len()).into_bytes();
        match self {
            Self::Garbage => (String::new(), block_of("x")),
            Self::Header => (format!("{head}A: "), block_of("x")),
            Self::Headers => (head, block_of("A: x\r\n")),
            Self::InterimHeads => (String::new(), block_of("HTTP/1.1 100 Continue\r\n\r\n")),
            Self::Chunks => (chunked, chunk(&"x".repeat(BLOCK_BYTES))),
            Self::HugeChunk => (format!("{chunked}fffffffffffffff0\r\n"), block_of("x")),
            Self::Trailers => (format!("{chunked}0\r\n"), block_of("A: x\r\n")),
            Self::HugeLength => (
                format!("{head}Content-Length: {}\r\n\r\n", 1_u64 << 40),
                block_of("x"),
            ),
            Self::UntilClose => (format!("{head}\r\n"), block_of("x")),
            Self::EventLines => (chunked, chunk(&"data: x\n".repeat(BLOCK_BYTES / 8))),
        }
    }
}

/// What a fake server has done.
#[derive(Default)]
struct Sent {
    bytes: AtomicUsize,
    /// Whether the client closed the connection.
    is_closed: AtomicBool,
    connections: AtomicUsize,
}

impl Sent {
    fn bytes(&self) -> usize {
        self.bytes.load(Ordering::SeqCst)
    }

    /// Waits until the client has closed the connection.
    fn assert_closed(&self, what: &str) {
        let end = Instant::now() + ENDED_WITHIN;
        while !self.is_closed.load(Ordering::SeqCst) {
            assert!(
                Instant::now() < end && self.bytes() < GIVE_UP_BYTES,
                "{what}: the connection is open after {} bytes",
                self.bytes()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Reads a request with its body; false at the end of the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let length = head
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.lines().next()?.parse().ok())
        .unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).is_ok()
}

/// Serves each connection by `respond`, which returns an error once the client has closed it.
fn serve(
    respond: impl Fn(&mut TcpStream, &Sent) -> std::io::Result<()> + Send + Sync + 'static,
) -> (SocketAddr, Arc<Sent>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("can bind a port");
    let address = listener.local_addr().expect("has an address");
    let sent = Arc::new(Sent::default());
    let shared = sent.clone();
    let respond = Arc::new(respond);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            shared.connections.fetch_add(1, Ordering::SeqCst);
            let (shared, respond) = (shared.clone(), respond.clone());
            std::thread::spawn(move || {
                while read_request(&mut stream) {
                    if respond(&mut stream, &shared).is_err() {
                        break;
                    }
                }
                shared.is_closed.store(true, Ordering::SeqCst);
            });
        }
    });
    (address, sent)
}

fn write(stream: &mut TcpStream, sent: &Sent, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(bytes)?;
    sent.bytes.fetch_add(bytes.len(), Ordering::SeqCst);
    Ok(())
}

/// A server whose responses have this form.
fn serve_form(form: Form, content_type: &'static str) -> (SocketAddr, Arc<Sent>) {
    let (first, block) = form.parts(content_type);
    serve(move |stream, sent| {
        write(stream, sent, first.as_bytes())?;
        while sent.bytes() < GIVE_UP_BYTES {
            write(stream, sent, &block)?;
        }
        Ok(())
    })
}

/// Counts what an attempt passes on.
struct Caller {
    chunks: Mutex<Vec<u8>>,
    keeps_chunks: bool,
    bytes: AtomicUsize,
    whole: Mutex<Option<Bytes>>,
    memory: ResponseMemory,
}

impl Default for Caller {
    fn default() -> Self {
        Self {
            chunks: Mutex::default(),
            keeps_chunks: false,
            bytes: AtomicUsize::new(0),
            whole: Mutex::default(),
            memory: MemoryBudget::unlimited().response(),
        }
    }
}

impl ResponseSink for Caller {
    async fn pass(&self, part: ResponsePart) -> bool {
        match part {
            ResponsePart::Chunk(chunk) => {
                self.bytes.fetch_add(chunk.len(), Ordering::SeqCst);
                if self.keeps_chunks {
                    self.chunks.lock().expect("not poisoned").extend(chunk);
                }
            }
            ResponsePart::Whole(whole) => {
                *self.whole.lock().expect("not poisoned") = Some(whole.body);
            }
            ResponsePart::Head(_) | ResponsePart::StreamStart => {}
        }
        true
    }

    fn on_signal(&self, _: UpstreamSignal) {}

    fn memory(&self) -> &ResponseMemory {
        &self.memory
    }
}

const NAMES: RelayHeaderNames = RelayHeaderNames {
    request_id: "request-id",
    deadline: "deadline",
    customer: "customer",
    host: "host-id",
    not_run: "not-run",
    model: "model",
    tokens: "tokens",
    prompt_parts: "parts",
    signature: "signed",
    last_event_id: "last-event-id",
    priority: "priority",
    signals: SIGNAL_HEADER_NAMES,
    credential_scheme: "Token ",
};

fn request(response_mode: ResponseMode, is_relayed: bool) -> OutgoingRequest {
    OutgoingRequest {
        method: Method::Get,
        target: RequestTarget::new(Method::Get, "/x").expect("a valid target"),
        headers: Headers::new(),
        body: Bytes::new(),
        response_mode,
        relay: is_relayed.then(|| RelayContext {
            names: NAMES,
            request_id: None,
            customer: None,
            position: Arc::new(StreamPosition::default()),
        }),
    }
}

fn attempt_at(address: SocketAddr) -> Attempt {
    Attempt {
        request: RequestId(1),
        id: ATTEMPT,
        upstream: UpstreamId::Instance(ServiceName::new("s"), address),
        address,
        group: None,
        host: None,
        valid_until: Timestamp::from_millis(60_000),
        time_left: Duration::from_secs(60),
        priority: 0,
        urgency: None,
        is_hedge: false,
    }
}

/// Runs an attempt; `None` if it does not end in time.
fn run(address: SocketAddr, request: &OutgoingRequest, caller: &Caller) -> Option<AttemptEnd> {
    let client = attempt_client();
    let attempt = attempt_at(address);
    smol::block_on(with_timeout(
        ENDED_WITHIN,
        attempt::run(&client, &attempt, request, caller),
    ))
}

/// Checks an attempt at a server of each form.
fn assert_attempts_end(request: &OutgoingRequest, content_type: &'static str) {
    let _turn = one_at_a_time();
    for form in FORMS {
        let (address, sent) = serve_form(form, content_type);
        let before = memory_kb("VmRSS");
        reset_peak();
        let end = run(address, request, &Caller::default());
        assert!(
            matches!(end, Some(AttemptEnd::Lost | AttemptEnd::WrongAnswer)),
            "{form:?}: {end:?}"
        );
        assert_bounded(form, &sent, before);
    }
}

/// Checks the size of what a server of this form could send, and the memory that it took.
fn assert_bounded(form: Form, sent: &Sent, memory_before: u64) {
    sent.assert_closed(&format!("{form:?}"));
    let growth = memory_kb("VmHWM").saturating_sub(memory_before);
    assert!(growth < MAX_MEMORY_KB, "{form:?} took {growth} kB");
    let body_limit = match form {
        Form::Chunks | Form::HugeChunk | Form::UntilClose | Form::EventLines => MAX_BODY_BYTES,
        _ => MAX_HEAD_BYTES as u64,
    };
    let bytes = sent.bytes();
    assert!(
        bytes < body_limit as usize + socket_buffer_bytes(),
        "{form:?}: {bytes} bytes were sent"
    );
}

#[test]
fn endless_responses_to_relayed_requests_are_ended() {
    assert_attempts_end(&request(ResponseMode::Whole, true), "text/plain");
}

#[test]
fn endless_responses_to_relayed_streams_are_ended() {
    assert_attempts_end(&request(ResponseMode::Whole, true), "text/event-stream");
}

#[test]
fn endless_responses_of_plain_services_are_ended() {
    assert_attempts_end(&request(ResponseMode::Service, false), "text/plain");
}

#[test]
fn endless_responses_of_engines_are_ended() {
    assert_attempts_end(&request(ResponseMode::Whole, false), "application/json");
}

#[test]
fn endless_streams_of_engines_are_ended() {
    assert_attempts_end(&request(ResponseMode::Stream, false), "text/event-stream");
}

/// The client of the platform's store, of reports, health checks, orders, pulls and notices.
#[test]
fn endless_responses_to_calls_are_ended() {
    let _turn = one_at_a_time();
    let client = pooled_client();
    for form in FORMS {
        let (address, sent) = serve_form(form, "application/json");
        let before = memory_kb("VmRSS");
        reset_peak();
        let started_at = Instant::now();
        let response = smol::block_on(exchange_with_timeouts(
            client.get(url(address, "/x")),
            ResponseTimeouts::uniform(ENDED_WITHIN),
        ));
        assert_eq!(response, None, "{form:?}");
        assert!(started_at.elapsed() < ENDED_WITHIN, "{form:?}: timed out");
        assert_bounded(form, &sent, before);
    }
}

fn forward_to(peer: SocketAddr) -> Forward {
    Forward {
        request: RequestId(1),
        attempt: ATTEMPT,
        peer,
        meta: ForwardedMeta {
            customer: Customer::new("c"),
            fingerprint: Fingerprint(1),
            target: Target::Service(ServiceName::new("s")),
            prompt_tokens: 1,
            max_output_tokens: 1,
            time_left: Duration::from_secs(60),
            first_output_within: None,
            priority: 0,
            repeatable: true,
            prefix: Vec::new(),
            prompt_parts: Vec::new(),
            max_attempts: None,
            is_resumable: false,
            credential: None,
        },
    }
}

#[test]
fn endless_answers_of_peers_are_ended() {
    let _turn = one_at_a_time();
    let peers = PeerClient::new(Duration::from_secs(1));
    for form in FORMS {
        let (address, sent) = serve_form(form, "application/octet-stream");
        let before = memory_kb("VmRSS");
        reset_peak();
        let (forward, outgoing) = (forward_to(address), request(ResponseMode::Service, false));
        let caller = Caller::default();
        let end = smol::block_on(with_timeout(
            ENDED_WITHIN,
            peers.forward(&forward, &outgoing, &caller),
        ));
        assert_eq!(end, Some(ForwardEnd::Lost), "{form:?}");
        assert_bounded(form, &sent, before);
    }
}

/// A head within the library's limit of bytes that has more headers than allowed.
#[test]
fn a_head_may_have_one_hundred_headers() {
    for (count, is_accepted) in [(100, true), (101, false)] {
        let (address, _) = serve(move |stream, sent| {
            let headers = "A: x\r\n".repeat(count - 1);
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{headers}\r\nok");
            write(stream, sent, response.as_bytes())
        });
        let call = exchange(pooled_client().get(url(address, "/x")), ENDED_WITHIN);
        let response = smol::block_on(call);
        assert_eq!(response.is_some(), is_accepted, "{count} headers");
    }
}

/// A head that trickles in must not keep its connection after the call has timed out, nor take
/// memory: the HTTP library doubles its buffer at each read, and takes gigabytes after 25 bytes.
#[test]
fn a_trickling_head_ends_with_the_call_and_takes_no_memory() {
    let _turn = one_at_a_time();
    let before = memory_kb("VmRSS");
    reset_peak();
    let (address, sent) = serve(|stream, sent| {
        write(stream, sent, b"HTTP/1.1 200 OK\r\nA: ")?;
        loop {
            write(stream, sent, b"x")?;
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let call = exchange(
        pooled_client().get(url(address, "/x")),
        Duration::from_millis(500),
    );
    assert_eq!(smol::block_on(call), None);
    sent.assert_closed("a trickling head");
    assert!(sent.bytes() > 30, "{} bytes were sent", sent.bytes());
    let growth = memory_kb("VmHWM").saturating_sub(before);
    assert!(growth < MAX_MEMORY_KB, "took {growth} kB");
}

/// Answers each request with a complete response that surplus bytes follow.
fn assert_connection_is_not_reused(response: &'static str, surplus: &'static str, repeats: bool) {
    let (address, sent) = serve(move |stream, sent| {
        write(stream, sent, response.as_bytes())?;
        write(stream, sent, surplus.as_bytes())?;
        while repeats && sent.bytes() < GIVE_UP_BYTES {
            write(stream, sent, surplus.as_bytes())?;
        }
        Ok(())
    });
    let client = pooled_client();
    for calls in 1..=3 {
        let call = exchange(client.get(url(address, "/x")), ENDED_WITHIN);
        let response = smol::block_on(call);
        assert_eq!(response, Some((200, b"ok".to_vec())), "call {calls}");
        // Time for surplus bytes that were sent separately.
        std::thread::sleep(Duration::from_millis(50));
        let connections = sent.connections.load(Ordering::SeqCst);
        assert_eq!(connections, calls, "a connection was used again");
    }
    assert!(
        sent.bytes() < 3 * socket_buffer_bytes(),
        "{} bytes",
        sent.bytes()
    );
}

/// The HTTP library drops surplus bytes that it has read with a head and uses the connection
/// again: what follows them is taken for the response to the next request.
#[test]
fn surplus_bytes_after_a_response_end_its_connection() {
    let fixed = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    let forged = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged";
    for response in [fixed, chunked] {
        assert_connection_is_not_reused(response, "x", false);
        assert_connection_is_not_reused(response, forged, false);
        assert_connection_is_not_reused(response, forged, true);
    }
}

/// Like [`surplus_bytes_after_a_response_end_its_connection`], with the surplus in the segment
/// that ends the response.
#[test]
fn surplus_bytes_in_the_segment_of_a_response_end_its_connection() {
    let fixed = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokx";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nx";
    for response in [fixed, chunked] {
        assert_connection_is_not_reused(response, "", false);
    }
}

#[test]
fn a_body_that_is_shorter_or_longer_than_its_length_is_not_misread() {
    let response = |length: usize| {
        let head = head_start("text/plain");
        format!("{head}Content-Length: {length}\r\n\r\nbody")
    };
    for (length, body) in [(100, None), (3, Some("bod")), (4, Some("body"))] {
        let text = response(length);
        let (address, _) = serve(move |stream, sent| {
            write(stream, sent, text.as_bytes())?;
            Err(std::io::ErrorKind::ConnectionAborted.into())
        });
        let caller = Caller::default();
        let end = run(address, &request(ResponseMode::Service, true), &caller);
        let whole = caller.whole.lock().expect("not poisoned").take();
        assert_eq!(whole.as_deref(), body.map(str::as_bytes), "{length}");
        let expected = match body {
            Some(_) => AttemptEnd::Completed { output_tokens: 0 },
            None => AttemptEnd::Lost,
        };
        assert_eq!(end, Some(expected), "{length}");
    }
}

/// Guards against a head that is held back for good because of how it is split.
#[test]
fn a_response_that_arrives_byte_by_byte_is_read() {
    let (address, _) = serve(|stream, sent| {
        let interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        let chunks = "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;e=f\r\nk\r\n0\r\nA: x\r\n\r\n";
        let response = format!("{interim}HTTP/1.1 200 OK\r\n{chunks}");
        for byte in response.as_bytes() {
            write(stream, sent, &[*byte])?;
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    });
    let client = pooled_client();
    for _ in 0..2 {
        let call = exchange(client.get(url(address, "/x")), ENDED_WITHIN);
        assert_eq!(smol::block_on(call), Some((200, b"ok".to_vec())));
    }
}

/// Sends a stream of these events, one each `interval`; returns what the client passed on.
fn pass_stream(events: Vec<String>, interval: Duration) -> (Option<AttemptEnd>, Vec<u8>) {
    let head = head_start("text/event-stream");
    let (address, _) = serve(move |stream, sent| {
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        write(stream, sent, chunked.as_bytes())?;
        for event in &events {
            std::thread::sleep(interval);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            write(stream, sent, chunk.as_bytes())?;
        }
        write(stream, sent, b"0\r\n\r\n")
    });
    let caller = Caller {
        keeps_chunks: true,
        ..Caller::default()
    };
    let end = run(address, &request(ResponseMode::Whole, true), &caller);
    (end, caller.chunks.into_inner().expect("not poisoned"))
}

/// Guards against bounds that mistake a slow stream for one without progress.
#[test]
fn a_stream_of_one_event_each_two_seconds_passes_whole() {
    let events: Vec<String> = (1..=10).map(|n| format!("id: {n}\ndata: x\n\n")).collect();
    let expected = events.concat();
    let (end, received) = pass_stream(events, Duration::from_secs(2));
    assert_eq!(end, Some(AttemptEnd::Completed { output_tokens: 10 }));
    assert_eq!(received, expected.as_bytes());
}

/// The HTTP library ends bodies of more than 10 MB unless it is told otherwise, also streams that
/// are passed on event by event.
#[test]
fn a_stream_that_is_longer_than_a_whole_body_may_be_passes_whole() {
    let _turn = one_at_a_time();
    const EVENT_BYTES: usize = 512 * 1024;
    let count = MAX_BODY_BYTES as usize / EVENT_BYTES + 4;
    let text = "x".repeat(EVENT_BYTES);
    let events: Vec<String> = (1..=count)
        .map(|n| format!("id: {n}\ndata: {text}\n\n"))
        .collect();
    let expected: usize = events.iter().map(String::len).sum();
    let (end, received) = pass_stream(events, Duration::ZERO);
    let output_tokens = count as u32;
    assert_eq!(end, Some(AttemptEnd::Completed { output_tokens }));
    assert_eq!(received.len(), expected);
}
