//! Stateful fuzzing of the system's invariants: random sequences of failures and calls on a small
//! simulated fleet, with the invariants checked after each step.
//!
//! Seeds are fixed here. `FUZZ_SEEDS=FROM..TO cargo test --test always -- --ignored` runs others.

mod support;

use std::time::Duration;

use support::operations::sequence;
use support::oracle::Activity;
use support::world::World;

/// Number of sequences in a normal test run.
const SEED_COUNT: u64 = 120;

/// Runs one sequence. Returns the simulated time and the activity, or the first violation.
fn run(seed: u64) -> Result<(Duration, Activity), String> {
    let mut world = World::serving(seed);
    for operation in sequence(seed) {
        world.apply(operation);
        if let Some(violation) = world.oracle.violations.first() {
            return Err(format!(
                "seed {seed} after {operation:?} at {:?}: {violation}",
                world.now
            ));
        }
    }
    world.heal();
    world.run_for(Duration::from_secs(20));
    match world.oracle.violations.first() {
        Some(violation) => Err(format!("seed {seed} after healing: {violation}")),
        None => Ok((world.now, world.oracle.activity())),
    }
}

fn run_all(seeds: impl Iterator<Item = u64>) {
    let results: Vec<_> = seeds.map(run).collect();
    let failures: Vec<&String> = results.iter().filter_map(|r| r.as_ref().err()).collect();
    let passed = || results.iter().filter_map(|r| r.as_ref().ok());
    let time: Duration = passed().map(|(time, _)| *time).sum();
    let activity = passed().fold(Activity::default(), |sum, (_, one)| sum + *one);
    println!(
        "{} sequences, {time:?} of simulated time, {activity:?}",
        results.len()
    );
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn invariants_hold_in_fixed_sequences() {
    run_all(0..SEED_COUNT);
}

#[test]
#[ignore = "long; run by hand with FUZZ_SEEDS=FROM..TO"]
fn invariants_hold_in_more_sequences() {
    let seeds = std::env::var("FUZZ_SEEDS").unwrap_or_else(|_| "1000..2000".into());
    let (from, to) = seeds.split_once("..").expect("FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("an integer");
    run_all(number(from)..number(to));
}

#[test]
fn sequences_are_deterministic() {
    assert_eq!(sequence(3), sequence(3));
}
