//! Comparison table of routing policies: scenarios and loads, over several seeds.

use std::time::Duration;

use argh::FromArgs;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::router::request::Outcome;
use shalehinge::settings::router::{ChoicePolicy, RouterSettings};

use super::fleet::{FleetResult, FleetSpec, RequestResult, engine_capacity, run as simulate_fleet};
use super::statistics::{format_spread, quantile, run_parallel};
use super::workload::{
    Arrival, CUSTOMER_SHARES, CUSTOMERS, REQUEST_DEADLINE, arrivals, proportional_demand,
};

/// Number of daemons.
const ROUTERS: usize = 9;
/// Number of failure domains.
const DOMAINS: usize = 3;
/// Number of replicas.
const REPLICAS: usize = 24;
/// Time over which requests arrive.
const RUN_DURATION: Duration = Duration::from_secs(90);
/// Start of the measurement in scenarios without lost replicas.
const WARM_UP: Duration = Duration::from_secs(20);
/// When replicas are lost, and the measurement starts, in scenarios with lost replicas.
const LOSS_TIME: Duration = Duration::from_secs(20);
/// Requests that arrive up to this long before the start of the measurement are included.
const ARRIVAL_LEAD: Duration = Duration::from_secs(5);

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
    slow_replicas: usize,
    /// Number of replicas that are lost.
    lost_replicas: usize,
    /// Age of the load in reports.
    report_lag: Duration,
    /// Whether reports state the age of the load.
    reports_load_age: bool,
    /// Whether one small customer's demand is ten times its share.
    has_greedy_customer: bool,
    /// Capacity of an engine's KV cache, in tokens.
    kv_total: u64,
}

/// Default capacity of an engine's KV cache, in tokens.
const KV_CACHE_TOKENS: u64 = 48_000;

/// Scenario without faults; the other scenarios differ from it in the fields that they set.
const NO_FAULTS: Scenario = Scenario {
    name: "calm",
    slow_replicas: 0,
    lost_replicas: 0,
    report_lag: Duration::from_millis(100),
    reports_load_age: true,
    has_greedy_customer: false,
    kv_total: KV_CACHE_TOKENS,
};

const SCENARIOS: [Scenario; 6] = [
    NO_FAULTS,
    Scenario {
        name: "one slow",
        slow_replicas: 1,
        ..NO_FAULTS
    },
    Scenario {
        name: "third lost",
        lost_replicas: REPLICAS / 3,
        ..NO_FAULTS
    },
    Scenario {
        name: "old reports",
        report_lag: Duration::from_secs(2),
        reports_load_age: false,
        ..NO_FAULTS
    },
    Scenario {
        name: "one greedy",
        has_greedy_customer: true,
        ..NO_FAULTS
    },
    Scenario {
        name: "little memory",
        kv_total: KV_CACHE_TOKENS / 3,
        ..NO_FAULTS
    },
];

/// Offered loads, as multiples of the capacity of all replicas.
const OFFERED_LOADS: [f64; 3] = [0.7, 0.95, 1.3];

/// Settings for a policy without admission control: requests are sent to an engine immediately.
fn without_admission_control(policy: ChoicePolicy) -> RouterSettings {
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
            settings: without_admission_control(ChoicePolicy::RoundRobin),
        },
        Policy {
            name: "least in flight",
            routers: ROUTERS,
            settings: without_admission_control(ChoicePolicy::LeastInFlight),
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
struct Measurements {
    /// Rate of answers completed within their deadline, as a fraction of the capacity.
    goodput: f64,
    /// Median time to first token, in seconds.
    first_token_p50: f64,
    /// 95th percentile of the time to first token, in seconds.
    first_token_p95: f64,
    /// 99th percentile of the time to first token, in seconds.
    first_token_p99: f64,
    /// 95th percentile of the mean time between tokens, in milliseconds.
    token_interval_p95: f64,
    /// Fraction of requests that were refused without being run.
    refused: f64,
    /// Fraction of requests that were neither refused nor completed within their deadline.
    failed_or_late: f64,
    /// Lowest ratio of goodput to fair share among the customers.
    min_fair_share_ratio: f64,
    /// Mean number of attempts per request that was sent to an engine.
    attempts: f64,
    /// Fraction of the prompt blocks found in prefix caches, over the complete run.
    prefix_hit_ratio: f64,
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
        for load in OFFERED_LOADS {
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
    let results = run_parallel(&jobs, |seed| measure(scenario, load, policy, *seed));
    let column = |value: fn(&Measurements) -> f64, digits| {
        let values: Vec<f64> = results.iter().map(value).collect();
        format_spread(&values, digits)
    };
    let median = |value: fn(&Measurements) -> f64| {
        let values: Vec<f64> = results.iter().map(value).collect();
        quantile(&values, 0.5)
    };
    println!(
        "| {} | {load} | {} | {} | {:.3} | {:.3} | {} | {:.1} | {:.3} | {:.3} | {} | {:.3} | {:.2} |",
        scenario.name,
        policy.name,
        column(|m| m.goodput, 3),
        median(|m| m.first_token_p50),
        median(|m| m.first_token_p95),
        column(|m| m.first_token_p99, 2),
        median(|m| m.token_interval_p95),
        median(|m| m.refused),
        median(|m| m.failed_or_late),
        column(|m| m.min_fair_share_ratio, 2),
        median(|m| m.attempts),
        median(|m| m.prefix_hit_ratio),
    );
}

/// Runs one simulation and measures it. `load` is a multiple of the capacity of all replicas.
fn measure(scenario: &Scenario, load: f64, policy: &Policy, seed: u64) -> Measurements {
    let mut rng = SmallRng::seed_from_u64(seed);
    let base_demand = proportional_demand();
    let sample = arrivals(&mut rng, 100.0, Duration::from_secs(20), &base_demand);
    let per_engine = engine_capacity(&sample, scenario.kv_total, Duration::from_secs(60));
    let mut demand = base_demand;
    let mut per_second = per_engine * REPLICAS as f64 * load;
    if scenario.has_greedy_customer {
        // One small customer's demand is ten times its share, in addition to that of the others.
        let greedy = CUSTOMERS - 1;
        let total_before: f64 = demand.iter().sum();
        demand[greedy] *= 10.0;
        per_second *= demand.iter().sum::<f64>() / total_before;
    }
    let requests = arrivals(&mut rng, per_second, RUN_DURATION, &demand);
    let spec = FleetSpec {
        routers: policy.routers,
        domains: if policy.routers == 1 { 1 } else { DOMAINS },
        replicas: REPLICAS,
        settings: policy.settings,
        report_lag: scenario.report_lag,
        reports_load_age: scenario.reports_load_age,
        slow_replicas: (scenario.slow_replicas, 4.0),
        lost_replicas: (scenario.lost_replicas, LOSS_TIME),
        kv_total: scenario.kv_total,
    };
    let result = simulate_fleet(&spec, &requests, seed);
    // A slow replica has a quarter of the capacity of the others.
    let effective_engines = if scenario.lost_replicas > 0 {
        (REPLICAS - scenario.lost_replicas) as f64
    } else {
        REPLICAS as f64 - scenario.slow_replicas as f64 * 0.75
    };
    let measured_from = if scenario.lost_replicas > 0 {
        LOSS_TIME
    } else {
        WARM_UP
    };
    summarise(
        &requests,
        &result,
        measured_from,
        per_engine * effective_engines,
        &demand,
    )
}

/// Computes the measurements of a run. `capacity` is in requests per second.
fn summarise(
    arrivals: &[Arrival],
    result: &FleetResult,
    measured_from: Duration,
    capacity: f64,
    demand: &[f64; CUSTOMERS],
) -> Measurements {
    // Leaves out requests whose deadline is after the end of the time over which requests arrive.
    let measured: Vec<_> = result
        .requests
        .iter()
        .filter(|request| {
            request.arrived_at + ARRIVAL_LEAD >= measured_from
                && request.arrived_at < RUN_DURATION - REQUEST_DEADLINE
        })
        .collect();
    let count = measured.len().max(1) as f64;
    let measured_seconds = (RUN_DURATION - measured_from).as_secs_f64();
    let answered_in_time = |request: &RequestResult| match request.outcome {
        Some((Outcome::Completed, at)) if at <= request.arrived_at + REQUEST_DEADLINE => Some(at),
        _ => None,
    };
    let good_requests: Vec<_> = measured
        .iter()
        .filter(|request| answered_in_time(request).is_some())
        .collect();
    // Answers completed during the measurement, whenever their requests arrived.
    let answered: Vec<_> = result
        .requests
        .iter()
        .filter(|request| {
            answered_in_time(request).is_some_and(|at| at >= measured_from && at < RUN_DURATION)
        })
        .collect();
    let refused = measured
        .iter()
        .filter(|request| matches!(request.outcome, Some((Outcome::NotRun { .. }, _))));
    let refused = refused.count() as f64;
    let seconds = |duration: Duration| duration.as_secs_f64();
    let first_token_times: Vec<f64> = good_requests
        .iter()
        .filter_map(|r| r.first_token.map(seconds))
        .collect();
    let token_intervals: Vec<f64> = good_requests
        .iter()
        .filter_map(|r| r.token_interval.map(|t| t.as_secs_f64() * 1e3))
        .collect();
    let attempts: u32 = measured.iter().map(|r| r.attempts).sum();
    let sent = measured.iter().filter(|r| r.attempts > 0).count().max(1);
    let mut answered_by_customer = [0.0; CUSTOMERS];
    for request in &answered {
        answered_by_customer[request.customer] += 1.0;
    }
    let rate = arrivals.len() as f64 / RUN_DURATION.as_secs_f64();
    Measurements {
        goodput: answered.len() as f64 / measured_seconds / capacity,
        first_token_p50: quantile(&first_token_times, 0.5),
        first_token_p95: quantile(&first_token_times, 0.95),
        first_token_p99: quantile(&first_token_times, 0.99),
        token_interval_p95: quantile(&token_intervals, 0.95),
        refused: refused / count,
        failed_or_late: 1.0 - (good_requests.len() as f64 + refused) / count,
        min_fair_share_ratio: min_fair_share_ratio(
            &answered_by_customer.map(|completed| completed / measured_seconds),
            rate,
            capacity,
            demand,
        ),
        attempts: f64::from(attempts) / sent as f64,
        prefix_hit_ratio: result.prefix_hit_ratio,
    }
}

/// Returns the lowest ratio of goodput to fair share among the customers. `goodput` is given per
/// customer and `rate` is the arrival rate of all customers together, in requests per second.
fn min_fair_share_ratio(
    goodput: &[f64; CUSTOMERS],
    rate: f64,
    capacity: f64,
    demand: &[f64; CUSTOMERS],
) -> f64 {
    let total: f64 = demand.iter().sum();
    let demand_rates = demand.map(|customer_demand| rate * customer_demand / total);
    let fair_shares = max_min_fair_shares(&demand_rates, capacity);
    let ratios = goodput
        .iter()
        .zip(fair_shares)
        .map(|(goodput, fair_share)| goodput / fair_share.max(1e-9));
    ratios.fold(f64::INFINITY, f64::min)
}

/// Divides the capacity by weighted max-min fairness: in proportion to the shares, up to each
/// customer's demand. Capacity that a customer doesn't need is divided among the others.
fn max_min_fair_shares(demand_rates: &[f64; CUSTOMERS], capacity: f64) -> [f64; CUSTOMERS] {
    let mut fair_shares = [0.0; CUSTOMERS];
    let mut unsatisfied: Vec<usize> = (0..CUSTOMERS).collect();
    let mut remaining = capacity;
    while !unsatisfied.is_empty() {
        let shares: f64 = unsatisfied
            .iter()
            .map(|i| f64::from(CUSTOMER_SHARES[*i]))
            .sum();
        let share_of = |i: usize| remaining * f64::from(CUSTOMER_SHARES[i]) / shares;
        let satisfied: Vec<usize> = unsatisfied
            .iter()
            .copied()
            .filter(|i| demand_rates[*i] <= share_of(*i))
            .collect();
        if satisfied.is_empty() {
            for i in unsatisfied {
                fair_shares[i] = share_of(i);
            }
            return fair_shares;
        }
        for i in &satisfied {
            fair_shares[*i] = demand_rates[*i];
        }
        remaining -= satisfied.iter().map(|i| demand_rates[*i]).sum::<f64>();
        unsatisfied.retain(|i| !satisfied.contains(i));
    }
    fair_shares
}
