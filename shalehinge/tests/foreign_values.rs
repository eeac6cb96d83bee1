//! Values of other programs that made the core panic or loop: an entry with 0 slots ended every
//! daemon's ticks, as `clamp` panics if its limits are the wrong way round.
//!
//! The decoders reject such values. The core must bear them nevertheless, as it also gets records
//! from peers of earlier versions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::advertised_limit::RequestRate;
use shalehinge::core::engine::{EngineLoad, EnginePhase, EngineStatus};
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::objects::{Assignment, ModelProfile, PlacementWeights, WarmUpLimit};
use shalehinge::core::placement::fleet_shares::{DomainHosts, fleet_shares};
use shalehinge::core::placement::host_choice::{
    ChoiceInput, FreeHost, FreeHosts, HostChoice, take_hosts,
};
use shalehinge::core::placement::shares::replicas_by_share;
use shalehinge::core::router::estimate::DrainRate;
use shalehinge::core::router::request::{RequestMeta, Target, UpstreamId};
use shalehinge::core::router::topology::Topology;
use shalehinge::core::router::upstream::{Evidence, Upstream, UpstreamSpec};
use shalehinge::core::router::warm_up::WarmUpSpec;
use shalehinge::core::router::{Router, RouterAction};
use shalehinge::core::types::{
    Customer, Epoch, FabricDomain, FailureDomain, GroupNumber, HostId, Incarnation, ModelName,
    ModelVersion, ReplicaId, RequestId, ServiceName, StoreEra, Timestamp,
};
use shalehinge::settings::router::RouterSettings;

/// Numbers at the limits of their type, and next to the limits of what is accepted.
const COUNTS: [u32; 6] = [0, 1, 2, 1_000_000, u32::MAX - 1, u32::MAX];
/// Shares and factors of a configuration, possible or not.
const SHARES: [f64; 9] = [
    0.0,
    1.0,
    -1.0,
    -0.999_999,
    1e-300,
    1e300,
    f64::NAN,
    f64::INFINITY,
    f64::NEG_INFINITY,
];

fn now() -> Timestamp {
    Timestamp::from_millis(10_000)
}

fn listed(slots: Option<u32>) -> UpstreamSpec {
    UpstreamSpec {
        id: UpstreamId::Host(ServiceName::new("s"), HostId::new("h")),
        address: ([10, 0, 0, 1], 1).into(),
        group: None,
        failure_domain: FailureDomain::new("d"),
        remote: false,
        accepts_new: true,
        host: Some(HostId::new("h")),
        evidence: Evidence::Listed,
        slots,
        started: None,
        warm_up: None,
    }
}

fn replica() -> UpstreamSpec {
    UpstreamSpec {
        id: UpstreamId::Replica(ReplicaId {
            failure_domain: FailureDomain::new("d"),
            number: GroupNumber(1),
        }),
        group: Some(GroupNumber(1)),
        evidence: Evidence::Reports,
        ..listed(None)
    }
}

fn meta(target: &Target) -> RequestMeta {
    RequestMeta {
        customer: Customer::new("one"),
        fingerprint: Fingerprint(1),
        target: target.clone(),
        prompt_tokens: u32::MAX,
        max_output_tokens: u32::MAX,
        deadline: now() + Duration::from_secs(8),
        first_output_within: None,
        priority: u8::MAX,
        key: None,
        repeatable: true,
        prefix: Vec::new(),
        prompt_parts: Vec::new(),
        max_attempts: None,
        is_resumable: false,
        credential: None,
    }
}

#[test]
fn a_listed_upstream_with_any_number_of_slots_gets_a_request() {
    for slots in COUNTS {
        let target = Target::Service(ServiceName::new("s"));
        let mut router = Router::new(RouterSettings::default(), Incarnation(1));
        let mut rng = SmallRng::seed_from_u64(1);
        let topology = Topology::from([(target.clone(), vec![listed(Some(slots))])]);
        router.set_topology(now(), topology);
        let mut out = Vec::new();
        router.submit(now(), RequestId(1), meta(&target), 1, &mut rng, &mut out);
        router.tick(now(), &mut rng, &mut out);
        let is_sent = |action: &RouterAction| matches!(action, RouterAction::Send(_));
        assert!(out.iter().any(is_sent), "{slots} slots: {out:?}");
    }
}

#[test]
fn the_number_of_places_is_at_least_one_and_at_most_that_of_all_daemons() {
    let settings = RouterSettings::default();
    for slots in COUNTS {
        for share in [0.0, 1e-9, 0.5, 1.0] {
            let mut upstream = Upstream::new(listed(Some(slots)));
            upstream.set_traffic_share(share);
            let (own, all) = upstream.places(&settings);
            assert!(own >= 1, "{slots} slots, share {share}");
            assert!(own <= all.max(1), "{slots} slots, share {share}");
        }
    }
}

#[test]
fn any_load_report_is_borne() {
    let settings = RouterSettings::default();
    for running in COUNTS {
        for waiting in COUNTS {
            for slots in COUNTS {
                let mut upstream = Upstream::new(replica());
                let status = EngineStatus {
                    host: HostId::new("h"),
                    phase: EnginePhase::Ready,
                    group: Some(GroupNumber(1)),
                    held: None,
                    members_present: u32::MAX,
                    member_count: u32::MAX,
                    members_age_ms: 0,
                    load: EngineLoad {
                        running,
                        waiting,
                        slots,
                        kv_used: u64::MAX,
                        kv_total: 1,
                        age_ms: Some(0),
                    },
                    started: None,
                };
                upstream.on_report(now(), &status, &settings);
                let (own, _) = upstream.places(&settings);
                assert!(own >= 1, "{status:?}");
                assert!(!upstream.load(&settings).is_nan(), "{status:?}");
            }
        }
    }
}

#[test]
fn a_warm_up_of_any_length_and_rate_is_borne() {
    for rate in [0.0, 1e-300, 1e300] {
        for ms in [0, 1, u64::MAX] {
            let limit = WarmUpLimit {
                rate: RequestRate::per_second(rate).expect("finite and not negative"),
                duration_ms: ms,
            };
            let spec = UpstreamSpec {
                warm_up: WarmUpSpec::new(Some(&limit), ms),
                ..listed(Some(1))
            };
            let target = Target::Service(ServiceName::new("s"));
            let mut router = Router::new(RouterSettings::default(), Incarnation(1));
            let mut rng = SmallRng::seed_from_u64(1);
            router.set_topology(now(), Topology::from([(target.clone(), vec![spec])]));
            let mut out = Vec::new();
            for request in 1..5 {
                let id = RequestId(request);
                router.submit(now(), id, meta(&target), 1, &mut rng, &mut out);
            }
            router.tick(now() + Duration::from_secs(1), &mut rng, &mut out);
        }
    }
}

#[test]
fn a_queue_whose_cost_was_rounded_below_zero_has_no_wait() {
    let mut drain = DrainRate::default();
    drain.record(now(), 1.0, true);
    drain.record(now() + Duration::from_secs(1), 1.0, true);
    for cost in [-1e-12, f64::NAN, f64::NEG_INFINITY] {
        assert_eq!(drain.wait(cost, 1.0), Some(Duration::ZERO), "{cost}");
    }
}

fn profile(hosts_per_replica: u32, work_share: f64) -> ModelProfile {
    ModelProfile {
        service: ServiceName::new("s"),
        hosts_per_replica,
        work_share,
        pace: 1.0,
        slots: 1,
        times: None,
        load_seconds: None,
    }
}

/// With 0 hosts per replica, replicas were added without end; shares of opposite signs asked for
/// billions of replicas.
#[test]
fn any_size_and_share_of_models_gives_a_finite_number_of_replicas() {
    for size in COUNTS {
        for share in SHARES {
            let profiles = BTreeMap::from([
                (ModelName::new("s/a"), profile(size, share)),
                (ModelName::new("s/b"), profile(2, 1.0)),
            ]);
            let counts = replicas_by_share(&profiles, &[4, 7], 0.1);
            let total: u32 = counts.values().sum();
            assert!(total <= 11, "size {size}, share {share}: {counts:?}");
            let hosts = DomainHosts {
                fabric_sizes: vec![3],
                existing: BTreeMap::from([(ModelName::new("s/a"), 5)]),
            };
            let domains = BTreeMap::from([(FailureDomain::new("d"), hosts)]);
            let shares = fleet_shares(&profiles, &domains, 0.1);
            let total: u32 = shares.values().flat_map(|s| s.counts.values()).sum();
            assert!(total <= 3, "size {size}, share {share}: {shares:?}");
        }
    }
}

#[test]
fn a_group_of_no_hosts_is_not_formed() {
    let free = FreeHost {
        host: HostId::new("h"),
        address: ([10, 0, 0, 1], 1).into(),
        warm: true,
    };
    let mut free = FreeHosts::from([(FabricDomain::new("f"), vec![free])]);
    let input = ChoiceInput {
        size: 0,
        sizes: &BTreeSet::from([0]),
        weights: PlacementWeights::default(),
        choice: HostChoice::BestFit,
        max_loads: usize::MAX,
    };
    assert_eq!(take_hosts(&mut free, &input), None);
}

#[test]
fn the_number_after_the_last_one_does_not_overflow() {
    let mut assignment = Assignment {
        next_group: GroupNumber(u64::MAX),
        ..Assignment::default()
    };
    let (model, version) = (ModelName::new("m"), ModelVersion::new("1"));
    assignment.add_group(model, version, Vec::new());
    assert_eq!(assignment.next_group, GroupNumber(u64::MAX));
    let era = StoreEra::new(u32::MAX);
    assert_eq!(Epoch(u64::MAX).next_in(era), Epoch(u64::MAX));
    let latest = Timestamp::from_duration(Duration::MAX);
    assert_eq!(latest.millis_since(Timestamp::ZERO), u64::MAX);
}
