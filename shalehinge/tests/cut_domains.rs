//! Guards against callers of all failure domains waiting for upstreams of one that is cut off.

mod relay_support;

use std::time::Duration;

use relay_support::load_simulation::LoadSimulation;
use shalehinge::core::router::request::Outcome;

/// Time of an answer from an upstream that is reached at once.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Latest time of an answer if some upstreams can't be reached.
const TARGET: Duration = Duration::from_millis(1_000);

/// Numbers of daemons and groups, and rounds between two requests of a daemon.
const SIZES: [(u16, u16, usize); 3] = [(9, 18, 1), (90, 30, 4), (340, 60, 20)];

#[test]
fn callers_of_all_failure_domains_are_served_in_time_while_one_is_cut_off() {
    for (daemons, groups, every) in SIZES {
        let mut simulation = LoadSimulation::new(daemons, groups, every);
        simulation.serve_seconds(2);
        simulation.fleet.cut_domain = Some(1);
        simulation.fleet.partitioned = (0..usize::from(daemons))
            .filter(|index| index % 3 == 1)
            .collect();
        let before = simulation.fleet.outcomes.len();
        simulation.serve_seconds(6);
        let outcomes = &simulation.fleet.outcomes[before..];
        let served = outcomes.iter().filter(|o| **o == Outcome::Completed);
        assert_eq!(served.count(), outcomes.len(), "{daemons} daemons");
        let times = &simulation.fleet.answer_times[before..];
        let late = times.iter().filter(|time| **time > TARGET).count();
        let immediate = times
            .iter()
            .filter(|time| **time <= RUN_TIME * 4 / 3)
            .count();
        println!(
            "{daemons} daemons: {immediate} of {} answered without a wait, {late} late",
            times.len()
        );
        assert_eq!(
            late,
            0,
            "{late} of {} answered late with {daemons} daemons",
            times.len()
        );
    }
}
