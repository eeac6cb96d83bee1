//! Second attempts beside attempts at silent upstreams.
//!
//! Silence does not show that an upstream is lost: it may go on at any moment. An attempt at a
//! silent upstream therefore stays in flight, and a second attempt, its hedge, is made beside it, at
//! another upstream or at a peer. The one that produces output first is kept, the other one is
//! cancelled. If one of them ends without a complete answer, the other one goes on.

use std::collections::BTreeSet;

use crate::core::types::{AttemptId, FailureDomain, RequestId, Timestamp};
use crate::settings::router::RouterSettings;

use super::choose::Selection;
use super::dispatch::{Router, RouterAction};
use super::forwarding::choose_peer;
use super::refusal::{QueuedContext, queued_refusal};
use super::request::{Outcome, UpstreamId};
use super::target::{Pending, TargetState};
use super::trial::TrialState;
use super::upstream::Upstream;

/// Number of silent upstreams from which on a common cause is possible.
const MIN_SILENT_TOGETHER: usize = 3;
/// Factor applied to `stall_after` while most upstreams are silent together: they probably go on
/// together, and the others can't run all of their requests.
const COMMON_CAUSE_FACTOR: u32 = 3;

impl TargetState {
    /// Whether more than half of the upstreams that run requests are silent.
    fn is_silence_common(&self, now: Timestamp, settings: &RouterSettings) -> bool {
        let busy = || self.upstreams.iter().filter(|u| u.in_flight() > 0);
        let silent = busy().filter(|u| u.is_silent(now, settings)).count();
        silent >= MIN_SILENT_TOGETHER && silent * 2 > busy().count()
    }

    /// Upstreams whose requests should be hedged.
    fn upstreams_to_hedge(&self, now: Timestamp, settings: &RouterSettings) -> Vec<UpstreamId> {
        let is_affected = |u: &&Upstream| u.in_flight() > 0 && (u.is_stalled() || u.is_lost());
        let affected: Vec<&Upstream> = self.upstreams.iter().filter(is_affected).collect();
        if affected.is_empty() {
            return Vec::new();
        }
        let wait = if self.is_silence_common(now, settings) {
            settings.stall_after * COMMON_CAUSE_FACTOR
        } else {
            settings.stall_after
        };
        let due = affected
            .into_iter()
            .filter(|upstream| upstream.is_lost() || upstream.silent_for(now) >= wait);
        due.map(|upstream| upstream.spec.id.clone()).collect()
    }

    /// Selects an upstream for a hedge: one that was not tried yet and is not silent.
    fn choose_for_hedge(
        &self,
        now: Timestamp,
        settings: &RouterSettings,
        avoided: &BTreeSet<FailureDomain>,
        pending: &Pending,
        rng: &mut impl rand::Rng,
    ) -> Selection {
        let silent = self.upstreams.iter().filter(|u| u.is_silent(now, settings));
        let silent = silent.map(|upstream| upstream.spec.id.clone());
        let excluded: Vec<UpstreamId> = pending.tried.iter().cloned().chain(silent).collect();
        self.choose_untried(now, settings, avoided, &excluded, pending, rng)
    }
}

impl Pending {
    /// Whether a second attempt may be made beside the first one.
    fn may_be_hedged(&self, settings: &RouterSettings) -> bool {
        let is_restartable = !self.has_output || self.meta.is_resumable;
        let is_alone = self.hedge.is_none() && self.forwarded.is_none();
        let has_runs_left = self.runs_left().is_none_or(|left| left > 0);
        self.meta.repeatable
            && is_restartable
            && is_alone
            && has_runs_left
            && self.attempts < settings.max_attempts
            && self.trial == TrialState::None
    }
}

impl Router {
    /// Makes hedges for the requests at silent and at lost upstreams.
    pub(super) fn hedge_silent(
        &mut self,
        now: Timestamp,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let settings = self.settings;
        let targets = self.targets.values();
        let silent: Vec<UpstreamId> = targets
            .flat_map(|state| state.upstreams_to_hedge(now, &settings))
            .collect();
        if silent.is_empty() {
            return;
        }
        let requests = self.pending.iter().filter(|(_, pending)| {
            let running = pending.running.as_ref();
            running.is_some_and(|running| silent.contains(&running.upstream))
                && pending.may_be_hedged(&settings)
        });
        let requests: Vec<RequestId> = requests.map(|(request, _)| *request).collect();
        for request in requests {
            self.hedge(now, request, rng, out);
        }
    }

    /// Makes a second attempt for a request, if an upstream or a peer can take it and the retry
    /// budget allows it.
    fn hedge(
        &mut self,
        now: Timestamp,
        request: RequestId,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let Some(state) = self.targets.get_mut(&pending.meta.target) else {
            return;
        };
        let refusal = queued_refusal(&QueuedContext {
            now,
            settings: &self.settings,
            quarantine: &self.quarantine,
            keys_valid_until: self.keys_valid_until,
            service_time: state.service_time(&pending.meta),
            pending,
        });
        if refusal.is_some() {
            return;
        }
        let peer = choose_peer(&self.connectivity, &self.forward_peers, now, pending, rng);
        let avoided = self.reachability.avoided(now);
        let selection = state.choose_for_hedge(now, &self.settings, &avoided, pending, rng);
        let can_be_sent = peer.is_some() || selection.choice.is_some();
        if !can_be_sent || !self.retries.withdraw(rng) {
            return;
        }
        if let Some(running) = &pending.running {
            out.push(RouterAction::Log(format!(
                "request {} gets a second attempt, as {} is silent",
                request.0, running.upstream
            )));
        }
        match peer {
            Some(peer) => self.forward(now, request, peer, out),
            None => self.send(now, request, selection, out),
        }
    }

    /// Keeps an attempt that produced output and cancels the one beside it. Returns whether the
    /// attempt is in flight.
    pub(super) fn keep_attempt(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        out: &mut Vec<RouterAction>,
    ) -> bool {
        if !self.is_in_flight(request, attempt) {
            return false;
        }
        let Some(pending) = self.pending.get_mut(&request) else {
            return false;
        };
        let Some(other) = pending.keep_only(attempt) else {
            return true;
        };
        pending.possible_runs += other.max_runs();
        let target = pending.meta.target.clone();
        out.push(RouterAction::Log(format!(
            "request {} goes on by attempt {attempt}, attempt {} is cancelled",
            request.0,
            other.id()
        )));
        self.cancel_attempt(&target, &other, out);
        true
    }

    /// Whether this attempt of a request is in flight, at an upstream or a peer.
    pub fn is_in_flight(&self, request: RequestId, attempt: AttemptId) -> bool {
        let pending = self.pending.get(&request);
        pending.is_some_and(|pending| {
            let is_forward = pending.forwarded.is_some_and(|known| known.id == attempt);
            is_forward || pending.running_attempt(attempt).is_some()
        })
    }

    /// Records that an attempt ended in this way while another one of the request is in flight.
    pub(super) fn go_on(
        &mut self,
        request: RequestId,
        upstream: &UpstreamId,
        outcome: Outcome,
        out: &mut Vec<RouterAction>,
    ) {
        out.push(RouterAction::Log(format!(
            "request {} goes on elsewhere after {outcome:?} at {upstream}",
            request.0
        )));
        let may_have_run = !matches!(outcome, Outcome::NotRun { .. });
        if let Some(pending) = self.pending.get_mut(&request).filter(|_| may_have_run) {
            pending.earlier_outcome = Some(outcome);
        }
    }
}
