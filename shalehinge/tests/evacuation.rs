//! Guards against requests to the upstreams of evacuated failure domains.

mod relay_support;

use std::time::Duration;

use relay_support::Fleet;
use relay_support::configuration::fleet_config;
use relay_support::load_simulation::LoadSimulation;
use shalehinge::core::advertised_limit::RequestRate;
use shalehinge::core::change::{Change, ChangeError};
use shalehinge::core::objects::{FleetConfig, HostList, WarmUpLimit};
use shalehinge::core::types::{FailureDomain, ServiceName};

/// Time in which all daemons must know of an evacuation.
const SPREAD: Duration = Duration::from_secs(5);
/// Number of failure domains of the simulated fleet.
const DOMAINS: u64 = 3;

/// Number of requests that reached upstreams of a failure domain since a time.
fn requests_to(simulation: &LoadSimulation, domain: u64, since: Duration) -> usize {
    let arrivals = simulation.fleet.arrivals.iter();
    let of_domain = arrivals.filter(|arrival| arrival.group.0 % DOMAINS == domain);
    of_domain.filter(|arrival| arrival.at >= since).count()
}

fn evacuate(fleet: &mut Fleet, domain: &str) {
    fleet.platform.set_evacuated(domain, true);
}

fn restore(fleet: &mut Fleet, domain: &str) {
    fleet.platform.set_evacuated(domain, false);
}

#[test]
fn an_evacuated_failure_domain_gets_no_requests_until_it_is_restored() {
    for (daemons, groups, every) in [(9, 18, 1), (90, 30, 2), (340, 60, 5)] {
        let mut simulation = LoadSimulation::new(daemons, groups, every);
        simulation.serve_seconds(1);
        evacuate(&mut simulation.fleet, "d1");
        simulation.serve(SPREAD);
        let since = simulation.fleet.now;
        simulation.serve_seconds(4);
        assert_eq!(requests_to(&simulation, 1, since), 0, "{daemons} daemons");
        restore(&mut simulation.fleet, "d1");
        simulation.serve(SPREAD);
        let since = simulation.fleet.now;
        simulation.serve_seconds(2);
        assert!(requests_to(&simulation, 1, since) > 0, "{daemons} daemons");
        let (completed, submitted) = simulation.served();
        assert_eq!(
            completed, submitted,
            "the other upstreams must serve all requests"
        );
    }
}

#[test]
fn daemons_that_restart_or_are_refused_by_the_platform_keep_to_an_evacuation() {
    let mut simulation = LoadSimulation::new(90, 30, 2);
    evacuate(&mut simulation.fleet, "d1");
    simulation.serve(SPREAD);
    simulation.fleet.refused = (0..30).collect();
    simulation.fleet.restart(30..60);
    simulation.serve_seconds(3);
    let since = simulation.fleet.now;
    simulation.serve_seconds(4);
    assert_eq!(requests_to(&simulation, 1, since), 0);
}

#[test]
fn an_evacuation_reaches_daemons_that_the_platform_refuses() {
    let mut simulation = LoadSimulation::new(90, 30, 2);
    simulation.fleet.refused = (0..30).collect();
    simulation.serve_seconds(3);
    evacuate(&mut simulation.fleet, "d1");
    simulation.serve(SPREAD);
    let since = simulation.fleet.now;
    simulation.serve_seconds(4);
    assert_eq!(requests_to(&simulation, 1, since), 0);
}

#[test]
fn evacuations_in_quick_succession_end_as_the_last_one_says() {
    let mut simulation = LoadSimulation::new(90, 30, 2);
    for _ in 0..10 {
        evacuate(&mut simulation.fleet, "d1");
        evacuate(&mut simulation.fleet, "d2");
        simulation.serve(Duration::from_millis(150));
        restore(&mut simulation.fleet, "d1");
        simulation.serve(Duration::from_millis(150));
    }
    simulation.serve(SPREAD);
    let since = simulation.fleet.now;
    simulation.serve_seconds(4);
    assert_eq!(requests_to(&simulation, 2, since), 0);
    assert!(requests_to(&simulation, 1, since) > 0);
}

// Guards against requests to upstreams that operators evacuated after the backup was taken.
#[test]
fn an_evacuation_that_the_backup_lacks_stays_in_force() {
    for (daemons, groups, every) in [(9, 18, 1), (90, 30, 2)] {
        let mut simulation = LoadSimulation::new(daemons, groups, every);
        simulation.fleet.platform.take_backup();
        evacuate(&mut simulation.fleet, "d1");
        simulation.serve(SPREAD);
        simulation.fleet.restore_platform(Duration::from_secs(1));
        let since = simulation.fleet.now;
        simulation.serve_seconds(8);
        assert_eq!(requests_to(&simulation, 1, since), 0, "{daemons} daemons");
    }
}

// Guards against capacity that stays unused after a restore has lost an evacuation.
#[test]
fn an_evacuation_that_the_backup_lacks_ends_once_operators_remove_it_again() {
    let mut simulation = LoadSimulation::new(90, 30, 2);
    simulation.fleet.platform.take_backup();
    evacuate(&mut simulation.fleet, "d1");
    simulation.serve(SPREAD);
    simulation.fleet.restore_platform(Duration::from_secs(1));
    simulation.serve(SPREAD);
    evacuate(&mut simulation.fleet, "d1");
    simulation.serve(SPREAD);
    restore(&mut simulation.fleet, "d1");
    simulation.serve(SPREAD);
    let since = simulation.fleet.now;
    simulation.serve_seconds(2);
    assert!(requests_to(&simulation, 1, since) > 0);
}

// Guards against capacity that stays unused where operators don't write a lost evacuation again.
#[test]
fn an_evacuation_that_the_backup_lacks_ends_after_a_while() {
    let mut simulation = LoadSimulation::new(9, 18, 1);
    simulation.fleet.platform.take_backup();
    evacuate(&mut simulation.fleet, "d1");
    simulation.serve(SPREAD);
    simulation.fleet.restore_platform(Duration::from_secs(1));
    simulation.fleet.run(Duration::from_secs(620));
    let since = simulation.fleet.now;
    simulation.serve_seconds(2);
    assert!(requests_to(&simulation, 1, since) > 0);
}

#[test]
fn upstreams_warm_up_after_an_evacuation() {
    /// Requests per second that a replica bears while it warms up.
    const RATE: f64 = 5.0;
    /// Requests in a second above which it falls over.
    const FATAL: usize = 12;
    let limit = WarmUpLimit {
        rate: RequestRate::per_second(RATE).expect("a valid rate"),
        duration_ms: 6_000,
    };
    let configuration = FleetConfig {
        warm_ups: [(ServiceName::new("engines"), limit)].into(),
        ..fleet_config(0)
    };
    let mut simulation = LoadSimulation::new(90, 30, 1);
    simulation.fleet.platform.configure(configuration);
    evacuate(&mut simulation.fleet, "d1");
    simulation.serve(SPREAD);
    restore(&mut simulation.fleet, "d1");
    let since = simulation.fleet.now;
    simulation.serve_seconds(6);
    let groups = (0..30).filter(|index| (100 + index) % DOMAINS == 1);
    for index in groups {
        let times = simulation.times(index, since);
        let in_second = |start: &Duration| {
            let window = *start..*start + Duration::from_secs(1);
            times.iter().filter(|at| window.contains(at)).count()
        };
        let max = times.iter().map(in_second).max().unwrap_or(0);
        assert!(
            max <= FATAL,
            "{max} requests in a second, {FATAL} are fatal"
        );
    }
    assert!(requests_to(&simulation, 1, since) > 0);
}

#[test]
fn operators_evacuate_and_restore_known_failure_domains_only() {
    let domain = FailureDomain::new("d1");
    let evacuate = Change::Evacuate {
        domain: domain.clone(),
    };
    let restore = Change::Restore {
        domain: domain.clone(),
    };
    let fleet = fleet_config(0);
    assert_eq!(
        evacuate.apply(&fleet, &HostList::default()),
        Err(ChangeError::UnknownDomain(domain.clone()))
    );
    let hosts = relay_support::platform::listed_hosts();
    let evacuated = evacuate.apply(&fleet, &hosts).expect("the domain is known");
    assert!(evacuated.evacuated.contains(&domain));
    let restored = restore.apply(&evacuated, &hosts).expect("it is evacuated");
    assert_eq!(restored, fleet);
    assert_eq!(
        restore.apply(&fleet, &hosts),
        Err(ChangeError::NotEvacuated(domain))
    );
}
