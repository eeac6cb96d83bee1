//! What upstreams state about themselves, as it is read from their answers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use shalehinge::core::router::cooldown::{Cooldown, CooldownChange};
use shalehinge::core::router::leaving::LeavingState;
use shalehinge::core::router::request::UpstreamId;
use shalehinge::core::signal::{LeavingMark, RequestedCooldown, UpstreamSignal};
use shalehinge::core::types::{HostId, ServiceName, Timestamp};

/// Sun, 06 Nov 1994 08:49:37 GMT
fn answered_at() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(784_111_777)
}

fn read(status: u16, values: &[&str]) -> RequestedCooldown {
    RequestedCooldown::parse(status, values.iter().copied(), answered_at)
}

fn seconds(value: f64) -> RequestedCooldown {
    RequestedCooldown::For(Duration::from_secs_f64(value))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn seconds_fractions_and_dates_are_cooldowns() {
    assert_eq!(read(503, &["3"]), seconds(3.0));
    assert_eq!(read(429, &[" 2.5 "]), seconds(2.5));
    assert_eq!(read(503, &["0"]), seconds(0.0));
    assert_eq!(read(503, &["86400"]), seconds(86_400.0));
    let in_ten_seconds = "Sun, 06 Nov 1994 08:49:47 GMT";
    assert_eq!(read(503, &[in_ten_seconds]), seconds(10.0));
    let past = "Sun, 06 Nov 1994 08:00:00 GMT";
    assert_eq!(read(503, &[past]), seconds(0.0));
}

#[test]
fn what_is_no_time_makes_no_cooldown() {
    for text in [
        "", "-3", "NaN", "inf", "1e309", "3 s", "soon", "0x10", "1.2.3",
    ] {
        let read = read(503, &[text]);
        let is_unreadable = matches!(read, RequestedCooldown::Unreadable(_));
        assert!(is_unreadable, "{text:?}: {read:?}");
    }
    let twice = read(503, &["1", "5"]);
    assert_eq!(twice, RequestedCooldown::Unreadable("1, 5".to_owned()));
}

#[test]
fn a_time_beyond_any_clock_is_kept_without_harm() {
    let longest = read(503, &["18446744073709549568"]);
    let mut cooldown = Cooldown::default();
    cooldown.on_requested(at(1_000), &longest);
    assert!(cooldown.until() > at(1_000));
}

#[test]
fn other_statuses_ask_for_no_cooldown() {
    for status in [200, 301, 404, 421, 500] {
        assert_eq!(read(status, &["3"]), RequestedCooldown::None, "{status}");
    }
    assert_eq!(read(503, &[]), RequestedCooldown::None);
}

#[test]
fn a_later_answer_ends_no_cooldown_early() {
    let mut cooldown = Cooldown::default();
    let began = cooldown.on_requested(at(0), &seconds(5.0));
    assert_eq!(began, Some(CooldownChange::Begins(Duration::from_secs(5))));
    assert_eq!(cooldown.on_requested(at(1_000), &seconds(1.0)), None);
    assert_eq!(cooldown.until(), at(5_000));
    assert_eq!(cooldown.on_requested(at(2_000), &seconds(4.0)), None);
    assert_eq!(cooldown.until(), at(6_000));
    assert!(!cooldown.take_end(at(5_999)));
    assert!(cooldown.take_end(at(6_000)));
    assert!(!cooldown.take_end(at(6_050)), "once");
}

#[test]
fn one_request_at_a_time_follows_a_cooldown_until_one_brings_output() {
    let mut cooldown = Cooldown::default();
    cooldown.on_requested(at(0), &seconds(1.0));
    cooldown.on_sent(at(1_000));
    assert!(!cooldown.has_room());
    // It is turned away again.
    cooldown.on_requested(at(1_010), &seconds(1.0));
    cooldown.on_ended(at(1_000));
    assert_eq!(cooldown.blocked_until(at(1_011)), Some(at(2_010)));
    assert!(cooldown.has_room(), "once that has passed");
    cooldown.on_sent(at(2_010));
    cooldown.on_output(at(2_020), at(900));
    assert!(!cooldown.has_room(), "a request from before shows nothing");
    cooldown.on_output(at(2_030), at(2_010));
    cooldown.on_sent(at(2_040));
    assert!(cooldown.has_room());
}

#[test]
fn a_cooldown_of_a_day_is_tested_twice_and_ends_with_an_answer() {
    const TEST_AFTER: u64 = 600_000;
    let mut cooldown = Cooldown::default();
    cooldown.on_requested(at(0), &seconds(86_400.0));
    assert_eq!(cooldown.blocked_until(at(1)), Some(at(TEST_AFTER)));
    cooldown.on_sent(at(TEST_AFTER));
    cooldown.on_ended(at(TEST_AFTER));
    assert_eq!(
        cooldown.blocked_until(at(TEST_AFTER)),
        Some(at(2 * TEST_AFTER))
    );
    cooldown.on_sent(at(2 * TEST_AFTER));
    cooldown.on_ended(at(2 * TEST_AFTER));
    let now = at(3 * TEST_AFTER);
    assert_eq!(cooldown.blocked_until(now), Some(at(86_400_000)));
    cooldown.on_output(now, at(2 * TEST_AFTER));
    assert_eq!(cooldown.blocked_until(now), None);
    assert!(cooldown.take_end(now));
}

#[test]
fn what_cannot_be_read_is_reported_once() {
    let mut cooldown = Cooldown::default();
    let garbled = RequestedCooldown::Unreadable("soon".to_owned());
    assert!(cooldown.on_requested(at(0), &garbled).is_some());
    assert_eq!(cooldown.on_requested(at(1), &garbled), None);
    assert_eq!(cooldown.blocked_until(at(2)), None);
}

#[test]
fn only_a_one_marks_an_upstream_that_is_leaving() {
    let read = |values: &[&str]| LeavingMark::parse(values.iter().copied());
    assert_eq!(read(&[" 1 "]), LeavingMark::Leaving);
    assert_eq!(read(&["0"]), LeavingMark::Absent);
    assert_eq!(read(&[]), LeavingMark::Absent);
    for text in ["", "yes", "-1", "11"] {
        let read = read(&[text]);
        assert!(matches!(read, LeavingMark::Unreadable(_)), "{text:?}");
    }
    assert!(matches!(read(&["1", "1"]), LeavingMark::Unreadable(_)));
}

#[test]
fn an_answer_without_the_mark_does_not_bring_a_leaving_upstream_back() {
    let host = UpstreamId::Host(ServiceName::new("s"), HostId::new("h"));
    let mut state = LeavingState::default();
    assert!(state.on_marked(at(0), &LeavingMark::Leaving));
    assert!(!state.on_marked(at(1), &LeavingMark::Leaving), "no news");
    assert!(!state.on_marked(at(2), &LeavingMark::Absent));
    assert!(state.is_leaving(at(86_400_000), &host));
}

#[test]
fn an_instance_whose_restart_nothing_shows_is_asked_again_after_a_minute() {
    let instance = UpstreamId::Instance(ServiceName::new("s"), ([10, 0, 0, 1], 1).into());
    let mut state = LeavingState::default();
    state.on_marked(at(0), &LeavingMark::Leaving);
    assert!(state.is_leaving(at(59_999), &instance));
    assert!(!state.is_leaving(at(60_000), &instance));
    state.on_marked(at(60_050), &LeavingMark::Leaving);
    assert!(state.is_leaving(at(60_100), &instance));
}

#[test]
fn a_failure_that_states_nothing_is_not_passed_on() {
    assert!(
        UpstreamSignal::status_only(200).is_relevant(),
        "it ends a limit"
    );
    assert!(!UpstreamSignal::status_only(503).is_relevant());
    let leaving = UpstreamSignal {
        leaving: LeavingMark::Leaving,
        ..UpstreamSignal::status_only(500)
    };
    assert!(leaving.is_relevant());
}
