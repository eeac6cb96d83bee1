//! What daemons know of each other by gossip.

use std::time::Duration;

use shalehinge::core::membership::{Heartbeat, Membership};
use shalehinge::core::types::{Address, DaemonId, FailureDomain, Incarnation, Timestamp, Version};
use shalehinge::settings::membership::MembershipSettings;

fn address(port: u16) -> Address {
    ([10, 0, 0, 1], port).into()
}

fn heartbeat(port: u16, domain: &str, counter: u64, holds_control: bool) -> Heartbeat {
    Heartbeat {
        daemon: DaemonId::new(&format!("daemon-{port}")),
        address: address(port),
        failure_domain: FailureDomain::new(domain),
        incarnation: Incarnation(1),
        counter,
        leaving: false,
        fleet: Version(0),
        holds_control,
    }
}

fn member_of_d() -> Membership {
    let settings = MembershipSettings::default();
    Membership::new(settings, heartbeat(1, "d", 0, false), Vec::new())
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_duration(Duration::from_secs(seconds))
}

#[test]
fn who_holds_control_of_a_failure_domain_is_known_whether_a_candidate_or_not() {
    let mut membership = member_of_d();
    let peers = (2..20).map(|port| heartbeat(port, "d", 1, port == 7));
    membership.merge(at(1), peers.collect());
    membership.merge(at(1), vec![heartbeat(30, "other", 1, true)]);
    let domain = FailureDomain::new("d");
    assert_eq!(membership.holder_addresses(at(1), &domain), [address(7)]);
}

#[test]
fn a_holder_that_gave_control_back_is_no_longer_named() {
    let mut membership = member_of_d();
    membership.merge(at(1), vec![heartbeat(7, "d", 1, true)]);
    membership.merge(at(2), vec![heartbeat(7, "d", 2, false)]);
    let domain = FailureDomain::new("d");
    assert_eq!(membership.holder_addresses(at(2), &domain), []);
}

#[test]
fn what_a_dead_daemon_told_counts_no_more() {
    let mut membership = member_of_d();
    membership.merge(at(1), vec![heartbeat(7, "d", 1, true)]);
    let domain = FailureDomain::new("d");
    let later = at(1) + MembershipSettings::default().dead_after;
    assert_eq!(membership.holder_addresses(later, &domain), []);
}
