//! Tests of parsing advertised rate limits, and of how a limit begins, changes and ends.

use std::time::Duration;

use shalehinge::core::advertised_limit::{AdvertisedLimit, RequestRate};
use shalehinge::core::router::limit_state::{LimitChange, LimitState};
use shalehinge::core::types::Timestamp;

fn rate(value: f64) -> RequestRate {
    RequestRate::per_second(value).expect("a valid rate")
}

fn parse_limit(values: &[&str]) -> AdvertisedLimit {
    AdvertisedLimit::parse(values.iter().copied())
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_duration(Duration::from_secs(seconds))
}

#[test]
fn a_decimal_number_is_parsed_as_a_limit() {
    for (text, value) in [
        ("1.4", 1.4),
        ("0", 0.0),
        ("0.05", 0.05),
        (" 50 ", 50.0),
        ("007", 7.0),
    ] {
        assert_eq!(parse_limit(&[text]), AdvertisedLimit::Rate(rate(value)));
    }
    assert_eq!(parse_limit(&[]), AdvertisedLimit::None);
}

#[test]
fn a_value_that_is_no_rate_is_unreadable() {
    let too_large = "9".repeat(400);
    for text in [
        "", " ", "NaN", "-1", "1e309", "0x10", "inf", "some", "1,4", ".", "1.2.3", "1e3", "+5",
        "-0", &too_large,
    ] {
        let limit = parse_limit(&[text]);
        assert!(
            matches!(limit, AdvertisedLimit::Unreadable(_)),
            "{text}: {limit:?}"
        );
    }
    assert!(matches!(
        parse_limit(&["1", "2"]),
        AdvertisedLimit::Unreadable(_)
    ));
    let AdvertisedLimit::Unreadable(logged_text) = parse_limit(&[&"x".repeat(100_000)]) else {
        panic!("a long text was accepted as a limit");
    };
    assert!(logged_text.len() <= 40, "the logged text must be bounded");
}

#[test]
fn a_limit_that_begins_changes_or_ends_is_reported_once_each() {
    let mut state = LimitState::default();
    let rate_limit = |value| AdvertisedLimit::Rate(rate(value));
    assert_eq!(state.on_answer(at(1), at(0), AdvertisedLimit::None), None);
    assert_eq!(
        state.on_answer(at(2), at(1), rate_limit(1.4)),
        Some(LimitChange::Begins(rate(1.4)))
    );
    assert_eq!(state.on_answer(at(3), at(2), rate_limit(1.4)), None);
    assert_eq!(
        state.on_answer(at(4), at(3), rate_limit(1.45)),
        None,
        "small changes are not reported"
    );
    assert_eq!(
        state.on_answer(at(5), at(4), rate_limit(0.7)),
        Some(LimitChange::Changes(rate(0.7)))
    );
    assert_eq!(state.rate(), Some(rate(0.7)));
    assert_eq!(
        state.on_answer(at(7), at(6), AdvertisedLimit::None),
        Some(LimitChange::Ends)
    );
    assert_eq!(state.rate(), None);
}

#[test]
fn a_response_to_a_request_sent_before_a_limit_does_not_end_it() {
    let mut state = LimitState::default();
    state.on_answer(at(5), at(4), AdvertisedLimit::Rate(rate(1.0)));
    assert_eq!(state.on_answer(at(6), at(4), AdvertisedLimit::None), None);
    assert!(state.rate().is_some());
}

#[test]
fn an_unreadable_value_keeps_the_limit_and_is_reported_once() {
    let mut state = LimitState::default();
    let unreadable = || AdvertisedLimit::Unreadable("x".to_owned());
    state.on_answer(at(1), at(0), AdvertisedLimit::Rate(rate(1.0)));
    assert!(state.on_answer(at(2), at(1), unreadable()).is_some());
    assert_eq!(state.on_answer(at(3), at(2), unreadable()), None);
    assert_eq!(state.rate(), Some(rate(1.0)));
}
