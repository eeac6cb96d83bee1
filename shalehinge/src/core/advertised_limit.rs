//! What an upstream in need says in its answers of the requests that it takes.
//!
//! It names a rate for all daemons together, for as long as it says so.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest part of a text that can't be read which is kept for the log, in characters.
const MAX_LOGGED_CHARS: usize = 40;

/// Requests a second that an upstream takes from all daemons together; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// A rate of so many requests a second; `None` if that is no rate.
    pub fn per_second(value: f64) -> Option<Self> {
        (value.is_finite() && value >= 0.0).then_some(Self(value))
    }

    /// Requests a second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = &'static str;

    fn try_from(value: f64) -> Result<Self, Self::Error> {
        Self::per_second(value).ok_or("a rate of requests is finite and not negative")
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What one answer says of its upstream's limit.
#[derive(Clone, Debug, PartialEq)]
pub enum AdvertisedLimit {
    /// Nothing: it takes as many as it can run.
    None,
    /// It takes so many.
    Rate(RequestRate),
    /// It says something that is no rate: the text, or the start of it.
    Unreadable(String),
}

impl AdvertisedLimit {
    /// Reads all values of the header. A decimal number is a limit; what is named twice, or is
    /// no number of requests, is none.
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a str>) -> Self {
        let Some(text) = values.next() else {
            return Self::None;
        };
        if let Some(second) = values.next() {
            return unreadable(&format!("{text}, {second}"));
        }
        let text = text.trim();
        let is_decimal = |c: char| c.is_ascii_digit() || c == '.';
        // The number parser also takes words such as "inf" and exponents.
        let rate = Some(text)
            .filter(|text| text.chars().all(is_decimal))
            .and_then(|text| text.parse().ok())
            .and_then(RequestRate::per_second);
        rate.map_or_else(|| unreadable(text), Self::Rate)
    }
}

fn unreadable(text: &str) -> AdvertisedLimit {
    AdvertisedLimit::Unreadable(truncate_for_log(text))
}

/// The start of a text that can't be read, for the log.
pub(super) fn truncate_for_log(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
