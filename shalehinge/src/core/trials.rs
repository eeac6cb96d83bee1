//! Trials of requests that may crash the upstreams that run them.
//!
//! Two crashes that several requests had in common name none of them. Each is tried alone, at an
//! upstream where no other such request is tried: if the upstream crashes then, the request is
//! proven to do it, and a whole answer clears it. One daemon of the fleet, the owner of a
//! target's trials, hands them out: daemons that each tried by themselves would end one upstream
//! each.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::router::request::{Target, UpstreamId};
use super::types::Timestamp;

/// A trial of which nothing is heard is over after so long.
const TRIAL_TIME: Duration = Duration::from_secs(5);
/// Trials under way; further ones wait.
const MOST_TRIALS: usize = 1_024;

/// A daemon asks for a trial of a request that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// What the request asks.
    pub fingerprint: Fingerprint,
    /// What it is for.
    pub target: Target,
    /// Upstreams that could run it, the preferred ones first.
    pub candidates: Vec<UpstreamId>,
}

/// A request may be tried at this upstream, once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialGrant {
    /// What the request asks.
    pub fingerprint: Fingerprint,
    /// Where.
    pub upstream: UpstreamId,
}

#[derive(Clone, Debug)]
struct Trial {
    upstream: UpstreamId,
    granted_at: Timestamp,
}

/// The trials that one daemon hands out.
#[derive(Clone, Debug, Default)]
pub struct TrialOwner {
    trials: BTreeMap<Fingerprint, Trial>,
}

impl TrialOwner {
    /// Decides on a question: one trial at a time for a request, and at an upstream.
    pub fn ask(&mut self, now: Timestamp, request: &TrialRequest) -> Option<TrialGrant> {
        self.trials
            .retain(|_, trial| now.since(trial.granted_at) < TRIAL_TIME);
        let fingerprint = request.fingerprint;
        if self.trials.contains_key(&fingerprint) || self.trials.len() >= MOST_TRIALS {
            return None;
        }
        let is_free = |upstream: &&UpstreamId| {
            let mut trials = self.trials.values();
            trials.all(|trial| trial.upstream != **upstream)
        };
        let upstream = request.candidates.iter().find(is_free)?.clone();
        let trial = Trial {
            upstream: upstream.clone(),
            granted_at: now,
        };
        self.trials.insert(fingerprint, trial);
        Some(TrialGrant {
            fingerprint,
            upstream,
        })
    }

    /// A request was cleared, or proven to crash upstreams: its trial is over.
    pub fn end(&mut self, fingerprint: Fingerprint) {
        self.trials.remove(&fingerprint);
    }
}
