//! How many upstreams of a target this daemon considers.
//!
//! A daemon considers a bounded number of candidates, which bounds its reports and memory. The number
//! grows with its requests in progress, so that callers who all come to one daemon don't all run at a
//! few upstreams.

use std::time::Duration;

use crate::core::types::Timestamp;

use super::dispatch::Router;
use super::request::Target;

/// How long a higher number of candidates is kept after it was last needed.
const RETENTION: Duration = Duration::from_secs(10);

/// Upper bound of the factor.
const MAX_FACTOR: usize = 64;
/// Fewer candidates are considered once there are more than this many for each request in progress.
const MIN_USED_ONE_IN: usize = 4;

/// By how much the configured numbers of candidates are multiplied for one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CandidateFactor {
    /// A power of two.
    factor: usize,
    /// When it was last needed.
    needed_at: Timestamp,
}

impl Default for CandidateFactor {
    fn default() -> Self {
        Self {
            factor: 1,
            needed_at: Timestamp::ZERO,
        }
    }
}

impl CandidateFactor {
    /// Updates the factor for these numbers of requests in progress and of present candidates.
    /// Returns whether it changed.
    fn update(&mut self, now: Timestamp, requests: usize, candidates: usize) -> bool {
        if requests > candidates && candidates > 0 {
            self.needed_at = now;
            return self.set((self.factor * 2).min(MAX_FACTOR));
        }
        if requests * MIN_USED_ONE_IN > candidates {
            self.needed_at = now;
        }
        if now.since(self.needed_at) < RETENTION {
            return false;
        }
        self.needed_at = now;
        self.set((self.factor / 2).max(1))
    }

    fn set(&mut self, factor: usize) -> bool {
        let has_changed = factor != self.factor;
        self.factor = factor;
        has_changed
    }
}

impl Router {
    /// Adapts the numbers of candidates to the requests in progress. Returns whether any changed, so
    /// that the topology is to be built again.
    pub fn update_candidates(&mut self, now: Timestamp) -> bool {
        let mut has_changed = false;
        let targets = self.targets.iter_mut();
        let models = targets.filter(|(target, _)| matches!(target, Target::Model(_)));
        for (_, state) in models {
            let (requests, candidates) = (state.load(), state.present(now));
            has_changed |= state.candidates.update(now, requests, candidates);
        }
        has_changed
    }

    /// Factor by which the configured numbers of candidates are multiplied for a target.
    pub fn candidate_factor(&self, target: &Target) -> usize {
        let state = self.targets.get(target);
        state.map_or(1, |state| state.candidates.factor)
    }
}
