//! Keys that were used in earlier eras of the store, where daemons keep the claims of each era
//! apart: a restore may bring back what stood before, and restores may follow each other.

mod support;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::held_writes::HeldWrites;
use support::operations::Operation;
use support::world::{STEP, World};

/// Number of runs, each with a seed of its own.
const RUNS: u64 = 40;
/// Number of keys that are used.
const KEYS: u8 = 6;
/// Number of restores after the keys were used.
const RESTORES: usize = 3;
/// Time between the last restore and the end.
const END_TIME: Duration = Duration::from_secs(8);
/// Time after which no daemon writes a claim again that it remembers.
const FORGOTTEN_TIME: Duration = Duration::from_secs(70);
/// A kind of request that carries a key and must not run twice.
const KIND_WITH_KEY: u8 = 0;

/// Which backup a further restore brings back.
#[derive(Clone, Copy, PartialEq)]
enum Backup {
    /// The one that the first restore brought back, before anything was written in its era.
    First,
    /// One taken some time after the restore before.
    Newer,
}

fn world_with_era_objects(seed: u64) -> World {
    let mut world = World::empty(seed);
    world.platform.late_writes = Some(HeldWrites::new(seed));
    for entry in &mut world.entries {
        entry.settings.learning.era_objects = true;
    }
    world.start_serving()
}

/// Sends all keys to all daemons.
fn use_keys(world: &mut World, rng: &mut SmallRng) {
    for daemon in 0..world.entries.len() as u8 {
        for key in 0..KEYS {
            let kind = KIND_WITH_KEY;
            world.apply(Operation::Request { daemon, kind, key });
            world.run_for(STEP * rng.random_range(0..3));
        }
    }
}

fn run(seed: u64, backup: Backup) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = world_with_era_objects(seed);
    world.run_for(Duration::from_secs(5));
    world.platform.take_backup();
    use_keys(&mut world, &mut rng);
    for _ in 0..RESTORES {
        world.restore_platform();
        if backup == Backup::First {
            world.platform.take_backup();
        }
        let end = world.now + Duration::from_millis(rng.random_range(50..6_000));
        let taken_at = world.now + Duration::from_millis(rng.random_range(0..3_000));
        while world.now < end {
            if backup == Backup::Newer && world.now >= taken_at && !world.platform.has_backup() {
                world.platform.take_backup();
            }
            use_keys(&mut world, &mut rng);
            world.run_for(STEP);
        }
    }
    let end = world.now + END_TIME;
    while world.now < end {
        use_keys(&mut world, &mut rng);
    }
    let violations = &world.oracle.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
}

#[test]
fn a_key_runs_once_when_the_same_backup_is_restored_again() {
    (0..RUNS).for_each(|seed| run(seed, Backup::First));
}

#[test]
fn a_key_runs_once_when_backups_of_successive_eras_are_restored() {
    (0..RUNS).for_each(|seed| run(seed, Backup::Newer));
}

// Guards against keys that run again as their claims are looked for in the current era alone.
#[test]
fn a_key_used_long_before_a_restore_does_not_run_again() {
    for seed in 0..RUNS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = world_with_era_objects(seed);
        use_keys(&mut world, &mut rng);
        world.run_for(FORGOTTEN_TIME);
        for _ in 0..RESTORES {
            world.platform.take_backup();
            world.restore_platform();
            world.run_for(Duration::from_secs(4));
        }
        use_keys(&mut world, &mut rng);
        world.run_for(END_TIME);
        let violations = &world.oracle.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// Number of the daemon that is started as the platform is restored, and of the one that made the
/// claims, in another failure domain.
const STARTED: u8 = 0;
const CLAIMANT: u8 = 2;
/// Time in which only one failure domain reaches the restored platform, less than the pause in
/// which daemons that know of the restore grant no key.
const CUT_TIME: Duration = Duration::from_secs(2);

// Guards against a daemon that knows no earlier era, and grants keys before those that do have
// written their claims again.
#[test]
fn a_daemon_that_starts_as_the_platform_is_restored_grants_no_key_again() {
    for seed in 0..RUNS {
        let mut world = world_with_era_objects(seed);
        world.run_for(Duration::from_secs(5));
        world.platform.take_backup();
        world.apply(Operation::KillDaemon(STARTED));
        world.apply(Operation::KillDaemon(STARTED + 1));
        world.run_for(STEP * 20);
        let kind = KIND_WITH_KEY;
        for key in 0..KEYS {
            let daemon = CLAIMANT;
            world.apply(Operation::Request { daemon, kind, key });
        }
        world.run_for(Duration::from_secs(1));
        let domain = world.entries[usize::from(CLAIMANT)].domain.clone();
        world.platform_partitioned_domains.insert(domain);
        world.restore_platform();
        world.apply(Operation::StartDaemon(STARTED));
        let cut_until = world.now + CUT_TIME;
        let end = world.now + END_TIME;
        while world.now < end {
            if world.now >= cut_until {
                world.platform_partitioned_domains.clear();
            }
            for key in 0..KEYS {
                let daemon = STARTED;
                world.apply(Operation::Request { daemon, kind, key });
            }
            world.run_for(STEP * 4);
        }
        let violations = &world.oracle.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}
