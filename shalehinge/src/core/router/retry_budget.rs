//! Limits retries to a fraction of the first attempts plus a saved-up burst.
//!
//! If many upstreams fail together, the budget is exhausted and requests end with their current
//! outcome, which prevents a retry storm.
//!
//! A burst that the daemons of a large fleet share can be less than one retry each. Such a daemon
//! retries with the probability that it has saved up: all daemons together then keep to the shared
//! burst, while none is left without retries.

/// The retry budget of one daemon, as a token bucket.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Number of retries allowed per first attempt.
    ratio: f64,
    /// Maximum number of retries saved up.
    burst: f64,
    /// Number of retries available, possibly fractional.
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget. `ratio` is the number of retries allowed per first attempt, `burst`
    /// the maximum number saved up.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// Creates a budget with few retries saved up, as other daemons of the fleet may have used up
    /// its part of a shared burst.
    pub fn nearly_empty(ratio: f64, burst: f64) -> Self {
        const INITIAL_TOKENS: f64 = 3.0;
        Self {
            ratio,
            burst,
            tokens: burst.min(INITIAL_TOKENS),
        }
    }

    /// Changes the maximum number of saved-up retries; any excess is discarded.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry; returns whether one was available. A fraction of a retry is used up by a
    /// draw that succeeds with that probability, if the budget can't hold a whole one.
    pub fn withdraw(&mut self, rng: &mut impl rand::Rng) -> bool {
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        if self.burst >= 1.0 {
            return false;
        }
        let probability = std::mem::take(&mut self.tokens);
        rng.random_bool(probability.clamp(0.0, 1.0))
    }
}
