//! Ejection of upstreams that fail or are slow, followed by probation.

use std::time::Duration;

use crate::core::types::Timestamp;
use crate::settings::router::RouterSettings;

/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Ejection state of one upstream.
#[derive(Clone, Debug, Default)]
pub struct OutlierState {
    /// Number of failures since the last success or ejection.
    failures_in_a_row: u32,
    /// Number of ejections, less one for each success; each doubles the next ejection.
    ejections: u32,
    /// When the last ejection ends or ended.
    ejected_until: Option<Timestamp>,
    /// No attempt has succeeded since the last ejection.
    on_probation: bool,
}

impl OutlierState {
    /// Whether the upstream is ejected at this time.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until(now).is_some()
    }

    /// When the current ejection ends; `None` if the upstream is not ejected.
    pub fn ejected_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Whether the upstream is on probation: after an ejection it gets one request at a time
    /// until one succeeds.
    pub fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Records a successful attempt.
    pub fn on_success(&mut self) {
        self.failures_in_a_row = 0;
        self.on_probation = false;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Records a failed attempt; returns whether the upstream should now be ejected.
    pub fn on_failure(&mut self, settings: &RouterSettings) -> bool {
        self.failures_in_a_row += 1;
        self.on_probation || self.failures_in_a_row >= settings.eject_after
    }

    /// Ejects the upstream, for twice as long each time, up to `MAX_EJECTION`.
    pub fn eject(&mut self, now: Timestamp, settings: &RouterSettings) {
        let doublings = self.ejections.min(8);
        let time = settings.eject_for * 2u32.pow(doublings);
        self.ejections += 1;
        self.failures_in_a_row = 0;
        self.on_probation = true;
        self.ejected_until = Some(now + time.min(MAX_EJECTION));
    }
}
