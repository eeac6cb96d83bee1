//! Engines and plain services that request a cooldown or announce that they are leaving, by the
//! HTTP interface of this project.

mod process_support;

use std::time::{Duration, Instant};

use process_support::{
    API_KEY, DaemonProcess, Fleet, Response, chat_request_body, send_chat, send_request, wait_for,
};
use standin::engine::faults::EngineFault;
use standin::service::{REJECTED_CALLS, ServiceFault};

/// Maximum number of requests that may reach an upstream in a cooldown, including the one whose
/// response requests it. Users of the system set this bound.
const MAX_REQUESTS: usize = 3;

/// Sends one chat request, without retries.
fn send_chat_once(daemon: &DaemonProcess) -> Response {
    let authorization = format!("Bearer {API_KEY}");
    let headers = [("Authorization", authorization.as_str())];
    let body = chat_request_body(2, false);
    send_request(
        daemon.callers,
        "POST",
        "/v1/chat/completions",
        &headers,
        &body,
    )
}

/// Calls the plain service.
fn call_service(daemon: &DaemonProcess) -> Response {
    let authorization = format!("Bearer {API_KEY}");
    let headers = [("Authorization", authorization.as_str())];
    send_request(daemon.callers, "GET", "/rutas/1", &headers, "")
}

/// Number of attempts that the daemon has made at replicas of the model `m`.
fn attempt_count(daemon: &DaemonProcess) -> usize {
    let text = daemon.log_text();
    let lines = text.lines();
    lines
        .filter(|line| line.contains(" for m, attempt "))
        .count()
}

#[test]
fn no_requests_are_sent_to_an_engine_in_its_cooldown() {
    let mut fleet = Fleet::new("cools", 2);
    let daemon = fleet.start_serving_daemon();
    assert_eq!(
        send_chat(daemon.callers, &[], &chat_request_body(2, false)).status,
        200
    );
    fleet.set_engine_fault(EngineFault::AsksForCooldown { tenths: 40 });
    let before = attempt_count(&daemon);
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(3) {
        let response = send_chat_once(&daemon);
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.header("retry-after").is_some(), "{response:?}");
    }
    let attempts_made = attempt_count(&daemon) - before;
    assert!(
        attempts_made <= MAX_REQUESTS,
        "{attempts_made} attempts, allowed {MAX_REQUESTS}"
    );
    fleet.set_engine_fault(EngineFault::None);
    wait_for("requests are served again", || {
        (send_chat_once(&daemon).status == 200).then_some(())
    });
}

#[test]
fn no_requests_are_sent_to_an_engine_that_is_leaving() {
    let mut fleet = Fleet::new("leaves", 2);
    let daemon = fleet.start_serving_daemon();
    assert_eq!(
        send_chat(daemon.callers, &[], &chat_request_body(2, false)).status,
        200
    );
    fleet.set_engine_fault(EngineFault::SaysLeaving);
    assert_eq!(
        send_chat(daemon.callers, &[], &chat_request_body(2, false)).status,
        200
    );
    fleet.set_engine_fault(EngineFault::None);
    let before = attempt_count(&daemon);
    for _ in 0..5 {
        assert_eq!(
            send_chat_once(&daemon).status,
            503,
            "there is no other replica"
        );
    }
    assert_eq!(attempt_count(&daemon), before);
}

#[test]
fn no_calls_are_sent_to_a_service_in_its_cooldown() {
    let mut fleet = Fleet::new("service-cools", 2);
    let daemon = fleet.start_serving_daemon();
    assert_eq!(call_service(&daemon).status, 200);
    fleet.set_service_fault(&ServiceFault::AsksForCooldown("4".into()));
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(3) {
        assert_ne!(call_service(&daemon).status, 200);
    }
    let attempts_made = fleet.service_calls(REJECTED_CALLS);
    assert!(
        attempts_made <= MAX_REQUESTS as u64,
        "{attempts_made} calls, allowed {MAX_REQUESTS}"
    );
    fleet.set_service_fault(&ServiceFault::None);
    wait_for("requests are served again", || {
        (call_service(&daemon).status == 200).then_some(())
    });
}

#[test]
fn no_calls_are_sent_to_a_service_that_is_leaving() {
    let mut fleet = Fleet::new("service-leaves", 2);
    let daemon = fleet.start_serving_daemon();
    fleet.set_service_fault(&ServiceFault::SaysLeaving);
    assert_eq!(call_service(&daemon).status, 200);
    fleet.set_service_fault(&ServiceFault::None);
    for _ in 0..5 {
        assert_eq!(
            call_service(&daemon).status,
            503,
            "there is no other instance"
        );
    }
    assert_eq!(fleet.service_calls("without a key"), 1);
}
