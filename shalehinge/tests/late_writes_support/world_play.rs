//! Seeded runs of the random sequences' fleet, with keys, groups and hosts, on a store that carries
//! out writes late.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::support::held_writes::{HeldWriteCounts, HeldWrites};
use crate::support::operations::{Operation, sequence};
use crate::support::world::World;

/// Time within which running daemons write again what a restored backup lacks.
const REWRITE_TIME: Duration = Duration::from_secs(4);
/// Time after the last operation.
const SETTLED: Duration = Duration::from_secs(20);
/// Share of writes that are held while a backup is older than the store.
const HELD_SHARE: f64 = 0.4;
/// Share of held writes whose number the next write of their object in the new era gets.
const MEETING_SHARE: f64 = 0.8;

/// How the store handles conditional writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    /// It compares era and number, and carries out no write late.
    ComparesEras,
    /// It compares the number alone, and carries out no write late.
    ComparesNumbers,
    /// It compares the number alone, and carries out some writes late.
    WritesLate,
}

/// What a run has shown.
pub struct WorldPlay {
    /// The first violation, with the run that it was seen in.
    pub violation: Option<String>,
    /// Number of restores.
    pub restores: usize,
    /// What happened to late writes.
    pub counts: HeldWriteCounts,
    /// Events of the store.
    pub trace: Vec<String>,
}

/// Whether the operation sends requests or lets time pass, and disturbs no daemon.
fn is_calm(operation: Operation) -> bool {
    matches!(
        operation,
        Operation::Wait(_)
            | Operation::Request { .. }
            | Operation::Burst { .. }
            | Operation::SendStrayCompletions(_)
            | Operation::KillHost(_)
            | Operation::StartHost(_)
    )
}

fn world_on(store: Store, seed: u64) -> World {
    let mut world = World::empty(seed);
    if store != Store::ComparesEras {
        world.platform.late_writes = Some(HeldWrites::new(seed));
        for entry in &mut world.entries {
            entry.settings.learning.era_objects = true;
        }
    }
    world.start_serving()
}

/// Share of writes that are held from a backup until its restore.
fn held_share(store: Store) -> f64 {
    if store == Store::WritesLate {
        HELD_SHARE
    } else {
        0.0
    }
}

fn set_share(world: &mut World, share: f64) {
    if let Some(late_writes) = &mut world.platform.late_writes {
        late_writes.share = share;
        late_writes.meeting_share = MEETING_SHARE;
    }
}

fn finish(seed: u64, restores: usize, mut world: World) -> WorldPlay {
    let late_writes = world.platform.late_writes.take();
    let late_writes = late_writes.unwrap_or_else(|| HeldWrites::new(seed));
    let first = world.oracle.violations.first();
    WorldPlay {
        violation: first.map(|text| format!("seed {seed}: {text}")),
        restores,
        counts: late_writes.counts,
        trace: late_writes.trace,
    }
}

/// Requests, many with keys, and hosts that fail, beside late writes and restores. No daemon is
/// disturbed from a backup until what it lacks has been written again.
pub fn random(seed: u64, store: Store) -> WorldPlay {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = world_on(store, seed);
    let mut restores = 0;
    for operation in sequence(seed).into_iter().filter(|o| is_calm(*o)) {
        world.apply(operation);
        if !rng.random_bool(0.25) {
            continue;
        }
        if world.platform.has_backup() {
            world.restore_platform();
            restores += 1;
            set_share(&mut world, 0.0);
            world.run_for(REWRITE_TIME);
        } else {
            world.run_for(REWRITE_TIME);
            world.platform.take_backup();
            set_share(&mut world, held_share(store));
        }
    }
    set_share(&mut world, 0.0);
    world.heal();
    world.run_for(SETTLED);
    finish(seed, restores, world)
}

/// A host fails and comes back, so that a group is formed again between a backup and a restore; the
/// writes of its assignment may be held. Complete groups must not be released afterwards.
pub fn groups_formed_before_a_restore(seed: u64, store: Store) -> WorldPlay {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = world_on(store, seed);
    let mut restores = 0;
    for _ in 0..2 {
        world.platform.take_backup();
        set_share(&mut world, held_share(store));
        let members: Vec<u8> = (0..world.hosts.len())
            .filter(|index| world.hosts[*index].engine.membership.is_some())
            .map(|index| index as u8)
            .collect();
        let lost = members[rng.random_range(0..members.len())];
        world.apply(Operation::KillHost(lost));
        world.run_for(Duration::from_millis(rng.random_range(500..9_000)));
        world.apply(Operation::StartHost(lost));
        world.run_for(Duration::from_millis(rng.random_range(100..3_000)));
        world.restore_platform();
        restores += 1;
        set_share(&mut world, 0.0);
        world.oracle.forbids_releases = true;
        world.run_for(SETTLED);
        world.oracle.forbids_releases = false;
    }
    finish(seed, restores, world)
}

/// Counts of many runs, and their violations by what they say.
pub fn summary(plays: &[WorldPlay]) -> String {
    let mut by_text: BTreeMap<String, usize> = BTreeMap::new();
    for text in plays.iter().filter_map(|play| play.violation.as_ref()) {
        let kind: String = text.chars().filter(|c| !c.is_ascii_digit()).collect();
        *by_text.entry(kind).or_default() += 1;
    }
    let sum = |count: fn(&HeldWriteCounts) -> usize| -> usize {
        plays.iter().map(|play| count(&play.counts)).sum()
    };
    format!(
        "{} runs, {} restores, {} held, {} met, {} in their era, {} across eras ({} leases, {} \
         assignments), {} refused, violations {by_text:#?}",
        plays.len(),
        plays.iter().map(|play| play.restores).sum::<usize>(),
        sum(|c| c.held),
        sum(|c| c.met),
        sum(|c| c.in_their_era),
        sum(|c| c.across_eras),
        sum(|c| c.leases_across_eras),
        sum(|c| c.assignments_across_eras),
        sum(|c| c.refused),
    )
}
