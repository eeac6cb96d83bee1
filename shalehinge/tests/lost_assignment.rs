//! An assignment that is lost together with all daemons that knew it: the platform is restored
//! from a backup from before a group was formed.

mod support;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::operations::Operation;
use support::world::World;

/// Number of runs, each with a seed of its own.
const RUNS: u64 = 40;
/// Number of groups of the fleet.
const GROUPS: usize = 4;
/// Time in which a group is formed again and daemons that start take over control.
const SETTLED: Duration = Duration::from_secs(20);

/// Number of groups that the engines of a failure domain are serving in.
fn engine_groups(world: &World) -> Vec<Option<u64>> {
    let groups = world.hosts.iter().map(|host| {
        let membership = host.engine.membership.as_ref();
        membership.map(|membership| membership.group.0)
    });
    groups.collect()
}

/// Forms a group after a backup, and then loses the assignment and all daemons.
fn lose_assignment(seed: u64) -> World {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::serving(seed);
    world.run_for(Duration::from_secs(5));
    world.platform.take_backup();
    let members: Vec<u8> = (0..world.hosts.len())
        .filter(|index| world.hosts[*index].engine.membership.is_some())
        .map(|index| index as u8)
        .collect();
    let lost = members[rng.random_range(0..members.len())];
    world.apply(Operation::KillHost(lost));
    world.run_for(SETTLED);
    world.apply(Operation::StartHost(lost));
    world.run_for(SETTLED);
    assert_eq!(world.serving_groups(), GROUPS, "seed {seed}: formed again");
    for daemon in 0..world.entries.len() {
        world.kill(daemon);
    }
    world.restore_platform();
    for daemon in 0..world.entries.len() {
        world.start(daemon);
    }
    world
}

// Guards against hosts that serve being ordered into another group.
#[test]
fn groups_that_no_daemon_knows_stay_after_a_restore() {
    for seed in 0..RUNS {
        let mut world = lose_assignment(seed);
        let before = engine_groups(&world);
        world.run_for(SETTLED);
        let violations = &world.oracle.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        assert_eq!(engine_groups(&world), before, "seed {seed}");
        assert_eq!(world.serving_groups(), GROUPS, "seed {seed}: still known");
    }
}

/// A member, not rank 0, of the group that was formed last.
fn newest_member(world: &World) -> usize {
    let groups = world.hosts.iter().enumerate().filter_map(|(index, host)| {
        let membership = host.engine.membership.as_ref()?;
        (membership.load.rank > 0).then_some((membership.group, index))
    });
    let (_, index) = groups.max().expect("a member of a group");
    index
}

// Guards against a group that serves being released because a member answers no probe.
#[test]
fn a_group_that_no_daemon_knows_stays_while_a_member_answers_no_daemon() {
    for seed in 0..RUNS {
        let mut world = lose_assignment(seed);
        let before = engine_groups(&world);
        let silent_host = newest_member(&world);
        world.unreachable_hosts.insert(silent_host);
        world.run_for(SETTLED);
        assert_eq!(
            engine_groups(&world),
            before,
            "seed {seed}: while it is silent"
        );
        world.unreachable_hosts.clear();
        world.run_for(SETTLED);
        let violations = &world.oracle.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        assert_eq!(engine_groups(&world), before, "seed {seed}: afterwards");
        assert_eq!(world.serving_groups(), GROUPS, "seed {seed}: still known");
    }
}

// Guards against a later lease holder that takes a member of a group that serves for a free host.
#[test]
fn a_later_holder_keeps_a_group_with_a_member_that_answers_no_daemon() {
    for seed in 0..RUNS {
        let mut world = lose_assignment(seed);
        let before = engine_groups(&world);
        let silent_host = newest_member(&world);
        world.unreachable_hosts.insert(silent_host);
        world.run_for(SETTLED);
        for daemon in 0..world.entries.len() {
            world.kill(daemon);
        }
        for daemon in 0..world.entries.len() {
            world.start(daemon);
        }
        world.run_for(SETTLED);
        assert_eq!(engine_groups(&world), before, "seed {seed}: later holder");
        world.unreachable_hosts.clear();
        world.run_for(SETTLED);
        let violations = &world.oracle.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        assert_eq!(engine_groups(&world), before, "seed {seed}: afterwards");
        assert_eq!(world.serving_groups(), GROUPS, "seed {seed}: still known");
    }
}

// Guards against a host that was down during the survey and stays unused for ever.
#[test]
fn a_host_that_starts_after_the_survey_is_used_again() {
    for seed in 0..RUNS / 4 {
        let mut world = World::serving(seed);
        world.platform.take_backup();
        let spare = (0..world.hosts.len())
            .find(|index| world.hosts[*index].engine.membership.is_none())
            .expect("a free host");
        world.apply(Operation::KillHost(spare as u8));
        world.run_for(SETTLED);
        world.restore_platform();
        world.run_for(SETTLED);
        world.apply(Operation::StartHost(spare as u8));
        world.run_for(SETTLED);
        let member = (0..world.hosts.len())
            .find(|index| {
                let host = &world.hosts[*index];
                host.engine.membership.is_some() && host.domain == world.hosts[spare].domain
            })
            .expect("a member");
        world.apply(Operation::KillHost(member as u8));
        world.run_for(SETTLED * 2);
        assert_eq!(world.serving_groups(), GROUPS, "seed {seed}: uses the host");
    }
}
