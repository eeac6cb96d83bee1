//! Comparison table of placement policies: a day of host failures, over several seeds.

use argh::FromArgs;
use shalehinge::core::objects::PlacementWeights;
use shalehinge::core::placement::host_choice::HostChoice;

use super::day::{DayResult, DaySpec, ModelSpec, run as run_day};
use super::statistics::{quantile, run_all, spread};

/// Failure rate of a host per day: 16 failures per day in a fleet of 3,300 hosts.
const FAILURES: f64 = 16.0 / 3_300.0;
/// Factor on the failure rate for the second set of runs, in which the policies differ more.
const BAD_DAY: f64 = 6.0;

/// compare placement policies
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "placement")]
pub struct PlacementArguments {
    /// number of seeds per table row
    #[argh(option, default = "40")]
    pub seeds: u64,
}

/// Placement weights of the Hraunvegur fleet, which favor low group downtime.
const HRAUNVEGUR: PlacementWeights = PlacementWeights {
    group_downtime: 3.0,
    stranded_accelerators: 1.0,
};
/// Placement weights of the Maule fleet, which favor few stranded accelerators.
const MAULE: PlacementWeights = PlacementWeights {
    group_downtime: 1.0,
    stranded_accelerators: 3.0,
};

/// Failure domain of an experiment.
struct Size {
    /// Name in the table.
    name: &'static str,
    /// Number of hosts in each fabric domain.
    fabrics: Vec<usize>,
    /// Models to place.
    models: Vec<ModelSpec>,
}

/// Returns failure domains of the current fleets' size and of the planned size.
fn sizes() -> Vec<Size> {
    let model = |name, hosts, replicas| ModelSpec {
        name,
        hosts,
        replicas,
    };
    vec![
        Size {
            name: "current, 17 replicas on 122 hosts",
            fabrics: vec![20, 25, 32, 21, 24],
            models: vec![model("large", 8, 12), model("small", 4, 5)],
        },
        Size {
            name: "current, without spare hosts",
            fabrics: vec![20, 24, 32, 20, 20],
            models: vec![model("large", 8, 12), model("small", 4, 5)],
        },
        Size {
            name: "current, with spare hosts, 18 replicas on 144 hosts",
            fabrics: vec![24; 6],
            models: vec![model("large", 8, 14), model("small", 4, 4)],
        },
        Size {
            name: "planned, 80 replicas of 8 hosts on 660 hosts",
            fabrics: vec![66; 10],
            models: vec![model("large", 8, 80)],
        },
        Size {
            name: "planned, three replica sizes on 660 hosts",
            fabrics: vec![66; 10],
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
    for size in sizes() {
        for factor in [1.0, BAD_DAY] {
            for (name, weights, choice) in [
                (
                    "best fit, weights of Hraunvegur",
                    HRAUNVEGUR,
                    HostChoice::BestFit,
                ),
                ("best fit, weights of Maule", MAULE, HostChoice::BestFit),
                ("first fit", HRAUNVEGUR, HostChoice::FirstFit),
            ] {
                let spec = DaySpec {
                    fabrics: size.fabrics.clone(),
                    models: size.models.clone(),
                    weights,
                    choice,
                    failures: FAILURES * factor,
                };
                print_row(&size, factor, name, &spec, arguments.seeds);
            }
        }
    }
}

fn print_row(size: &Size, factor: f64, policy: &str, spec: &DaySpec, seeds: u64) {
    let jobs: Vec<u64> = (0..seeds).collect();
    let all = run_all(&jobs, |seed| run_day(spec, *seed));
    let column = |value: fn(&DayResult) -> f64| {
        let values: Vec<f64> = all.iter().map(value).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        format!("{}, mean {mean:.2}", spread(&values, 2))
    };
    let loads: Vec<f64> = all.iter().map(|day| f64::from(day.loads)).collect();
    println!(
        "| {} | x{factor} | {policy} | {} | {} | {} | {:.0} |",
        size.name,
        column(|day| day.downtime_hours),
        column(|day| day.bound_hours),
        column(|day| day.stranded_hours),
        quantile(&loads, 0.5),
    );
}
