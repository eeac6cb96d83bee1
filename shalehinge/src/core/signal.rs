//! What an upstream states about itself in the head of an answer.

use std::time::{Duration, SystemTime};

use super::advertised_limit::{AdvertisedLimit, truncate_for_log};

/// Status of an upstream that takes no more requests from this daemon for now.
const TOO_MANY_REQUESTS: u16 = 429;
/// Status of an upstream that can't serve for now.
const SERVICE_UNAVAILABLE: u16 = 503;

/// All that one answer states about its upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSignal {
    /// HTTP status of the answer.
    pub status: u16,
    /// Requests that it takes from all daemons together.
    pub limit: AdvertisedLimit,
    /// How long it wants no requests from this daemon.
    pub cooldown: RequestedCooldown,
    /// Whether it is leaving.
    pub leaving: LeavingMark,
}

impl UpstreamSignal {
    /// An answer with this status that states nothing.
    pub fn status_only(status: u16) -> Self {
        Self {
            status,
            limit: AdvertisedLimit::None,
            cooldown: RequestedCooldown::None,
            leaving: LeavingMark::Absent,
        }
    }

    /// Whether the answer reports success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether a decision may depend on it. That no limit is named counts in a success alone: a
    /// refusal may come from a part of the upstream that doesn't know of the limit.
    pub fn is_relevant(&self) -> bool {
        self.is_success() || *self != Self::status_only(self.status)
    }
}

/// How long an upstream wants no requests from the daemon that it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedCooldown {
    /// Nothing is stated.
    None,
    /// From the answer on, for so long.
    For(Duration),
    /// The text is no time, or the start of it.
    Unreadable(String),
}

impl RequestedCooldown {
    /// Reads all values of `Retry-After` (RFC 9110) in an answer with this status: seconds, also
    /// with a fraction, or a date, which counts against `answered_at`, the time of the answer by
    /// the upstream's clock. Other statuses than 429 and 503 ask for no cooldown.
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

/// Whether an answer states that its upstream is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeavingMark {
    /// Nothing is stated, or that it stays.
    Absent,
    /// It is leaving.
    Leaving,
    /// The text is no mark, or the start of it.
    Unreadable(String),
}

impl LeavingMark {
    /// Reads all values of the header: `1` marks an upstream that is leaving.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        match single_value(values) {
            SingleValue::Absent | SingleValue::One("0") => Self::Absent,
            SingleValue::One("1") => Self::Leaving,
            SingleValue::One(text) => Self::Unreadable(truncate_for_log(text)),
            SingleValue::Several(texts) => Self::Unreadable(texts),
        }
    }
}

/// The values of a header that may be given once.
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

/// A decimal number of seconds; the number parser alone would also take words and exponents.
fn parse_seconds(text: &str) -> Option<Duration> {
    let is_decimal = |c: char| c.is_ascii_digit() || c == '.';
    let text = Some(text).filter(|text| text.chars().all(is_decimal))?;
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

/// The time until a date; none is left of a past one.
fn parse_date_as_delay(text: &str, answered_at: SystemTime) -> Option<Duration> {
    let date = httpdate::parse_http_date(text).ok()?;
    Some(date.duration_since(answered_at).unwrap_or_default())
}
