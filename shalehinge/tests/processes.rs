//! Failures of real daemon processes: killed, suspended and resumed, or started during an outage
//! of the platform.

mod process_support;

use process_support::{
    API_KEY, DaemonProcess, Fleet, chat_request_body, send_chat, send_request, wait_for,
};
use standin::platform::store::PlatformFault;

/// Number of times that the daemon has acquired the lease.
fn lease_acquisitions(daemon: &DaemonProcess) -> usize {
    daemon.log_text().matches("lease: holds d in epoch").count()
}

/// Sends a notice, a call that must not run twice, under an idempotency key; returns the status.
fn send_notice(daemon: &DaemonProcess, key: &str) -> u16 {
    let authorization = format!("Bearer {API_KEY}");
    let headers = [
        ("Authorization", authorization.as_str()),
        ("Idempotency-Key", key),
    ];
    send_request(daemon.callers, "POST", "/rutas/avisos", &headers, "aviso").status
}

/// Sends a notice until it is accepted or rejected; on a busy machine claiming the key may time
/// out.
fn send_notice_until_decided(daemon: &DaemonProcess, key: &str) -> u16 {
    wait_for("the notice is accepted or rejected", || {
        let status = send_notice(daemon, key);
        (status != 503).then_some(status)
    })
}

#[test]
fn the_lease_of_a_killed_holder_passes_on_and_a_key_that_it_claimed_does_not_run_again() {
    let mut fleet = Fleet::new("killed-holder", 3);
    let mut first = fleet.start_serving_daemon();
    let second = fleet.start_daemon(&[first.peers]);
    wait_for("the second daemon serves", || {
        (second.eligible_replicas() == 1).then_some(())
    });
    assert_eq!(send_notice_until_decided(&first, "aviso-1"), 200);
    first.kill();
    assert_eq!(send_notice_until_decided(&second, "aviso-1"), 409);
    assert_eq!(fleet.service_calls("aviso-1"), 1);
    wait_for("the second daemon holds the lease", || {
        (lease_acquisitions(&second) > 0).then_some(())
    });
    assert_eq!(
        send_chat(second.callers, &[], &chat_request_body(4, false)).status,
        200
    );
}

#[test]
fn a_holder_that_was_suspended_and_resumed_gives_up_the_lease() {
    let mut fleet = Fleet::new("stopped-holder", 3);
    let first = fleet.start_serving_daemon();
    let second = fleet.start_daemon(&[first.peers]);
    wait_for("the second daemon serves", || {
        (second.eligible_replicas() == 1).then_some(())
    });
    first.send_signal("-STOP");
    wait_for("the second daemon holds the lease", || {
        (lease_acquisitions(&second) > 0).then_some(())
    });
    first.send_signal("-CONT");
    wait_for("the first daemon has noticed the loss of the lease", || {
        let text = first.log_text();
        text.contains("lease: no longer holds d").then_some(())
    });
    wait_for("the first daemon serves again", || {
        (send_chat(first.callers, &[], &chat_request_body(4, false)).status == 200).then_some(())
    });
    assert_eq!(lease_acquisitions(&first), 1);
}

#[test]
fn requests_are_served_during_a_platform_outage_and_keyed_ones_are_rejected() {
    let mut fleet = Fleet::new("outage", 3);
    let daemon = fleet.start_serving_daemon();
    fleet.set_platform_fault(PlatformFault::Down);
    wait_for("the lease has expired", || {
        let text = daemon.log_text();
        text.contains("lease: no longer holds d").then_some(())
    });
    assert_eq!(
        send_chat(daemon.callers, &[], &chat_request_body(4, false)).status,
        200
    );
    assert_eq!(send_notice(&daemon, "aviso-2"), 503);
    assert_eq!(fleet.service_calls("aviso-2"), 0);
    fleet.set_platform_fault(PlatformFault::None);
    wait_for("the daemon holds the lease again", || {
        (lease_acquisitions(&daemon) > 1).then_some(())
    });
    wait_for("the key can be claimed", || {
        (send_notice(&daemon, "aviso-2") == 200).then_some(())
    });
    assert_eq!(fleet.service_calls("aviso-2"), 1);
}

#[test]
fn a_daemon_that_starts_during_a_platform_outage_serves_by_the_state_of_its_peers() {
    let mut fleet = Fleet::new("start-in-outage", 3);
    let first = fleet.start_serving_daemon();
    fleet.set_platform_fault(PlatformFault::Down);
    let second = fleet.start_daemon(&[first.peers]);
    wait_for("the second daemon serves", || {
        (second.eligible_replicas() == 1).then_some(())
    });
    assert_eq!(
        send_chat(second.callers, &[], &chat_request_body(4, false)).status,
        200
    );
}
