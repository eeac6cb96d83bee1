//! The work that callers ask of each model: counted, sent on, and turned into needs.

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

/// A daemon's counts after so many requests a second for ten seconds, each answered with
/// thirty outputs.
fn counted(per_second: u64, prompt_tokens: u32) -> Demand {
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

fn about(value: f64, expected: f64) -> bool {
    (value / expected - 1.0).abs() < 0.1
}

#[test]
fn the_fleets_work_is_that_of_the_daemons_heard_of_times_all() {
    let now = at(11_000);
    let mut holder = counted(4, 700);
    for number in 1..10 {
        let other = counted(8, 700);
        holder.merge(now, &daemon(0), reports(&other, now, number));
    }
    let work = holder.of_fleet(now, 20);
    let small = work.per_second[&model(SMALL)];
    assert!(about(small.requests, 20.0 * 7.6), "{small:?}");
    assert!(
        about(small.prompt_tokens, small.requests * 700.0),
        "{small:?}"
    );
    assert!(
        about(small.expected_outputs(), small.requests * 30.0),
        "{small:?}"
    );
}

#[test]
fn what_was_heard_long_ago_counts_for_less_and_then_not_at_all() {
    let mut holder = Demand::default();
    let heard_at = at(11_000);
    holder.merge(
        heard_at,
        &daemon(0),
        reports(&counted(20, 700), heard_at, 1),
    );
    let sampled = |later: u64| {
        let now = heard_at + Duration::from_secs(later);
        holder.of_fleet(now, 1).sampled_requests
    };
    assert!(sampled(8) < sampled(0) / 2.0);
    let rate = holder.of_fleet(heard_at + Duration::from_secs(8), 1);
    let requests = rate.per_second[&model(SMALL)].requests;
    assert!(about(requests, 20.0), "the rate itself stays: {requests}");
    let later = heard_at + Duration::from_secs(30);
    holder.merge(later, &daemon(0), Vec::new());
    assert_eq!(holder.of_fleet(later, 1), FleetWork::default());
}

#[test]
fn counts_that_come_round_again_are_taken_once_and_own_ones_never() {
    let now = at(11_000);
    let mut holder = counted(5, 700);
    let own_alone = holder.of_fleet(now, 1).sampled_requests;
    let own = reports(&holder, now, 0);
    holder.merge(now, &daemon(0), own);
    assert_eq!(holder.of_fleet(now, 1).sampled_requests, own_alone);
    let peer = reports(&counted(5, 700), now, 1);
    holder.merge(now, &daemon(0), peer.clone());
    let with_peer = holder.of_fleet(now, 1).sampled_requests;
    let older = peer.into_iter().map(|report| WorkReport {
        ms_ago: 500,
        ..report
    });
    holder.merge(now, &daemon(0), older.collect());
    assert_eq!(holder.of_fleet(now, 1).sampled_requests, with_peer);
}

#[test]
fn a_message_stays_small_in_a_large_fleet() {
    let now = at(11_000);
    let mut holder = counted(5, 700);
    for number in 1..300 {
        holder.merge(now, &daemon(0), reports(&counted(2, 700), now, number));
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
fn a_replica_is_busy_reading_prompts_and_bringing_output() {
    let work = FleetWork {
        per_second: BTreeMap::from([
            // Half a second of reading, and 2,500 tokens at 0.2 ms.
            (model(LARGE), work(100.0, 25_000.0, 500.0)),
            (model(SMALL), work(100.0, 25_000.0, 500.0)),
        ]),
        sampled_requests: 1_000.0,
    };
    let needs = estimate_demand(&profiles(), &work).expect("enough was seen");
    assert!(about(needs[&model(LARGE)], 1.0), "{needs:?}");
    assert!(about(needs[&model(SMALL)], 0.5), "{needs:?}");
}

#[test]
fn too_little_work_tells_nothing_and_a_model_nobody_asks_for_still_needs_something() {
    let mut seen = FleetWork {
        per_second: BTreeMap::from([(model(SMALL), work(10.0, 7_000.0, 300.0))]),
        sampled_requests: 50.0,
    };
    assert_eq!(estimate_demand(&profiles(), &seen), None);
    seen.sampled_requests = 500.0;
    let needs = estimate_demand(&profiles(), &seen).expect("enough was seen");
    assert!(needs[&model(LARGE)] > 0.0);
}

#[test]
fn models_without_published_times_are_weighed_by_their_tokens() {
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
    let needs = estimate_demand(&profiles, &work).expect("enough was seen");
    let ratio = needs[&model(SMALL)] / needs[&model(LARGE)];
    assert!(about(ratio, 2.0), "four times the tokens at half the pace");
}
