//! All daemons of a fleet start again at once and know nothing, before 3,000 hosts.
//!
//! The host list has 60 pages, and the platform answers 2,000 exact reads a second. What must
//! hold is what operators ask: whoever starts routes within seconds, and the calls follow the
//! failure domains, not the daemons.

mod relay_support;

use std::time::Duration;

use relay_support::Fleet;

const PAGES: u32 = 60;
const READS_PER_SECOND: f64 = 2_000.0;
const FAILURE_DOMAINS: usize = 3;
/// Lists of the hosts, against one for each failure domain.
const MOST_LISTS: usize = 10 * FAILURE_DOMAINS;
const MOST_ROUTE_WITHIN: Duration = Duration::from_secs(3);
const ALL_ROUTE_WITHIN: Duration = Duration::from_secs(5);

fn restarted(daemons: u16) -> Fleet {
    let mut fleet = Fleet::start(daemons, false);
    fleet.platform.open_groups(300);
    fleet.platform.pages = PAGES;
    fleet.platform.reads_per_second = Some(READS_PER_SECOND);
    fleet
}

/// Nearly all route after the first bound, from now on, and all after the second.
fn all_route_in_time(fleet: &mut Fleet) {
    let daemons = fleet.daemons.len() - fleet.dead.len();
    fleet.run(MOST_ROUTE_WITHIN);
    let late = fleet.cannot_route();
    assert!(late <= daemons / 100, "{late} of {daemons} cannot route");
    fleet.run(ALL_ROUTE_WITHIN - MOST_ROUTE_WITHIN);
    assert_eq!(fleet.cannot_route(), 0);
}

#[test]
fn a_fleet_that_starts_again_routes_within_seconds_and_few_daemons_read_the_list() {
    for daemons in [60, 300] {
        let mut fleet = restarted(daemons);
        all_route_in_time(&mut fleet);
        let lists = fleet.platform.lists;
        assert!(lists <= MOST_LISTS, "{lists} lists of {daemons} daemons");
        assert_eq!(fleet.platform.reads_refused, 0, "of {daemons} daemons");
    }
}

#[test]
fn a_fleet_that_starts_while_the_platform_refuses_routes_within_seconds_of_its_return() {
    let mut fleet = restarted(120);
    fleet.refused = (0..120).collect();
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.cannot_route(), 120);
    fleet.refused.clear();
    all_route_in_time(&mut fleet);
}

#[test]
fn a_fleet_that_loses_a_third_of_its_daemons_as_it_starts_routes_within_seconds() {
    let mut fleet = restarted(120);
    fleet.run(Duration::from_millis(700));
    fleet.dead = (0..120).step_by(3).collect();
    all_route_in_time(&mut fleet);
}
