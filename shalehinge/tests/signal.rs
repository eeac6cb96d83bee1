//! Tests of the signals that upstreams send in response heads, and of their effect on routing.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use shalehinge::core::router::cooldown::{Cooldown, CooldownChange};
use shalehinge::core::router::leaving::LeavingState;
use shalehinge::core::router::request::UpstreamId;
use shalehinge::core::signal::{LeavingMark, RequestedCooldown, UpstreamSignal};
use shalehinge::core::types::{HostId, ServiceName, Timestamp};

/// Time of the response by the upstream's clock: Sun, 06 Nov 1994 08:49:37 GMT.
fn answered_at() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(784_111_777)
}

fn parse_cooldown(status: u16, values: &[&str]) -> RequestedCooldown {
    RequestedCooldown::parse(status, values.iter().copied(), answered_at)
}

fn cooldown_of(value: f64) -> RequestedCooldown {
    RequestedCooldown::For(Duration::from_secs_f64(value))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn seconds_fractions_and_dates_are_parsed_as_cooldowns() {
    assert_eq!(parse_cooldown(503, &["3"]), cooldown_of(3.0));
    assert_eq!(parse_cooldown(429, &[" 2.5 "]), cooldown_of(2.5));
    assert_eq!(parse_cooldown(503, &["0"]), cooldown_of(0.0));
    assert_eq!(parse_cooldown(503, &["86400"]), cooldown_of(86_400.0));
    let in_ten_seconds = "Sun, 06 Nov 1994 08:49:47 GMT";
    assert_eq!(parse_cooldown(503, &[in_ten_seconds]), cooldown_of(10.0));
    let past = "Sun, 06 Nov 1994 08:00:00 GMT";
    assert_eq!(parse_cooldown(503, &[past]), cooldown_of(0.0));
}

#[test]
fn a_value_that_is_no_time_sets_no_cooldown() {
    for text in [
        "", "-3", "NaN", "inf", "1e309", "3 s", "soon", "0x10", "1.2.3",
    ] {
        let cooldown = parse_cooldown(503, &[text]);
        let is_unreadable = matches!(cooldown, RequestedCooldown::Unreadable(_));
        assert!(is_unreadable, "{text:?}: {cooldown:?}");
    }
    let repeated = parse_cooldown(503, &["1", "5"]);
    assert_eq!(repeated, RequestedCooldown::Unreadable("1, 5".to_owned()));
}

#[test]
fn a_cooldown_beyond_the_range_of_timestamps_does_not_overflow() {
    let longest = parse_cooldown(503, &["18446744073709549568"]);
    let mut cooldown = Cooldown::default();
    cooldown.on_requested(at(1_000), &longest);
    assert!(cooldown.until() > at(1_000));
}

#[test]
fn only_statuses_429_and_503_request_a_cooldown() {
    for status in [200, 301, 404, 421, 500] {
        assert_eq!(
            parse_cooldown(status, &["3"]),
            RequestedCooldown::None,
            "{status}"
        );
    }
    assert_eq!(parse_cooldown(503, &[]), RequestedCooldown::None);
}

#[test]
fn a_later_response_does_not_shorten_a_cooldown() {
    let mut cooldown = Cooldown::default();
    let change = cooldown.on_requested(at(0), &cooldown_of(5.0));
    assert_eq!(change, Some(CooldownChange::Begins(Duration::from_secs(5))));
    assert_eq!(cooldown.on_requested(at(1_000), &cooldown_of(1.0)), None);
    assert_eq!(cooldown.until(), at(5_000));
    assert_eq!(cooldown.on_requested(at(2_000), &cooldown_of(4.0)), None);
    assert_eq!(cooldown.until(), at(6_000));
    assert!(!cooldown.take_end(at(5_999)));
    assert!(cooldown.take_end(at(6_000)));
    assert!(!cooldown.take_end(at(6_050)), "the end is reported once");
}

#[test]
fn after_a_cooldown_requests_are_sent_one_at_a_time_until_one_produces_output() {
    let mut cooldown = Cooldown::default();
    cooldown.on_requested(at(0), &cooldown_of(1.0));
    cooldown.on_sent(at(1_000));
    assert!(!cooldown.has_room());
    // The upstream rejects the request and requests another cooldown.
    cooldown.on_requested(at(1_010), &cooldown_of(1.0));
    cooldown.on_ended(at(1_000));
    assert_eq!(cooldown.blocked_until(at(1_011)), Some(at(2_010)));
    assert!(
        cooldown.has_room(),
        "one request may follow the second cooldown"
    );
    cooldown.on_sent(at(2_010));
    cooldown.on_output(at(2_020), at(900));
    assert!(
        !cooldown.has_room(),
        "output of a request sent before the cooldown does not end it"
    );
    cooldown.on_output(at(2_030), at(2_010));
    cooldown.on_sent(at(2_040));
    assert!(cooldown.has_room());
}

#[test]
fn a_cooldown_of_a_day_is_probed_twice_and_ends_with_output() {
    const PROBE_AFTER_MS: u64 = 600_000;
    let mut cooldown = Cooldown::default();
    cooldown.on_requested(at(0), &cooldown_of(86_400.0));
    assert_eq!(cooldown.blocked_until(at(1)), Some(at(PROBE_AFTER_MS)));
    cooldown.on_sent(at(PROBE_AFTER_MS));
    cooldown.on_ended(at(PROBE_AFTER_MS));
    assert_eq!(
        cooldown.blocked_until(at(PROBE_AFTER_MS)),
        Some(at(2 * PROBE_AFTER_MS))
    );
    cooldown.on_sent(at(2 * PROBE_AFTER_MS));
    cooldown.on_ended(at(2 * PROBE_AFTER_MS));
    let now = at(3 * PROBE_AFTER_MS);
    assert_eq!(cooldown.blocked_until(now), Some(at(86_400_000)));
    cooldown.on_output(now, at(2 * PROBE_AFTER_MS));
    assert_eq!(cooldown.blocked_until(now), None);
    assert!(cooldown.take_end(now));
}

#[test]
fn an_unreadable_value_is_reported_once() {
    let mut cooldown = Cooldown::default();
    let unreadable = RequestedCooldown::Unreadable("soon".to_owned());
    assert!(cooldown.on_requested(at(0), &unreadable).is_some());
    assert_eq!(cooldown.on_requested(at(1), &unreadable), None);
    assert_eq!(cooldown.blocked_until(at(2)), None);
}

#[test]
fn only_the_value_1_marks_an_upstream_as_leaving() {
    let parse_mark = |values: &[&str]| LeavingMark::parse(values.iter().copied());
    assert_eq!(parse_mark(&[" 1 "]), LeavingMark::Leaving);
    assert_eq!(parse_mark(&["0"]), LeavingMark::Absent);
    assert_eq!(parse_mark(&[]), LeavingMark::Absent);
    for text in ["", "yes", "-1", "11"] {
        let mark = parse_mark(&[text]);
        assert!(matches!(mark, LeavingMark::Unreadable(_)), "{text:?}");
    }
    assert!(matches!(
        parse_mark(&["1", "1"]),
        LeavingMark::Unreadable(_)
    ));
}

#[test]
fn a_response_without_the_mark_does_not_reset_a_leaving_upstream() {
    let host = UpstreamId::Host(ServiceName::new("s"), HostId::new("h"));
    let mut state = LeavingState::default();
    assert!(state.on_marked(at(0), &LeavingMark::Leaving));
    assert!(
        !state.on_marked(at(1), &LeavingMark::Leaving),
        "already known"
    );
    assert!(!state.on_marked(at(2), &LeavingMark::Absent));
    assert!(state.is_leaving(at(86_400_000), &host));
}

#[test]
fn an_instance_whose_restart_is_not_observable_is_retried_after_a_minute() {
    let instance = UpstreamId::Instance(ServiceName::new("s"), ([10, 0, 0, 1], 1).into());
    let mut state = LeavingState::default();
    state.on_marked(at(0), &LeavingMark::Leaving);
    assert!(state.is_leaving(at(59_999), &instance));
    assert!(!state.is_leaving(at(60_000), &instance));
    state.on_marked(at(60_050), &LeavingMark::Leaving);
    assert!(state.is_leaving(at(60_100), &instance));
}

#[test]
fn an_error_response_that_states_nothing_is_not_relevant() {
    assert!(
        UpstreamSignal::status_only(200).is_relevant(),
        "a success without a limit ends a limit"
    );
    assert!(!UpstreamSignal::status_only(503).is_relevant());
    let leaving = UpstreamSignal {
        leaving: LeavingMark::Leaving,
        ..UpstreamSignal::status_only(500)
    };
    assert!(leaving.is_relevant());
}
