//! Claims that are lost with the daemon that made them: the daemon is killed, and the platform is
//! restored from a backup that lacks its claims.

mod support;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::operations::Operation;
use support::world::{STEP, World};

/// Number of runs, each with a seed of its own.
const RUNS: u64 = 60;
/// Number of keys that are used at the daemon that is lost.
const KEYS: u8 = 6;
/// Number of times that each key is sent again.
const ROUNDS: u32 = 30;
/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// A kind of request that carries a key and must not run twice.
const KIND_WITH_KEY: u8 = 0;

/// What happens to the daemon that made the claims.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    /// It is killed and stays down.
    Killed,
    /// It is killed, and starts again without state.
    Restarted,
    /// Its failure domain is cut off from the platform.
    CutFromPlatform,
}

fn request(daemon: u8, key: u8) -> Operation {
    let kind = KIND_WITH_KEY;
    Operation::Request { daemon, kind, key }
}

/// Uses keys at a daemon, loses it and its claims, and uses the keys at all daemons again.
fn run(seed: u64, loss: Loss) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::serving(seed);
    let count = world.entries.len() as u8;
    let lost = rng.random_range(0..count);
    world.run_for(Duration::from_secs(5));
    world.platform.take_backup();
    for key in 0..KEYS {
        world.apply(request(lost, key));
        world.run_for(STEP * rng.random_range(0..10));
    }
    match loss {
        Loss::Killed | Loss::Restarted => world.apply(Operation::KillDaemon(lost)),
        Loss::CutFromPlatform => {
            let domain = world.entries[usize::from(lost)].domain.clone();
            world.platform_partitioned_domains.insert(domain);
        }
    }
    world.run_for(STEP * rng.random_range(0..60));
    world.restore_platform();
    if loss == Loss::Restarted {
        world.apply(Operation::StartDaemon(lost));
    }
    for _ in 0..ROUNDS {
        for daemon in 0..count {
            for key in 0..KEYS {
                world.apply(request(daemon, key));
            }
        }
        world.run_for(ROUND_INTERVAL);
    }
    let violations = &world.oracle.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
}

#[test]
fn a_key_runs_once_after_its_daemon_and_its_claim_are_lost() {
    (0..RUNS).for_each(|seed| run(seed, Loss::Killed));
}

#[test]
fn a_key_runs_once_at_a_daemon_that_starts_just_after_its_claim_was_lost() {
    (0..RUNS).for_each(|seed| run(seed, Loss::Restarted));
}

#[test]
fn a_key_runs_once_while_its_daemon_cannot_write_its_lost_claim_again() {
    (0..RUNS).for_each(|seed| run(seed, Loss::CutFromPlatform));
}
