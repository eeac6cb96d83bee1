//! Log lines on requests that wait for this daemon's own share of the capacity.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::load::PeerLoad;
use shalehinge::core::router::request::{RequestMeta, Target, UpstreamId};
use shalehinge::core::router::topology::Topology;
use shalehinge::core::router::upstream::{Evidence, UpstreamSpec};
use shalehinge::core::router::{Router, RouterAction};
use shalehinge::core::types::{
    Customer, FailureDomain, GroupNumber, Incarnation, ModelName, ReplicaId, RequestId, Timestamp,
};
use shalehinge::settings::router::RouterSettings;

const START: Timestamp = Timestamp::from_millis(1_000);
/// Requests for more than all places of the upstream.
const REQUESTS: u64 = 20;
const SHARE_LINE: &str = "wait for the share of this daemon";

fn target() -> Target {
    Target::Model(ModelName::new("s/m"))
}

fn upstream() -> UpstreamSpec {
    UpstreamSpec {
        id: UpstreamId::Replica(ReplicaId {
            failure_domain: FailureDomain::new("d"),
            number: GroupNumber(1),
        }),
        address: ([10, 0, 0, 1], 1).into(),
        group: Some(GroupNumber(1)),
        failure_domain: FailureDomain::new("d"),
        remote: false,
        accepts_new: true,
        host: None,
        evidence: Evidence::Listed,
        slots: Some(8),
        started: None,
        warm_up: None,
    }
}

fn request(number: u64) -> RequestMeta {
    RequestMeta {
        customer: Customer::new("one"),
        fingerprint: Fingerprint(number),
        target: target(),
        prompt_tokens: 100,
        max_output_tokens: 50,
        deadline: Timestamp::from_millis(60_000),
        first_output_within: None,
        priority: 5,
        key: None,
        repeatable: true,
        prefix: Vec::new(),
        prompt_parts: Vec::new(),
        max_attempts: None,
        is_resumable: false,
        credential: None,
    }
}

/// Lines that the router of one of nine daemons logs in the second after it received requests.
fn logged(settings: RouterSettings, accepts_new: bool) -> Vec<String> {
    let mut router = Router::new(settings, Incarnation(1));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut out = Vec::new();
    router.set_fleet_load(START, 9, &PeerLoad::default());
    router.set_topology(START, Topology::from([(target(), vec![upstream()])]));
    for number in 0..REQUESTS {
        let id = RequestId(number);
        router.submit(START, id, request(number), 1, &mut rng, &mut out);
    }
    let spec = UpstreamSpec {
        accepts_new,
        ..upstream()
    };
    router.set_topology(START, Topology::from([(target(), vec![spec])]));
    router.tick(START + Duration::from_secs(1), &mut rng, &mut out);
    let lines = out.into_iter().filter_map(|action| match action {
        RouterAction::Log(line) => Some(line),
        _ => None,
    });
    lines.collect()
}

#[test]
fn requests_that_wait_for_the_own_share_are_logged_as_such() {
    let lines = logged(RouterSettings::default(), true);
    let has_line = lines.iter().any(|line| line.contains(SHARE_LINE));
    assert!(has_line, "{lines:?}");
}

#[test]
fn requests_that_wait_for_a_leaving_upstream_are_not_logged_as_waiting_for_the_share() {
    let lines = logged(RouterSettings::default(), false);
    let has_line = lines.iter().any(|line| line.contains(SHARE_LINE));
    assert!(!has_line, "{lines:?}");
}
