//! Load per model: counting, exchange between daemons, and the replicas that it requires.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use shalehinge::core::demand::{Demand, FleetWork, ModelWork, WorkReport};
use shalehinge::core::objects::{EngineTimes, ModelProfile};
use shalehinge::core::placement::replica_demand::estimate_demand;
use shalehinge::core::types::{DaemonId, ModelName, ServiceName, Timestamp};

const LARGE: &str = "large";
const SMALL: &str = "small";

fn model(name: &str) -> ModelName {
    ModelName::new(name)
}

fn daemon(number: usize) -> DaemonId {
    DaemonId::new(&format!("daemon-{number}"))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// A daemon's counts after ten seconds at `per_second` requests per second, each answered with
/// thirty outputs.
fn demand_at_rate(per_second: u64, prompt_tokens: u32) -> Demand {
    let mut demand = Demand::default();
    for request in 0..10 * per_second {
        let now = at(1_000 + request * 1_000 / per_second);
        demand.record_request(now, &model(SMALL), prompt_tokens);
        demand.record_answer(now, &model(SMALL), 30);
    }
    demand
}

fn reports(demand: &Demand, now: Timestamp, number: usize) -> Vec<WorkReport> {
    let mut rng = StdRng::seed_from_u64(1);
    demand.reports(now, &daemon(number), &mut rng)
}

fn is_close(value: f64, expected: f64) -> bool {
    (value / expected - 1.0).abs() < 0.1
}

#[test]
fn fleet_work_scales_the_sampled_daemons_to_the_fleet_size() {
    let now = at(11_000);
    let mut holder = demand_at_rate(4, 700);
    for number in 1..10 {
        let other = demand_at_rate(8, 700);
        holder.merge(now, &daemon(0), reports(&other, now, number));
    }
    let work = holder.fleet_work(now, 20);
    let small = work.per_second[&model(SMALL)];
    assert!(is_close(small.requests, 20.0 * 7.6), "{small:?}");
    assert!(
        is_close(small.prompt_tokens, small.requests * 700.0),
        "{small:?}"
    );
    assert!(
        is_close(small.expected_outputs(), small.requests * 30.0),
        "{small:?}"
    );
}

#[test]
fn old_reports_lose_weight_and_then_expire() {
    let mut holder = Demand::default();
    let received_at = at(11_000);
    holder.merge(
        received_at,
        &daemon(0),
        reports(&demand_at_rate(20, 700), received_at, 1),
    );
    let sampled = |later: u64| {
        let now = received_at + Duration::from_secs(later);
        holder.fleet_work(now, 1).sampled_requests
    };
    assert!(sampled(8) < sampled(0) / 2.0);
    let rate = holder.fleet_work(received_at + Duration::from_secs(8), 1);
    let requests = rate.per_second[&model(SMALL)].requests;
    assert!(
        is_close(requests, 20.0),
        "the rate must not decay with its weight: {requests}"
    );
    let later = received_at + Duration::from_secs(30);
    holder.merge(later, &daemon(0), Vec::new());
    assert_eq!(holder.fleet_work(later, 1), FleetWork::default());
}

#[test]
fn older_duplicate_reports_and_reports_on_oneself_are_ignored() {
    let now = at(11_000);
    let mut holder = demand_at_rate(5, 700);
    let own_alone = holder.fleet_work(now, 1).sampled_requests;
    let own = reports(&holder, now, 0);
    holder.merge(now, &daemon(0), own);
    assert_eq!(holder.fleet_work(now, 1).sampled_requests, own_alone);
    let peer = reports(&demand_at_rate(5, 700), now, 1);
    holder.merge(now, &daemon(0), peer.clone());
    let with_peer = holder.fleet_work(now, 1).sampled_requests;
    let older = peer.into_iter().map(|report| WorkReport {
        ms_ago: 500,
        ..report
    });
    holder.merge(now, &daemon(0), older.collect());
    assert_eq!(holder.fleet_work(now, 1).sampled_requests, with_peer);
}

#[test]
fn a_message_stays_small_in_a_large_fleet() {
    let now = at(11_000);
    let mut holder = demand_at_rate(5, 700);
    for number in 1..300 {
        holder.merge(
            now,
            &daemon(0),
            reports(&demand_at_rate(2, 700), now, number),
        );
    }
    assert!(reports(&holder, now, 0).len() <= 17);
}

fn profile(hosts_per_replica: u32, pace: f64) -> ModelProfile {
    ModelProfile {
        service: ServiceName::new("s"),
        hosts_per_replica,
        work_share: 0.5,
        pace,
        slots: 50,
        load_seconds: None,
        times: Some(EngineTimes {
            step_ms: 5.0,
            step_ms_per_request: 0.1,
            steps_per_event: 5,
            prompt_tokens_per_second: 50_000.0,
        }),
    }
}

fn profiles() -> BTreeMap<ModelName, ModelProfile> {
    BTreeMap::from([
        (model(LARGE), profile(12, 1.0)),
        (model(SMALL), profile(6, 0.5)),
    ])
}

fn work(requests: f64, prompt_tokens: f64, outputs: f64) -> ModelWork {
    ModelWork {
        requests,
        prompt_tokens,
        answers: requests / 2.0,
        outputs: outputs / 2.0,
    }
}

#[test]
fn needs_include_prompt_processing_and_output_generation() {
    let work = FleetWork {
        per_second: BTreeMap::from([
            // Half a second of prompt processing, and 2,500 output tokens at 0.2 ms each.
            (model(LARGE), work(100.0, 25_000.0, 500.0)),
            (model(SMALL), work(100.0, 25_000.0, 500.0)),
        ]),
        sampled_requests: 1_000.0,
    };
    let needs = estimate_demand(&profiles(), &work).expect("sample is large enough");
    assert!(is_close(needs[&model(LARGE)], 1.0), "{needs:?}");
    assert!(is_close(needs[&model(SMALL)], 0.5), "{needs:?}");
}

#[test]
fn a_small_sample_gives_no_needs_and_an_idle_model_has_a_minimum_need() {
    let mut seen = FleetWork {
        per_second: BTreeMap::from([(model(SMALL), work(10.0, 7_000.0, 300.0))]),
        sampled_requests: 50.0,
    };
    assert_eq!(estimate_demand(&profiles(), &seen), None);
    seen.sampled_requests = 500.0;
    let needs = estimate_demand(&profiles(), &seen).expect("sample is large enough");
    assert!(needs[&model(LARGE)] > 0.0);
}

#[test]
fn models_without_engine_times_are_weighted_by_their_tokens() {
    let mut profiles = profiles();
    for profile in profiles.values_mut() {
        profile.times = None;
    }
    let work = FleetWork {
        per_second: BTreeMap::from([
            (model(LARGE), work(10.0, 10_000.0, 100.0)),
            (model(SMALL), work(10.0, 40_000.0, 400.0)),
        ]),
        sampled_requests: 500.0,
    };
    let needs = estimate_demand(&profiles, &work).expect("sample is large enough");
    let ratio = needs[&model(SMALL)] / needs[&model(LARGE)];
    assert!(
        is_close(ratio, 2.0),
        "four times the tokens at half the pace give twice the need, got {ratio}"
    );
}
