//! How many retries are allowed: a part of the first attempts, and a few saved up.
//!
//! When many upstreams fail at once, the budget runs out and requests end with
//! their outcome in place of a storm of retries.

/// The budget of one daemon.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// A budget with little saved up yet: others of the fleet may have spent its part.
    pub fn nearly_empty(ratio: f64, burst: f64) -> Self {
        const FIRST: f64 = 3.0;
        Self {
            ratio,
            burst,
            tokens: burst.min(FIRST),
        }
    }

    /// Changes how many retries may be saved up; what is saved above it is lost.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// A first attempt was made.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes a retry out, if one is left.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
