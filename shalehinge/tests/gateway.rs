//! The gateway of a real daemon process: invalid requests, faulty upstreams, disconnects and
//! planned stops, and what callers are told about each.

mod process_support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use process_support::{
    API_KEY, FixedService, Fleet, chat_request_body, send_chat, send_raw_request, send_request,
    wait_for,
};
use standin::engine::faults::EngineFault;

#[test]
fn invalid_requests_get_a_clear_error_and_reach_no_upstream() {
    let mut fleet = Fleet::new("bad-requests", 2);
    let daemon = fleet.start_serving_daemon();
    let to = daemon.callers;
    let good = chat_request_body(4, false);

    let response = send_chat(to, &[], "{\"model\": ");
    assert_eq!(response.status, 400);
    assert!(response.body.contains("bad_json"), "{response:?}");
    assert!(response.body.contains("line 1"), "{response:?}");
    assert_eq!(response.header("x-shalehinge-outcome"), Some("not_run"));

    let response = send_chat(to, &[], &"x".repeat(30_000));
    assert_eq!(response.status, 413, "{response:?}");

    let response = send_chat(to, &[("X-Deadline-Ms", "-5")], &good);
    assert!(response.body.contains("deadline_in_past"), "{response:?}");

    let response = send_chat(to, &[("X-Priority", "high")], &good);
    assert!(response.body.contains("bad_priority"), "{response:?}");

    let response = send_chat(to, &[], &good.replace("\"m\"", "\"other\""));
    assert_eq!(response.status, 404);
    assert!(response.body.contains("unknown_model"), "{response:?}");

    let unknown = [("Authorization", "Bearer nobody")];
    let response = send_request(to, "POST", "/v1/chat/completions", &unknown, &good);
    assert_eq!(response.status, 401);

    let response = send_request(to, "GET", "/v1/models", &[], "");
    assert_eq!(response.status, 401);

    // An incomplete request whose caller then sends nothing: it is answered, and other callers
    // are served meanwhile.
    let incomplete_request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {API_KEY}\r\nContent-Length: 500\r\n\r\n{{"
    );
    let incomplete =
        std::thread::spawn(move || send_raw_request(to, incomplete_request.as_bytes()));
    assert_eq!(send_chat(to, &[], &good).status, 200);
    let incomplete = incomplete.join().expect("the request thread succeeds");
    assert_eq!(incomplete.status, 408);
    assert_eq!(incomplete.header("connection"), Some("close"));

    let head = format!("GET / HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(40_000));
    let response = send_raw_request(to, head.as_bytes());
    assert_ne!(response.status, 200);
    assert_eq!(send_chat(to, &[], &good).status, 200);
}

#[test]
fn an_invalid_upstream_response_is_never_forwarded_as_success() {
    let mut fleet = Fleet::new("wrong-upstream", 2);
    let daemon = fleet.start_serving_daemon();
    let not_repeatable = [("X-Not-Repeatable", "true")];
    for fault in [EngineFault::Garbage, EngineFault::OtherAttempt] {
        fleet.set_engine_fault(fault);
        let response = send_chat(
            daemon.callers,
            &not_repeatable,
            &chat_request_body(4, false),
        );
        assert_eq!(response.status, 502, "{fault:?} {response:?}");
        assert_eq!(response.header("x-shalehinge-outcome"), Some("unknown"));
        assert!(response.body.contains("wrong_answer"), "{response:?}");
    }
    fleet.set_engine_fault(EngineFault::Failing);
    let response = send_chat(
        daemon.callers,
        &not_repeatable,
        &chat_request_body(4, false),
    );
    assert_eq!(response.header("x-shalehinge-outcome"), Some("failed"));
}

#[test]
fn a_truncated_stream_ends_with_an_error_and_without_the_end_marker() {
    let mut fleet = Fleet::new("cut-stream", 2);
    let daemon = fleet.start_serving_daemon();
    fleet.set_engine_fault(EngineFault::CutStream);
    let response = send_chat(daemon.callers, &[], &chat_request_body(4, true));
    assert_eq!(response.status, 200);
    assert!(response.body.contains("upstream_lost"), "{response:?}");
    assert!(!response.body.contains("[DONE]"), "{response:?}");
}

#[test]
fn data_after_the_end_marker_is_dropped() {
    let mut fleet = Fleet::new("sends-more", 2);
    let daemon = fleet.start_serving_daemon();
    fleet.set_engine_fault(EngineFault::SendMore);
    let response = send_chat(daemon.callers, &[], &chat_request_body(4, true));
    assert_eq!(response.body.matches("data: {").count(), 4, "{response:?}");
    assert!(response.body.contains("data: [DONE]"));
    assert!(!response.body.contains("more"), "{response:?}");
}

#[test]
fn a_stream_is_forwarded_completely_and_token_by_token() {
    let mut fleet = Fleet::new("stream", 2);
    let daemon = fleet.start_serving_daemon();
    let body = chat_request_body(200, true);
    let mut stream = TcpStream::connect(daemon.callers).expect("can connect");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\nConnection: close\r\nAuthorization: Bearer {API_KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .expect("can send the request");
    let mut text = String::new();
    let mut chunk = [0; 4096];
    let mut reads_with_tokens = 0;
    loop {
        let length = stream.read(&mut chunk).expect("can read the response");
        if length == 0 {
            break;
        }
        let new = String::from_utf8_lossy(&chunk[..length]);
        reads_with_tokens += usize::from(new.contains("\"t"));
        text.push_str(&new);
    }
    assert_eq!(text.matches("data: {").count(), 200);
    assert!(text.contains("data: [DONE]"));
    assert!(
        reads_with_tokens > 20,
        "tokens arrived in only {reads_with_tokens} reads"
    );
}

#[test]
fn a_deadline_that_passes_while_the_upstream_is_silent_has_an_unknown_outcome() {
    let mut fleet = Fleet::new("deadline", 2);
    let daemon = fleet.start_serving_daemon();
    fleet.set_engine_fault(EngineFault::Silent);
    let headers = [("X-Deadline-Ms", "500")];
    // On a busy machine the deadline may pass before the request is sent to an upstream; it then
    // counts as not run.
    let response = wait_for("the request is sent before its deadline", || {
        let response = send_chat(daemon.callers, &headers, &chat_request_body(4, false));
        let is_not_run = response.header("x-shalehinge-outcome") == Some("not_run");
        (!is_not_run).then_some(response)
    });
    assert_eq!(response.status, 504, "{response:?}");
    assert_eq!(response.header("x-shalehinge-outcome"), Some("unknown"));
}

#[test]
fn a_disconnect_of_the_caller_frees_the_engine() {
    let mut fleet = Fleet::new("caller-leaves", 2);
    let daemon = fleet.start_serving_daemon();
    let body = chat_request_body(100_000, true);
    let mut stream = TcpStream::connect(daemon.callers).expect("can connect");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {API_KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .expect("can send the request");
    let mut chunk = [0; 100];
    stream.read_exact(&mut chunk).expect("the stream starts");
    drop(stream);
    wait_for("the request has ended", || {
        daemon
            .log_text()
            .contains("reason: CallerLeft")
            .then_some(())
    });
    wait_for("the engines are idle", || {
        let idle = fleet.engines.iter().all(|engine| {
            let status = send_request(engine.address, "GET", "/v1/status", &[], "");
            status.body.contains("\"running\":0")
        });
        idle.then_some(())
    });
}

#[test]
fn a_plain_service_receives_method_path_query_and_body_unchanged() {
    let mut fleet = Fleet::new("service", 2);
    let daemon = fleet.start_serving_daemon();
    let authorization = format!("Bearer {API_KEY}");
    let headers = [("Authorization", authorization.as_str())];
    let path = "/rutas/lecturas?dia=2&x=%20";
    let response = send_request(daemon.callers, "PUT", path, &headers, "medidor \u{1} 77");
    assert_eq!(response.status, 200);
    assert_eq!(response.body, format!("PUT {path}\nmedidor \u{1} 77"));
}

// Guards against targets that a URL parser rewrites, and against requests that leave the service's
// path prefix that way.
#[test]
fn a_plain_service_receives_the_request_target_byte_for_byte() {
    let service =
        FixedService::start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    let mut fleet = Fleet::new("service-targets", 2);
    fleet.service = service.address;
    let daemon = fleet.start_serving_daemon();
    let authorization = format!("Bearer {API_KEY}");
    let headers = [("Authorization", authorization.as_str())];
    let targets = [
        "/rutas/lecturas?nombre=O'Higgins",
        "/rutas/../v1/chat/completions",
        "/rutas/%2e%2e/%2E/.",
        "/rutas//a//?b=../c&d=%2f%2F%zz",
        "/rutas/a|{b}^`<>\"",
    ];
    for target in targets {
        let response = send_request(daemon.callers, "GET", target, &headers, "");
        assert_eq!(response.status, 200, "{target}: {response:?}");
    }
    assert_eq!(service.received_targets(), targets);

    // The path that is sent selects the service, not what a parser makes of it.
    for target in ["/x/../rutas/a", "//rutas/a", "/./rutas"] {
        let response = send_request(daemon.callers, "GET", target, &headers, "");
        assert_eq!(response.status, 404, "{target}: {response:?}");
    }
    for (method, target) in [("GET", "http://test/rutas/a"), ("CONNECT", "test:80")] {
        let response = send_request(daemon.callers, method, target, &headers, "");
        assert_eq!(response.status, 400, "{target}: {response:?}");
        assert!(response.body.contains("bad_target"), "{response:?}");
        assert_eq!(response.header("x-shalehinge-outcome"), Some("not_run"));
    }
    for target in ["/rutas/a#b", "/rutas\\a", "/rutas/é", "/rutas/\u{1}"] {
        let response = send_request(daemon.callers, "GET", target, &headers, "");
        assert_eq!(response.status, 400, "{target}: {response:?}");
    }
    assert_eq!(service.received_targets(), targets);
}

#[test]
fn headers_of_a_plain_service_are_neither_lost_nor_forwarded_beyond_their_connection() {
    let service = FixedService::start(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n\
         Location: /rutas/2\r\nX-Hop: upstream\r\nConnection: x-hop\r\nConnection: close\r\n\r\nok",
    );
    let mut fleet = Fleet::new("service-headers", 2);
    fleet.service = service.address;
    let daemon = fleet.start_serving_daemon();
    let authorization = format!("Bearer {API_KEY}");
    let headers = [
        ("Authorization", authorization.as_str()),
        ("X-Tag", "first"),
        ("X-Tag", "second"),
        ("Connection", "x-hop"),
        ("X-Hop", "caller"),
        ("Proxy-Connection", "keep-alive"),
    ];
    let response = send_request(daemon.callers, "GET", "/rutas/1", &headers, "");
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.body, "ok");

    assert_eq!(service.received_values("x-tag"), ["first", "second"]);
    for name in ["x-hop", "proxy-connection", "authorization"] {
        assert!(service.received_values(name).is_empty(), "{name}");
    }
    assert_eq!(response.header_values("set-cookie"), ["a=1", "b=2"]);
    assert_eq!(response.header("location"), Some("/rutas/2"));
    assert_eq!(response.header("x-hop"), None);
    assert_eq!(response.header_values("content-length"), ["2"]);
}

/// A request of an operator or a peer without the end of its body.
fn incomplete_request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer token\r\nContent-Length: 500\r\n\r\n{{"
    )
}

/// Starts a request and never sends the end of its body.
fn start_incomplete_request(to: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("can connect");
    let request = incomplete_request(path);
    stream
        .write_all(request.as_bytes())
        .expect("can send the request");
    stream
}

#[test]
fn a_stop_with_open_connections_at_all_listeners_takes_stop_within_once() {
    const STOP_WITHIN: Duration = Duration::from_secs(6);
    let mut fleet = Fleet::new("stop-once", 2);
    fleet.limits = format!("stop_within = {}s", STOP_WITHIN.as_secs());
    // Incomplete requests stay open for the whole stop.
    fleet.body_timeout = 10 * STOP_WITHIN;
    let mut daemon = fleet.start_serving_daemon();
    let to = daemon.callers;
    std::thread::spawn(move || send_chat(to, &[], &chat_request_body(100_000, true)));
    wait_for("the stream runs", || {
        daemon.log_text().contains("attempt 1").then_some(())
    });
    let _operator = start_incomplete_request(daemon.operators, "/v1/plan");
    let _peer = start_incomplete_request(daemon.peers, "/peer/pull");
    daemon.send_signal("-TERM");
    let stopped_at = Instant::now();
    assert!(daemon.wait().success());
    // Each further wait for a listener would take another `stop_within`.
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < 2 * STOP_WITHIN, "the stop took {elapsed:?}");
}

// Guards against connections, and stops, that wait for a body that never arrives.
#[test]
fn an_incomplete_request_of_an_operator_or_a_peer_is_refused_after_body_timeout() {
    let mut fleet = Fleet::new("incomplete-control", 2);
    let daemon = fleet.start_daemon(&[]);
    for (to, path) in [
        (daemon.operators, "/v1/plan"),
        (daemon.operators, "/v1/confirm"),
        (daemon.peers, "/peer/pull"),
        (daemon.peers, "/peer/notice"),
    ] {
        let response = send_raw_request(to, incomplete_request(path).as_bytes());
        assert_eq!(response.status, 408, "{path}: {response:?}");
        assert_eq!(response.header("connection"), Some("close"), "{path}");
    }
}

#[test]
fn a_planned_stop_finishes_a_stream_and_refuses_new_requests_as_not_run() {
    let mut fleet = Fleet::new("planned-stop", 2);
    let mut daemon = fleet.start_serving_daemon();
    let to = daemon.callers;
    let stream = std::thread::spawn(move || send_chat(to, &[], &chat_request_body(300, true)));
    wait_for("the stream runs", || {
        daemon.log_text().contains("attempt 1").then_some(())
    });
    daemon.send_signal("-TERM");
    wait_for("the daemon is not ready any more", || {
        (send_request(to, "GET", "/readyz", &[], "").status != 200).then_some(())
    });
    let response = stream.join().expect("the request thread succeeds");
    assert_eq!(response.body.matches("data: {").count(), 300);
    assert!(response.body.contains("data: [DONE]"));
    assert!(daemon.wait().success());
}

/// Guards against callers that wait for a connection that is never served.
#[test]
fn a_connection_above_the_limit_is_refused_at_once_with_a_time_to_return() {
    const MAX_CONNECTIONS: usize = 4;
    let mut fleet = Fleet::new("connections", 2);
    fleet.limits = format!("max_connections = {MAX_CONNECTIONS}");
    let daemon = fleet.start_serving_daemon();
    let connect = || {
        let stream = TcpStream::connect(daemon.callers).expect("the listener accepts");
        let limit = Some(Duration::from_secs(10));
        stream.set_read_timeout(limit).expect("can set it");
        stream
    };
    // A connection of the start may still be counted, so each one shows that it is served.
    let served = || {
        let mut stream = connect();
        let request = "GET /readyz HTTP/1.1\r\nHost: test\r\n\r\n";
        stream.write_all(request.as_bytes()).ok()?;
        let mut response = [0; 1_024];
        let length = stream.read(&mut response).ok()?;
        let is_served = response[..length].starts_with(b"HTTP/1.1 200 ");
        is_served.then_some(stream)
    };
    let idle: Vec<_> = (0..MAX_CONNECTIONS)
        .map(|_| wait_for("a connection is served", served))
        .collect();

    let mut refused = connect();
    // Nothing is sent.
    let mut refusal = Vec::new();
    let _ = refused.read_to_end(&mut refusal);
    let text = String::from_utf8_lossy(&refusal);
    assert!(text.starts_with("HTTP/1.1 503 "), "{text:?}");
    assert!(text.contains("\r\nRetry-After: 1\r\n"), "{text:?}");
    drop(idle);
    wait_for("others are served after connections were closed", served);
}
