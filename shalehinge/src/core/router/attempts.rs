//! What happens to a request while an attempt runs, and when it ends.

use std::time::Duration;

use crate::core::types::{AttemptId, RequestId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::failing::FailureCause;
use super::request::{AttemptEnd, NotRunReason, Outcome, Target, UnknownReason, UpstreamId};
use super::retries::RetryCost;
use super::suspects::RequestSubject;

impl Router {
    /// Handles the first output of an attempt that reaches the caller. An attempt beside it is
    /// cancelled.
    pub fn on_output(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        out: &mut Vec<RouterAction>,
    ) {
        if !self.keep_attempt(request, attempt, out) {
            return;
        }
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending.has_output = true;
        let sampled = pending.sampled.as_mut();
        let sample = sampled.and_then(|sampled| sampled.on_output(now));
        let state = self.targets.get_mut(&pending.meta.target);
        if let (Some(sample), Some(state)) = (sample, state) {
            state.record_sample(now, sample, out);
        }
        let Some(running) = pending.running.as_mut().filter(|r| r.id == attempt) else {
            return;
        };
        let is_first = running.first_at.replace(now).is_none();
        let sent_at = running.sent_at;
        let (target, upstream) = (pending.meta.target.clone(), running.upstream.clone());
        let state = self.targets.get_mut(&target);
        if let Some(upstream) = state.and_then(|state| state.upstream_mut(&upstream)) {
            upstream.on_progress(now);
            upstream.cooldown.on_output(now, sent_at);
            if is_first {
                upstream.on_first_output();
                self.reachability
                    .record_response(&upstream.spec.failure_domain);
                self.record_contact(now, &target, sent_at, out);
            }
        }
    }

    /// Handles further output of an attempt. An attempt beside it is cancelled.
    pub fn on_progress(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        out: &mut Vec<RouterAction>,
    ) {
        if !self.keep_attempt(request, attempt, out) {
            return;
        }
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let Some(running) = pending.running.as_ref().filter(|r| r.id == attempt) else {
            return;
        };
        let state = self.targets.get_mut(&pending.meta.target);
        if let Some(upstream) = state.and_then(|state| state.upstream_mut(&running.upstream)) {
            upstream.on_progress(now);
        }
    }

    /// Handles the end of an attempt: the request is answered, retried, held until its upstream has
    /// been checked, or goes on at the upstream of the attempt beside it.
    pub fn on_ended(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Some(running) = pending.take_running(attempt) else {
            return;
        };
        let goes_on = pending.is_running();
        let target = pending.meta.target.clone();
        let subject = RequestSubject {
            subjects: pending.meta.subjects(),
            target: target.clone(),
        };
        let mut fails_everywhere = false;
        if let Some(state) = self.targets.get_mut(&target) {
            let cause = state.on_attempt_ended(now, &self.settings, pending, &running, end);
            if let Some(FailureCause::Request { failed_at }) = cause {
                fails_everywhere = true;
                out.push(RouterAction::Log(format!(
                    "request {} failed at {} as it did at {failed_at}; it is not retried, and this failure is not counted against the upstream",
                    request.0, running.upstream
                )));
            }
        }
        if !matches!(end, AttemptEnd::NotSent | AttemptEnd::Refused) {
            pending.possible_runs += 1;
        }
        pending.has_unsent_attempt |= end == AttemptEnd::NotSent;
        self.record_reachability(now, &target, &running.upstream, end, out);
        match end {
            AttemptEnd::NotSent => {
                let upstream = &running.upstream;
                self.record_not_connected(now, &target, upstream, running.sent_at, out);
            }
            AttemptEnd::Lost => {}
            AttemptEnd::Completed { .. }
            | AttemptEnd::Refused
            | AttemptEnd::Failed { .. }
            | AttemptEnd::WrongAnswer => self.record_contact(now, &target, running.sent_at, out),
        }
        self.record_evidence(now, request, &subject, &running.upstream, end, out);
        match outcome_of(end, || self.retry_after(now, &target)) {
            Outcome::Completed => self.answer(request, Outcome::Completed, out),
            outcome if goes_on => self.go_on(request, &running.upstream, outcome, out),
            outcome if self.awaits_check(&subject, &running.upstream) => {
                self.hold_until_checked(&running.upstream, request, outcome);
            }
            // A retry would fail too, and take from the budget that all requests share.
            outcome if fails_everywhere => self.answer(request, outcome, out),
            // Nothing reached an upstream, so the next attempt is the first that does.
            outcome if end == AttemptEnd::NotSent => {
                self.retry_or_answer(now, request, outcome, RetryCost::Free, rng, out);
            }
            outcome => self.retry_or_answer(now, request, outcome, RetryCost::One, rng, out),
        }
        self.dispatch(now, &target, rng, out);
    }

    /// Records what the end of an attempt shows of the failure domain of its upstream. The own
    /// domain is never avoided: there, single hosts fail.
    fn record_reachability(
        &mut self,
        now: Timestamp,
        target: &Target,
        upstream: &UpstreamId,
        end: AttemptEnd,
        out: &mut Vec<RouterAction>,
    ) {
        let state = self.targets.get(target);
        let mut upstreams = state.into_iter().flat_map(|state| &state.upstreams);
        let known = upstreams.find(|known| known.spec.id == *upstream);
        let Some(spec) = known.map(|known| &known.spec).filter(|spec| spec.remote) else {
            return;
        };
        let domain = &spec.failure_domain;
        match end {
            AttemptEnd::NotSent => {
                if self.reachability.record_failure(now, domain, upstream) {
                    let text = format!("upstreams in {domain} can't be reached, avoiding them");
                    out.push(RouterAction::Log(text));
                }
            }
            AttemptEnd::Lost => {}
            AttemptEnd::Completed { .. }
            | AttemptEnd::Refused
            | AttemptEnd::Failed { .. }
            | AttemptEnd::WrongAnswer => self.reachability.record_response(domain),
        }
    }
}

/// The outcome of a request whose only attempt ended in this way.
fn outcome_of(end: AttemptEnd, retry_after: impl FnOnce() -> Duration) -> Outcome {
    match end {
        AttemptEnd::Completed { .. } => Outcome::Completed,
        AttemptEnd::NotSent | AttemptEnd::Refused => Outcome::NotRun {
            reason: NotRunReason::Refused,
            retry_after: retry_after(),
        },
        AttemptEnd::Failed { status } => Outcome::Failed { status },
        AttemptEnd::Lost => Outcome::Unknown {
            reason: UnknownReason::Lost,
        },
        AttemptEnd::WrongAnswer => Outcome::Unknown {
            reason: UnknownReason::WrongAnswer,
        },
    }
}
