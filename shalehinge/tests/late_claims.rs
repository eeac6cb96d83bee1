//! Guards against a claim that a write of an earlier era overwrites: the write was sent before the
//! platform was restored from a backup, and is carried out after it, on the version that it names.

mod support;

use std::time::Duration;

use shalehinge::core::objects::{ClaimPartition, Object, ObjectKey, Versioned};
use shalehinge::core::platform::{EraScope, PlatformCall};
use shalehinge::core::types::Version;
use support::held_writes::HeldWrites;
use support::operations::Operation;
use support::world::World;

/// Number of runs, each with a seed of its own.
const RUNS: u64 = 20;
/// The only key that is used.
const KEY: u8 = 1;
/// A kind of request that carries a key and must not run twice.
const KIND_WITH_KEY: u8 = 0;
/// Number of times that the key is sent again.
const ROUNDS: u32 = 30;
/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Time in which daemons settle, also after a restore.
const SETTLE_TIME: Duration = Duration::from_secs(10);

fn request(daemon: usize) -> Operation {
    Operation::Request {
        daemon: daemon as u8,
        kind: KIND_WITH_KEY,
        key: KEY,
    }
}

/// The partition that the key's claim is stored in.
fn stored_claim(world: &World) -> Option<(ObjectKey, Version)> {
    let mut objects = world.platform.objects.iter();
    objects.find_map(|(key, Versioned { version, value })| match value {
        Object::Claims(partition) if !partition.claims.is_empty() => Some((key.clone(), *version)),
        _ => None,
    })
}

/// What a condition of a write names.
#[derive(Clone, Copy, PartialEq)]
enum Conditions {
    EraAndNumber,
    NumberAlone,
}

/// Overwrites the claim of the new era by a write that removed the claim of another key of the
/// same partition in the old one, and sends the key to all daemons again.
fn run(seed: u64, conditions: Conditions) {
    let mut world = World::empty(seed);
    let mut late_scope = EraScope::Shared;
    if conditions == Conditions::NumberAlone {
        world.platform.late_writes = Some(HeldWrites::new(seed));
        late_scope = EraScope::Single(world.platform.era());
        for entry in &mut world.entries {
            entry.settings.learning.era_objects = true;
        }
    }
    let mut world = world.start_serving();
    world.run_for(SETTLE_TIME);
    world.platform.take_backup();
    let old_era = world.platform.objects[&ObjectKey::Fleet].version.era;
    world.restore_platform();
    world.run_for(SETTLE_TIME);
    world.apply(request(0));
    world.run_until("the key is claimed", |world| stored_claim(world).is_some());
    let (partition, version) = stored_claim(&world).expect("the key is claimed");
    world.platform.delayed_writes.push(PlatformCall::Put {
        key: partition,
        scope: late_scope,
        expect: Version::new(old_era, version.number),
        object: Box::new(Object::Claims(ClaimPartition::default())),
    });
    world.platform.apply_delayed_writes();
    for _ in 0..ROUNDS {
        for daemon in 0..world.entries.len() {
            world.apply(request(daemon));
        }
        world.run_for(ROUND_INTERVAL);
    }
    let violations = &world.oracle.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
}

#[test]
fn a_late_write_does_not_let_a_key_run_again_where_conditions_name_eras() {
    (0..RUNS).for_each(|seed| run(seed, Conditions::EraAndNumber));
}

#[test]
fn a_late_write_does_not_let_a_key_run_again_where_conditions_are_numbers() {
    (0..RUNS).for_each(|seed| run(seed, Conditions::NumberAlone));
}
