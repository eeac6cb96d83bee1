//! Daemons before groups of a model, all of which know each other.

use std::time::Duration;

use shalehinge::core::router::request::Outcome;
use shalehinge::core::types::GroupNumber;

use super::{Arrival, Fleet};

/// The first group that the platform of the tests opens.
const FIRST_GROUP: u64 = 100;
/// Pause between the rounds in which callers come.
const ROUND: Duration = Duration::from_millis(50);

pub fn group(index: u64) -> GroupNumber {
    GroupNumber(FIRST_GROUP + index)
}

pub struct Scene {
    pub fleet: Fleet,
    /// Rounds between two requests of one daemon.
    pub every: usize,
    round: usize,
}

impl Scene {
    pub fn new(daemons: u16, groups: u16, every: usize) -> Self {
        let mut fleet = Fleet::start(daemons, false);
        fleet.platform.open_groups(groups);
        fleet.run(Duration::from_secs(10));
        Self {
            fleet,
            every,
            round: 0,
        }
    }

    /// Nine daemons before 18 groups: 180 requests a second.
    pub fn small() -> Self {
        Self::new(9, 18, 1)
    }

    /// Callers come to all daemons that live, evenly.
    pub fn serve(&mut self, time: Duration) {
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

    pub fn serve_seconds(&mut self, seconds: u64) {
        self.serve(Duration::from_secs(seconds));
    }

    /// When a group's requests came, from `since` on.
    pub fn times(&self, index: u64, since: Duration) -> Vec<Duration> {
        let of_group = |arrival: &&Arrival| arrival.group == group(index);
        let arrivals = self.fleet.arrivals.iter().filter(of_group);
        let times = arrivals.map(|arrival| arrival.at);
        times.filter(|at| *at >= since).collect()
    }

    /// Requests a second of a group since then.
    pub fn rate_since(&self, index: u64, since: Duration) -> f64 {
        let time = self.fleet.now - since;
        self.times(index, since).len() as f64 / time.as_secs_f64()
    }

    /// Requests that were served, and all that ended.
    pub fn served(&self) -> (usize, usize) {
        let outcomes = &self.fleet.outcomes;
        let whole = outcomes.iter().filter(|o| **o == Outcome::Completed);
        (whole.count(), outcomes.len())
    }
}
