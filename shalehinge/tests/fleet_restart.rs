//! All daemons of a fleet restart at once without any state, with 3,000 hosts listed.
//!
//! The host list has 60 pages, and the platform answers 2,000 exact reads a second. Operators
//! require that a restarted daemon routes within seconds, and that the number of platform calls
//! grows with the failure domains rather than with the daemons.

mod relay_support;

use std::time::Duration;

use relay_support::Fleet;

const PAGES: u32 = 60;
const READS_PER_SECOND: f64 = 2_000.0;
const FAILURE_DOMAINS: usize = 3;
/// Maximum number of host lists read. One per failure domain would be ideal.
const MOST_LISTS: usize = 10 * FAILURE_DOMAINS;
const MOST_ROUTE_WITHIN: Duration = Duration::from_secs(3);
const ALL_ROUTE_WITHIN: Duration = Duration::from_secs(5);

/// A fleet whose daemons have just restarted.
fn restarted(daemons: u16) -> Fleet {
    let mut fleet = Fleet::start(daemons, false);
    fleet.platform.open_groups(300);
    fleet.platform.pages = PAGES;
    fleet.platform.reads_per_second = Some(READS_PER_SECOND);
    fleet
}

/// Asserts that at least 99% of the live daemons can route after `MOST_ROUTE_WITHIN` from now, and
/// all after `ALL_ROUTE_WITHIN`.
fn assert_all_route_in_time(fleet: &mut Fleet) {
    let daemons = fleet.daemons.len() - fleet.dead.len();
    fleet.run(MOST_ROUTE_WITHIN);
    let late = fleet.daemons_that_cannot_route();
    assert!(late <= daemons / 100, "{late} of {daemons} cannot route");
    fleet.run(ALL_ROUTE_WITHIN - MOST_ROUTE_WITHIN);
    assert_eq!(fleet.daemons_that_cannot_route(), 0);
}

#[test]
fn a_restarted_fleet_routes_within_seconds_and_few_daemons_read_the_host_list() {
    for daemons in [60, 300] {
        let mut fleet = restarted(daemons);
        assert_all_route_in_time(&mut fleet);
        let lists = fleet.platform.lists;
        assert!(
            lists <= MOST_LISTS,
            "{lists} host lists read by {daemons} daemons"
        );
        assert_eq!(
            fleet.platform.reads_refused, 0,
            "refused reads of {daemons} daemons"
        );
    }
}

#[test]
fn a_fleet_restarted_while_the_platform_refuses_calls_routes_within_seconds_of_its_return() {
    let mut fleet = restarted(120);
    fleet.refused = (0..120).collect();
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.daemons_that_cannot_route(), 120);
    fleet.refused.clear();
    assert_all_route_in_time(&mut fleet);
}

#[test]
fn a_restarting_fleet_that_loses_a_third_of_its_daemons_routes_within_seconds() {
    let mut fleet = restarted(120);
    fleet.run(Duration::from_millis(700));
    fleet.dead = (0..120).step_by(3).collect();
    assert_all_route_in_time(&mut fleet);
}
