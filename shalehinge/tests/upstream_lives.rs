//! An engine that restarts under the same name is treated as a new upstream.

use std::time::Duration;

use shalehinge::core::router::availability::Availability;
use shalehinge::core::router::request::UpstreamId;
use shalehinge::core::router::upstream::{Evidence, Upstream, UpstreamSpec, Work};
use shalehinge::core::signal::{LeavingMark, RequestedCooldown};
use shalehinge::core::types::{
    EngineStart, FailureDomain, GroupNumber, HostId, ReplicaId, Timestamp,
};
use shalehinge::settings::router::RouterSettings;

/// A replica that the host list names.
fn listed() -> UpstreamSpec {
    let group = GroupNumber(1);
    let failure_domain = FailureDomain::new("d");
    UpstreamSpec {
        id: UpstreamId::Replica(ReplicaId {
            failure_domain: failure_domain.clone(),
            number: group,
        }),
        address: ([10, 0, 0, 1], 1).into(),
        group: Some(group),
        failure_domain,
        remote: false,
        accepts_new: true,
        host: Some(HostId::new("host")),
        evidence: Evidence::Listed,
        slots: Some(8),
        started: None,
        warm_up: None,
    }
}

#[test]
fn a_restarted_engine_is_treated_as_a_new_upstream() {
    let started = |start: u64| UpstreamSpec {
        started: Some(EngineStart(start)),
        ..listed()
    };
    let mut upstream = Upstream::new(started(1_000));
    let settings = RouterSettings::default();
    let now = Timestamp::from_millis(5_000);
    upstream.on_sent(now, Work::default());
    upstream.outlier.eject(now, &settings);
    upstream.update(Timestamp::ZERO, started(1_000));
    assert!(
        upstream.outlier.is_ejected(now),
        "the engine did not restart"
    );
    upstream.update(Timestamp::ZERO, started(900));
    assert!(
        !upstream.outlier.is_ejected(now),
        "the engine restarted, with a clock that was set back"
    );
    assert_eq!(
        upstream.in_flight(),
        1,
        "requests in flight must stay counted"
    );
}

#[test]
fn a_cooldown_or_leaving_mark_ends_when_the_engine_restarts() {
    let started = |start: u64| UpstreamSpec {
        started: Some(EngineStart(start)),
        ..listed()
    };
    let mut upstream = Upstream::new(started(1_000));
    let now = Timestamp::from_millis(5_000);
    let asked = RequestedCooldown::For(Duration::from_secs(86_400));
    upstream.cooldown.on_requested(now, &asked);
    upstream.leaving.on_marked(now, &LeavingMark::Leaving);
    upstream.update(Timestamp::ZERO, started(1_000));
    assert_eq!(upstream.availability(now), Availability::Closed);
    upstream.update(Timestamp::ZERO, started(1_001));
    assert_eq!(upstream.availability(now), Availability::Open);
}
