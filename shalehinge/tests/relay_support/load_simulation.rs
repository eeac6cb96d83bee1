//! A simulated fleet under an even load: daemons that serve requests with serving groups of one
//! model, and a record of the requests that the groups receive and of the outcomes.

use std::time::Duration;

use shalehinge::core::router::request::Outcome;
use shalehinge::core::types::GroupNumber;

use super::{Arrival, DOMAINS, Fleet};

/// Number of the first group that the simulated platform lists.
const FIRST_GROUP: u64 = 100;
/// Time between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// The number of the group at this index.
pub fn group(index: u64) -> GroupNumber {
    GroupNumber(FIRST_GROUP + index)
}

/// A simulated fleet under an even load of requests that complete. The fleet records the arrivals
/// at its groups and the outcomes of requests.
pub struct LoadSimulation {
    /// The simulated fleet.
    pub fleet: Fleet,
    /// Number of rounds from one request of a daemon to its next.
    pub every: usize,
    /// Number of rounds, or requests, so far.
    pub round: usize,
    /// Number of requests sent by [`Self::serve_with`].
    sent: usize,
}

impl LoadSimulation {
    /// Starts `daemons` daemons and `groups` groups and runs them for 10 s, in which all daemons
    /// learn of the groups. Each daemon receives a request every `every` rounds.
    pub fn new(daemons: u16, groups: u16, every: usize) -> Self {
        Self::with_seed(daemons, groups, every, 0)
    }

    /// Like [`Self::new`], with other random draws for each seed.
    pub fn with_seed(daemons: u16, groups: u16, every: usize, seed: u64) -> Self {
        let mut fleet = Fleet::start_with_seed(daemons, DOMAINS, false, seed);
        fleet.platform.open_groups(groups);
        fleet.run(Duration::from_secs(10));
        Self {
            fleet,
            every,
            round: 0,
            sent: 0,
        }
    }

    /// Like [`Self::new`], but requests arrive from the moment at which the daemons start.
    pub fn starting(daemons: u16, groups: u16, every: usize) -> Self {
        let mut fleet = Fleet::start(daemons, false);
        fleet.platform.open_groups(groups);
        Self {
            fleet,
            every,
            round: 0,
            sent: 0,
        }
    }

    /// Nine daemons and 18 groups, under 180 requests a second.
    pub fn small() -> Self {
        Self::new(9, 18, 1)
    }

    /// Runs the fleet for `time` with requests spread evenly over the live daemons.
    pub fn serve(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.round += 1;
            for index in 0..self.fleet.daemons.len() {
                let is_due = (self.round + index).is_multiple_of(self.every);
                if is_due && !self.fleet.dead.contains(&index) {
                    self.fleet.send_completing_stream(index);
                }
            }
            self.fleet.run(ROUND_INTERVAL);
        }
    }

    /// Like [`Self::serve`], for a time in seconds.
    pub fn serve_seconds(&mut self, seconds: u64) {
        self.serve(Duration::from_secs(seconds));
    }

    /// Arrival times of a group's requests, from `since` on.
    pub fn times(&self, index: u64, since: Duration) -> Vec<Duration> {
        let of_group = |arrival: &&Arrival| arrival.group == group(index);
        let arrivals = self.fleet.arrivals.iter().filter(of_group);
        let times = arrivals.map(|arrival| arrival.at);
        times.filter(|at| *at >= since).collect()
    }

    /// Average rate of a group's requests per second, from `since` until now.
    pub fn rate_since(&self, index: u64, since: Duration) -> f64 {
        let time = self.fleet.now - since;
        self.times(index, since).len() as f64 / time.as_secs_f64()
    }

    /// Number of requests that completed, and of all that ended.
    pub fn served(&self) -> (usize, usize) {
        let outcomes = &self.fleet.outcomes;
        let whole = outcomes.iter().filter(|o| **o == Outcome::Completed);
        (whole.count(), outcomes.len())
    }
}

/// How a load balancer spreads new requests over the daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Balancing {
    /// Evenly.
    Even,
    /// Nine of ten requests of the whole fleet go to these daemons in turn.
    ToDaemons(Vec<usize>),
    /// Nine of ten requests that come to the failure domain of this daemon go to it.
    ToDaemonOfDomain(usize),
}

impl Balancing {
    /// One request in this many goes where an even balancer would send it.
    const EVEN_ONE_IN: usize = 10;

    /// The daemon that receives request `number`, which an even balancer would send to `index`.
    fn receiver(&self, number: usize, index: usize) -> usize {
        let is_even = number.is_multiple_of(Self::EVEN_ONE_IN);
        match self {
            Self::ToDaemons(targets) if !is_even => targets[number % targets.len()],
            Self::ToDaemonOfDomain(target) if !is_even && is_same_domain(*target, index) => *target,
            Self::Even | Self::ToDaemons(_) | Self::ToDaemonOfDomain(_) => index,
        }
    }
}

/// Whether two daemons are in the same failure domain.
fn is_same_domain(one: usize, other: usize) -> bool {
    let domains = usize::from(DOMAINS);
    one % domains == other % domains
}

impl LoadSimulation {
    /// Like [`Self::serve`], spread by `balancing`, or evenly where that names a dead daemon.
    pub fn serve_with(&mut self, balancing: &Balancing, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.round += 1;
            for index in 0..self.fleet.daemons.len() {
                if !(self.round + index).is_multiple_of(self.every) {
                    continue;
                }
                self.sent += 1;
                let receiver = balancing.receiver(self.sent, index);
                let receivers = [receiver, index].into_iter();
                let live = receivers.filter(|index| !self.fleet.dead.contains(index));
                if let Some(receiver) = live.min_by_key(|index| *index != receiver) {
                    self.fleet.send_completing_stream(receiver);
                }
            }
            self.fleet.run(ROUND_INTERVAL);
        }
    }
}
