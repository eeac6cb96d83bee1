//! Upstreams in need that name how many requests they take from all daemons together.
//!
//! Callers saw nothing at first: two replicas that had named limits of 1.4 and 1.1 requests a second
//! went on getting 4.6 and 3.3 of them, from seven of nine daemons, none of which sent more than
//! four in four seconds.

mod relay_support;

use std::time::Duration;

use relay_support::Fleet;
use shalehinge::core::named_limit::RequestRate;
use shalehinge::core::router::request::Outcome;
use shalehinge::core::types::GroupNumber;

/// Where the requests of a limited upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit was first named until it must hold.
const IN_CONTACT: Duration = Duration::from_secs(3);
/// The first group that the platform of the tests opens.
const FIRST_GROUP: u64 = 100;
/// Pause between the rounds in which callers come.
const ROUND: Duration = Duration::from_millis(50);

/// Requests in a window above which users say that a limit is broken.
fn most_in_window(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

fn group(index: u64) -> GroupNumber {
    GroupNumber(FIRST_GROUP + index)
}

fn rate(value: f64) -> RequestRate {
    RequestRate::per_second(value).expect("a rate")
}

/// Daemons before groups of a model, all of which know each other.
struct Scene {
    fleet: Fleet,
    /// Rounds between two requests of one daemon.
    every: usize,
    round: usize,
}

impl Scene {
    fn new(daemons: u16, groups: u16, every: usize) -> Self {
        let mut fleet = Fleet::start(daemons, false);
        fleet.platform.open_groups(groups);
        fleet.run(Duration::from_secs(10));
        Self {
            fleet,
            every,
            round: 0,
        }
    }

    /// Nine daemons before 18 groups, as where this was seen: 180 requests a second.
    fn small() -> Self {
        Self::new(9, 18, 1)
    }

    fn limit(&mut self, index: u64, value: f64) {
        self.fleet.limits.insert(group(index), rate(value));
    }

    /// Callers come to all daemons that live, evenly.
    fn serve(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.round += 1;
            for index in 0..self.fleet.daemons.len() {
                let is_due = (self.round + index).is_multiple_of(self.every);
                if is_due && !self.fleet.dead.contains(&index) {
                    self.fleet.whole_stream(index);
                }
            }
            self.fleet.run(ROUND);
        }
    }

    fn serve_seconds(&mut self, seconds: u64) {
        self.serve(Duration::from_secs(seconds));
    }

    /// When a group's requests came, from `since` on.
    fn times(&self, index: u64, since: Duration) -> Vec<Duration> {
        let of_group = |arrival: &&relay_support::Arrival| arrival.group == group(index);
        let arrivals = self.fleet.arrivals.iter().filter(of_group);
        let times = arrivals.map(|arrival| arrival.at);
        times.filter(|at| *at >= since).collect()
    }

    /// The most requests of a group in any window from `since` on.
    fn most(&self, index: u64, since: Duration) -> usize {
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

    fn served(&self) -> (usize, usize) {
        let outcomes = &self.fleet.outcomes;
        let whole = outcomes.iter().filter(|o| **o == Outcome::Completed);
        (whole.count(), outcomes.len())
    }
}

/// All requests of a limited upstream, from all daemons, stay within what users allow.
fn assert_holds(scene: &Scene, index: u64, value: f64, since: Duration) {
    let most = scene.most(index, since);
    let allowed = most_in_window(value);
    assert!(
        most <= allowed,
        "{most} requests in 4 s at {value} a second, allowed {allowed}"
    );
}

#[test]
fn two_limited_of_18_upstreams_get_no_more_than_they_take_from_nine_daemons() {
    let mut scene = Scene::small();
    scene.serve_seconds(2);
    scene.limit(0, 1.4);
    scene.limit(1, 1.1);
    let since = scene.fleet.now + IN_CONTACT;
    scene.serve_seconds(20);
    assert_holds(&scene, 0, 1.4, since);
    assert_holds(&scene, 1, 1.1, since);
    let (whole, all) = scene.served();
    assert_eq!(whole, all, "the others run the rest");
}

#[test]
fn limited_upstreams_get_no_more_than_they_take_from_340_daemons() {
    let mut scene = Scene::new(340, 60, 5);
    for (index, value) in [(0, 0.2), (1, 1.0), (2, 5.0)] {
        scene.limit(index, value);
    }
    let since = scene.fleet.now + IN_CONTACT;
    scene.serve_seconds(12);
    for (index, value) in [(0, 0.2), (1, 1.0), (2, 5.0)] {
        assert_holds(&scene, index, value, since);
    }
    let (whole, all) = scene.served();
    assert_eq!(whole, all, "the others run the rest");
}
