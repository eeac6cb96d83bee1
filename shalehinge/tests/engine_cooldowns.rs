//! Engines and plain services that request a cooldown or announce that they are leaving, by the
//! HTTP interface of this project.

mod process_support;

use std::time::{Duration, Instant};

use process_support::{Answer, DaemonProcess, Fleet, KEY, chat, chat_body, exchange, wait_for};
use standin::engine::faults::EngineFault;
use standin::service::{ServiceFault, TURNED_AWAY};

/// Maximum number of requests that may reach an upstream in a cooldown, including the one whose
/// response requests it. Users of the system set this bound.
const ALLOWED: usize = 3;

/// Sends one chat request, without retries.
fn chat_once(daemon: &DaemonProcess) -> Answer {
    let bearer = format!("Bearer {KEY}");
    let headers = [("Authorization", bearer.as_str())];
    let body = chat_body(2, false);
    exchange(
        daemon.callers,
        "POST",
        "/v1/chat/completions",
        &headers,
        &body,
    )
}

/// Calls the plain service.
fn call_service(daemon: &DaemonProcess) -> Answer {
    let bearer = format!("Bearer {KEY}");
    let headers = [("Authorization", bearer.as_str())];
    exchange(daemon.callers, "GET", "/rutas/1", &headers, "")
}

/// Number of attempts that the daemon has made at replicas of the model `m`.
fn attempts(daemon: &DaemonProcess) -> usize {
    let text = daemon.log_text();
    let lines = text.lines();
    lines
        .filter(|line| line.contains(" for m, attempt "))
        .count()
}

#[test]
fn requests_go_to_no_engine_in_its_cooldown() {
    let mut fleet = Fleet::new("cools", 2);
    let daemon = fleet.serving();
    assert_eq!(chat(daemon.callers, &[], &chat_body(2, false)).status, 200);
    fleet.engine_fault(EngineFault::AsksForCooldown { tenths: 40 });
    let before = attempts(&daemon);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        let answer = chat_once(&daemon);
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
    }
    let made = attempts(&daemon) - before;
    assert!(made <= ALLOWED, "{made} attempts, allowed {ALLOWED}");
    fleet.engine_fault(EngineFault::None);
    wait_for("requests are served again", || {
        (chat_once(&daemon).status == 200).then_some(())
    });
}

#[test]
fn requests_go_to_no_engine_that_said_it_is_leaving() {
    let mut fleet = Fleet::new("leaves", 2);
    let daemon = fleet.serving();
    assert_eq!(chat(daemon.callers, &[], &chat_body(2, false)).status, 200);
    fleet.engine_fault(EngineFault::SaysLeaving);
    assert_eq!(chat(daemon.callers, &[], &chat_body(2, false)).status, 200);
    fleet.engine_fault(EngineFault::None);
    let before = attempts(&daemon);
    for _ in 0..5 {
        assert_eq!(chat_once(&daemon).status, 503, "there is no other replica");
    }
    assert_eq!(attempts(&daemon), before);
}

#[test]
fn calls_go_to_no_service_in_its_cooldown() {
    let mut fleet = Fleet::new("service-cools", 2);
    let daemon = fleet.serving();
    assert_eq!(call_service(&daemon).status, 200);
    fleet.service_fault(&ServiceFault::AsksForCooldown("4".into()));
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        assert_ne!(call_service(&daemon).status, 200);
    }
    let made = fleet.service_calls(TURNED_AWAY);
    assert!(made <= ALLOWED as u64, "{made} calls, allowed {ALLOWED}");
    fleet.service_fault(&ServiceFault::None);
    wait_for("requests are served again", || {
        (call_service(&daemon).status == 200).then_some(())
    });
}

#[test]
fn calls_go_to_no_service_that_said_it_is_leaving() {
    let mut fleet = Fleet::new("service-leaves", 2);
    let daemon = fleet.serving();
    fleet.service_fault(&ServiceFault::SaysLeaving);
    assert_eq!(call_service(&daemon).status, 200);
    fleet.service_fault(&ServiceFault::None);
    for _ in 0..5 {
        assert_eq!(
            call_service(&daemon).status,
            503,
            "there is no other instance"
        );
    }
    assert_eq!(fleet.service_calls("without a key"), 1);
}
