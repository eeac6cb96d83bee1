//! Failures of real daemon processes: killed, suspended and resumed, or started during an outage
//! of the platform.

mod process_support;

use process_support::{DaemonProcess, Fleet, KEY, chat, chat_body, exchange, wait_for};
use standin::platform::store::Fault;

/// Number of times that the daemon has acquired the lease.
fn holds(daemon: &DaemonProcess) -> usize {
    daemon.log_text().matches("lease: holds d in epoch").count()
}

/// Sends a notice, a call that must not run twice, under an idempotency key; returns the status.
fn notice(daemon: &DaemonProcess, key: &str) -> u16 {
    let bearer = format!("Bearer {KEY}");
    let headers = [("Authorization", bearer.as_str()), ("Idempotency-Key", key)];
    exchange(daemon.callers, "POST", "/rutas/avisos", &headers, "aviso").status
}

/// Sends a notice until it is accepted or rejected; on a busy machine claiming the key may time
/// out.
fn decided_notice(daemon: &DaemonProcess, key: &str) -> u16 {
    wait_for("the notice is accepted or rejected", || {
        let status = notice(daemon, key);
        (status != 503).then_some(status)
    })
}

#[test]
fn a_killed_holder_is_succeeded_and_a_key_that_it_claimed_does_not_run_again() {
    let mut fleet = Fleet::new("killed-holder", 3);
    let mut first = fleet.serving();
    let second = fleet.daemon(&[first.peers]);
    wait_for("the second daemon serves", || {
        (second.eligible() == 1).then_some(())
    });
    assert_eq!(decided_notice(&first, "aviso-1"), 200);
    first.kill();
    assert_eq!(decided_notice(&second, "aviso-1"), 409);
    assert_eq!(fleet.service_calls("aviso-1"), 1);
    wait_for("the second daemon holds the lease", || {
        (holds(&second) > 0).then_some(())
    });
    assert_eq!(chat(second.callers, &[], &chat_body(4, false)).status, 200);
}

#[test]
fn a_holder_that_was_stopped_and_continued_gives_up_the_lease() {
    let mut fleet = Fleet::new("stopped-holder", 3);
    let first = fleet.serving();
    let second = fleet.daemon(&[first.peers]);
    wait_for("the second daemon serves", || {
        (second.eligible() == 1).then_some(())
    });
    first.signal("-STOP");
    wait_for("the second daemon holds the lease", || {
        (holds(&second) > 0).then_some(())
    });
    first.signal("-CONT");
    wait_for("the first daemon has noticed the loss of the lease", || {
        let text = first.log_text();
        text.contains("lease: no longer holds d").then_some(())
    });
    wait_for("the first daemon serves again", || {
        (chat(first.callers, &[], &chat_body(4, false)).status == 200).then_some(())
    });
    assert_eq!(holds(&first), 1);
}

#[test]
fn requests_go_on_while_the_platform_is_away_and_keyed_ones_are_refused() {
    let mut fleet = Fleet::new("outage", 3);
    let daemon = fleet.serving();
    fleet.platform_fault(Fault::Down);
    wait_for("the lease has expired", || {
        let text = daemon.log_text();
        text.contains("lease: no longer holds d").then_some(())
    });
    assert_eq!(chat(daemon.callers, &[], &chat_body(4, false)).status, 200);
    assert_eq!(notice(&daemon, "aviso-2"), 503);
    assert_eq!(fleet.service_calls("aviso-2"), 0);
    fleet.platform_fault(Fault::None);
    wait_for("the daemon holds the lease again", || {
        (holds(&daemon) > 1).then_some(())
    });
    wait_for("the key can be claimed", || {
        (notice(&daemon, "aviso-2") == 200).then_some(())
    });
    assert_eq!(fleet.service_calls("aviso-2"), 1);
}

#[test]
fn a_daemon_that_starts_in_an_outage_serves_by_what_its_peers_hold() {
    let mut fleet = Fleet::new("start-in-outage", 3);
    let first = fleet.serving();
    fleet.platform_fault(Fault::Down);
    let second = fleet.daemon(&[first.peers]);
    wait_for("the second daemon serves", || {
        (second.eligible() == 1).then_some(())
    });
    assert_eq!(chat(second.callers, &[], &chat_body(4, false)).status, 200);
}
