//! Daemons whose platform is restored from a backup, by the HTTP interface of this project.

mod process_support;

use std::time::{Duration, Instant};

use process_support::holding_relay::HoldingRelay;
use process_support::{
    API_KEY, DaemonProcess, Fleet, chat_request_body, send_chat, send_request, wait_for,
};
use shalehinge::core::change::Change;
use shalehinge::core::operator::OperatorAnswer;
use shalehinge::core::types::{Customer, ModelName};

/// Number of changes that the backup lacks.
const LOST_CHANGES: u64 = 5;
/// Minimum duration of the load; it takes longer on a busy machine.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// A change of the share of the customer `c`.
fn share_change(share: u32) -> Change {
    let customer = Customer::new("c");
    Change::Share { customer, share }
}

fn is_confirmed(response: &OperatorAnswer) -> bool {
    matches!(response, OperatorAnswer::Confirmed { .. })
}

/// Confirms changes after a backup and restores the backup, so that the platform loses them.
fn lose_changes(fleet: &Fleet, daemon: &DaemonProcess) {
    fleet.back_up_platform();
    for number in 0..LOST_CHANGES {
        let response = daemon.apply_change(&share_change(number as u32 + 2), 10 + number);
        assert!(is_confirmed(&response), "{response:?}");
    }
    fleet.restore_platform();
}

#[test]
fn operators_can_change_the_configuration_after_the_platform_lost_changes() {
    let mut fleet = Fleet::new("restored", 3);
    let daemon = fleet.start_serving_daemon();
    lose_changes(&fleet, &daemon);
    let remove = Change::Remove {
        model: ModelName::new("m"),
    };
    let mut operation = 100;
    wait_for("the change is confirmed", || {
        operation += 1;
        is_confirmed(&daemon.apply_change(&remove, operation)).then_some(())
    });
    wait_for("the model is no longer served", || {
        let status = daemon.status()?;
        status.models.is_empty().then_some(())
    });
}

#[test]
fn a_replica_keeps_serving_while_the_platform_is_restored_from_a_backup() {
    let mut fleet = Fleet::new("restored-replica", 3);
    let daemon = fleet.start_serving_daemon();
    lose_changes(&fleet, &daemon);
    let end = Instant::now() + LOAD_DURATION;
    while Instant::now() < end {
        assert_eq!(
            send_chat(daemon.callers, &[], &chat_request_body(4, false)).status,
            200
        );
    }
    let text = daemon.log_text();
    assert_eq!(text.matches("retire group").count(), 0, "{text}");
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

#[test]
fn a_key_whose_claim_the_backup_lacks_does_not_run_again() {
    let mut fleet = Fleet::new("restored-claims", 3);
    let first = fleet.start_serving_daemon();
    let second = fleet.start_daemon(&[first.peers]);
    wait_for("the second daemon serves", || {
        (second.eligible_replicas() == 1).then_some(())
    });
    fleet.back_up_platform();
    wait_for("the notice runs", || {
        (send_notice(&first, "aviso-1") == 200).then_some(())
    });
    fleet.restore_platform();
    let end = Instant::now() + LOAD_DURATION;
    while Instant::now() < end {
        send_notice(&second, "aviso-1");
        send_notice(&first, "aviso-1");
    }
    assert_eq!(fleet.service_calls("aviso-1"), 1);
    wait_for("other keys run", || {
        (send_notice(&second, "aviso-2") == 200).then_some(())
    });
}

/// Number of keys that run at the daemon that is lost.
const KEYS: usize = 5;

#[test]
fn a_key_does_not_run_again_after_its_daemon_and_its_claim_are_lost() {
    let mut fleet = Fleet::new("restored-lost-claims", 3);
    let mut first = fleet.start_serving_daemon();
    let others = [
        fleet.start_daemon(&[first.peers]),
        fleet.start_daemon(&[first.peers]),
    ];
    for other in &others {
        wait_for("the other daemons serve", || {
            (other.eligible_replicas() == 1).then_some(())
        });
    }
    fleet.back_up_platform();
    let keys: Vec<String> = (0..KEYS).map(|number| format!("aviso-{number}")).collect();
    for key in &keys {
        wait_for("the notice runs", || {
            (send_notice(&first, key) == 200).then_some(())
        });
    }
    first.kill();
    fleet.restore_platform();
    let end = Instant::now() + LOAD_DURATION;
    while Instant::now() < end {
        for (key, other) in keys.iter().zip(others.iter().cycle()) {
            send_notice(other, key);
        }
    }
    for key in &keys {
        assert_eq!(fleet.service_calls(key), 1, "key {key}");
    }
    wait_for("other keys run", || {
        (send_notice(&others[0], "other") == 200).then_some(())
    });
}

/// Path of the lease of the fleet's failure domain.
const LEASE_PATH: &str = "/v1/objects/leases/d";

/// The stored version of the lease; `None` if there is none.
fn lease_version(fleet: &Fleet) -> Option<u64> {
    let response = send_request(fleet.platform, "GET", LEASE_PATH, &[], "");
    let lease: serde_json::Value = serde_json::from_str(&response.body).ok()?;
    lease["version"].as_u64()
}

#[test]
fn a_late_renewal_of_an_earlier_era_is_refused_at_the_version_that_it_names() {
    let mut fleet = Fleet::new("late-renewal", 3);
    let platform = fleet.platform;
    let relay = HoldingRelay::start(platform);
    fleet.platform = relay.address;
    let _daemon = fleet.start_serving_daemon();
    let backed_up = wait_for("the lease is written", || lease_version(&fleet));
    fleet.back_up_platform();
    // Held back in both eras, so that the new era's lease stays at the version that they name.
    let version = backed_up + 2;
    relay.hold_writes(&format!("{LEASE_PATH}?expect={version}&"));
    let late = wait_for("a renewal is held back", || {
        relay.held_writes().into_iter().next()
    });
    assert!(late.target.ends_with("&era=1"), "{}", late.target);
    fleet.restore_platform();
    wait_for("a renewal of the new era is held back", || {
        let held = relay.held_writes().into_iter();
        held.rev().find(|call| call.target.ends_with("&era=2"))
    });
    assert_eq!(lease_version(&fleet), Some(version));
    let refusal = late.send(platform);
    assert_eq!(refusal.status, 409, "{refusal:?}");
    assert_eq!(lease_version(&fleet), Some(version));
}
