//! Guards against daemons that reach no upstream refusing requests that peers could run.

mod relay_support;

use std::time::Duration;

use relay_support::load_simulation::LoadSimulation;
use relay_support::{Fleet, UpstreamCut};
use shalehinge::core::router::request::Outcome;
use shalehinge::core::types::Timestamp;

/// Time after the start of a cut from which the callers of cut daemons must be served.
const NOTICED_WITHIN: Duration = Duration::from_secs(3);
/// Time for which callers are observed after that.
const OBSERVED: Duration = Duration::from_secs(6);
/// Time after which the last of these callers have an answer.
const ANSWERED_WITHIN: Duration = Duration::from_secs(7);
/// One request in this many may fail in the whole fleet.
const FAILURES_ALLOWED_IN: usize = 50;

/// Numbers of daemons and groups, and rounds between two requests of a daemon.
const SIZES: [(u16, u16, usize); 2] = [(9, 18, 1), (90, 30, 4)];
/// The size of a large fleet, which takes long to simulate.
const LARGE: (u16, u16, usize) = (340, 60, 20);
const CUTS: [UpstreamCut; 3] = [
    UpstreamCut::Silent,
    UpstreamCut::Refused,
    UpstreamCut::Reset,
];

/// Numbers of requests that completed, and of all that were answered.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    completed: usize,
    all: usize,
}

impl Served {
    fn record(&mut self, outcome: &Outcome) {
        self.completed += usize::from(*outcome == Outcome::Completed);
        self.all += 1;
    }

    /// Whether requests completed at least as often as these.
    fn is_as_often_as(self, other: Self) -> bool {
        self.completed * other.all >= other.completed * self.all
    }
}

/// The answers to requests sent from a time on, at the daemons that are cut and at the others.
fn served_since(fleet: &Fleet, cut: &[usize], since: Duration) -> (Served, Served) {
    let (mut at_cut, mut at_others) = (Served::default(), Served::default());
    for index in 0..fleet.outcomes.len() {
        if fleet.sent_at[index] < since {
            continue;
        }
        let is_cut = cut.contains(&fleet.answered_by[index]);
        let side = if is_cut { &mut at_cut } else { &mut at_others };
        let outcome = &fleet.outcomes[index];
        side.record(outcome);
        if *outcome != Outcome::Completed {
            let (daemon, waited) = (fleet.answered_by[index], fleet.answer_times[index]);
            println!("daemon {daemon}: {outcome:?} after {waited:?}");
        }
    }
    (at_cut, at_others)
}

/// Cuts some daemons of a fleet under load, and checks that their callers are served like others.
fn check_cut(size: (u16, u16, usize), cut: UpstreamCut, is_cut: impl Fn(usize) -> bool) {
    let (daemons, groups, every) = size;
    let mut simulation = LoadSimulation::new(daemons, groups, every);
    simulation.serve_seconds(2);
    let cut_daemons: Vec<usize> = (0..usize::from(daemons)).filter(|i| is_cut(*i)).collect();
    simulation.fleet.cut_from_upstreams(&cut_daemons, cut);
    simulation.serve(NOTICED_WITHIN);
    let since = simulation.fleet.now;
    simulation.serve(OBSERVED);
    simulation.fleet.run(ANSWERED_WITHIN);
    let (at_cut, at_others) = served_since(&simulation.fleet, &cut_daemons, since);
    println!("{daemons} daemons, {cut:?}: {at_cut:?} at cut daemons, {at_others:?} at others");
    assert!(at_cut.is_as_often_as(at_others), "{daemons}, {cut:?}");
    let failed = at_cut.all + at_others.all - at_cut.completed - at_others.completed;
    let all = at_cut.all + at_others.all;
    assert!(
        failed * FAILURES_ALLOWED_IN <= all,
        "{failed} of {all} failed, {daemons} daemons, {cut:?}"
    );
}

/// Checks all kinds of cuts in small fleets, and the one that takes longest to notice in a large one.
fn check_cuts(is_cut: impl Fn(usize) -> bool) {
    for size in SIZES {
        for cut in CUTS {
            check_cut(size, cut, &is_cut);
        }
    }
    check_cut(LARGE, UpstreamCut::Silent, &is_cut);
}

#[test]
fn callers_of_daemons_that_reach_no_upstream_are_served_by_peers() {
    check_cuts(|index| index % 9 < 3);
}

#[test]
fn callers_are_served_while_two_of_three_daemons_reach_no_upstream() {
    check_cuts(|index| index % 9 < 6);
}

#[test]
fn callers_of_a_failure_domain_are_served_while_none_of_its_daemons_reaches_an_upstream() {
    check_cuts(|index| index % 3 == 0);
}

/// Time within which control moves: the cut is noticed, the lease released and taken.
const CONTROL_MOVES_WITHIN: Duration = Duration::from_secs(6);

/// Daemons that hold the control lease of their failure domain.
fn lease_holders(fleet: &Fleet) -> Vec<usize> {
    let now = Timestamp::from_duration(fleet.now);
    let holds = |index: &usize| fleet.daemons[*index].lease().held(now).is_some();
    (0..fleet.daemons.len()).filter(holds).collect()
}

#[test]
fn control_moves_to_a_daemon_that_reaches_upstreams() {
    let mut simulation = LoadSimulation::small();
    simulation.serve_seconds(2);
    let holders = lease_holders(&simulation.fleet);
    assert_eq!(holders.len(), 3, "one in each failure domain");
    let cut = UpstreamCut::Refused;
    simulation.fleet.cut_from_upstreams(&holders, cut);
    simulation.serve(CONTROL_MOVES_WITHIN);
    let new_holders = lease_holders(&simulation.fleet);
    assert_eq!(new_holders.len(), 3);
    assert!(new_holders.iter().all(|index| !holders.contains(index)));
}

#[test]
fn control_stays_where_no_daemon_reaches_an_upstream() {
    let mut simulation = LoadSimulation::small();
    simulation.serve_seconds(2);
    let holders = lease_holders(&simulation.fleet);
    let all: Vec<usize> = (0..9).collect();
    simulation
        .fleet
        .cut_from_upstreams(&all, UpstreamCut::Refused);
    simulation.serve(CONTROL_MOVES_WITHIN);
    assert_eq!(lease_holders(&simulation.fleet), holders);
}
