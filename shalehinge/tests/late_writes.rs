//! A users' store that carries out some writes late, also after it was restored from a backup, and
//! whose conditions compare the revision number alone.
//!
//! Seeds are fixed here. `FUZZ_SEEDS=FROM..TO cargo test --test late_writes -- --ignored` runs
//! others.

mod late_writes_support;
mod relay_support;

use std::sync::OnceLock;
use std::time::Duration;

use late_writes_support::fleet_play::{Disturbances, FleetPlay, Kind, Play};
use late_writes_support::summary::Summary;
use relay_support::Fleet;
use shalehinge::core::daemon::{Daemon, TICK};

/// Number of seeds of each kind of run in a normal test run.
const SEED_COUNT: u64 = 40;
/// Numbers of daemons of the fleets, in two failure domains.
const FLEETS: [u16; 2] = [3, 9];
/// Simulated time of a calm fleet in which calls are counted.
const CALM: Duration = Duration::from_secs(600);
/// Time in which a fleet that has started becomes calm.
const START: Duration = Duration::from_secs(30);

fn plays(disturbances: Disturbances, seeds: impl Iterator<Item = u64> + Clone) -> Vec<FleetPlay> {
    let of_size = |daemons: u16| {
        let seeds = seeds.clone();
        seeds.map(move |seed| Play::new(daemons, seed, disturbances).run())
    };
    FLEETS.into_iter().flat_map(of_size).collect()
}

/// The runs with late writes across restores, which several tests look at.
fn late_plays() -> &'static [FleetPlay] {
    static PLAYS: OnceLock<Vec<FleetPlay>> = OnceLock::new();
    PLAYS.get_or_init(|| plays(Disturbances::LATE_WRITES_AND_RESTORES, 0..SEED_COUNT))
}

/// Fails with the runs in which an invariant of this kind was broken.
fn assert_kept(plays: &[FleetPlay], kind: Kind) {
    println!("{}", Summary::of(plays));
    let broken: Vec<String> = plays.iter().filter_map(|play| play.first(kind)).collect();
    assert!(
        broken.is_empty(),
        "{} of {} runs: {broken:#?}",
        broken.len(),
        plays.len()
    );
}

#[test]
fn no_fencing_token_is_held_by_two_daemons() {
    assert_kept(late_plays(), Kind::TokenOfTwo);
}

#[test]
fn a_lease_is_never_replaced_by_one_of_an_earlier_epoch() {
    assert_kept(late_plays(), Kind::LeaseReplaced);
}

#[test]
fn two_lease_holders_never_overlap() {
    assert_kept(late_plays(), Kind::Overlap);
}

// Guards against runs that provoke nothing.
#[test]
fn late_writes_meet_numbers_of_a_later_era() {
    let summary = Summary::of(late_plays());
    assert!(summary.counts.met >= late_plays().len() / 4, "{summary}");
    assert!(summary.counts.across_eras > 0, "{summary}");
}

#[test]
fn late_writes_within_an_era_break_nothing() {
    let plays = plays(Disturbances::LATE_WRITES, 0..SEED_COUNT / 2);
    for kind in Kind::ALL {
        assert_kept(&plays, kind);
    }
}

#[test]
fn restores_without_late_writes_break_nothing() {
    let plays = plays(Disturbances::RESTORES, 0..SEED_COUNT / 2);
    for kind in Kind::ALL {
        assert_kept(&plays, kind);
    }
}

fn chosen_seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("FUZZ_SEEDS").unwrap_or_else(|_| "1000..1200".into());
    let (from, to) = seeds.split_once("..").expect("FROM..TO");
    let seed = |text: &str| text.parse::<u64>().expect("a seed");
    seed(from)..seed(to)
}

/// Number of daemons of runs by hand, from `FUZZ_DAEMONS`.
fn chosen_daemons() -> u16 {
    let daemons = std::env::var("FUZZ_DAEMONS").unwrap_or_else(|_| "9".into());
    daemons.parse().expect("a number of daemons")
}

fn print_plays(name: &str, disturbances: Disturbances) {
    let daemons = chosen_daemons();
    let runs = chosen_seeds().map(|seed| Play::new(daemons, seed, disturbances).run());
    let plays: Vec<FleetPlay> = runs.collect();
    println!("{daemons} daemons, {name}: {}", Summary::of(&plays));
    for kind in Kind::ALL {
        let first: Vec<String> = plays.iter().filter_map(|play| play.first(kind)).collect();
        println!(
            "{kind:?} in {} runs: {:#?}",
            first.len(),
            &first[..first.len().min(8)]
        );
    }
}

#[test]
#[ignore = "long; run by hand with FUZZ_SEEDS=FROM..TO and FUZZ_DAEMONS"]
fn violations_by_kind_in_more_runs() {
    print_plays(
        "late writes and restores",
        Disturbances::LATE_WRITES_AND_RESTORES,
    );
    print_plays("late writes", Disturbances::LATE_WRITES);
    print_plays("restores", Disturbances::RESTORES);
}

/// Run by hand. Prints all events of one run, chosen by the first of `FUZZ_SEEDS`.
#[test]
#[ignore = "trace, run by hand"]
fn trace_of_one_run() {
    let disturbances = Disturbances::LATE_WRITES_AND_RESTORES;
    let play = Play::new(chosen_daemons(), chosen_seeds().start, disturbances).run();
    for line in &play.trace {
        println!("{line}");
    }
}

/// Run by hand. Compares the same seeds with and without late writes: the time after a restore and
/// nothing else until a failure domain has a lease holder, and its time without one in all.
#[test]
#[ignore = "measurement, run by hand"]
fn time_without_control_with_and_without_late_writes() {
    let daemons = chosen_daemons();
    for disturbances in [
        Disturbances::PLAIN_RESTORES,
        Disturbances::LATE_WRITES_AND_PLAIN_RESTORES,
    ] {
        let runs = chosen_seeds().map(|seed| Play::new(daemons, seed, disturbances).run());
        let plays: Vec<FleetPlay> = runs.collect();
        println!(
            "{daemons} daemons, {disturbances:?}: {}",
            Summary::of(&plays)
        );
    }
}

/// Run by hand. Prints the platform calls of a calm fleet in ten minutes.
#[test]
#[ignore = "measurement, run by hand"]
fn platform_calls_of_a_calm_fleet() {
    for daemons in [9, 90, 340] {
        let mut fleet = Fleet::new(daemons);
        fleet.run(START);
        let before = fleet.platform.calls;
        let writes = fleet.platform.writes;
        fleet.run(CALM);
        println!(
            "{daemons} daemons: {} calls in {CALM:?}, {} of them writes",
            fleet.platform.calls - before,
            fleet.platform.writes - writes,
        );
    }
}

/// Run by hand. Prints the time after a plain restore in which a failure domain has no holder.
#[test]
#[ignore = "measurement, run by hand"]
fn time_without_control_after_a_plain_restore() {
    const OUTAGE: Duration = Duration::from_millis(500);
    let mut times = Vec::new();
    for seed in chosen_seeds() {
        let mut fleet = Fleet::new(9);
        fleet.run(START + TICK * (seed % 40) as u32);
        fleet.platform.take_backup();
        fleet.run(Duration::from_secs(1 + seed % 5));
        fleet.restore_platform(OUTAGE);
        let domains = ["d0", "d1", "d2"];
        let mut waits = [None; 3];
        let restored_at = fleet.now;
        let era = fleet.platform.era();
        while waits.iter().any(Option::is_none) && fleet.now - restored_at < START {
            fleet.run(TICK);
            for (wait, domain) in waits.iter_mut().zip(domains) {
                let has_control = fleet.daemons.iter().any(|daemon: &Daemon| {
                    daemon.identity().failure_domain.as_str() == domain
                        && daemon.store_era() == Some(era)
                        && late_writes_support::holds_control(daemon, fleet.now)
                });
                if has_control && wait.is_none() {
                    *wait = Some(fleet.now - restored_at);
                }
            }
        }
        times.extend(waits.map(|wait| wait.unwrap_or(START)));
    }
    times.sort();
    println!(
        "9 daemons, {} failure domains restored: {:?} least, {:?} median, {:?} most",
        times.len(),
        times.first(),
        times.get(times.len() / 2),
        times.last(),
    );
}
