//! Trials of requests that are suspected to crash upstreams.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::core::fingerprint::Fingerprint;
use crate::core::trials::{TrialGrant, TrialRequest};
use crate::core::types::{RequestId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::refusal::SUSPECT_RETRY_AFTER;
use super::request::{NotRunReason, Outcome, UpstreamId};
use super::target::Pending;

/// How long a request waits for a trial before it is refused with a retry-after time.
const TRIAL_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of candidate upstreams named in a trial request.
const MAX_CANDIDATES: usize = 8;

/// Outcome of a suspected request that got no trial.
pub(super) const NO_TRIAL: Outcome = Outcome::NotRun {
    reason: NotRunReason::Quarantined,
    retry_after: SUSPECT_RETRY_AFTER,
};

/// Trial state of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TrialState {
    /// The request is not known to be suspected.
    None,
    /// A trial was requested; without one, the request is refused at `until`.
    Requested {
        /// When the request is refused.
        until: Timestamp,
    },
    /// The request is tried at this upstream only.
    At {
        /// The upstream.
        upstream: UpstreamId,
        /// What the trial decides on: the request as a whole, or a part of its prompt.
        subject: Fingerprint,
    },
}

/// A suspected request that this daemon runs, or ran, in a trial.
#[derive(Clone, Debug)]
pub(super) struct RunningTrial {
    /// The upstream.
    pub(super) upstream: UpstreamId,
    /// Fingerprints of the request's content and of the parts of its prompt.
    pub(super) subjects: Vec<Fingerprint>,
}

impl Router {
    /// Holds back a suspected request and requests a trial for it.
    pub(super) fn hold_for_trial(
        &mut self,
        now: Timestamp,
        request: RequestId,
        mut pending: Pending,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(state) = self.targets.get(&pending.meta.target) else {
            return;
        };
        let quarantined = self
            .quarantine
            .active_for(now, &pending.meta, &self.settings);
        let subject = quarantined.map_or(pending.meta.fingerprint, |known| known.fingerprint);
        let eligible = state.upstreams.iter().filter(|u| u.may_be_sent(now));
        let candidates = eligible.choose_multiple(rng, MAX_CANDIDATES);
        let suspects = pending.meta.subjects().into_iter().filter(|subject| {
            let quarantined = self.quarantine.active(now, *subject, &self.settings);
            quarantined.is_some()
        });
        let trial_request = TrialRequest {
            fingerprint: subject,
            target: pending.meta.target.clone(),
            candidates: candidates.iter().map(|u| u.spec.id.clone()).collect(),
            suspects: suspects.collect(),
        };
        out.push(RouterAction::Log(format!(
            "request {} may crash upstreams; requests a trial of {}",
            request.0, trial_request.fingerprint
        )));
        pending.trial = TrialState::Requested {
            until: now + TRIAL_WAIT,
        };
        self.pending.insert(request, pending);
        out.push(RouterAction::RequestTrial(trial_request));
    }

    /// Handles a granted trial.
    pub fn on_trial(
        &mut self,
        now: Timestamp,
        grant: &TrialGrant,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let is_held = |pending: &Pending| {
            let is_requested = matches!(pending.trial, TrialState::Requested { .. });
            is_requested && pending.meta.subjects().contains(&grant.fingerprint)
        };
        let held = self
            .pending
            .iter_mut()
            .find(|(_, pending)| is_held(pending));
        let Some((request, pending)) = held else {
            return;
        };
        out.push(RouterAction::Log(format!(
            "request {} is run alone at {} in a trial",
            request.0, grant.upstream
        )));
        pending.trial = TrialState::At {
            upstream: grant.upstream.clone(),
            subject: grant.fingerprint,
        };
        let (request, target) = (*request, pending.meta.target.clone());
        if let Some(state) = self.targets.get_mut(&target) {
            state.enqueue(request, pending, self.settings.timely_first);
            self.waiting += 1;
        }
        self.dispatch(now, &target, rng, out);
    }

    /// Refuses requests that got no trial in time, and queues those that have been cleared.
    pub(super) fn update_held(&mut self, now: Timestamp, out: &mut Vec<RouterAction>) {
        let (quarantine, settings) = (&self.quarantine, &self.settings);
        self.running_trials
            .retain(|fingerprint, _| quarantine.active(now, *fingerprint, settings).is_some());
        let held: Vec<(RequestId, Timestamp, bool)> = self
            .pending
            .iter()
            .filter_map(|(request, pending)| match pending.trial {
                TrialState::Requested { until } => {
                    let is_cleared = !self.is_quarantined(now, &pending.meta);
                    Some((*request, until, is_cleared))
                }
                TrialState::None | TrialState::At { .. } => None,
            })
            .collect();
        for (request, until, is_cleared) in held {
            if is_cleared {
                self.enqueue_cleared(request);
            } else if now >= until {
                self.answer(request, NO_TRIAL, out);
            }
        }
    }

    fn enqueue_cleared(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending.trial = TrialState::None;
        if let Some(state) = self.targets.get_mut(&pending.meta.target) {
            state.enqueue(request, pending, self.settings.timely_first);
            self.waiting += 1;
        }
    }
}
