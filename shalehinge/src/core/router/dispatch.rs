//! The router's state machine, which combines queueing, upstream selection, attempts and
//! outcomes.
//!
//! Every submitted request receives exactly one answer. A cancelled request is answered
//! immediately.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::admission::counted_event::CountedEvent;
use crate::core::fingerprint::Fingerprint;
use crate::core::forward::Forward;
use crate::core::permits::LimitReport;
use crate::core::trials::TrialRequest;
use crate::core::types::{Address, AttemptId, FailureDomain, Incarnation, RequestId, Timestamp};
use crate::settings::router::RouterSettings;

use super::choose::Selection;
use super::connectivity::Connectivity;
use super::decision_log::decision_line;
use super::forwarding::{ForwardPeers, choose_peer};
use super::limit_state::PermitUrgency;
use super::quarantine::Quarantine;
use super::reachability::DomainReachability;
use super::refusal::{QueuedContext, queued_refusal, refused, unavailable_refusal};
use super::request::{
    Attempt, NotRunReason, Outcome, RequestMeta, Target, UnknownReason, UpstreamId,
};
use super::retry_budget::RetryBudget;
use super::suspects::PendingCheck;
use super::target::{ActiveAttempt, Pending, TargetState};
use super::topology::Topology;
use super::trial::{NO_TRIAL, RunningTrial, TrialState};
use super::upstream::Upstream;

/// An action for the caller of the router to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterAction {
    /// Send a request to an upstream.
    Send(Attempt),
    /// Give the caller of a request its final answer.
    Answer {
        /// The request.
        request: RequestId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// Cancel an attempt and do not reuse its connection.
    Abandon(AttemptId),
    /// Check whether an upstream is still running after an attempt was lost.
    CheckUpstream {
        /// The upstream.
        upstream: UpstreamId,
        /// The address it last listened on.
        address: Address,
    },
    /// Hand a request to a peer.
    Forward(Forward),
    /// Check whether an upstream of a cut-off target can be connected to.
    ProbeUpstream {
        /// The upstream.
        upstream: UpstreamId,
        /// The address it last listened on.
        address: Address,
    },
    /// Report a limit named by an upstream's answer to the limit's owner.
    ReportLimit(LimitReport),
    /// Request permits from a limit's owner.
    RequestPermits {
        /// What this daemon knows of the limit.
        known: LimitReport,
        /// Number of permits that this daemon can use soon.
        wanted: u32,
    },
    /// Request a trial of a suspected request from the owner of the target's trials.
    RequestTrial(TrialRequest),
    /// Count an event of the order among requests.
    Count(CountedEvent),
    /// Write a line to the log of routing decisions.
    Log(String),
}

/// The router of one daemon.
#[derive(Clone, Debug)]
pub struct Router {
    /// Settings of the router.
    pub(super) settings: RouterSettings,
    /// The run of this daemon, which is part of its attempt ids.
    pub(super) incarnation: Incarnation,
    /// Number of the next attempt.
    pub(super) next_attempt: u64,
    /// State of each target.
    pub(super) targets: BTreeMap<Target, TargetState>,
    /// Requests that have been submitted and not answered yet.
    pub(super) pending: BTreeMap<RequestId, Pending>,
    /// Limits the number of retries.
    pub(super) retries: RetryBudget,
    /// Number of daemons that send to the same upstreams, at least 1.
    pub(super) daemon_count: usize,
    /// Smoothed share of this daemon in the fleet-wide retry burst; `None` until it is known.
    pub(super) burst_share: Option<f64>,
    /// When that share was last updated.
    pub(super) burst_updated_at: Timestamp,
    /// Number of requests in the queues of all targets.
    pub(super) waiting: usize,
    /// Time until which requests that carry a key may be sent; `None` means no limit.
    pub(super) keys_valid_until: Option<Timestamp>,
    /// Requests that are suspected or proven to crash upstreams.
    pub(super) quarantine: Quarantine,
    /// Lost attempts, by upstream, while it is being checked whether the upstream crashed.
    pub(super) pending_checks: BTreeMap<UpstreamId, PendingCheck>,
    /// Trials of suspected requests by this daemon, by what each decides on.
    pub(super) running_trials: BTreeMap<Fingerprint, RunningTrial>,
    /// Reachability of the other failure domains.
    pub(super) reachability: DomainReachability,
    /// Whether this daemon can connect to the upstreams of each target.
    pub(super) connectivity: Connectivity,
    /// The peers that may run requests for this daemon.
    pub(super) forward_peers: ForwardPeers,
    /// Time of the last tick.
    pub(super) ticked_at: Timestamp,
    /// Time until which reports that a pause of this daemon has delayed are awaited.
    pub(super) reports_awaited_until: Timestamp,
}

impl Router {
    /// Creates a router without upstreams.
    pub fn new(settings: RouterSettings, incarnation: Incarnation) -> Self {
        Self {
            retries: if settings.retry_burst_is_shared {
                RetryBudget::nearly_empty(settings.retry_ratio, settings.retry_burst)
            } else {
                RetryBudget::new(settings.retry_ratio, settings.retry_burst)
            },
            settings,
            incarnation,
            next_attempt: 1,
            targets: BTreeMap::new(),
            pending: BTreeMap::new(),
            daemon_count: 1,
            burst_share: None,
            burst_updated_at: Timestamp::ZERO,
            waiting: 0,
            keys_valid_until: None,
            quarantine: Quarantine::default(),
            pending_checks: BTreeMap::new(),
            running_trials: BTreeMap::new(),
            reachability: DomainReachability::default(),
            connectivity: Connectivity::default(),
            forward_peers: ForwardPeers::default(),
            ticked_at: Timestamp::ZERO,
            reports_awaited_until: Timestamp::ZERO,
        }
    }

    /// The outcome of a request that did not run, with the configured retry-after time.
    pub(super) fn not_run(&self, reason: NotRunReason) -> Outcome {
        Outcome::NotRun {
            reason,
            retry_after: self.settings.retry_after,
        }
    }

    /// Replaces the set of upstreams. State of upstreams that remain is kept.
    pub fn set_topology(&mut self, now: Timestamp, topology: Topology) {
        for (target, specs) in topology.iter() {
            let state = self.targets.entry(target.clone()).or_default();
            let mut old = std::mem::take(&mut state.upstreams);
            for spec in specs {
                let known = old.iter().position(|upstream| upstream.spec.id == spec.id);
                let mut upstream = match known {
                    Some(index) => old.swap_remove(index),
                    None => Upstream::new(spec.clone()),
                };
                upstream.update(now, spec.clone());
                state.upstreams.push(upstream);
            }
            // Upstreams that left the topology are kept until their requests have ended.
            for mut upstream in old {
                if upstream.in_flight() > 0 {
                    upstream.spec.accepts_new = false;
                    state.upstreams.push(upstream);
                }
            }
        }
        for (target, state) in &mut self.targets {
            if !topology.contains_key(target) {
                for upstream in &mut state.upstreams {
                    upstream.spec.accepts_new = false;
                }
            }
        }
    }

    /// Begins a whole warm-up of the upstreams in a failure domain.
    pub fn restart_warm_ups(&mut self, now: Timestamp, domain: &FailureDomain) {
        for state in self.targets.values_mut() {
            for upstream in &mut state.upstreams {
                if upstream.spec.failure_domain == *domain {
                    upstream.restart_warm_up(now);
                }
            }
        }
    }

    /// Number of requests not yet answered.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Number of requests waiting for an upstream.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Numbers of eligible upstreams and of all upstreams of a target.
    pub fn eligible(&self, now: Timestamp, target: &Target) -> (usize, usize) {
        let Some(state) = self.targets.get(target) else {
            return (0, 0);
        };
        let eligible = state.upstreams.iter().filter(|u| u.is_eligible(now));
        (eligible.count(), state.upstreams.len())
    }

    /// All upstreams of all targets.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.targets.values().flat_map(|state| &state.upstreams)
    }

    /// The target of a request that has not been answered yet.
    pub fn target_of(&self, request: RequestId) -> Option<&Target> {
        Some(&self.pending.get(&request)?.meta.target)
    }

    /// Accepts a request of a customer with this share. It is sent, queued, handed to a peer, held
    /// for a trial or refused.
    pub fn submit(
        &mut self,
        now: Timestamp,
        request: RequestId,
        meta: RequestMeta,
        share: u32,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        self.accept(now, request, Pending::new(now, meta, share), rng, out);
    }

    /// Like [`Self::submit`], for a request that a peer handed to this daemon. It is never handed
    /// on.
    pub fn submit_forwarded(
        &mut self,
        now: Timestamp,
        request: RequestId,
        meta: RequestMeta,
        share: u32,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        if self.connectivity.is_doubtful(&meta.target) {
            let outcome = self.not_run(NotRunReason::Unreachable);
            out.push(RouterAction::Answer { request, outcome });
            return;
        }
        let pending = Pending {
            is_forwarded: true,
            ..Pending::new(now, meta, share)
        };
        self.accept(now, request, pending, rng, out);
    }

    fn accept(
        &mut self,
        now: Timestamp,
        request: RequestId,
        mut pending: Pending,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let meta = &pending.meta;
        let share = pending.share;
        if let Some(refusal) = self.refusal(now, meta, share) {
            let outcome = refused(refusal);
            out.push(RouterAction::Answer { request, outcome });
            return;
        }
        let target = meta.target.clone();
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        pending.cost = state.cost_of(meta);
        let is_quarantined = self.is_quarantined(now, &pending.meta);
        if is_quarantined && !self.can_forward(now, &target) {
            self.hold_for_trial(now, request, pending, rng, out);
            return;
        }
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        state.enqueue(request, &pending, self.settings.timely_first);
        self.pending.insert(request, pending);
        self.waiting += 1;
        self.evict_overflow(&target, out);
        self.dispatch(now, &target, rng, out);
    }

    /// Sends queued requests of a target while upstreams have room.
    pub(super) fn dispatch(
        &mut self,
        now: Timestamp,
        target: &Target,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let max_wait = self.settings.max_wait;
        let avoided = self.reachability.avoided(now);
        if let Some(state) = self.targets.get_mut(target) {
            state.update_share(self.daemon_count);
        }
        loop {
            let Some(state) = self.targets.get_mut(target) else {
                return;
            };
            let Some(request) = state
                .queue
                .peek(now, max_wait)
                .map(|waiting| waiting.request)
            else {
                self.end_saturation(now, target, out);
                return;
            };
            let Some(pending) = self.pending.get_mut(&request) else {
                state.queue.pop();
                continue;
            };
            let service_time = state.service_time(&pending.meta);
            let refusal = queued_refusal(&QueuedContext {
                now,
                settings: &self.settings,
                quarantine: &self.quarantine,
                keys_valid_until: self.keys_valid_until,
                service_time,
                pending,
            });
            if let Some(refusal) = refusal {
                self.answer_next(target, refused(refusal), out);
                continue;
            }
            if pending.is_forwarded && self.connectivity.is_doubtful(target) {
                let outcome = self.not_run(NotRunReason::Unreachable);
                self.answer_next(target, outcome, out);
                continue;
            }
            let peer = choose_peer(&self.connectivity, &self.forward_peers, now, pending, rng);
            if let Some(peer) = peer {
                state.queue.pop();
                self.waiting -= 1;
                self.forward(now, request, peer, out);
                continue;
            }
            let selection = state.choose_for(now, &self.settings, &avoided, pending, rng);
            if selection.choice.is_none() {
                if matches!(pending.trial, TrialState::At { .. }) {
                    // The upstream of the trial is gone. Requests queued behind it must not wait
                    // for it.
                    self.answer_next(target, NO_TRIAL, out);
                    continue;
                }
                let wait = state.unavailable_for(now).unwrap_or_default();
                let time_left = pending.meta.deadline.since(now);
                if let Some(refusal) = unavailable_refusal(&self.settings, wait, time_left) {
                    self.answer_next(target, refused(refusal), out);
                    continue;
                }
                state.ask_permits_for_all(now, out);
                if !wait.is_zero() {
                    state.drain.restart(now);
                }
                self.record_saturation(now, target, out);
                return;
            }
            state.queue.pop();
            self.waiting -= 1;
            if pending.attempts == 0 {
                self.retries.deposit();
            }
            self.send(now, request, selection, out);
        }
    }

    /// Sends a request to the selected upstream, if there is one.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        request: RequestId,
        selection: Selection,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(choice) = selection.choice else {
            return;
        };
        let id = self.next_attempt_id();
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Some(state) = self.targets.get_mut(&pending.meta.target) else {
            return;
        };
        if let Some(wanted) = selection.wanted {
            state.upstreams[wanted].limit.on_diverted();
            out.extend(state.ask_permits(now, wanted, PermitUrgency::Prefetch));
        }
        if selection.makes_up {
            state.upstreams[choice.index].limit.on_made_up();
        }
        let orders = self.settings.overload_order;
        let urgency = orders.then(|| state.urgency_of(now, request, pending, out));
        out.push(RouterAction::Log(decision_line(
            request, pending, state, &choice, urgency,
        )));
        let needs_confirmed_key = pending.needs_confirmed_key();
        let mut attempt = state.send(now, request, pending, id, choice.index, urgency);
        if let TrialState::At { subject, .. } = &pending.trial {
            let trial = RunningTrial {
                upstream: attempt.upstream.clone(),
                subjects: pending.meta.subjects(),
            };
            self.running_trials.insert(*subject, trial);
        }
        if let Some(until) = self.keys_valid_until.filter(|_| needs_confirmed_key) {
            attempt.valid_until = attempt.valid_until.min(until);
        }
        out.push(RouterAction::Send(attempt));
    }

    /// The id of a new attempt.
    pub(super) fn next_attempt_id(&mut self) -> AttemptId {
        let sequence = self.next_attempt;
        self.next_attempt += 1;
        AttemptId {
            incarnation: self.incarnation,
            sequence,
        }
    }

    /// Removes the next request from a target's queue and answers it.
    fn answer_next(&mut self, target: &Target, outcome: Outcome, out: &mut Vec<RouterAction>) {
        let state = self.targets.get_mut(target);
        if let Some(next) = state.and_then(|state| state.queue.pop()) {
            self.waiting -= 1;
            self.answer(next.request, outcome, out);
        }
    }

    /// Answers a request; `last` is the outcome of its last attempt.
    pub(super) fn answer(
        &mut self,
        request: RequestId,
        last: Outcome,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(mut pending) = self.pending.remove(&request) else {
            return;
        };
        for attempt in pending.take_attempts() {
            self.cancel_attempt(&pending.meta.target, &attempt, out);
        }
        let outcome = pending.outcome(last);
        out.push(RouterAction::Answer { request, outcome });
    }

    /// Cancels an attempt that is in flight.
    pub(super) fn cancel_attempt(
        &mut self,
        target: &Target,
        attempt: &ActiveAttempt,
        out: &mut Vec<RouterAction>,
    ) {
        if let ActiveAttempt::AtUpstream(running) = attempt
            && let Some(state) = self.targets.get_mut(target)
        {
            state.release(running);
        }
        out.push(RouterAction::Abandon(attempt.id()));
    }

    /// Cancels a request whose caller left: a waiting request is dropped, a running attempt is
    /// cancelled.
    pub fn cancel(&mut self, request: RequestId, out: &mut Vec<RouterAction>) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        if pending.is_running() {
            let reason = UnknownReason::CallerLeft;
            self.answer(request, Outcome::Unknown { reason }, out);
            return;
        }
        let (target, customer) = (&pending.meta.target, &pending.meta.customer);
        let state = self.targets.get_mut(target);
        if state.is_some_and(|state| state.queue.remove(customer, request).is_some()) {
            self.waiting -= 1;
        }
        let outcome = Outcome::NotRun {
            reason: NotRunReason::CallerLeft,
            retry_after: Duration::ZERO,
        };
        self.answer(request, outcome, out);
    }
}
