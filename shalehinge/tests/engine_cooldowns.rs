//! Engines and plain services that ask for a cooldown or leave, behind the product's own interface.

mod process_support;

use std::time::{Duration, Instant};

use process_support::{Answer, DaemonProcess, Fleet, KEY, chat, chat_body, exchange, wait_for};
use standin::engine::faults::EngineFault;
use standin::service::{REJECTED_CALLS, ServiceFault};

/// Requests that users allow in a cooldown, and the one that learns of it.
const ALLOWED: usize = 3;

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

fn call_service(daemon: &DaemonProcess) -> Answer {
    let bearer = format!("Bearer {KEY}");
    let headers = [("Authorization", bearer.as_str())];
    exchange(daemon.callers, "GET", "/rutas/1", &headers, "")
}

/// Attempts that the daemon made at replicas.
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
    wait_for("it is served again", || {
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
        assert_eq!(chat_once(&daemon).status, 503, "no other replica is there");
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
    let made = fleet.service_calls(REJECTED_CALLS);
    assert!(made <= ALLOWED as u64, "{made} calls, allowed {ALLOWED}");
    fleet.service_fault(&ServiceFault::None);
    wait_for("it is served again", || {
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
        assert_eq!(call_service(&daemon).status, 503, "no other one is there");
    }
    assert_eq!(fleet.service_calls("without a key"), 1);
}
