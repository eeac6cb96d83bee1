//! State of one target: its upstreams, its queue and what was learned from its requests.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::core::admission::latency_sample::SampledRequest;
use crate::core::admission::shortage::Shortage;
use crate::core::types::{Address, AttemptId, Customer, FailureDomain, RequestId, Timestamp};
use crate::settings::router::RouterSettings;

use super::candidates::CandidateFactor;
use super::capacity::RecentCapacity;
use super::choose::{Choice, ChoiceContext, Selection, choose, typical_interval};
use super::estimate::{DrainRate, LowerEnvelope, SmoothedDuration};
use super::failing::{FailingRequests, FailureCause};
use super::forwarding::RunningForward;
use super::prefix::BLOCK_TOKENS;
use super::queue::QueuedRequest;
use super::request::{Attempt, AttemptEnd, Outcome, RequestMeta, UpstreamId};
use super::saturation::Saturation;
use super::trial::TrialState;
use super::upstream::{Upstream, Work};
use super::wait_queue::WaitQueue;

/// Expected output of a request before any was measured, as a fraction of its maximum.
const INITIAL_OUTPUT_FRACTION: f64 = 0.5;
/// HTTP statuses from here on are the upstream's fault.
pub(super) const FIRST_SERVER_ERROR: u16 = 500;

/// A request that has been submitted and not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// What is known about the request.
    pub(super) meta: RequestMeta,
    /// When the request was submitted.
    pub(super) arrived_at: Timestamp,
    /// Number of attempts sent.
    pub(super) attempts: u32,
    /// Number of attempts that may have run.
    pub(super) possible_runs: u32,
    /// Upstreams to which attempts were sent.
    pub(super) tried: Vec<UpstreamId>,
    /// Whether an attempt could not be sent. The next one then goes to the own failure domain, as
    /// the others may be cut off too.
    pub(super) has_unsent_attempt: bool,
    /// The attempt in flight at an upstream, if any.
    pub(super) running: Option<Running>,
    /// A second attempt beside `running`, whose upstream is silent.
    pub(super) hedge: Option<Running>,
    /// Whether an attempt has produced output.
    pub(super) has_output: bool,
    /// Outcome of an earlier attempt that may have run.
    pub(super) earlier_outcome: Option<Outcome>,
    /// Estimated cost in tokens if the prompt is not cached.
    pub(super) cost: f64,
    /// Share of the customer.
    pub(super) share: u32,
    /// Trial state of the request.
    pub(super) trial: TrialState,
    /// Whether a peer handed the request to this daemon.
    pub(super) is_forwarded: bool,
    /// The peer that runs the request, if any.
    pub(super) forwarded: Option<RunningForward>,
    /// Peers to which the request was handed.
    pub(super) peers_tried: Vec<Address>,
    /// How it was first sent, and whether its first output is still to be sampled; `None` before,
    /// and if requests are sent without an urgency.
    pub(super) sampled: Option<SampledRequest>,
}

impl Pending {
    /// A request of a customer with this share that has just been submitted.
    pub(super) fn new(now: Timestamp, meta: RequestMeta, share: u32) -> Self {
        Self {
            meta,
            arrived_at: now,
            attempts: 0,
            possible_runs: 0,
            tried: Vec::new(),
            has_unsent_attempt: false,
            running: None,
            hedge: None,
            has_output: false,
            earlier_outcome: None,
            cost: 0.0,
            share,
            trial: TrialState::None,
            is_forwarded: false,
            forwarded: None,
            peers_tried: Vec::new(),
            sampled: None,
        }
    }

    /// Whether an upstream or a peer runs the request.
    pub(super) fn is_running(&self) -> bool {
        self.running.is_some() || self.forwarded.is_some()
    }

    /// Number of further attempts that may run.
    pub(super) fn runs_left(&self) -> Option<u32> {
        let limit = self.meta.max_attempts?;
        let in_flight = u32::from(self.running.is_some()) + u32::from(self.hedge.is_some());
        Some(limit.saturating_sub(self.possible_runs + in_flight))
    }

    /// The attempt in flight at an upstream with this id.
    pub(super) fn running_attempt(&self, id: AttemptId) -> Option<&Running> {
        let mut attempts = self.running.iter().chain(&self.hedge);
        attempts.find(|attempt| attempt.id == id)
    }

    /// Removes the attempt in flight at an upstream with this id. A hedge takes the place of the
    /// first attempt.
    pub(super) fn take_running(&mut self, id: AttemptId) -> Option<Running> {
        if let Some(hedge) = self.hedge.take_if(|hedge| hedge.id == id) {
            return Some(hedge);
        }
        let running = self.running.take_if(|running| running.id == id)?;
        self.running = self.hedge.take();
        Some(running)
    }

    /// Removes all attempts in flight.
    pub(super) fn take_attempts(&mut self) -> Vec<ActiveAttempt> {
        let upstreams = [self.running.take(), self.hedge.take()];
        let upstreams = upstreams.into_iter().flatten();
        let peer = self.forwarded.take().map(ActiveAttempt::AtPeer);
        upstreams
            .map(ActiveAttempt::AtUpstream)
            .chain(peer)
            .collect()
    }

    /// Makes the attempt with this id the only one. Returns the one beside it, if there is any.
    pub(super) fn keep_only(&mut self, id: AttemptId) -> Option<ActiveAttempt> {
        let is_forward = self.forwarded.is_some_and(|forwarded| forwarded.id == id);
        if is_forward {
            return self.running.take().map(ActiveAttempt::AtUpstream);
        }
        if let Some(hedge) = self.hedge.take_if(|hedge| hedge.id == id) {
            return self.running.replace(hedge).map(ActiveAttempt::AtUpstream);
        }
        let hedge = self.hedge.take().map(ActiveAttempt::AtUpstream);
        hedge.or_else(|| self.forwarded.take().map(ActiveAttempt::AtPeer))
    }

    /// The request's outcome if its last attempt ended in this way. A request that may have run
    /// in an earlier attempt cannot be reported as not run.
    pub(super) fn outcome(&self, last: Outcome) -> Outcome {
        match last {
            Outcome::NotRun { .. } => self.earlier_outcome.unwrap_or(last),
            _ => last,
        }
    }
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct Running {
    /// Id of the attempt.
    pub(super) id: AttemptId,
    /// The upstream that runs it.
    pub(super) upstream: UpstreamId,
    /// When it was sent.
    pub(super) sent_at: Timestamp,
    /// When its first output arrived.
    pub(super) first_at: Option<Timestamp>,
    /// Its estimated cost to the upstream.
    pub(super) work: Work,
}

/// An attempt in flight, wherever it runs.
#[derive(Clone, Debug)]
pub(super) enum ActiveAttempt {
    /// At an upstream.
    AtUpstream(Running),
    /// At a peer.
    AtPeer(RunningForward),
}

impl ActiveAttempt {
    /// Id of the attempt.
    pub(super) fn id(&self) -> AttemptId {
        match self {
            Self::AtUpstream(running) => running.id,
            Self::AtPeer(forwarded) => forwarded.id,
        }
    }

    /// Number of attempts at upstreams that it may have caused.
    pub(super) fn max_runs(&self) -> u32 {
        match self {
            Self::AtUpstream(_) => 1,
            Self::AtPeer(forwarded) => forwarded.max_runs,
        }
    }
}

/// State of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetState {
    /// The upstreams that this daemon considers.
    pub(super) upstreams: Vec<Upstream>,
    /// The queued requests.
    pub(super) queue: WaitQueue,
    /// The rate at which the queue drains.
    pub(super) drain: DrainRate,
    /// Smoothed time to first token.
    pub(super) first_token: SmoothedDuration,
    /// Time to first token of a request that does not have to wait.
    pub(super) fastest_first: LowerEnvelope,
    /// Smoothed interval between two tokens.
    pub(super) token_interval: SmoothedDuration,
    /// Smoothed output of a request as a fraction of its maximum; `None` until it has been
    /// measured.
    pub(super) output_fraction: Option<f64>,
    /// Number of requests sent, used for round-robin.
    pub(super) sent_count: usize,
    /// Requests that failed recently.
    pub(super) failing: FailingRequests,
    /// The highest number of upstreams that were present recently.
    pub(super) recent_capacity: RecentCapacity,
    /// Whether requests wait for this daemon's own share of the capacity.
    pub(super) saturation: Saturation,
    /// How many upstreams this daemon considers.
    pub(super) candidates: CandidateFactor,
    /// Estimated number of requests to the target in progress at other daemons, if known.
    pub(super) peer_load: Option<f64>,
    /// Whether the target is overloaded, and the order of its new requests while it is.
    pub(super) shortage: Shortage,
}

impl TargetState {
    /// Number of upstreams that are present, including those that get no new requests at the
    /// moment.
    pub(super) fn present(&self, now: Timestamp) -> usize {
        let present = self.upstreams.iter().filter(|u| u.is_present(now));
        present.count()
    }

    /// Adds a request to the queue.
    pub(super) fn enqueue(&mut self, request: RequestId, pending: &Pending, timely_first: bool) {
        let waiting = QueuedRequest {
            request,
            cost: pending.cost,
            priority: pending.meta.priority,
            deadline: pending.meta.deadline,
            start_by: self.start_by(pending).filter(|_| timely_first),
        };
        self.queue
            .push(&pending.meta.customer, pending.share, waiting);
    }

    /// Latest time to send a request so that it meets its target time. A request that was sent
    /// before has none and is not demoted, as part of it may have run.
    pub(super) fn start_by(&self, pending: &Pending) -> Option<Timestamp> {
        let target_time = pending.meta.first_output_within?;
        let fastest = self.fastest_first.get()?;
        let is_new = pending.attempts == 0;
        is_new.then(|| pending.arrived_at + target_time.saturating_sub(fastest))
    }

    /// Expected output of a request, in tokens.
    pub(super) fn expected_output(&self, meta: &RequestMeta) -> f64 {
        f64::from(meta.max_output_tokens) * self.output_fraction.unwrap_or(INITIAL_OUTPUT_FRACTION)
    }

    /// Estimated cost of a request in tokens if its prompt is not cached.
    pub(super) fn cost_of(&self, meta: &RequestMeta) -> f64 {
        f64::from(meta.prompt_tokens) + self.expected_output(meta) + 1.0
    }

    /// Estimated time from sending a request to its complete answer.
    pub(super) fn service_time(&self, meta: &RequestMeta) -> Duration {
        let first = self.first_token.get().unwrap_or_default();
        let interval = self.token_interval.get().unwrap_or_default();
        first + interval.mul_f64(self.expected_output(meta))
    }

    /// Estimated queueing time of a new request of this customer.
    pub(super) fn wait_of(&self, customer: &Customer, share: u32, cost: f64) -> Duration {
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        let (queued_ahead, fraction) = self.queue.queued_ahead(customer, share);
        self.drain
            .wait(queued_ahead + cost, fraction)
            .unwrap_or_default()
    }

    /// Selects an upstream for a request. One that was already tried is selected only if no
    /// untried one is available. A trial runs on its assigned upstream only.
    pub(super) fn choose_for(
        &mut self,
        now: Timestamp,
        settings: &RouterSettings,
        avoided: &BTreeSet<FailureDomain>,
        pending: &Pending,
        rng: &mut impl rand::Rng,
    ) -> Selection {
        if let TrialState::At { upstream, .. } = &pending.trial {
            return self.trial_choice(now, upstream);
        }
        let selection = self.choose_untried(now, settings, avoided, &pending.tried, pending, rng);
        if selection.choice.is_some() || pending.tried.is_empty() {
            return selection;
        }
        let may_be_untried =
            |u: &Upstream| u.may_be_sent(now) && !pending.tried.contains(&u.spec.id);
        if self.upstreams.iter().any(may_be_untried) {
            return selection;
        }
        // All available upstreams have been tried, so allow trying one again.
        self.choose_untried(now, settings, avoided, &[], pending, rng)
    }

    /// Selects an upstream that is not among the `excluded` ones.
    pub(super) fn choose_untried(
        &self,
        now: Timestamp,
        settings: &RouterSettings,
        avoided: &BTreeSet<FailureDomain>,
        excluded: &[UpstreamId],
        pending: &Pending,
        rng: &mut impl rand::Rng,
    ) -> Selection {
        let context = ChoiceContext {
            now,
            settings,
            prefix: &pending.meta.prefix,
            work: self.work_of(&pending.meta, 0),
            excluded,
            sent_count: self.sent_count,
            avoided,
            prefers_local: pending.has_unsent_attempt,
        };
        choose(&self.upstreams, &context, rng)
    }

    /// A trial runs on its assigned upstream only: elsewhere it might run beside another trial.
    fn trial_choice(&self, now: Timestamp, id: &UpstreamId) -> Selection {
        let is_trial_upstream = |u: &Upstream| u.spec.id == *id && u.may_be_sent(now);
        let index = self.upstreams.iter().position(is_trial_upstream);
        Selection {
            choice: index.map(Choice::without_figures),
            ..Selection::default()
        }
    }

    /// Estimated cost of a request to an upstream whose cache holds this many blocks of the
    /// prompt.
    pub(super) fn work_of(&self, meta: &RequestMeta, cached_blocks: usize) -> Work {
        let cached_tokens = f64::from(BLOCK_TOKENS) * cached_blocks as f64;
        let prompt = (f64::from(meta.prompt_tokens) - cached_tokens).max(0.0);
        let output = self.expected_output(meta);
        Work {
            tokens: prompt + output,
            kv_peak: f64::from(meta.prompt_tokens) + output,
        }
    }

    /// Records that a request is sent to the upstream at `index`, and returns the attempt. It is a
    /// hedge if another attempt runs.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        request: RequestId,
        pending: &mut Pending,
        id: AttemptId,
        index: usize,
        urgency: Option<u8>,
    ) -> Attempt {
        let cached_blocks = self.upstreams[index]
            .prefixes
            .matching_blocks(&pending.meta.prefix);
        let work = self.work_of(&pending.meta, cached_blocks);
        self.sent_count = self.sent_count.wrapping_add(1);
        self.drain.record(now, pending.cost, !self.queue.is_empty());
        let upstream = &mut self.upstreams[index];
        upstream.on_sent(now, work);
        upstream.prefixes.record(&pending.meta.prefix);
        pending.attempts += 1;
        pending.tried.push(upstream.spec.id.clone());
        let running = Running {
            id,
            upstream: upstream.spec.id.clone(),
            sent_at: now,
            first_at: None,
            work,
        };
        let is_hedge = pending.running.is_some();
        let place = if is_hedge {
            &mut pending.hedge
        } else {
            &mut pending.running
        };
        *place = Some(running);
        Attempt {
            request,
            id,
            upstream: upstream.spec.id.clone(),
            address: upstream.spec.address,
            group: upstream.spec.group,
            host: upstream.spec.host.clone(),
            valid_until: upstream.valid_until(pending.meta.deadline),
            time_left: pending.meta.deadline.since(now),
            priority: pending.meta.priority,
            urgency,
            is_hedge,
        }
    }

    /// Finds an upstream by id.
    pub(super) fn upstream_mut(&mut self, id: &UpstreamId) -> Option<&mut Upstream> {
        self.upstreams.iter_mut().find(|u| u.spec.id == *id)
    }

    /// Releases the resources held by an attempt.
    pub(super) fn release(&mut self, running: &Running) {
        if let Some(upstream) = self.upstream_mut(&running.upstream) {
            upstream.on_ended(running.sent_at, running.work, running.first_at.is_some());
        }
    }

    /// Updates the state from the end of an attempt. If the upstream returned a failure, returns
    /// what it is attributed to.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        settings: &RouterSettings,
        pending: &Pending,
        running: &Running,
        end: AttemptEnd,
    ) -> Option<FailureCause> {
        self.release(running);
        let fingerprint = pending.meta.fingerprint;
        match end {
            AttemptEnd::Completed { output_tokens } => {
                self.failing.record_completion(fingerprint);
                self.record_attempt_completion(now, pending, running, output_tokens);
                self.eject_if_slow(now, settings, &running.upstream);
            }
            AttemptEnd::NotSent | AttemptEnd::Lost => {
                if let Some(upstream) = self.upstream_mut(&running.upstream) {
                    upstream.invalidate_evidence(now);
                }
                self.record_upstream_failure(now, settings, &running.upstream);
            }
            AttemptEnd::Refused => {
                if let Some(upstream) = self.upstream_mut(&running.upstream) {
                    upstream.invalidate_evidence(now);
                }
            }
            // An error of the caller, not of the upstream.
            AttemptEnd::Failed { status } if status < FIRST_SERVER_ERROR => {}
            AttemptEnd::Failed { .. } => {
                let upstream = &running.upstream;
                let cause = self.failing.record_failure(now, fingerprint, upstream);
                if cause == FailureCause::Upstream {
                    self.record_upstream_failure(now, settings, upstream);
                }
                return Some(cause);
            }
            AttemptEnd::WrongAnswer => {
                self.record_upstream_failure(now, settings, &running.upstream)
            }
        }
        None
    }

    /// Updates the estimates of speed and output from a completed attempt with this number of
    /// output tokens.
    pub(super) fn record_attempt_completion(
        &mut self,
        now: Timestamp,
        pending: &Pending,
        running: &Running,
        tokens: u32,
    ) {
        let first_at = running.first_at.unwrap_or(now);
        let first = first_at.since(running.sent_at);
        let interval = (tokens > 1).then(|| now.since(first_at) / (tokens - 1));
        self.first_token.record(first);
        self.fastest_first.record(first);
        interval.inspect(|interval| self.token_interval.record(*interval));
        if let Some(upstream) = self.upstream_mut(&running.upstream) {
            upstream.outlier.on_success();
            upstream.cooldown.on_output(now, running.sent_at);
            upstream.first_token.record(first);
            interval.inspect(|interval| upstream.token_interval.record(*interval));
        }
        let wanted = f64::from(pending.meta.max_output_tokens);
        if tokens > 0 && wanted > 0.0 {
            const SMOOTHING: f64 = 0.02;
            let fraction = (f64::from(tokens) / wanted).min(1.0);
            let known = self.output_fraction.unwrap_or(INITIAL_OUTPUT_FRACTION);
            self.output_fraction = Some(known + SMOOTHING * (fraction - known));
            let actual = f64::from(pending.meta.prompt_tokens) + f64::from(tokens) + 1.0;
            self.queue
                .correct(&pending.meta.customer, pending.cost, actual);
        }
    }

    /// Records a failure of an upstream, and ejects it if that is due and enough others remain.
    pub(super) fn record_upstream_failure(
        &mut self,
        now: Timestamp,
        settings: &RouterSettings,
        id: &UpstreamId,
    ) {
        let may_eject = self.may_eject(now, settings);
        let Some(upstream) = self.upstream_mut(id) else {
            return;
        };
        if upstream.outlier.on_failure(settings) && may_eject {
            upstream.outlier.eject(now, settings);
        }
    }

    /// Whether one more upstream may be ejected without exceeding the maximum fraction.
    pub(super) fn may_eject(&self, now: Timestamp, settings: &RouterSettings) -> bool {
        let ejected = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.outlier.is_ejected(now))
            .count();
        (ejected + 1) as f64 <= self.upstreams.len() as f64 * settings.max_ejected
    }

    /// Ejects an upstream whose token interval is too long compared to the typical one, if enough
    /// others remain.
    pub(super) fn eject_if_slow(
        &mut self,
        now: Timestamp,
        settings: &RouterSettings,
        id: &UpstreamId,
    ) {
        let Some(typical) = typical_interval(&self.upstreams) else {
            return;
        };
        let may_eject = self.may_eject(now, settings);
        let Some(upstream) = self.upstream_mut(id) else {
            return;
        };
        let limit = typical.mul_f64(settings.slow_factor);
        let is_slow = upstream.token_interval.get().is_some_and(|own| own > limit);
        if is_slow && may_eject && !upstream.outlier.is_ejected(now) {
            upstream.outlier.eject(now, settings);
            upstream.token_interval = SmoothedDuration::default();
        }
    }
}
