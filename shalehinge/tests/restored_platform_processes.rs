//! Daemons whose platform is restored from a backup, by the HTTP interface of this project.

mod process_support;

use std::time::{Duration, Instant};

use process_support::{DaemonProcess, Fleet, KEY, chat, chat_body, exchange, wait_for};
use shalehinge::core::change::Change;
use shalehinge::core::operator::OperatorAnswer;
use shalehinge::core::types::{Customer, ModelName};

/// Number of changes that the backup lacks.
const LOST_CHANGES: u64 = 5;
/// Minimum duration of the load; it takes longer on a busy machine.
const LASTS: Duration = Duration::from_secs(8);

/// A change of the share of the customer `c`.
fn share(share: u32) -> Change {
    let customer = Customer::new("c");
    Change::Share { customer, share }
}

fn is_confirmed(answer: &OperatorAnswer) -> bool {
    matches!(answer, OperatorAnswer::Confirmed { .. })
}

/// Confirms changes after a backup and restores the backup, so that the platform loses them.
fn lose_changes(fleet: &Fleet, daemon: &DaemonProcess) {
    fleet.copy_platform();
    for number in 0..LOST_CHANGES {
        let answer = daemon.change(&share(number as u32 + 2), 10 + number);
        assert!(is_confirmed(&answer), "{answer:?}");
    }
    fleet.restore_platform();
}

#[test]
fn operators_can_change_the_configuration_after_the_platform_lost_changes() {
    let mut fleet = Fleet::new("restored", 3);
    let daemon = fleet.serving();
    lose_changes(&fleet, &daemon);
    let remove = Change::Remove {
        model: ModelName::new("m"),
    };
    let mut operation = 100;
    wait_for("the change is confirmed", || {
        operation += 1;
        is_confirmed(&daemon.change(&remove, operation)).then_some(())
    });
    wait_for("the model is no longer served", || {
        let status = daemon.status()?;
        status.models.is_empty().then_some(())
    });
}

#[test]
fn a_replica_goes_on_serving_while_the_platform_comes_back_from_a_copy() {
    let mut fleet = Fleet::new("restored-replica", 3);
    let daemon = fleet.serving();
    lose_changes(&fleet, &daemon);
    let end = Instant::now() + LASTS;
    while Instant::now() < end {
        assert_eq!(chat(daemon.callers, &[], &chat_body(4, false)).status, 200);
    }
    let text = daemon.log_text();
    assert_eq!(text.matches("retire group").count(), 0, "{text}");
}

/// Sends a notice, a call that must not run twice, under an idempotency key; returns the status.
fn notice(daemon: &DaemonProcess, key: &str) -> u16 {
    let bearer = format!("Bearer {KEY}");
    let headers = [("Authorization", bearer.as_str()), ("Idempotency-Key", key)];
    exchange(daemon.callers, "POST", "/rutas/avisos", &headers, "aviso").status
}

#[test]
fn a_key_whose_claim_the_copy_lacks_does_not_run_again() {
    let mut fleet = Fleet::new("restored-claims", 3);
    let first = fleet.serving();
    let second = fleet.daemon(&[first.peers]);
    wait_for("the second daemon serves", || {
        (second.eligible() == 1).then_some(())
    });
    fleet.copy_platform();
    wait_for("the notice runs", || {
        (notice(&first, "aviso-1") == 200).then_some(())
    });
    fleet.restore_platform();
    let end = Instant::now() + LASTS;
    while Instant::now() < end {
        notice(&second, "aviso-1");
        notice(&first, "aviso-1");
    }
    assert_eq!(fleet.service_calls("aviso-1"), 1);
    wait_for("other keys run", || {
        (notice(&second, "aviso-2") == 200).then_some(())
    });
}
