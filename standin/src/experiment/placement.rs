//! Comparison table of placement policies: a day of host failures, over several seeds.

use argh::FromArgs;
use shalehinge::core::objects::PlacementWeights;
use shalehinge::core::placement::host_choice::HostChoice;

use super::day::{DayResult, DaySpec, ModelSpec, run as simulate_day};
use super::statistics::{format_spread, quantile, run_parallel};

/// Failure rate of a host per day: 16 failures per day in a fleet of 3,300 hosts.
const FAILURES_PER_HOST_DAY: f64 = 16.0 / 3_300.0;
/// Factor on the failure rate for the second set of runs, in which the policies differ more.
const HIGH_FAILURE_FACTOR: f64 = 6.0;

/// compare placement policies
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "placement")]
pub struct PlacementArguments {
    /// number of seeds per table row
    #[argh(option, default = "40")]
    pub seeds: u64,
}

/// Placement weights of the Hraunvegur fleet, which favor low group downtime.
const HRAUNVEGUR_WEIGHTS: PlacementWeights = PlacementWeights {
    group_downtime: 3.0,
    stranded_accelerators: 1.0,
};
/// Placement weights of the Maule fleet, which favor few stranded accelerators.
const MAULE_WEIGHTS: PlacementWeights = PlacementWeights {
    group_downtime: 1.0,
    stranded_accelerators: 3.0,
};

/// Failure domain of an experiment.
struct DomainCase {
    /// Name in the table.
    name: &'static str,
    /// Number of hosts in each fabric domain.
    fabric_domain_sizes: Vec<usize>,
    /// Models to place.
    models: Vec<ModelSpec>,
}

/// Returns failure domains of the current fleets' size and of the planned size.
fn domain_cases() -> Vec<DomainCase> {
    let model = |name, hosts_per_replica, replicas| ModelSpec {
        name,
        hosts_per_replica,
        replicas,
    };
    vec![
        DomainCase {
            name: "current, 17 replicas on 122 hosts",
            fabric_domain_sizes: vec![20, 25, 32, 21, 24],
            models: vec![model("large", 8, 12), model("small", 4, 5)],
        },
        DomainCase {
            name: "current, without spare hosts",
            fabric_domain_sizes: vec![20, 24, 32, 20, 20],
            models: vec![model("large", 8, 12), model("small", 4, 5)],
        },
        DomainCase {
            name: "current, with spare hosts, 18 replicas on 144 hosts",
            fabric_domain_sizes: vec![24; 6],
            models: vec![model("large", 8, 14), model("small", 4, 4)],
        },
        DomainCase {
            name: "planned, 80 replicas of 8 hosts on 660 hosts",
            fabric_domain_sizes: vec![66; 10],
            models: vec![model("large", 8, 80)],
        },
        DomainCase {
            name: "planned, three replica sizes on 660 hosts",
            fabric_domain_sizes: vec![66; 10],
            models: vec![
                model("huge", 16, 10),
                model("large", 8, 40),
                model("small", 4, 40),
            ],
        },
    ]
}

/// Runs the experiments and prints the table to standard output.
pub fn run(arguments: &PlacementArguments) {
    println!(
        "| domain | failures | policy | group downtime h | unavoidable downtime h | stranded accelerator h | host loads |"
    );
    println!("|---|---|---|---|---|---|---|");
    for case in domain_cases() {
        for factor in [1.0, HIGH_FAILURE_FACTOR] {
            for (name, weights, host_choice) in [
                (
                    "best fit, weights of Hraunvegur",
                    HRAUNVEGUR_WEIGHTS,
                    HostChoice::BestFit,
                ),
                (
                    "best fit, weights of Maule",
                    MAULE_WEIGHTS,
                    HostChoice::BestFit,
                ),
                ("first fit", HRAUNVEGUR_WEIGHTS, HostChoice::FirstFit),
            ] {
                let spec = DaySpec {
                    fabric_domain_sizes: case.fabric_domain_sizes.clone(),
                    models: case.models.clone(),
                    weights,
                    host_choice,
                    failures_per_host_day: FAILURES_PER_HOST_DAY * factor,
                };
                print_row(&case, factor, name, &spec, arguments.seeds);
            }
        }
    }
}

fn print_row(case: &DomainCase, factor: f64, policy: &str, spec: &DaySpec, seeds: u64) {
    let jobs: Vec<u64> = (0..seeds).collect();
    let results = run_parallel(&jobs, |seed| simulate_day(spec, *seed));
    let column = |value: fn(&DayResult) -> f64| {
        let values: Vec<f64> = results.iter().map(value).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        format!("{}, mean {mean:.2}", format_spread(&values, 2))
    };
    let host_loads: Vec<f64> = results
        .iter()
        .map(|day| f64::from(day.host_loads))
        .collect();
    println!(
        "| {} | x{factor} | {policy} | {} | {} | {} | {:.0} |",
        case.name,
        column(|day| day.downtime_hours),
        column(|day| day.unavoidable_downtime_hours),
        column(|day| day.stranded_accelerator_hours),
        quantile(&host_loads, 0.5),
    );
}
