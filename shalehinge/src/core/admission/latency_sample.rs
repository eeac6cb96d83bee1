//! Whether the first output of a request was on time, determined once for each request.

use std::time::Duration;

use crate::core::types::Timestamp;

use super::urgency::{Standing, is_deprioritized, urgency};

/// Requests that were due longer ago than this are not sampled: the daemon was paused, and the
/// delay may be its own. Ticks sample requests much sooner.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(1);

/// Whether a request was on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencySample {
    /// Whether the request was served after those without a priority.
    pub is_deprioritized: bool,
    /// Whether its first output arrived within its latency target.
    pub is_on_time: bool,
}

/// The state of a request of which a sample is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampledRequest {
    standing: Standing,
    /// When the first output is due; `None` if no sample is to be taken or it has been taken.
    due_at: Option<Timestamp>,
}

impl SampledRequest {
    /// A request that is sent for the first time.
    pub fn new(standing: Standing, due_at: Option<Timestamp>) -> Self {
        Self { standing, due_at }
    }

    /// How the request was sent first.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Takes the sample of a request whose first output has arrived.
    pub fn on_output(&mut self, now: Timestamp) -> Option<LatencySample> {
        let due_at = self.due_at.take()?;
        self.sample(now, due_at)
    }

    /// Takes the sample of a request without output, if its output is overdue.
    pub fn on_tick(&mut self, now: Timestamp) -> Option<LatencySample> {
        let due_at = self.due_at.take_if(|due_at| *due_at < now)?;
        self.sample(now, due_at)
    }

    fn sample(&self, now: Timestamp, due_at: Timestamp) -> Option<LatencySample> {
        (now.since(due_at) <= MAX_SAMPLE_AGE).then_some(LatencySample {
            is_deprioritized: is_deprioritized(urgency(self.standing)),
            is_on_time: now <= due_at,
        })
    }
}
