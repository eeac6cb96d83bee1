//! What an upstream states about itself in the head of an HTTP response.

use std::time::{Duration, SystemTime};

use super::advertised_limit::{AdvertisedLimit, truncate_for_log};

/// HTTP status of an upstream that currently accepts no more requests from this daemon.
const TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status of an upstream that currently can't serve requests.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Everything that one response states about its upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSignal {
    /// HTTP status of the response.
    pub status: u16,
    /// Rate of requests that the upstream accepts from all daemons together.
    pub limit: AdvertisedLimit,
    /// How long the upstream wants to get no requests from this daemon.
    pub cooldown: RequestedCooldown,
    /// Whether the upstream is about to shut down.
    pub leaving: LeavingMark,
}

impl UpstreamSignal {
    /// The signal of a response that states nothing besides this status.
    pub fn status_only(status: u16) -> Self {
        Self {
            status,
            limit: AdvertisedLimit::None,
            cooldown: RequestedCooldown::None,
            leaving: LeavingMark::Absent,
        }
    }

    /// Whether the response has a success status (2xx).
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the signal can influence a decision. The absence of a limit is meaningful only in a
    /// successful response: an error may come from a component of the upstream that doesn't know
    /// the limit.
    pub fn is_relevant(&self) -> bool {
        self.is_success() || *self != Self::status_only(self.status)
    }
}

/// How long an upstream wants to get no requests from the daemon that it responds to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedCooldown {
    /// The response requests no cooldown.
    None,
    /// A cooldown of this length, starting with the response.
    For(Duration),
    /// The header value is not a valid time; contains the start of the value for the log.
    Unreadable(String),
}

impl RequestedCooldown {
    /// Parses all values of `Retry-After` (RFC 9110) in a response with this status. A value is a
    /// number of seconds, optionally with a fraction, or a date. Dates are relative to
    /// `answered_at`, the time of the response by the upstream's clock. Only statuses 429 and 503
    /// request a cooldown.
    pub fn parse<'a>(
        status: u16,
        values: impl Iterator<Item = &'a str>,
        answered_at: impl FnOnce() -> SystemTime,
    ) -> Self {
        if ![TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE].contains(&status) {
            return Self::None;
        }
        let text = match single_value(values) {
            SingleValue::Absent => return Self::None,
            SingleValue::Several(texts) => return Self::Unreadable(texts),
            SingleValue::One(text) => text,
        };
        let time = parse_seconds(text).or_else(|| parse_date_as_delay(text, answered_at()));
        time.map_or_else(|| Self::Unreadable(truncate_for_log(text)), Self::For)
    }
}

/// Whether a response states that its upstream is about to shut down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeavingMark {
    /// No mark, or one that states that the upstream stays.
    Absent,
    /// The upstream is about to shut down.
    Leaving,
    /// The header value is not a valid mark; contains the start of the value for the log.
    Unreadable(String),
}

impl LeavingMark {
    /// Parses all values of the header: `1` marks an upstream that is leaving, `0` one that stays.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        match single_value(values) {
            SingleValue::Absent | SingleValue::One("0") => Self::Absent,
            SingleValue::One("1") => Self::Leaving,
            SingleValue::One(text) => Self::Unreadable(truncate_for_log(text)),
            SingleValue::Several(texts) => Self::Unreadable(texts),
        }
    }
}

/// The values of a header that must occur at most once.
enum SingleValue<'a> {
    Absent,
    One(&'a str),
    Several(String),
}

fn single_value<'a>(mut values: impl Iterator<Item = &'a str>) -> SingleValue<'a> {
    let Some(first) = values.next() else {
        return SingleValue::Absent;
    };
    match values.next() {
        Some(second) => SingleValue::Several(truncate_for_log(&format!("{first}, {second}"))),
        None => SingleValue::One(first.trim()),
    }
}

/// Parses a decimal number of seconds. The characters are checked first, as the float parser would
/// also accept words such as `inf` and exponents.
fn parse_seconds(text: &str) -> Option<Duration> {
    let is_decimal = |c: char| c.is_ascii_digit() || c == '.';
    let text = Some(text).filter(|text| text.chars().all(is_decimal))?;
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

/// Parses an HTTP date and returns the time from `answered_at` to it; zero for a past date.
fn parse_date_as_delay(text: &str, answered_at: SystemTime) -> Option<Duration> {
    let date = httpdate::parse_http_date(text).ok()?;
    Some(date.duration_since(answered_at).unwrap_or_default())
}
