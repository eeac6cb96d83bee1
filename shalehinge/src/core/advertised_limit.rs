//! Rate limits that overloaded upstreams state in their responses.
//!
//! The stated rate applies to all daemons together, until a response no longer states it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum length of an invalid header value in the log, in characters.
const MAX_LOGGED_CHARS: usize = 40;

/// Requests per second that an upstream accepts from all daemons together; finite and not
/// negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// A rate in requests per second; `None` if the value is negative, infinite or not a number.
    pub fn per_second(value: f64) -> Option<Self> {
        (value.is_finite() && value >= 0.0).then_some(Self(value))
    }

    /// The rate in requests per second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = &'static str;

    fn try_from(value: f64) -> Result<Self, Self::Error> {
        Self::per_second(value).ok_or("a request rate must be finite and not negative")
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

/// The rate limit that one response states for its upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum AdvertisedLimit {
    /// No limit is stated: the upstream accepts as many requests as it can run.
    None,
    /// The upstream accepts requests up to this rate.
    Rate(RequestRate),
    /// The header value is not a valid rate; contains the start of the value for the log.
    Unreadable(String),
}

impl AdvertisedLimit {
    /// Parses all values of the header. A single decimal number is a limit; a repeated header or
    /// any other value is [`AdvertisedLimit::Unreadable`].
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a str>) -> Self {
        let Some(text) = values.next() else {
            return Self::None;
        };
        if let Some(second) = values.next() {
            return unreadable(&format!("{text}, {second}"));
        }
        let text = text.trim();
        let is_decimal = |c: char| c.is_ascii_digit() || c == '.';
        // The float parser would also accept words such as "inf" and exponents.
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

/// Cuts an invalid header value to [`MAX_LOGGED_CHARS`] characters, to bound the log line.
pub(super) fn truncate_for_log(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
