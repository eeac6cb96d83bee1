//! Warm-up of upstreams: one that has just started, or is about to serve again after a pause, is
//! slow for some seconds and accepts few requests.
//!
//! While it warms up, an upstream is treated as one that names a limit: requests are sent with
//! permits of the limit's owner, as the limit applies to all daemons together.

use std::time::Duration;

use crate::core::advertised_limit::RequestRate;
use crate::core::route_config::WarmUpLimit;
use crate::core::types::Timestamp;

/// Fraction of the stated rate at which permits are granted. Permits are valid for a second, so
/// those of two seconds may be used in one.
const USABLE_FRACTION: f64 = 0.75;

/// The warm-up of an upstream as its service and the host list state it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpSpec {
    /// The limit that the service sets.
    limit: WarmUpLimit,
    /// Remaining duration of the warm-up when the host reported it.
    remaining: Duration,
}

impl WarmUpSpec {
    /// A warm-up with `remaining_ms` left, but no more than the service's duration; `None` if the
    /// service sets no limit.
    pub fn new(limit: Option<&WarmUpLimit>, remaining_ms: u64) -> Option<Self> {
        let limit = *limit?;
        let remaining = Duration::from_millis(remaining_ms.min(limit.duration_ms));
        Some(Self { limit, remaining })
    }

    fn usable_rate(&self) -> Option<RequestRate> {
        RequestRate::per_second(self.limit.rate.get() * USABLE_FRACTION)
    }
}

/// The warm-up of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmUpState {
    /// What was stated last.
    spec: Option<WarmUpSpec>,
    /// End of the warm-up.
    until: Timestamp,
}

impl WarmUpState {
    /// Applies what is stated. A value that was applied before does not extend the warm-up, as
    /// the list repeats it until the host reports again.
    pub fn update(&mut self, now: Timestamp, spec: Option<WarmUpSpec>) {
        if spec == self.spec {
            return;
        }
        self.spec = spec;
        self.until = spec.map_or(now, |spec| now + spec.remaining);
    }

    /// Begins a whole warm-up, for an upstream that serves again after a pause.
    pub fn restart(&mut self, now: Timestamp) {
        let duration_ms = self.spec.map_or(0, |spec| spec.limit.duration_ms);
        self.until = now + Duration::from_millis(duration_ms);
    }

    /// The limit that applies now; `None` after the warm-up.
    pub fn rate(&self, now: Timestamp) -> Option<RequestRate> {
        let spec = self.spec.filter(|_| now < self.until)?;
        spec.usable_rate()
    }

    /// Milliseconds until the warm-up ends; `None` after it.
    pub fn ends_in_ms(&self, now: Timestamp) -> Option<u64> {
        (now < self.until).then(|| self.until.millis_since(now))
    }
}
