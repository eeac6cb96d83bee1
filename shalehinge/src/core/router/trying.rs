//! Requests that are suspected to crash upstreams, and the trials that clear or prove them.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::core::fingerprint::Fingerprint;
use crate::core::trials::{TrialGrant, TrialRequest};
use crate::core::types::{RequestId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::quarantine::Loss;
use super::refusal::SUSPECT_RETRY_AFTER;
use super::request::{NotRunReason, Outcome, UpstreamId};
use super::target::Pending;

/// How long a request waits for its trial before its caller is told to come back.
const TRIAL_WAIT: Duration = Duration::from_millis(500);
/// Upstreams that are named in a question for a trial.
const MOST_CANDIDATES: usize = 8;

/// What becomes of a suspected request that could not be tried.
pub(super) const NO_TRIAL: Outcome = Outcome::NotRun {
    reason: NotRunReason::Quarantined,
    retry_after: SUSPECT_RETRY_AFTER,
};

/// Where a suspected request stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TrialState {
    /// It is no suspect, as far as is known.
    None,
    /// A trial was asked for; without one it is refused then.
    Asked {
        /// When it is refused.
        until: Timestamp,
    },
    /// It is tried at this upstream alone.
    At(UpstreamId),
}

impl Router {
    /// Holds a suspected request back until it may be tried.
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
        let eligible = state.upstreams.iter().filter(|u| u.may_be_sent(now));
        let candidates = eligible.choose_multiple(rng, MOST_CANDIDATES);
        let question = TrialRequest {
            fingerprint: pending.meta.fingerprint,
            target: pending.meta.target.clone(),
            candidates: candidates.iter().map(|u| u.spec.id.clone()).collect(),
        };
        out.push(RouterAction::Log(format!(
            "request {} may crash upstreams, asks for a trial of {}",
            request.0, question.fingerprint
        )));
        pending.trial = TrialState::Asked {
            until: now + TRIAL_WAIT,
        };
        self.pending.insert(request, pending);
        out.push(RouterAction::AskTrial(question));
    }

    /// A request may be tried.
    pub fn on_trial(
        &mut self,
        now: Timestamp,
        grant: &TrialGrant,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let is_held = |pending: &Pending| {
            let asked = matches!(pending.trial, TrialState::Asked { .. });
            asked && pending.meta.fingerprint == grant.fingerprint
        };
        let held = self
            .pending
            .iter_mut()
            .find(|(_, pending)| is_held(pending));
        let Some((request, pending)) = held else {
            return;
        };
        out.push(RouterAction::Log(format!(
            "request {} is tried alone at {}",
            request.0, grant.upstream
        )));
        pending.trial = TrialState::At(grant.upstream.clone());
        let (request, target) = (*request, pending.meta.target.clone());
        if let Some(state) = self.targets.get_mut(&target) {
            state.enqueue(request, pending, self.settings.timely_first);
            self.waiting += 1;
        }
        self.dispatch(now, &target, rng, out);
    }

    /// Refuses what got no trial in time, and sends what was cleared meanwhile.
    pub(super) fn check_held(&mut self, now: Timestamp, out: &mut Vec<RouterAction>) {
        let (quarantine, settings) = (&self.quarantine, &self.settings);
        self.tried
            .retain(|asked, _| quarantine.held(now, *asked, settings).is_some());
        let held: Vec<(RequestId, Timestamp, Fingerprint)> = self
            .pending
            .iter()
            .filter_map(|(request, pending)| match pending.trial {
                TrialState::Asked { until } => Some((*request, until, pending.meta.fingerprint)),
                TrialState::None | TrialState::At(_) => None,
            })
            .collect();
        for (request, until, fingerprint) in held {
            let is_cleared = self.quarantined_for(now, fingerprint).is_none();
            if is_cleared {
                self.release_held(request);
            } else if now >= until {
                self.answer(request, NO_TRIAL, out);
            }
        }
    }

    fn release_held(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending.trial = TrialState::None;
        if let Some(state) = self.targets.get_mut(&pending.meta.target) {
            state.enqueue(request, pending, self.settings.timely_first);
            self.waiting += 1;
        }
    }

    /// Whether a request that was lost at this upstream was on trial there.
    pub(super) fn was_tried(&self, loss: &Loss) -> bool {
        self.tried.get(&loss.fingerprint) == Some(&loss.upstream)
    }
}
