//! The gateway of a real daemon process: invalid requests, faulty upstreams, disconnects and
//! planned stops, and what callers are told about each.

mod process_support;

use std::io::{Read, Write};
use std::net::TcpStream;

use process_support::{Fleet, KEY, chat, chat_body, exchange, send_raw, wait_for};
use standin::engine::faults::EngineFault;

#[test]
fn bad_requests_get_a_clear_error_and_reach_no_upstream() {
    let mut fleet = Fleet::new("bad-requests", 2);
    let daemon = fleet.serving();
    let to = daemon.callers;
    let good = chat_body(4, false);

    let answer = chat(to, &[], "{\"model\": ");
    assert_eq!(answer.status, 400);
    assert!(answer.body.contains("bad_json"), "{answer:?}");
    assert!(answer.body.contains("line 1"), "{answer:?}");
    assert_eq!(answer.header("x-shalehinge-outcome"), Some("not_run"));

    let answer = chat(to, &[], &"x".repeat(30_000));
    assert_eq!(answer.status, 413, "{answer:?}");

    let answer = chat(to, &[("X-Deadline-Ms", "-5")], &good);
    assert!(answer.body.contains("deadline_in_past"), "{answer:?}");

    let answer = chat(to, &[("X-Priority", "high")], &good);
    assert!(answer.body.contains("bad_priority"), "{answer:?}");

    let answer = chat(to, &[], &good.replace("\"m\"", "\"other\""));
    assert_eq!(answer.status, 404);
    assert!(answer.body.contains("unknown_model"), "{answer:?}");

    let unknown = [("Authorization", "Bearer nobody")];
    let answer = exchange(to, "POST", "/v1/chat/completions", &unknown, &good);
    assert_eq!(answer.status, 401);

    let answer = exchange(to, "GET", "/v1/models", &[], "");
    assert_eq!(answer.status, 401);

    // An incomplete request whose caller then sends nothing: it is answered, and other callers
    // are served meanwhile.
    let half = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 500\r\n\r\n{{"
    );
    let slow = std::thread::spawn(move || send_raw(to, half.as_bytes()));
    assert_eq!(chat(to, &[], &good).status, 200);
    let slow = slow.join().expect("the request thread succeeds");
    assert_eq!(slow.status, 408);
    assert_eq!(slow.header("connection"), Some("close"));

    let head = format!("GET / HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(40_000));
    let answer = send_raw(to, head.as_bytes());
    assert_ne!(answer.status, 200);
    assert_eq!(chat(to, &[], &good).status, 200);
}

#[test]
fn a_wrong_upstream_is_never_passed_off_as_an_answer() {
    let mut fleet = Fleet::new("wrong-upstream", 2);
    let daemon = fleet.serving();
    let once = [("X-Not-Repeatable", "true")];
    for fault in [EngineFault::Garbage, EngineFault::OtherAttempt] {
        fleet.engine_fault(fault);
        let answer = chat(daemon.callers, &once, &chat_body(4, false));
        assert_eq!(answer.status, 502, "{fault:?} {answer:?}");
        assert_eq!(answer.header("x-shalehinge-outcome"), Some("unknown"));
        assert!(answer.body.contains("wrong_answer"), "{answer:?}");
    }
    fleet.engine_fault(EngineFault::Failing);
    let answer = chat(daemon.callers, &once, &chat_body(4, false));
    assert_eq!(answer.header("x-shalehinge-outcome"), Some("failed"));
}

#[test]
fn a_stream_that_breaks_off_ends_with_an_error_and_without_the_end_mark() {
    let mut fleet = Fleet::new("cut-stream", 2);
    let daemon = fleet.serving();
    fleet.engine_fault(EngineFault::CutStream);
    let answer = chat(daemon.callers, &[], &chat_body(4, true));
    assert_eq!(answer.status, 200);
    assert!(answer.body.contains("upstream_lost"), "{answer:?}");
    assert!(!answer.body.contains("[DONE]"), "{answer:?}");
}

#[test]
fn what_an_upstream_sends_after_the_end_mark_is_dropped() {
    let mut fleet = Fleet::new("sends-more", 2);
    let daemon = fleet.serving();
    fleet.engine_fault(EngineFault::SendMore);
    let answer = chat(daemon.callers, &[], &chat_body(4, true));
    assert_eq!(answer.body.matches("data: {").count(), 4, "{answer:?}");
    assert!(answer.body.contains("data: [DONE]"));
    assert!(!answer.body.contains("more"), "{answer:?}");
}

#[test]
fn a_stream_is_passed_on_whole_and_token_by_token() {
    let mut fleet = Fleet::new("stream", 2);
    let daemon = fleet.serving();
    let body = chat_body(200, true);
    let mut stream = TcpStream::connect(daemon.callers).expect("can connect");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\nConnection: close\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .expect("can send the request");
    let mut text = String::new();
    let mut piece = [0; 4096];
    let mut reads_with_tokens = 0;
    loop {
        let length = stream.read(&mut piece).expect("can read the response");
        if length == 0 {
            break;
        }
        let new = String::from_utf8_lossy(&piece[..length]);
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
fn a_deadline_that_passes_while_the_upstream_is_silent_is_answered_as_unknown() {
    let mut fleet = Fleet::new("deadline", 2);
    let daemon = fleet.serving();
    fleet.engine_fault(EngineFault::Silent);
    let headers = [("X-Deadline-Ms", "500")];
    // On a busy machine the deadline may pass before the request is sent to an upstream; it then
    // counts as not run.
    let answer = wait_for("the request is sent before its deadline", || {
        let answer = chat(daemon.callers, &headers, &chat_body(4, false));
        let is_not_run = answer.header("x-shalehinge-outcome") == Some("not_run");
        (!is_not_run).then_some(answer)
    });
    assert_eq!(answer.status, 504, "{answer:?}");
    assert_eq!(answer.header("x-shalehinge-outcome"), Some("unknown"));
}

#[test]
fn a_caller_that_leaves_frees_what_it_held() {
    let mut fleet = Fleet::new("caller-leaves", 2);
    let daemon = fleet.serving();
    let body = chat_body(100_000, true);
    let mut stream = TcpStream::connect(daemon.callers).expect("can connect");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .expect("can send the request");
    let mut piece = [0; 100];
    stream.read_exact(&mut piece).expect("the stream starts");
    drop(stream);
    wait_for("the request has ended", || {
        daemon
            .log_text()
            .contains("reason: CallerLeft")
            .then_some(())
    });
    wait_for("the engines are idle", || {
        let idle = fleet.engines.iter().all(|engine| {
            let status = exchange(engine.address, "GET", "/v1/status", &[], "");
            status.body.contains("\"running\":0")
        });
        idle.then_some(())
    });
}

#[test]
fn a_plain_service_gets_method_path_query_and_body_as_they_came() {
    let mut fleet = Fleet::new("service", 2);
    let daemon = fleet.serving();
    let bearer = format!("Bearer {KEY}");
    let headers = [("Authorization", bearer.as_str())];
    let path = "/rutas/lecturas?dia=2&x=%20";
    let answer = exchange(daemon.callers, "PUT", path, &headers, "medidor \u{1} 77");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, format!("PUT {path}\nmedidor \u{1} 77"));
}

#[test]
fn a_planned_stop_finishes_a_stream_and_refuses_new_requests_as_not_run() {
    let mut fleet = Fleet::new("planned-stop", 2);
    let mut daemon = fleet.serving();
    let to = daemon.callers;
    let stream = std::thread::spawn(move || chat(to, &[], &chat_body(300, true)));
    wait_for("the stream runs", || {
        daemon.log_text().contains("attempt 1").then_some(())
    });
    daemon.signal("-TERM");
    wait_for("the daemon is not ready any more", || {
        (exchange(to, "GET", "/readyz", &[], "").status != 200).then_some(())
    });
    let answer = stream.join().expect("the request thread succeeds");
    assert_eq!(answer.body.matches("data: {").count(), 300);
    assert!(answer.body.contains("data: [DONE]"));
    assert!(daemon.wait().success());
}
