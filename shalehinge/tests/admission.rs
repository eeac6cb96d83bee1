//! The order among requests during overload: urgency, latency samples and detection, without a
//! router.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shalehinge::core::admission::latency_sample::{LatencySample, SampledRequest};
use shalehinge::core::admission::shortage::{Shortage, ShortageChange};
use shalehinge::core::admission::urgency::{
    BANDS, Band, MAX_RANK, Standing, is_deprioritized, urgency,
};
use shalehinge::core::types::Timestamp;

/// Samples a second of one target at one daemon of the users' platform.
const SAMPLES_PER_SECOND: u64 = 4;
const LATE: LatencySample = LatencySample {
    is_deprioritized: false,
    is_on_time: false,
};
const ON_TIME: LatencySample = LatencySample {
    is_deprioritized: false,
    is_on_time: true,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// A detector that is fed with the samples of one daemon.
struct Course {
    shortage: Shortage,
    now: u64,
    changes: Vec<(u64, ShortageChange)>,
}

impl Course {
    fn new() -> Self {
        Self {
            shortage: Shortage::default(),
            now: 1_000,
            changes: Vec::new(),
        }
    }

    /// Runs for a while in which a request is late every so many, or none at 0.
    fn run(&mut self, time: Duration, late_every: u64) {
        let interval = 1_000 / SAMPLES_PER_SECOND;
        for number in 1..=time.as_millis() as u64 / interval {
            self.now += interval;
            let is_late = late_every > 0 && number.is_multiple_of(late_every);
            let now = at(self.now);
            self.shortage
                .record(now, if is_late { LATE } else { ON_TIME });
            let change = self.shortage.on_tick(now);
            self.changes.extend(change.map(|change| (self.now, change)));
        }
    }
}

/// A detector that assumes an overload.
fn overloaded() -> Shortage {
    let mut shortage = Shortage::default();
    for _ in 0..4 {
        shortage.record(at(1_000), LATE);
    }
    shortage
}

/// The mean band, as its urgency, of requests of this priority, among requests of these priorities
/// in equal numbers; and the fraction of them in the first band.
fn placed(priorities: &[u8], priority: u8) -> (f64, f64) {
    const ROUNDS: u32 = 4_000;
    let mut shortage = overloaded();
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut sum, mut first, mut count) = (0.0, 0.0, 0.0);
    for _ in 0..ROUNDS {
        for other in priorities {
            let standing = shortage.admit(at(1_000), *other, rng.random(), true);
            if *other == priority {
                sum += f64::from(urgency(standing));
                first += f64::from(u8::from(urgency(standing) == 8));
                count += 1.0;
            }
        }
    }
    (sum / count, first / count)
}

/// Guards against a request that is served before others that it must wait for: admitted requests
/// come first, and requests from before an overload wait behind half of the bands.
#[test]
fn each_band_has_an_urgency_of_its_own_around_the_ordinary_one() {
    assert_eq!(urgency(Standing::Admitted), 9);
    assert_eq!(urgency(Standing::Ordinary), 4, "as without a priority");
    let of_bands: Vec<u8> = (0..BANDS)
        .map(|band| Band::at((f64::from(band) + 0.5) / f64::from(BANDS)))
        .map(|band| urgency(Standing::InBand(band)))
        .collect();
    assert_eq!(of_bands, [8, 7, 6, 5, 3, 2, 1, 0]);
    assert_eq!(urgency(Standing::InBand(Band::LAST)), 0);
    assert_eq!(Band::at(1.0), Band::LAST);
    assert!(!is_deprioritized(urgency(Standing::Ordinary)));
    assert!(is_deprioritized(3) && !is_deprioritized(5));
}

/// Guards against one request counting twice: when it is overdue and again when it has output.
#[test]
fn a_request_is_sampled_once() {
    let due_at = Some(at(1_500));
    let mut overdue = SampledRequest::new(Standing::Ordinary, due_at);
    assert_eq!(overdue.on_tick(at(1_500)), None);
    assert_eq!(overdue.on_tick(at(1_550)), Some(LATE));
    assert_eq!(overdue.on_tick(at(1_600)), None);
    assert_eq!(overdue.on_output(at(1_700)), None);

    let mut timely = SampledRequest::new(Standing::Ordinary, due_at);
    assert_eq!(timely.on_output(at(1_500)), Some(ON_TIME));
    assert_eq!(timely.on_tick(at(1_600)), None);

    let mut without_target = SampledRequest::new(Standing::Ordinary, None);
    assert_eq!(without_target.on_tick(at(9_000)), None);
    assert_eq!(without_target.on_output(at(9_000)), None);
}

/// Guards against a paused daemon that takes its own pause for a shortage at the upstreams.
#[test]
fn requests_due_long_ago_are_not_sampled() {
    let mut request = SampledRequest::new(Standing::Ordinary, Some(at(1_500)));
    assert_eq!(request.on_tick(at(2_600)), None);
    assert_eq!(request.on_output(at(2_700)), None);
}

/// Guards against a daemon that reacts too late to an overload, or assumes it for ever after it.
#[test]
fn an_overload_is_detected_in_two_seconds_and_its_end_in_five() {
    let mut course = Course::new();
    course.run(Duration::from_secs(10), 0);
    assert!(!course.shortage.is_detected());
    course.run(Duration::from_secs(2), 1);
    assert!(course.shortage.is_detected());
    course.run(Duration::from_secs(30), 4);
    assert!(course.shortage.is_detected(), "lasts while some are late");
    course.run(Duration::from_secs(5), 0);
    assert!(!course.shortage.is_detected());
    let changes = course.changes.iter().map(|(_, change)| *change);
    let expected = [ShortageChange::Begins, ShortageChange::Ends];
    assert!(changes.eq(expected), "one line each: {:?}", course.changes);
}

/// Guards against late requests that occur without any overload and change the order of others.
#[test]
fn a_late_request_in_four_seconds_is_no_overload() {
    let mut course = Course::new();
    course.run(Duration::from_secs(120), 4 * SAMPLES_PER_SECOND);
    course.run(Duration::from_secs(1), 0);
    course.run(Duration::from_millis(500), 1);
    course.run(Duration::from_secs(4), 0);
    assert_eq!(course.changes, Vec::new());
}

/// Guards against a lower rank that is served better than a higher one, and against a rank that is
/// not served at all.
#[test]
fn lower_ranks_come_last_and_keep_a_part_of_the_first_bands() {
    let priorities = [9, 8, 7, 6];
    let placed: Vec<(f64, f64)> = priorities
        .iter()
        .map(|priority| placed(&priorities, *priority))
        .collect();
    for pair in placed.windows(2) {
        assert!(pair[0].0 > pair[1].0 + 1.0, "{placed:?}");
    }
    assert!(placed.iter().all(|(_, first)| *first > 0.01), "{placed:?}");
}

/// Guards against a rank that has the model to itself and is put last as a whole.
#[test]
fn a_single_rank_is_spread_over_all_bands() {
    for priority in [9, 8, 7, 0] {
        let (mean, first) = placed(&[priority], priority);
        assert!((mean - 4.0).abs() < 0.1, "{priority}: {mean}");
        assert!((first - 0.125).abs() < 0.02, "{priority}: {first}");
    }
}

/// Guards against requests before others although they will be late in any case, and against any
/// order without an overload.
#[test]
fn a_request_that_cannot_be_on_time_comes_last_during_an_overload_only() {
    let mut shortage = Shortage::default();
    let standing = shortage.admit(at(1_000), MAX_RANK, 0, false);
    assert_eq!(standing, Standing::Ordinary);
    let standing = overloaded().admit(at(1_000), MAX_RANK, 0, false);
    assert_eq!(standing, Standing::InBand(Band::LAST));
    let standing = overloaded().admit(at(1_000), MAX_RANK, 0, true);
    assert_eq!(standing, Standing::InBand(Band::at(0.0)));
}

/// Guards against a daemon that acts on evidence from before a pause.
#[test]
fn old_evidence_is_discarded() {
    let mut shortage = overloaded();
    assert_eq!(shortage.on_tick(at(1_000)), Some(ShortageChange::Begins));
    assert_eq!(shortage.on_tick(at(6_000)), None);
    assert!(shortage.is_detected());
    assert_eq!(shortage.on_tick(at(6_001)), Some(ShortageChange::Ends));
    assert!(!shortage.is_detected());
    assert_eq!(shortage.on_tick(at(6_100)), None);
}
