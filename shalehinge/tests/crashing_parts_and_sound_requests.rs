//! A part of prompts that crashes upstreams, beside sound requests that share the other parts.
//!
//! Both promises are checked together: requests with the part are held back, and sound requests are
//! served.

mod relay_support;

use std::collections::BTreeMap;
use std::time::Duration;

use relay_support::Fleet;
use relay_support::prompt_parts::part;
use shalehinge::core::fingerprint::Fingerprint;

const DAEMONS: usize = 9;
/// How long a daemon without disruption takes to count as in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of crashes after which requests with the part are held back.
const NOTICED_AFTER: usize = 5;
/// Number of requests with the part that may reach upstreams after that.
const MAX_LATE: usize = 3;
/// Time between two requests with the part.
const BAD_INTERVAL: Duration = Duration::from_millis(500);
const OFTEN: Duration = Duration::from_millis(25);
const SELDOM: Duration = Duration::from_secs(4);
/// Time after which a play must have ended.
const MAX_DURATION: Duration = Duration::from_secs(300);
/// Times from the first sound request to the first bad one. Seldom sound requests then end shortly
/// before the first crash, or long before it.
const BAD_FROM: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(7)];
/// Number of sound requests that are judged.
const JUDGED: u32 = 24;

/// Prompts with these parts: a bad one among parts that sound requests share.
#[derive(Clone, Debug)]
struct Prompts {
    /// Number of parts.
    count: usize,
    /// Indexes of the bad parts. Each bad request has one of them, in turn.
    bad_indexes: Vec<usize>,
    /// Whether each bad request has a further part of its own.
    has_own_part: bool,
    /// Time from the first sound request to the first bad one.
    bad_from: Duration,
}

impl Prompts {
    fn new(count: usize, bad_index: usize) -> Self {
        Self {
            count,
            bad_indexes: vec![bad_index],
            has_own_part: false,
            bad_from: BAD_FROM[0],
        }
    }

    /// The parts of a sound request.
    fn sound(&self) -> Vec<Fingerprint> {
        let ids = (0..self.count).map(|n| part(&format!("shared-{n}")));
        ids.collect()
    }

    /// The parts of a bad request.
    fn bad(&self, number: usize) -> Vec<Fingerprint> {
        let mut parts = self.sound();
        let bad_index = self.bad_indexes[self.variant(number)];
        parts[bad_index] = part(&format!("bad-{bad_index}"));
        if self.has_own_part {
            parts.push(part(&format!("own-{number}")));
        }
        parts
    }

    /// Which of the bad parts the bad request with this number has.
    fn variant(&self, number: usize) -> usize {
        number % self.bad_indexes.len()
    }
}

/// What became of the requests.
#[derive(Debug)]
struct Outcomes {
    /// When upstreams crashed, for each bad part.
    crash_times: Vec<Vec<Duration>>,
    sound_sent: usize,
    sound_begun: usize,
}

impl Outcomes {
    /// Number of requests with the same bad part that reached upstreams too late.
    fn late(&self) -> usize {
        let late = self.crash_times.iter().map(|times| {
            let noticed_at = times.get(NOTICED_AFTER - 1).copied();
            let is_late =
                |at: &&Duration| noticed_at.is_some_and(|noticed| **at > noticed + CONTACT);
            times.iter().filter(is_late).count()
        });
        late.max().unwrap_or(0)
    }

    fn check(&self, case: &str) {
        println!(
            "{case}: {:?} crashes, {} late, {} of {} sound requests begun",
            self.crash_times.iter().map(Vec::len).collect::<Vec<_>>(),
            self.late(),
            self.sound_begun,
            self.sound_sent
        );
        let crashes: usize = self.crash_times.iter().map(Vec::len).sum();
        assert!(crashes > 1, "{case}: {crashes} crashes");
        assert!(self.late() <= MAX_LATE, "{case}: {} late", self.late());
        assert!(
            self.sound_begun * 2 >= self.sound_sent,
            "{case}: {} of {} sound requests begun",
            self.sound_begun,
            self.sound_sent
        );
    }
}

/// Sends requests with the bad part, and sound ones at this interval, to one daemon after another.
fn play(prompts: &Prompts, sound_interval: Duration) -> Outcomes {
    let mut fleet = Fleet::new(DAEMONS as u16);
    fleet.platform.open_groups(60);
    fleet.run(Duration::from_secs(10));
    let started_at = fleet.now;
    let judged_for = (sound_interval * JUDGED).max(Duration::from_secs(12));
    let mut next_sound = fleet.now;
    let mut next_bad = fleet.now + prompts.bad_from;
    let mut ends_at = None;
    let mut number = 0;
    let mut judged_from = (0, 0);
    let mut sound_sent = 0;
    let mut variants = BTreeMap::new();
    loop {
        let decisive = fleet.crash_log.len().min(NOTICED_AFTER);
        let decisive = decisive.checked_sub(1).map(|index| fleet.crash_log[index]);
        let settled_at = decisive.map(|crash| crash.at + 2 * CONTACT);
        if settled_at.is_some_and(|at| fleet.now <= at) {
            ends_at = Some(fleet.now + judged_for);
            judged_from = (sound_sent, fleet.arrivals.len());
        }
        if ends_at.is_some_and(|at| fleet.now >= at) {
            break;
        }
        assert!(fleet.now < started_at + MAX_DURATION, "no end");
        if fleet.now >= next_sound {
            fleet.send_sound_parts(number % DAEMONS, &prompts.sound());
            (number, sound_sent) = (number + 1, sound_sent + 1);
            next_sound += sound_interval;
        }
        if fleet.now >= next_bad {
            let request = fleet.send_crashing_parts(number % DAEMONS, &prompts.bad(number));
            variants.insert(request, prompts.variant(number));
            number += 1;
            next_bad += BAD_INTERVAL;
        }
        fleet.run(OFTEN);
    }
    let times_of = |variant: usize| {
        let log = fleet.crash_log.iter();
        let log = log.filter(|crash| variants[&crash.request] == variant);
        log.map(|crash| crash.at).collect()
    };
    Outcomes {
        crash_times: (0..prompts.bad_indexes.len()).map(times_of).collect(),
        sound_sent: sound_sent - judged_from.0,
        sound_begun: fleet.arrivals.len() - judged_from.1,
    }
}

/// Plays requests with the bad part from each of the times.
fn check(prompts: &Prompts, sound_interval: Duration) {
    for bad_from in BAD_FROM {
        let prompts = Prompts {
            bad_from,
            ..prompts.clone()
        };
        let outcomes = play(&prompts, sound_interval);
        outcomes.check(&format!("{prompts:?}, sound each {sound_interval:?}"));
    }
}

fn check_all_places(count: usize, sound_interval: Duration) {
    for bad_index in [0, count / 2, count - 1] {
        check(&Prompts::new(count, bad_index), sound_interval);
    }
}

// Guards against a trial that takes a part of sound prompts for the one that crashes upstreams.
#[test]
fn a_bad_part_of_2_is_held_back_and_seldom_sound_requests_are_served() {
    check_all_places(2, SELDOM);
}

#[test]
fn a_bad_part_of_20_is_held_back_and_seldom_sound_requests_are_served() {
    check_all_places(20, SELDOM);
}

#[test]
fn a_bad_part_of_400_is_held_back_and_seldom_sound_requests_are_served() {
    check_all_places(400, SELDOM);
}

#[test]
fn a_bad_part_of_2_is_held_back_and_frequent_sound_requests_are_served() {
    check_all_places(2, OFTEN);
}

#[test]
fn a_bad_part_of_20_is_held_back_and_frequent_sound_requests_are_served() {
    check_all_places(20, OFTEN);
}

#[test]
fn a_bad_part_of_400_is_held_back_and_frequent_sound_requests_are_served() {
    check_all_places(400, OFTEN);
}

// Guards against a part that is tried again with each other part that comes beside it.
#[test]
fn a_bad_part_beside_parts_that_differ_is_held_back() {
    for bad_index in 0..3 {
        let prompts = Prompts {
            has_own_part: true,
            ..Prompts::new(3, bad_index)
        };
        check(&prompts, SELDOM);
        check(&prompts, OFTEN);
    }
}

// Guards against a sound part that is taken for a culprit as it came with two of them.
#[test]
fn two_bad_parts_are_held_back_and_sound_requests_are_served() {
    for (count, bad_indexes) in [(3, [0, 2]), (3, [0, 1]), (20, [2, 17])] {
        let prompts = Prompts {
            bad_indexes: bad_indexes.to_vec(),
            ..Prompts::new(count, 0)
        };
        check(&prompts, SELDOM);
        check(&prompts, OFTEN);
    }
}
