//! The owner of a limit: the reports that it accepts, the permits that it grants and the changes
//! that it broadcasts.

use std::time::Duration;

use shalehinge::core::advertised_limit::RequestRate;
use shalehinge::core::permits::{DaemonGrant, GrantRole, LimitReport, PermitOwner};
use shalehinge::core::router::request::UpstreamId;
use shalehinge::core::types::{
    Address, EngineStart, FailureDomain, GroupNumber, ReplicaId, Timestamp,
};

fn domain() -> FailureDomain {
    FailureDomain::new("d")
}

fn upstream() -> UpstreamId {
    UpstreamId::Replica(ReplicaId {
        failure_domain: domain(),
        number: GroupNumber(1),
    })
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_duration(Duration::from_secs_f64(seconds))
}

fn daemon(port: u16) -> Address {
    ([10, 0, 0, 1], port).into()
}

fn report(rate: Option<f64>) -> LimitReport {
    LimitReport {
        upstream: upstream(),
        failure_domain: domain(),
        started: Some(EngineStart(1)),
        rate: rate.and_then(RequestRate::per_second),
        ms_ago: 0,
        expires_in_ms: None,
    }
}

/// An owner that received a limit at 10 s.
fn owner(rate: f64) -> PermitOwner {
    let mut owner = PermitOwner::default();
    owner.record_report(at(10.0), at(10.0), &report(Some(rate)));
    owner
}

fn request_and_grant(
    owner: &mut PermitOwner,
    seconds: f64,
    port: u16,
    wanted: u32,
) -> Vec<DaemonGrant> {
    owner.queue_request(at(seconds), daemon(port), &upstream(), wanted);
    owner.grant(at(seconds))
}

fn permit_count(granted: &[DaemonGrant]) -> u32 {
    granted.iter().map(|granted| granted.grant.count).sum()
}

#[test]
fn a_new_owner_starts_without_permits() {
    let mut owner = owner(1.0);
    assert_eq!(permit_count(&request_and_grant(&mut owner, 10.0, 1, 5)), 0);
    assert_eq!(permit_count(&request_and_grant(&mut owner, 10.9, 1, 5)), 0);
    assert_eq!(permit_count(&request_and_grant(&mut owner, 11.1, 1, 5)), 1);
}

#[test]
fn permits_are_granted_in_request_order() {
    let mut owner = owner(2.0);
    for port in [7, 3, 5] {
        assert!(request_and_grant(&mut owner, 10.0, port, 1).is_empty());
    }
    // A repeated request keeps its place in the queue.
    assert!(request_and_grant(&mut owner, 10.1, 7, 1).is_empty());
    let first = owner.grant(at(10.55));
    assert_eq!(first[0].daemon, daemon(7));
    let second = owner.grant(at(11.05));
    assert_eq!(second[0].daemon, daemon(3));
}

#[test]
fn unused_permits_accumulate_for_half_a_second_only() {
    let mut owner = owner(10.0);
    assert_eq!(permit_count(&request_and_grant(&mut owner, 40.0, 1, 64)), 6);
}

/// Guards against permits saved up by a suspended owner while another daemon granted them.
#[test]
fn an_owner_that_was_suspended_starts_without_permits() {
    let mut owner = owner(10.0);
    owner.grant(at(12.0));
    assert_eq!(permit_count(&request_and_grant(&mut owner, 20.0, 1, 64)), 0);
    assert_eq!(permit_count(&request_and_grant(&mut owner, 20.5, 1, 64)), 5);
}

#[test]
fn a_standby_grants_half_of_the_limit() {
    let mut owner = owner(10.0);
    let role = GrantRole::Standby(daemon(9));
    assert!(owner.set_role(at(10.0), at(10.0), &upstream(), role));
    let mut granted = 0;
    for tenth in 1..=100 {
        let now = 10.0 + f64::from(tenth) / 10.0;
        granted += permit_count(&request_and_grant(&mut owner, now, 1, 64));
    }
    assert!((49..=51).contains(&granted), "{granted} permits in 10 s");
}

#[test]
fn a_standby_grants_nothing_more_once_the_owner_answers() {
    let mut owner = owner(10.0);
    let role = GrantRole::Standby(daemon(9));
    owner.set_role(at(10.0), at(10.0), &upstream(), role);
    assert!(owner.end_standby(daemon(9)));
    assert!(!owner.end_standby(daemon(9)));
    assert_eq!(permit_count(&request_and_grant(&mut owner, 11.0, 1, 64)), 0);
}

#[test]
fn older_reports_are_ignored_and_the_end_of_a_limit_ends_its_permits() {
    let mut owner = owner(100.0);
    owner.record_report(at(11.0), at(9.0), &report(Some(1.0)));
    assert!(permit_count(&request_and_grant(&mut owner, 11.0, 1, 64)) > 10);
    owner.record_report(at(12.0), at(12.0), &report(None));
    assert_eq!(permit_count(&request_and_grant(&mut owner, 13.0, 1, 64)), 0);
    let known = owner.report(at(13.0), &upstream());
    assert_eq!(known.map(|report| report.rate), Some(None));
    // A daemon that has not heard of the end still reports the former limit.
    owner.record_report(at(13.0), at(11.5), &report(Some(100.0)));
    assert_eq!(permit_count(&request_and_grant(&mut owner, 14.0, 1, 64)), 0);
}

#[test]
fn a_limit_that_starts_and_ends_in_every_answer_is_broadcast_once_a_second() {
    let mut owner = owner(1.0);
    assert_eq!(owner.take_due_broadcasts(at(10.0)).len(), 1);
    let mut broadcasts = 0;
    for tenth in 1..=50 {
        let now = 10.0 + f64::from(tenth) / 10.0;
        let rate = (tenth % 2 == 0).then_some(1.0);
        owner.record_report(at(now), at(now), &report(rate));
        broadcasts += owner.take_due_broadcasts(at(now)).len();
    }
    assert!(broadcasts <= 5, "{broadcasts} broadcasts in 5 s");
}

#[test]
fn a_limit_without_reports_expires() {
    let mut owner = owner(1.0);
    owner.grant(at(100.0));
    assert_eq!(owner.report(at(100.0), &upstream()), None);
}
