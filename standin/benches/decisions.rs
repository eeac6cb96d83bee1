//! Benchmarks of the time and memory of one routing decision and of one placement plan.
//!
//! Run with `cargo bench -p standin`.

use std::collections::{BTreeMap, BTreeSet};

use divan::{AllocProfiler, Bencher};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::engine::{EngineLoad, EnginePhase, EngineStatus};
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::objects::{Assignment, PlacementWeights};
use shalehinge::core::placement::host_choice::HostChoice;
use shalehinge::core::placement::planner::HeldWeights;
use shalehinge::core::placement::preview::apply_step;
use shalehinge::core::placement::replica_demand::UNKNOWN_DEMAND;
use shalehinge::core::placement::{PlacementContext, next_steps};
use shalehinge::core::router::request::{AttemptEnd, RequestMeta, Target};
use shalehinge::core::router::{Router, RouterAction};
use shalehinge::core::types::{Customer, HostId, ModelName, RequestId, Timestamp};
use shalehinge::settings::router::RouterSettings;
use standin::experiment::day::{DaySpec, ModelSpec, domain_objects};
use standin::experiment::fleet::{FleetSpec, fleet_state, new_router};

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

fn fleet_spec(replicas: usize) -> FleetSpec {
    FleetSpec {
        routers: 9,
        domains: 5,
        replicas,
        settings: RouterSettings::default(),
        report_lag: std::time::Duration::ZERO,
        reports_load_age: true,
        slow_replicas: (0, 1.0),
        lost_replicas: (0, std::time::Duration::ZERO),
        kv_total: 48_000,
    }
}

/// Returns a router that has reports of all its candidates: complete groups with half of their
/// slots in use.
fn ready_router(replicas: usize, rng: &mut SmallRng) -> Router {
    let spec = fleet_spec(replicas);
    let mut router = new_router(0, &spec, &fleet_state(spec.domains, replicas));
    let mut actions = Vec::new();
    for second in 1..6 {
        let now = Timestamp::from_millis(second * 1_000);
        for report_request in router.reports_wanted(now) {
            let status = EngineStatus {
                host: HostId::new("h"),
                phase: EnginePhase::Ready,
                group: report_request.group,
                held: None,
                members_present: 8,
                member_count: 8,
                members_age_ms: 0,
                started: None,
                load: EngineLoad {
                    running: 16,
                    slots: 32,
                    kv_total: 48_000,
                    kv_used: 20_000,
                    ..EngineLoad::default()
                },
            };
            router.on_report(
                now,
                now,
                &report_request.id,
                Some(&status),
                rng,
                &mut actions,
            );
        }
    }
    router
}

/// Routes a request from its submission to its completion, with one choice among the candidates.
#[divan::bench(args = [50, 200, 830])]
fn routing_decision(bencher: Bencher, replicas: usize) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut router = ready_router(replicas, &mut rng);
    let now = Timestamp::from_millis(5_500);
    let mut request_number = 0;
    bencher.bench_local(|| {
        request_number += 1;
        let mut actions = Vec::new();
        let meta = RequestMeta {
            customer: Customer::new("customer-1"),
            fingerprint: Fingerprint(request_number),
            target: Target::Model(ModelName::new("model")),
            prompt_tokens: 500,
            max_output_tokens: 256,
            deadline: Timestamp::from_millis(60_000),
            first_output_within: None,
            priority: 0,
            key: None,
            repeatable: true,
            prefix: (0..8)
                .map(|block| request_number % 100 * 100 + block)
                .collect(),
            prompt_parts: Vec::new(),
            max_attempts: None,
            is_resumable: false,
            credential: None,
        };
        let request = RequestId(request_number);
        router.submit(now, request, meta, 1, &mut rng, &mut actions);
        let sent = actions.iter().find_map(|action| match action {
            RouterAction::Send(attempt) => Some(attempt.id),
            _ => None,
        });
        let attempt = sent.expect("a candidate has free capacity");
        let end = AttemptEnd::Completed { output_tokens: 100 };
        router.on_ended(now, request, attempt, end, &mut rng, &mut actions);
    });
}

fn day_spec(hosts: usize) -> DaySpec {
    const FABRIC_DOMAIN_SIZE: usize = 66;
    DaySpec {
        fabric_domain_sizes: vec![FABRIC_DOMAIN_SIZE; hosts.div_ceil(FABRIC_DOMAIN_SIZE)],
        models: vec![
            ModelSpec {
                name: "large",
                hosts_per_replica: 8,
                replicas: (hosts / 16) as u32,
            },
            ModelSpec {
                name: "small",
                hosts_per_replica: 4,
                replicas: (hosts / 10) as u32,
            },
        ],
        weights: PlacementWeights::default(),
        host_choice: HostChoice::BestFit,
        failures_per_host_day: 0.0,
    }
}

/// Plans all groups of a failure domain that has none yet.
#[divan::bench(args = [100, 1_000, 3_300])]
fn plan_all_groups(bencher: Bencher, hosts: usize) {
    let (domain, fleet, host_list) = domain_objects(&day_spec(hosts));
    let assignment = Assignment::default();
    bencher.bench_local(|| {
        next_steps(&PlacementContext {
            domain: &domain,
            fleet: &fleet,
            hosts: &host_list,
            assignment: &assignment,
            unreachable: &BTreeSet::new(),
            lost: &BTreeMap::new(),
            held: &HeldWeights::new(),
            choice: HostChoice::BestFit,
            max_forming: usize::MAX,
            max_loads: usize::MAX,
            keep_surplus: false,
            replica_demand: &UNKNOWN_DEMAND,
        })
    });
}

/// Plans a failure domain that already matches its configuration, as the lease holder does
/// periodically.
#[divan::bench(args = [100, 1_000, 3_300])]
fn plan_without_changes(bencher: Bencher, hosts: usize) {
    let (domain, fleet, host_list) = domain_objects(&day_spec(hosts));
    let mut assignment = Assignment::default();
    let plan = |assignment: &Assignment| {
        next_steps(&PlacementContext {
            domain: &domain,
            fleet: &fleet,
            hosts: &host_list,
            assignment,
            unreachable: &BTreeSet::new(),
            lost: &BTreeMap::new(),
            held: &HeldWeights::new(),
            choice: HostChoice::BestFit,
            max_forming: usize::MAX,
            max_loads: usize::MAX,
            keep_surplus: false,
            replica_demand: &UNKNOWN_DEMAND,
        })
    };
    for step in plan(&assignment) {
        apply_step(&mut assignment, &step);
    }
    bencher.bench_local(|| plan(&assignment));
}
