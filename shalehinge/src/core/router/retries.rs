//! Whether a request whose attempt has ended is sent again.

use crate::core::types::{RequestId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::request::Outcome;
use super::retry_budget::RetryBudget;
use super::target::FIRST_SERVER_ERROR;

/// What a retry takes from the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryCost {
    /// Nothing.
    Free,
    /// One retry.
    One,
}

impl Router {
    /// Retries a request if that is safe, useful and within the retry budget, and answers it
    /// otherwise.
    pub(super) fn retry_or_answer(
        &mut self,
        now: Timestamp,
        request: RequestId,
        outcome: Outcome,
        cost: RetryCost,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let is_safe = match outcome {
            Outcome::NotRun { .. } => true,
            Outcome::Failed { status } if status < FIRST_SERVER_ERROR => false,
            Outcome::Failed { .. } | Outcome::Unknown { .. } => {
                let is_restartable = !pending.has_output || pending.meta.is_resumable;
                pending.meta.repeatable && is_restartable
            }
            Outcome::Completed => false,
        };
        let in_time = now < pending.meta.deadline;
        let max_runs = pending.meta.max_attempts;
        let has_runs_left = max_runs.is_none_or(|limit| pending.possible_runs < limit);
        let has_attempts_left = pending.attempts < self.settings.max_attempts;
        let is_quarantined = self
            .quarantine
            .active_for(now, &pending.meta, &self.settings)
            .is_some();
        let may_retry = is_safe && in_time && has_attempts_left && has_runs_left && !is_quarantined;
        let is_paid = |retries: &mut RetryBudget, rng: &mut _| match cost {
            RetryCost::Free => true,
            RetryCost::One => retries.withdraw(rng),
        };
        if !may_retry || !is_paid(&mut self.retries, rng) {
            self.answer(request, outcome, out);
            return;
        }
        let line = format!(
            "request {} is retried after {outcome:?}, attempt {}",
            request.0, pending.attempts
        );
        out.push(RouterAction::Log(line));
        if !matches!(outcome, Outcome::NotRun { .. }) {
            pending.earlier_outcome = Some(outcome);
        }
        if let Some(state) = self.targets.get_mut(&pending.meta.target) {
            state.enqueue(request, pending, self.settings.timely_first);
            self.waiting += 1;
        }
    }
}
