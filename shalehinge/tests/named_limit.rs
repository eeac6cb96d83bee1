//! What an upstream says of the requests that it takes, and how its limit begins, changes and ends.

use std::time::Duration;

use shalehinge::core::named_limit::{NamedLimit, RequestRate};
use shalehinge::core::router::limit_state::{LimitChange, LimitState};
use shalehinge::core::types::Timestamp;

fn rate(value: f64) -> RequestRate {
    RequestRate::per_second(value).expect("a rate")
}

fn read(values: &[&str]) -> NamedLimit {
    NamedLimit::read(values.iter().copied())
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_duration(Duration::from_secs(seconds))
}

#[test]
fn a_decimal_number_is_a_limit() {
    for (text, value) in [
        ("1.4", 1.4),
        ("0", 0.0),
        ("0.05", 0.05),
        (" 50 ", 50.0),
        ("007", 7.0),
    ] {
        assert_eq!(read(&[text]), NamedLimit::Rate(rate(value)));
    }
    assert_eq!(read(&[]), NamedLimit::None);
}

#[test]
fn what_is_no_number_of_requests_is_no_limit() {
    let huge = "9".repeat(400);
    for text in [
        "", " ", "NaN", "-1", "1e309", "0x10", "inf", "some", "1,4", ".", "1.2.3", "1e3", "+5",
        "-0", &huge,
    ] {
        let limit = read(&[text]);
        assert!(
            matches!(limit, NamedLimit::Unreadable(_)),
            "{text}: {limit:?}"
        );
    }
    assert!(matches!(read(&["1", "2"]), NamedLimit::Unreadable(_)));
    let NamedLimit::Unreadable(kept) = read(&[&"x".repeat(100_000)]) else {
        panic!("it can't be read");
    };
    assert!(kept.len() <= 40, "the log stays bounded");
}

#[test]
fn a_limit_begins_changes_and_ends_with_a_line_each() {
    let mut state = LimitState::default();
    let named = |value| NamedLimit::Rate(rate(value));
    assert_eq!(state.on_answer(at(1), at(0), NamedLimit::None), None);
    assert_eq!(
        state.on_answer(at(2), at(1), named(1.4)),
        Some(LimitChange::Begins(rate(1.4)))
    );
    assert_eq!(state.on_answer(at(3), at(2), named(1.4)), None);
    assert_eq!(
        state.on_answer(at(4), at(3), named(1.45)),
        None,
        "nearly the same"
    );
    assert_eq!(
        state.on_answer(at(5), at(4), named(0.7)),
        Some(LimitChange::Changes(rate(0.7)))
    );
    assert_eq!(state.rate(), Some(rate(0.7)));
    assert_eq!(
        state.on_answer(at(7), at(6), NamedLimit::None),
        Some(LimitChange::Ends)
    );
    assert_eq!(state.rate(), None);
}

#[test]
fn an_answer_to_a_request_from_before_a_limit_ends_nothing() {
    let mut state = LimitState::default();
    state.on_answer(at(5), at(4), NamedLimit::Rate(rate(1.0)));
    assert_eq!(state.on_answer(at(6), at(4), NamedLimit::None), None);
    assert!(state.rate().is_some());
}

#[test]
fn what_cannot_be_read_changes_nothing_and_makes_one_line() {
    let mut state = LimitState::default();
    let garbled = || NamedLimit::Unreadable("x".to_owned());
    state.on_answer(at(1), at(0), NamedLimit::Rate(rate(1.0)));
    assert!(state.on_answer(at(2), at(1), garbled()).is_some());
    assert_eq!(state.on_answer(at(3), at(2), garbled()), None);
    assert_eq!(state.rate(), Some(rate(1.0)));
}
