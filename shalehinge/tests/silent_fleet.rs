//! Guards against streams of many daemons being lost while the upstreams they share are silent.

mod relay_support;

use std::time::Duration;

use relay_support::Fleet;
use relay_support::load_simulation::group;
use relay_support::stream::StreamFigures;

/// Events of a stream, one a tick: two seconds.
const EVENTS: u32 = 40;
/// Time between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time in which all daemons learn of the groups.
const LEARNED_WITHIN: Duration = Duration::from_secs(10);
/// Time of the load before upstreams are silent.
const BEFORE: Duration = Duration::from_secs(2);
/// Time of the load from the begin of the first silence on.
const AFTER: Duration = Duration::from_secs(4);
/// Time after which the last streams have ended.
const ENDED_WITHIN: Duration = Duration::from_secs(6);
/// How long an upstream is silent at once.
const SILENCE: Duration = Duration::from_millis(1_300);

/// A fleet at about half of its capacity.
#[derive(Clone, Copy, Debug)]
struct Size {
    daemons: u16,
    groups: u16,
    /// Rounds between two requests of a daemon.
    every: usize,
}

const NINE: Size = Size {
    daemons: 9,
    groups: 27,
    every: 6,
};
const FIFTY_EIGHT: Size = Size {
    daemons: 58,
    groups: 58,
    every: 20,
};
const NINETY: Size = Size {
    daemons: 90,
    groups: 90,
    every: 20,
};
const LARGE: Size = Size {
    daemons: 340,
    groups: 90,
    every: 80,
};

/// Which groups are silent, and when.
#[derive(Clone, Copy, Debug)]
enum Course {
    /// One group in three, once.
    Third,
    /// All groups, once.
    All,
    /// Each third of the groups in turn and again, so that two of three groups are silent at most
    /// times.
    InTurn,
}

impl Course {
    /// Number of silences of each group that is silent in turn.
    const ROUNDS: u32 = 2;

    /// Begins the course's silences from now on.
    fn begin(self, fleet: &mut Fleet, groups: u16) {
        for index in 0..u64::from(groups) {
            let third = (index % 3) as u32;
            match self {
                Self::Third if third > 0 => {}
                Self::Third | Self::All => {
                    fleet.silence_group(group(index), Duration::ZERO, SILENCE);
                }
                Self::InTurn => {
                    for round in 0..Self::ROUNDS {
                        let after = SILENCE / 2 * (3 * round + third);
                        fleet.silence_group(group(index), after, SILENCE);
                    }
                }
            }
        }
    }
}

/// A fleet whose daemons know the groups.
fn start(size: Size) -> Fleet {
    let mut fleet = Fleet::start(size.daemons, false);
    fleet.platform.open_groups(size.groups);
    while fleet.daemons_that_cannot_route() > 0 || !fleet.daemons_behind().is_empty() {
        assert!(fleet.now < LEARNED_WITHIN, "groups are unknown");
        fleet.run(ROUND_INTERVAL);
    }
    fleet
}

/// Sends streams to all daemons in turn for `time`.
fn serve(fleet: &mut Fleet, size: Size, time: Duration) {
    let end = fleet.now + time;
    while fleet.now < end {
        let round = (fleet.now.as_millis() / ROUND_INTERVAL.as_millis()) as usize;
        for index in 0..fleet.daemons.len() {
            if (round + index).is_multiple_of(size.every) {
                fleet.send_resumable_stream(index, EVENTS);
            }
        }
        fleet.run(ROUND_INTERVAL);
    }
}

/// Serves a load during a course, and returns the figures of all streams.
fn run(size: Size, course: Course) -> StreamFigures {
    let mut fleet = start(size);
    serve(&mut fleet, size, BEFORE);
    course.begin(&mut fleet, size.groups);
    serve(&mut fleet, size, AFTER);
    fleet.run(ENDED_WITHIN);
    let streams = fleet.streams.all.values();
    let figures = StreamFigures::of(streams.map(|known| &known.stream));
    println!("{size:?}, {course:?}: {figures}");
    figures
}

/// Checks that each stream is whole and that no attempt was abandoned for silence alone.
fn check(size: Size, course: Course) {
    let figures = run(size, course);
    let what = format!("{size:?}, {course:?}: {figures}");
    assert_eq!(figures.whole, figures.all, "{what}");
    assert_eq!(figures.abandoned_too_early, 0, "{what}");
}

#[test]
fn streams_of_all_daemons_are_whole_while_a_third_of_the_upstreams_is_silent() {
    for size in [NINE, FIFTY_EIGHT, NINETY] {
        check(size, Course::Third);
    }
}

#[test]
fn streams_of_all_daemons_are_whole_while_all_upstreams_are_silent() {
    for size in [NINE, FIFTY_EIGHT, NINETY] {
        check(size, Course::All);
    }
}

#[test]
fn streams_of_all_daemons_are_whole_while_upstreams_are_silent_in_turn() {
    for size in [NINE, FIFTY_EIGHT, NINETY] {
        check(size, Course::InTurn);
    }
}

#[test]
fn streams_of_a_large_fleet_are_whole_while_upstreams_are_silent_in_turn() {
    check(LARGE, Course::InTurn);
}

/// Measures each course at each size, whatever comes of it.
#[test]
#[ignore = "figures; run by hand with --nocapture"]
fn figures_of_all_courses() {
    for size in [NINE, FIFTY_EIGHT, NINETY, LARGE] {
        for course in [Course::Third, Course::All, Course::InTurn] {
            run(size, course);
        }
    }
}
