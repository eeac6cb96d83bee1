//! Comparison table of routing policies: scenarios and loads, over several seeds.

use std::time::Duration;

use argh::FromArgs;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::router::request::Outcome;
use shalehinge::settings::router::{ChoicePolicy, RouterSettings};

use super::fleet::{FleetResult, FleetSpec, RequestResult, engine_capacity, run as run_fleet};
use super::statistics::{quantile, run_all, spread};
use super::workload::{Arrival, CUSTOMERS, DEADLINE, SHARES, arrivals, even_demand};

/// Number of daemons.
const ROUTERS: usize = 9;
/// Number of failure domains.
const DOMAINS: usize = 3;
/// Number of replicas.
const REPLICAS: usize = 24;
/// Time over which requests arrive.
const TIME: Duration = Duration::from_secs(90);
/// Start of the measurement in scenarios without lost replicas.
const WARM_UP: Duration = Duration::from_secs(20);
/// When replicas are lost, and the measurement starts, in scenarios with lost replicas.
const LOSS_AT: Duration = Duration::from_secs(20);
/// Requests that arrive up to this long before the start of the measurement are included.
const LOSS_COHORT: Duration = Duration::from_secs(5);

/// compare routing policies
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "routing")]
pub struct RoutingArguments {
    /// number of seeds per table row
    #[argh(option, default = "20")]
    pub seeds: u64,

    /// run only policies whose name contains this text
    #[argh(option, default = "String::new()")]
    pub policy: String,

    /// run only scenarios whose name contains this text
    #[argh(option, default = "String::new()")]
    pub scenario: String,
}

/// Routing policy to compare.
struct Policy {
    /// Name in the table.
    name: &'static str,
    /// Number of daemons.
    routers: usize,
    settings: RouterSettings,
}

/// Conditions under which policies are compared.
#[derive(Clone, Copy)]
struct Scenario {
    /// Name in the table.
    name: &'static str,
    /// Number of slow replicas.
    slow: usize,
    /// Number of replicas that are lost.
    lost: usize,
    /// Age of the load in reports.
    report_lag: Duration,
    /// Whether reports state the age of the load.
    tells_age: bool,
    /// Whether one small customer's demand is ten times its share.
    greedy: bool,
    /// Capacity of an engine's KV cache, in tokens.
    kv_total: u64,
}

/// Default capacity of an engine's KV cache, in tokens.
const KV: u64 = 48_000;

/// Scenario without faults; the other scenarios differ from it in the fields that they set.
const CALM: Scenario = Scenario {
    name: "calm",
    slow: 0,
    lost: 0,
    report_lag: Duration::from_millis(100),
    tells_age: true,
    greedy: false,
    kv_total: KV,
};

const SCENARIOS: [Scenario; 6] = [
    CALM,
    Scenario {
        name: "one slow",
        slow: 1,
        ..CALM
    },
    Scenario {
        name: "third lost",
        lost: REPLICAS / 3,
        ..CALM
    },
    Scenario {
        name: "old reports",
        report_lag: Duration::from_secs(2),
        tells_age: false,
        ..CALM
    },
    Scenario {
        name: "one greedy",
        greedy: true,
        ..CALM
    },
    Scenario {
        name: "little memory",
        kv_total: KV / 3,
        ..CALM
    },
];

/// Offered loads, as multiples of the capacity of all replicas.
const LOADS: [f64; 3] = [0.7, 0.95, 1.3];

/// Settings for a policy without admission control: requests are sent to an engine at once.
fn without_limits(policy: ChoicePolicy) -> RouterSettings {
    RouterSettings {
        policy,
        early_refusal: false,
        reserve_kv: false,
        prefix_affinity: false,
        engine_backlog: 1_000.0,
        max_waiting: usize::MAX,
        ..RouterSettings::default()
    }
}

fn policies() -> Vec<Policy> {
    let default = RouterSettings::default();
    vec![
        Policy {
            name: "default",
            routers: ROUTERS,
            settings: default,
        },
        Policy {
            name: "other kv",
            routers: ROUTERS,
            settings: RouterSettings {
                reserve_kv: !default.reserve_kv,
                ..default
            },
        },
        Policy {
            name: "reports each 5 s",
            routers: ROUTERS,
            settings: RouterSettings {
                report_interval: Duration::from_secs(5),
                evidence_ttl: Duration::from_secs(12),
                local_candidates: 12,
                remote_candidates: 4,
                ..default
            },
        },
        Policy {
            name: "no affinity",
            routers: ROUTERS,
            settings: RouterSettings {
                prefix_affinity: false,
                ..default
            },
        },
        Policy {
            name: "round robin",
            routers: ROUTERS,
            settings: without_limits(ChoicePolicy::RoundRobin),
        },
        Policy {
            name: "least in flight",
            routers: ROUTERS,
            settings: without_limits(ChoicePolicy::LeastInFlight),
        },
        Policy {
            name: "one queue",
            routers: 1,
            settings: RouterSettings {
                local_candidates: REPLICAS,
                remote_candidates: REPLICAS,
                ..default
            },
        },
    ]
}

/// Measurements of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Measures {
    /// Rate of answers completed within their deadline, as a fraction of the capacity.
    goodput: f64,
    /// Median time to first token, in seconds.
    first_p50: f64,
    /// 95th percentile of the time to first token, in seconds.
    first_p95: f64,
    /// 99th percentile of the time to first token, in seconds.
    first_p99: f64,
    /// 95th percentile of the mean time between tokens, in milliseconds.
    interval_p95: f64,
    /// Fraction of requests that were refused without being run.
    refused: f64,
    /// Fraction of requests that were neither refused nor completed within their deadline.
    late: f64,
    /// Lowest ratio of goodput to fair share among the customers.
    worst_share: f64,
    /// Mean number of attempts per request that was sent to an engine.
    attempts: f64,
    /// Fraction of the prompt blocks found in prefix caches, over the complete run.
    hits: f64,
}

/// Runs the experiments and prints the table to standard output.
pub fn run(arguments: &RoutingArguments) {
    println!(
        "| scenario | load | policy | goodput/capacity | first token p50 s | p95 s | p99 s | between tokens p95 ms | refused | failed or late | lowest goodput/fair share | attempts | prefix hits |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in SCENARIOS {
        if !scenario.name.contains(&arguments.scenario) {
            continue;
        }
        for load in LOADS {
            for policy in policies() {
                if policy.name.contains(&arguments.policy) {
                    print_row(&scenario, load, &policy, arguments.seeds);
                }
            }
        }
    }
}

fn print_row(scenario: &Scenario, load: f64, policy: &Policy, seeds: u64) {
    let jobs: Vec<u64> = (0..seeds).collect();
    let all = run_all(&jobs, |seed| measure(scenario, load, policy, *seed));
    let column = |value: fn(&Measures) -> f64, digits| {
        let values: Vec<f64> = all.iter().map(value).collect();
        spread(&values, digits)
    };
    let median = |value: fn(&Measures) -> f64| {
        let values: Vec<f64> = all.iter().map(value).collect();
        quantile(&values, 0.5)
    };
    println!(
        "| {} | {load} | {} | {} | {:.3} | {:.3} | {} | {:.1} | {:.3} | {:.3} | {} | {:.3} | {:.2} |",
        scenario.name,
        policy.name,
        column(|m| m.goodput, 3),
        median(|m| m.first_p50),
        median(|m| m.first_p95),
        column(|m| m.first_p99, 2),
        median(|m| m.interval_p95),
        median(|m| m.refused),
        median(|m| m.late),
        column(|m| m.worst_share, 2),
        median(|m| m.attempts),
        median(|m| m.hits),
    );
}

fn measure(scenario: &Scenario, load: f64, policy: &Policy, seed: u64) -> Measures {
    let mut rng = SmallRng::seed_from_u64(seed);
    let even = even_demand();
    let sample = arrivals(&mut rng, 100.0, Duration::from_secs(20), &even);
    let per_engine = engine_capacity(&sample, scenario.kv_total, Duration::from_secs(60));
    let mut demand = even;
    let mut per_second = per_engine * REPLICAS as f64 * load;
    if scenario.greedy {
        // One small customer's demand is ten times its share, in addition to that of the others.
        let greedy = CUSTOMERS - 1;
        let before: f64 = demand.iter().sum();
        demand[greedy] *= 10.0;
        per_second *= demand.iter().sum::<f64>() / before;
    }
    let requests = arrivals(&mut rng, per_second, TIME, &demand);
    let spec = FleetSpec {
        routers: policy.routers,
        domains: if policy.routers == 1 { 1 } else { DOMAINS },
        replicas: REPLICAS,
        settings: policy.settings,
        report_lag: scenario.report_lag,
        tells_age: scenario.tells_age,
        slow: (scenario.slow, 4.0),
        lost: (scenario.lost, LOSS_AT),
        kv_total: scenario.kv_total,
    };
    let result = run_fleet(&spec, &requests, seed);
    let left = if scenario.lost > 0 {
        (REPLICAS - scenario.lost) as f64
    } else {
        REPLICAS as f64 - scenario.slow as f64 * 0.75
    };
    let from = if scenario.lost > 0 { LOSS_AT } else { WARM_UP };
    summarise(&requests, &result, from, per_engine * left, &demand)
}

fn summarise(
    arrivals: &[Arrival],
    result: &FleetResult,
    from: Duration,
    capacity: f64,
    demand: &[f64; CUSTOMERS],
) -> Measures {
    // Leaves out requests whose deadline is after the end of the run.
    let measured: Vec<_> = result
        .requests
        .iter()
        .filter(|request| {
            request.came_at + LOSS_COHORT >= from && request.came_at < TIME - DEADLINE
        })
        .collect();
    let count = measured.len().max(1) as f64;
    let time = (TIME - from).as_secs_f64();
    let answered_in_time = |request: &RequestResult| match request.outcome {
        Some((Outcome::Completed, at)) if at <= request.came_at + DEADLINE => Some(at),
        _ => None,
    };
    let good: Vec<_> = measured
        .iter()
        .filter(|request| answered_in_time(request).is_some())
        .collect();
    // Answers completed during the measurement, whenever their requests arrived.
    let answered: Vec<_> = result
        .requests
        .iter()
        .filter(|request| answered_in_time(request).is_some_and(|at| at >= from && at < TIME))
        .collect();
    let refused = measured
        .iter()
        .filter(|request| matches!(request.outcome, Some((Outcome::NotRun { .. }, _))));
    let refused = refused.count() as f64;
    let seconds = |duration: Duration| duration.as_secs_f64();
    let firsts: Vec<f64> = good
        .iter()
        .filter_map(|r| r.first_token.map(seconds))
        .collect();
    let intervals: Vec<f64> = good
        .iter()
        .filter_map(|r| r.token_interval.map(|t| t.as_secs_f64() * 1e3))
        .collect();
    let attempts: u32 = measured.iter().map(|r| r.attempts).sum();
    let sent = measured.iter().filter(|r| r.attempts > 0).count().max(1);
    let mut good_of = [0.0; CUSTOMERS];
    for request in &answered {
        good_of[request.customer] += 1.0;
    }
    let rate = arrivals.len() as f64 / TIME.as_secs_f64();
    Measures {
        goodput: answered.len() as f64 / time / capacity,
        first_p50: quantile(&firsts, 0.5),
        first_p95: quantile(&firsts, 0.95),
        first_p99: quantile(&firsts, 0.99),
        interval_p95: quantile(&intervals, 0.95),
        refused: refused / count,
        late: 1.0 - (good.len() as f64 + refused) / count,
        worst_share: worst_share(&good_of.map(|good| good / time), rate, capacity, demand),
        attempts: f64::from(attempts) / sent as f64,
        hits: result.prefix_hits,
    }
}

/// Returns the lowest ratio of goodput to fair share among the customers. All rates are in
/// requests per second.
fn worst_share(
    good: &[f64; CUSTOMERS],
    rate: f64,
    capacity: f64,
    demand: &[f64; CUSTOMERS],
) -> f64 {
    let total: f64 = demand.iter().sum();
    let wants = demand.map(|part| rate * part / total);
    let due = water_fill(&wants, capacity);
    let ratios = good.iter().zip(due).map(|(good, due)| good / due.max(1e-9));
    ratios.fold(f64::INFINITY, f64::min)
}

/// Divides the capacity by weighted max-min fairness: in proportion to the shares, up to each
/// customer's demand. Capacity that a customer doesn't need is divided among the others.
fn water_fill(wants: &[f64; CUSTOMERS], capacity: f64) -> [f64; CUSTOMERS] {
    let mut due = [0.0; CUSTOMERS];
    let mut open: Vec<usize> = (0..CUSTOMERS).collect();
    let mut left = capacity;
    while !open.is_empty() {
        let shares: f64 = open.iter().map(|i| f64::from(SHARES[*i])).sum();
        let part = |i: usize| left * f64::from(SHARES[i]) / shares;
        let full: Vec<usize> = open
            .iter()
            .copied()
            .filter(|i| wants[*i] <= part(*i))
            .collect();
        if full.is_empty() {
            for i in open {
                due[i] = part(i);
            }
            return due;
        }
        for i in &full {
            due[*i] = wants[*i];
        }
        left -= full.iter().map(|i| wants[*i]).sum::<f64>();
        open.retain(|i| !full.contains(i));
    }
    due
}
