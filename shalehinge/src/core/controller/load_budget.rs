//! How many loads from the weight store may begin now.
//!
//! The rate is the fleet's; each failure domain has an even part of it, so that all
//! together stay below it without asking each other.

use crate::core::types::Timestamp;

/// Loads that may be saved up, in seconds of the rate.
const SAVED_SECONDS: f64 = 1.0;

/// The budget of one failure domain.
#[derive(Clone, Debug, Default)]
pub struct LoadBudget {
    per_second: Option<f64>,
    tokens: f64,
    filled_at: Timestamp,
}

impl LoadBudget {
    /// Sets the rate of this failure domain; `None` is without bounds.
    pub fn set_rate(&mut self, per_second: Option<f64>) {
        self.per_second = per_second;
    }

    /// Takes out one load, if one is allowed now.
    pub fn take(&mut self, now: Timestamp) -> bool {
        let Some(rate) = self.per_second else {
            return true;
        };
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let most = (rate * SAVED_SECONDS).max(1.0);
        self.tokens = (self.tokens + passed * rate).min(most);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
