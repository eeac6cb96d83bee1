//! Overloaded upstreams that advertise a limit on the requests they accept from all daemons
//! together.
//!
//! Guards against limits being ignored: the header was passed through to callers, and no code read
//! it. Two replicas with limits of 1.4 and 1.1 requests per second kept receiving 4.6 and 3.3 per
//! second, as before, from seven of nine daemons, none of which sent more than four requests in
//! four seconds. Dividing a limit evenly among the daemons would not help: 340 daemons that may
//! each send one request can send 340 at once.

mod relay_support;

use std::time::Duration;

use relay_support::Fleet;
use relay_support::load_simulation::{LoadSimulation, group};
use shalehinge::core::advertised_limit::RequestRate;
use shalehinge::core::membership::Owner;
use shalehinge::core::router::request::{Outcome, UpstreamId};
use shalehinge::core::types::{FailureDomain, ReplicaId, Timestamp};

/// Length of the window in which the requests to a limited upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit was first advertised until it must be observed.
const LIMIT_DELAY: Duration = Duration::from_secs(3);
/// The highest number of requests in a window that users tolerate at this limit, in requests per
/// second.
fn allowed_in_window(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

fn rate(value: f64) -> RequestRate {
    RequestRate::per_second(value).expect("a valid rate")
}

trait LoadSimulationExt {
    fn limit(&mut self, index: u64, value: f64);
    fn max_in_window(&self, index: u64, since: Duration) -> usize;
    fn owner_of(&self, index: u64) -> usize;
    fn daemons_that_do_not_know_the_owner(&self, index: u64) -> Vec<usize>;
    fn serve_one_caller_at_a_time(&mut self, seconds: u64);
}

impl LoadSimulationExt for LoadSimulation {
    fn limit(&mut self, index: u64, value: f64) {
        self.fleet.limits.insert(group(index), rate(value));
    }

    /// The highest number of requests to a group in any window from `since` on.
    fn max_in_window(&self, index: u64, since: Duration) -> usize {
        let times = self.times(index, since);
        let from = |start: &Duration| {
            let end = *start + WINDOW;
            times
                .iter()
                .filter(|at| **at >= *start && **at < end)
                .count()
        };
        times.iter().map(from).max().unwrap_or(0)
    }

    /// Index of the daemon that owns the limit of a group's upstream, as the first live daemon
    /// sees it.
    fn owner_of(&self, index: u64) -> usize {
        let mut indexes = 0..self.fleet.daemons.len();
        let first = indexes
            .find(|index| !self.fleet.dead.contains(index))
            .expect("a live daemon");
        owner_in_view_of(&self.fleet, first, index)
    }

    /// Indexes of the daemons that see another owner than the members of the upstream's failure
    /// domain, who know each other.
    fn daemons_that_do_not_know_the_owner(&self, index: u64) -> Vec<usize> {
        let in_domain = (group(index).0 % 3) as usize;
        let owner = owner_in_view_of(&self.fleet, in_domain, index);
        (0..self.fleet.daemons.len())
            .filter(|daemon| owner_in_view_of(&self.fleet, *daemon, index) != owner)
            .collect()
    }

    /// Submits [`STEADY_RATE`] requests a second, each at the next live daemon.
    fn serve_one_caller_at_a_time(&mut self, seconds: u64) {
        for _ in 0..seconds * STEADY_RATE {
            let count = self.fleet.daemons.len();
            self.round += 1;
            while self.fleet.dead.contains(&(self.round % count)) {
                self.round += 1;
            }
            self.fleet.send_completing_stream(self.round % count);
            self.fleet.run(Duration::from_millis(1_000 / STEADY_RATE));
        }
    }
}

/// Index of the daemon that owns the limit of a group's upstream, as the daemon at `viewer` sees
/// it.
fn owner_in_view_of(fleet: &Fleet, viewer: usize, index: u64) -> usize {
    let number = group(index);
    let failure_domain = FailureDomain::new(&format!("d{}", number.0 % 3));
    let upstream = UpstreamId::Replica(ReplicaId {
        failure_domain: failure_domain.clone(),
        number,
    });
    let now = Timestamp::from_duration(fleet.now);
    let membership = fleet.daemons[viewer].membership();
    match membership.owner(now, &failure_domain, &upstream) {
        Owner::ThisDaemon => viewer,
        Owner::Peer(address) => usize::from(address.port()),
    }
}

/// Requests a second in [`LoadSimulationExt::serve_one_caller_at_a_time`].
const STEADY_RATE: u64 = 4;

/// Asserts that the requests of all daemons to a limited upstream stay within what users
/// tolerate.
fn assert_limit_holds(simulation: &LoadSimulation, index: u64, value: f64, since: Duration) {
    let max_in_window = simulation.max_in_window(index, since);
    let allowed = allowed_in_window(value);
    assert!(
        max_in_window <= allowed,
        "{max_in_window} requests in 4 s at a limit of {value}/s, allowed {allowed}"
    );
}

#[test]
fn two_of_18_upstreams_get_no_more_than_their_limits_from_nine_daemons() {
    let mut simulation = LoadSimulation::small();
    simulation.serve_seconds(2);
    simulation.limit(0, 1.4);
    simulation.limit(1, 1.1);
    let since = simulation.fleet.now + LIMIT_DELAY;
    simulation.serve_seconds(20);
    assert_limit_holds(&simulation, 0, 1.4, since);
    assert_limit_holds(&simulation, 1, 1.1, since);
    let (completed, submitted) = simulation.served();
    assert_eq!(
        completed, submitted,
        "the other upstreams must serve all requests"
    );
}

#[test]
fn upstreams_get_no_more_than_their_limits_from_340_daemons() {
    let mut simulation = LoadSimulation::new(340, 60, 5);
    for (index, value) in [(0, 0.2), (1, 1.0), (2, 5.0)] {
        simulation.limit(index, value);
    }
    let since = simulation.fleet.now + LIMIT_DELAY;
    simulation.serve_seconds(12);
    for (index, value) in [(0, 0.2), (1, 1.0), (2, 5.0)] {
        assert_limit_holds(&simulation, index, value, since);
    }
    let (completed, submitted) = simulation.served();
    assert_eq!(
        completed, submitted,
        "the other upstreams must serve all requests"
    );
}

/// Number of daemons, number of groups of the model, and rounds between two requests of one
/// daemon.
const SIZES: [(u16, u16, usize); 3] = [(3, 4, 1), (9, 18, 1), (90, 60, 4)];

#[test]
fn a_limit_holds_at_any_rate_and_size_and_is_used() {
    for (daemons, groups, every) in SIZES {
        for value in [0.0, 0.2, 1.0, 1.4, 5.0, 50.0] {
            let mut simulation = LoadSimulation::new(daemons, groups, every);
            simulation.limit(0, value);
            let since = simulation.fleet.now + LIMIT_DELAY;
            simulation.serve_seconds(13);
            assert_limit_holds(&simulation, 0, value, since);
            let least = value.min(1.0) / 4.0;
            let used = simulation.rate_since(0, since);
            assert!(
                used >= least,
                "{used}/s used of a limit of {value}/s with {daemons} daemons"
            );
            let (completed, submitted) = simulation.served();
            assert_eq!(
                completed, submitted,
                "not all served at a limit of {value}/s with {daemons} daemons"
            );
        }
    }
}

/// Number of courses of random draws in which a property is checked.
const SEEDS: u64 = 8;

/// Guards against permits that expire unused at daemons that asked for them: without any request,
/// no answer shows that the limit has ended.
#[test]
fn a_slow_limit_is_used_in_each_course_of_random_draws() {
    let mut unused = Vec::new();
    for (daemons, groups, every) in SIZES {
        for seed in 0..SEEDS {
            let mut simulation = LoadSimulation::with_seed(daemons, groups, every, seed);
            simulation.limit(0, 0.2);
            let since = simulation.fleet.now + LIMIT_DELAY;
            simulation.serve_seconds(13);
            assert_limit_holds(&simulation, 0, 0.2, since);
            let used = simulation.rate_since(0, since);
            if used < 0.2 / 4.0 {
                unused.push((daemons, seed, used));
            }
        }
    }
    assert!(unused.is_empty(), "daemons, seed, used: {unused:?}");
}

#[test]
fn a_changed_limit_takes_effect() {
    let mut simulation = LoadSimulation::small();
    simulation.limit(0, 20.0);
    simulation.serve_seconds(6);
    simulation.limit(0, 0.5);
    let since = simulation.fleet.now + LIMIT_DELAY;
    simulation.serve_seconds(10);
    assert_limit_holds(&simulation, 0, 0.5, since);
    simulation.limit(0, 5.0);
    simulation.serve_seconds(4);
    let since = simulation.fleet.now;
    simulation.serve_seconds(8);
    assert_limit_holds(&simulation, 0, 5.0, since);
    assert!(
        simulation.rate_since(0, since) > 1.0,
        "the higher limit must be used"
    );
}

#[test]
fn an_upstream_whose_limit_ends_gets_its_share_again() {
    let mut simulation = LoadSimulation::small();
    simulation.limit(0, 0.0);
    simulation.serve_seconds(8);
    simulation.fleet.limits.clear();
    simulation.serve_seconds(6);
    let since = simulation.fleet.now;
    simulation.serve_seconds(6);
    let (limited, other) = (
        simulation.rate_since(0, since),
        simulation.rate_since(7, since),
    );
    assert!(
        limited > other / 2.0,
        "{limited}/s, another upstream gets {other}/s"
    );
    let held = simulation
        .fleet
        .daemons
        .iter()
        .map(|d| d.router().limited_upstreams().count());
    assert_eq!(held.sum::<usize>(), 0, "no daemon may keep the limit");
}

#[test]
fn upstreams_without_a_limit_cause_no_messages() {
    let mut simulation = LoadSimulation::small();
    simulation.serve_seconds(2);
    let before = simulation.fleet.notices;
    simulation.serve_seconds(5);
    assert_eq!(simulation.fleet.notices, before);
}

#[test]
fn if_all_upstreams_are_limited_their_limits_are_used_and_other_callers_retry_later() {
    let mut simulation = LoadSimulation::small();
    for index in 0..18 {
        simulation.limit(index, 2.0);
    }
    simulation.serve_seconds(8);
    let (since, before) = (simulation.fleet.now, simulation.served().0);
    simulation.serve_seconds(10);
    for index in 0..18 {
        assert_limit_holds(&simulation, index, 2.0, since);
    }
    let served = (simulation.served().0 - before) as f64 / 10.0;
    assert!(served > 18.0 * 2.0 * 0.7, "{served}/s served of 36/s");
    for outcome in &simulation.fleet.outcomes {
        match outcome {
            Outcome::Completed => {}
            Outcome::NotRun { retry_after, .. } => assert!(*retry_after > Duration::ZERO),
            other => panic!("{other:?}"),
        }
    }
    // Each daemon must get requests of its callers served, whichever daemons own the limits.
    for daemon in 0..9 {
        let arrivals = simulation.fleet.arrivals.iter();
        let own = arrivals.filter(|a| a.daemon == daemon && a.at >= since);
        assert!(
            own.count() >= 10,
            "fewer than 10 requests of daemon {daemon} were served"
        );
    }
}

#[test]
fn a_few_requests_are_sent_at_once_if_all_upstreams_are_limited() {
    let mut simulation = LoadSimulation::new(9, 2, usize::MAX);
    for index in 0..2 {
        simulation.limit(index, 2.0);
    }
    for _ in 0..12 {
        for daemon in [0, 4, 8] {
            simulation.fleet.send_completing_stream(daemon);
        }
        simulation.serve_seconds(2);
    }
    let (completed, submitted) = simulation.served();
    assert_eq!((completed, submitted), (36, 36));
}

#[test]
fn a_limit_holds_while_daemons_restart() {
    let mut simulation = LoadSimulation::small();
    for index in 0..4 {
        simulation.limit(index, 1.0);
    }
    let since = simulation.fleet.now + LIMIT_DELAY;
    simulation.serve_seconds(4);
    for daemon in 0..9 {
        simulation.fleet.dead.insert(daemon);
        simulation.serve_seconds(2);
        simulation.fleet.dead.remove(&daemon);
        simulation.serve_seconds(1);
    }
    for index in 0..4 {
        assert_limit_holds(&simulation, index, 1.0, since);
        assert!(
            simulation.rate_since(index, since) > 0.2,
            "another daemon must own the limit meanwhile"
        );
    }
}

#[test]
fn each_side_of_a_network_partition_observes_the_limit() {
    let mut simulation = LoadSimulation::small();
    simulation.limit(0, 1.0);
    simulation.serve_seconds(5);
    simulation.fleet.partitioned.extend([0, 3, 6]);
    let since = simulation.fleet.now + LIMIT_DELAY;
    simulation.serve_seconds(12);
    let cut = simulation.fleet.partitioned.clone();
    let arrivals = std::mem::take(&mut simulation.fleet.arrivals);
    let (one, other): (Vec<_>, Vec<_>) =
        arrivals.into_iter().partition(|a| cut.contains(&a.daemon));
    for side in [one, other] {
        simulation.fleet.arrivals = side;
        assert_limit_holds(&simulation, 0, 1.0, since);
    }
    simulation.fleet.arrivals.clear();
    simulation.fleet.partitioned.clear();
    simulation.serve_seconds(4);
    let since = simulation.fleet.now;
    simulation.serve_seconds(8);
    assert_limit_holds(&simulation, 0, 1.0, since);
}

#[test]
fn a_limit_causes_few_messages() {
    let mut simulation = LoadSimulation::new(90, 60, 4);
    simulation.limit(0, 1.0);
    simulation.serve_seconds(12);
    let before = simulation.fleet.notices;
    simulation.serve_seconds(10);
    let each = (simulation.fleet.notices - before) as f64 / 10.0;
    assert!(each < 30.0, "{each} messages/s from 90 daemons");
}

/// Permits of a limit that was not used for a long time must not accumulate.
#[test]
fn an_unused_limit_does_not_accumulate_permits() {
    let mut simulation = LoadSimulation::new(9, 1, usize::MAX);
    simulation.limit(0, 5.0);
    simulation.fleet.send_completing_stream(0);
    simulation.serve_seconds(50);
    simulation.every = 1;
    let since = simulation.fleet.now;
    simulation.serve_seconds(8);
    assert_limit_holds(&simulation, 0, 5.0, since);
}

/// Guards against callers that get no permits until the members see that the limit's owner died.
#[test]
fn callers_are_served_while_the_owner_of_their_only_limit_is_dead() {
    let mut refused = Vec::new();
    for daemons in [3, 9, 90] {
        let mut simulation = LoadSimulation::new(daemons, 1, usize::MAX);
        simulation.limit(0, 10.0);
        let since = simulation.fleet.now + LIMIT_DELAY;
        // All daemons know each other by then.
        simulation.fleet.run(Duration::from_secs(20));
        simulation.serve_one_caller_at_a_time(8);
        let owner = simulation.owner_of(0);
        simulation.fleet.dead.insert(owner);
        simulation.serve_one_caller_at_a_time(15);
        simulation.fleet.run(Duration::from_secs(6));
        assert_limit_holds(&simulation, 0, 10.0, since);
        let (completed, ended) = simulation.served();
        // Requests that the owner had accepted end with it.
        let lost_with_owner = 23 * STEADY_RATE as usize - ended;
        assert!(lost_with_owner <= 2, "{lost_with_owner} requests not ended");
        if completed < ended {
            refused.push((daemons, ended - completed, ended));
        }
    }
    assert!(
        refused.is_empty(),
        "daemons, callers refused, of all callers: {refused:?}"
    );
}

/// Courses of random draws in which a caller is refused if nobody names the owner.
const SEEDS_OF_UNKNOWN_OWNERS: [u64; 3] = [11, 22, 50];

/// Guards against daemons that ask another one than the owner for permits, as members of other
/// failure domains are known from samples alone.
#[test]
fn callers_are_served_by_daemons_that_do_not_know_the_owner_of_their_only_limit() {
    let mut asked = 0;
    let mut refused = Vec::new();
    for seed in (0..SEEDS).chain(SEEDS_OF_UNKNOWN_OWNERS) {
        let mut simulation = LoadSimulation::with_seed(90, 1, usize::MAX, seed);
        simulation.limit(0, 10.0);
        let unaware = simulation.daemons_that_do_not_know_the_owner(0);
        for daemon in 0..90 {
            simulation.fleet.send_completing_stream(daemon);
        }
        simulation.fleet.run(Duration::from_secs(2));
        let before = simulation.served();
        for daemon in &unaware {
            simulation.fleet.send_completing_stream(*daemon);
            simulation.fleet.run(Duration::from_millis(200));
        }
        simulation.fleet.run(Duration::from_secs(7));
        let after = simulation.served();
        assert_eq!(after.1 - before.1, unaware.len());
        let not_served = unaware.len() - (after.0 - before.0);
        asked += unaware.len();
        if not_served > 0 {
            refused.push((seed, not_served, unaware.len()));
        }
    }
    assert!(asked > 0, "all daemons know the owner, nothing was tested");
    assert!(
        refused.is_empty(),
        "seed, callers refused, of all callers: {refused:?}"
    );
}

/// Guards against a limit that is unused until the members see that its owner died.
#[test]
fn a_limit_holds_and_is_used_while_its_owner_is_dead() {
    let mut unused = Vec::new();
    for daemons in [3, 9, 90] {
        for value in [1.0, 5.0, 50.0] {
            let mut simulation = LoadSimulation::new(daemons, 1, 4);
            simulation.limit(0, value);
            let since = simulation.fleet.now + LIMIT_DELAY;
            simulation.serve_seconds(8);
            simulation.fleet.dead.insert(simulation.owner_of(0));
            simulation.serve_seconds(3);
            let found_by = simulation.fleet.now;
            simulation.serve_seconds(6);
            let used = simulation.rate_since(0, found_by);
            if used < value.min(1.0) / 4.0 {
                unused.push((daemons, value, used));
            }
            simulation.serve_seconds(8);
            assert_limit_holds(&simulation, 0, value, since);
        }
    }
    assert!(unused.is_empty(), "daemons, limit, used: {unused:?}");
}

/// Guards against permits of an owner that was suspended, in addition to those of the daemon that
/// granted them in its place.
#[test]
fn a_limit_holds_when_its_suspended_owner_returns() {
    for daemons in [3, 9, 90] {
        for value in [1.0, 5.0, 50.0] {
            for suspended_for in [4, 14] {
                let mut simulation = LoadSimulation::new(daemons, 1, 4);
                simulation.limit(0, value);
                let since = simulation.fleet.now + LIMIT_DELAY;
                simulation.serve_seconds(6);
                let owner = simulation.owner_of(0);
                simulation.fleet.dead.insert(owner);
                simulation.serve_seconds(suspended_for);
                simulation.fleet.dead.remove(&owner);
                simulation.serve_seconds(6);
                assert_limit_holds(&simulation, 0, value, since);
            }
        }
    }
}

/// Guards against two daemons that grant all permits of a limit each, where one can't reach the
/// other and the askers reach both.
#[test]
fn a_limit_holds_while_one_daemon_cannot_reach_its_owner() {
    for daemons in [3, 9] {
        for value in [1.0, 5.0, 50.0] {
            for other in 0..daemons {
                let mut simulation = LoadSimulation::new(daemons, 1, 1);
                simulation.limit(0, value);
                let since = simulation.fleet.now + LIMIT_DELAY;
                simulation.serve_seconds(4);
                let owner = simulation.owner_of(0);
                let other = usize::from(other);
                if other == owner {
                    continue;
                }
                let pair = (owner.min(other), owner.max(other));
                simulation.fleet.cut_pairs.insert(pair);
                simulation.serve_seconds(8);
                assert_limit_holds(&simulation, 0, value, since);
            }
        }
    }
}

#[test]
#[ignore = "prints a table; run by hand with --nocapture"]
fn table_of_rates_and_sizes() {
    for (daemons, groups, every) in [(3, 4, 1), (9, 18, 1), (90, 60, 4), (340, 60, 5)] {
        for value in [0.2, 1.0, 1.4, 5.0, 50.0] {
            let mut simulation = LoadSimulation::new(daemons, groups, every);
            simulation.limit(0, value);
            let since = simulation.fleet.now + LIMIT_DELAY;
            let notices = simulation.fleet.notices;
            simulation.serve_seconds(13);
            let max_in_window = simulation.max_in_window(0, since);
            let allowed = allowed_in_window(value);
            let used = simulation.rate_since(0, since);
            let messages = (simulation.fleet.notices - notices) as f64 / 13.0;
            println!(
                "{daemons} daemons, {value}/s: {max_in_window} of {allowed} in 4 s, {used:.2}/s used, {messages:.1} messages/s"
            );
        }
    }
}
