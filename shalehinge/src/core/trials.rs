//! Trial executions of requests that may crash their upstreams.
//!
//! If several requests were running at two crashes, none of them is proven to be the cause. Each
//! is tried alone, at an upstream where no other such request is being tried: a crash during the
//! trial proves the request to be the cause, and a complete answer clears it. One daemon of the
//! fleet, the owner of a target's trials, grants them, as daemons that tried independently would
//! crash one upstream each.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::router::request::{Target, UpstreamId};
use super::types::Timestamp;

/// A trial without a reported result ends after this time.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent trials; further requests wait.
const MAX_TRIALS: usize = 1_024;

/// A daemon's request to try a request that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// Target of the request.
    pub target: Target,
    /// Upstreams that could execute the request, in order of preference.
    pub candidates: Vec<UpstreamId>,
    /// All that is suspected about the request, the fingerprint above among it.
    #[serde(default)]
    pub suspects: Vec<Fingerprint>,
}

/// Permission to try a request once at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialGrant {
    /// Fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// The upstream to try it at.
    pub upstream: UpstreamId,
}

#[derive(Clone, Debug)]
/// A trial in progress.
struct Trial {
    upstream: UpstreamId,
    /// Suspects on which the trial has not decided yet.
    suspects: BTreeSet<Fingerprint>,
    granted_at: Timestamp,
}

/// The trials granted by one daemon.
#[derive(Clone, Debug, Default)]
pub struct TrialOwner {
    trials: Vec<Trial>,
}

impl TrialOwner {
    /// Grants a trial if nothing that is suspected about the request is being tried and a candidate
    /// is free. At most one trial runs per suspect and per upstream at a time.
    pub fn try_grant(&mut self, now: Timestamp, request: &TrialRequest) -> Option<TrialGrant> {
        self.trials
            .retain(|trial| now.since(trial.granted_at) < TRIAL_TIMEOUT);
        let fingerprint = request.fingerprint;
        let suspects = request.suspects.iter().copied();
        let suspects: BTreeSet<Fingerprint> = suspects.chain([fingerprint]).collect();
        let mut trials = self.trials.iter();
        let is_being_tried = trials.any(|trial| !trial.suspects.is_disjoint(&suspects));
        if is_being_tried || self.trials.len() >= MAX_TRIALS {
            return None;
        }
        let is_free = |upstream: &&UpstreamId| {
            let mut trials = self.trials.iter();
            trials.all(|trial| trial.upstream != **upstream)
        };
        let upstream = request.candidates.iter().find(is_free)?.clone();
        self.trials.push(Trial {
            upstream: upstream.clone(),
            suspects,
            granted_at: now,
        });
        Some(TrialGrant {
            fingerprint,
            upstream,
        })
    }

    /// Ends the trial of a request that holds this suspect, as an upstream crashed during it.
    pub fn end(&mut self, fingerprint: Fingerprint) {
        self.trials
            .retain(|trial| !trial.suspects.contains(&fingerprint));
    }

    /// Removes a suspect that was cleared. A trial ends when it has no other one.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        for trial in &mut self.trials {
            trial.suspects.remove(&fingerprint);
        }
        self.trials.retain(|trial| !trial.suspects.is_empty());
    }
}
