//! A router with a few replicas, driven step by step.

#![allow(dead_code)] // Each test file uses a part of it.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::admission::counted_event::CountedEvent;
use shalehinge::core::engine::{EngineLoad, EnginePhase, EngineStatus};
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::router::quarantine::{Completion, QuarantineUpdate};
use shalehinge::core::router::request::{
    Attempt, AttemptEnd, Outcome, RequestMeta, Target, UpstreamId,
};
use shalehinge::core::router::topology::Topology;
use shalehinge::core::router::upstream::UpstreamSpec;
use shalehinge::core::router::{Router, RouterAction};
use shalehinge::core::trials::TrialGrant;
use shalehinge::core::types::{
    Address, Customer, FailureDomain, GroupNumber, HostId, Incarnation, ModelName, ReplicaId,
    RequestId, Timestamp,
};
use shalehinge::settings::router::RouterSettings;

/// Simulated time between two ticks of the router.
const STEP: Duration = Duration::from_millis(50);

/// Builds a request, with a fingerprint if it is not to follow from the request's number.
#[derive(Clone)]
pub struct RequestBuilder(RequestMeta, Option<Fingerprint>);

/// A request that must not be repeated, with a deadline 60 s after it is submitted.
pub fn request() -> RequestBuilder {
    RequestBuilder(
        RequestMeta {
            customer: Customer::new("one"),
            fingerprint: Fingerprint(1),
            target: target(),
            prompt_tokens: 10,
            max_output_tokens: 8,
            deadline: Timestamp::from_millis(60_000),
            first_output_within: None,
            priority: 0,
            key: None,
            repeatable: false,
            prefix: Vec::new(),
            prompt_parts: Vec::new(),
            max_attempts: None,
            is_resumable: false,
            credential: None,
        },
        None,
    )
}

impl RequestBuilder {
    /// Marks the request as safe to repeat.
    pub fn repeatable(mut self) -> Self {
        self.0.repeatable = true;
        self
    }

    /// Adds an API key that can be revoked.
    pub fn with_key(mut self) -> Self {
        self.0.credential = Some("a-hash".into());
        self
    }

    /// Sets the fingerprint, which is otherwise equal to the request's number.
    pub fn with_fingerprint(mut self, number: u64) -> Self {
        self.1 = Some(Fingerprint(number));
        self
    }

    /// Sets the parts of the prompt that other requests may share, by their ids.
    pub fn with_parts(mut self, ids: &[&str]) -> Self {
        let parts = ids.iter();
        let parts = parts.map(|id| Fingerprint::of_prompt_part(id.as_bytes()));
        self.0.prompt_parts = parts.collect();
        self
    }

    /// Sets the model that the request is for; see [`RouterHarness::split_replicas`].
    pub fn for_model(mut self, model: &str) -> Self {
        self.0.target = Target::Model(ModelName::new(model));
        self
    }

    /// Sets the time from arrival within which the first output is due.
    pub fn due_within(mut self, time: Duration) -> Self {
        self.0.first_output_within = Some(time);
        self
    }

    /// Sets the priority.
    pub fn with_priority(mut self, priority: u8) -> Self {
        self.0.priority = priority;
        self
    }

    /// Sets the customer that the request belongs to.
    pub fn with_customer(mut self, customer: &str) -> Self {
        self.0.customer = Customer::new(customer);
        self
    }
}

fn target() -> Target {
    Target::Model(ModelName::new("m"))
}

/// A router with simulated time, which records the attempts and answers that it sends.
pub struct RouterHarness {
    pub router: Router,
    now: Timestamp,
    rng: SmallRng,
    /// Number of replicas that send reports; their numbers start at 0.
    replica_count: u64,
    /// Upstreams whose reports were asked for and have not arrived.
    reports_wanted: Vec<UpstreamSpec>,
    /// Attempts that were sent, by the number of the request.
    sent: BTreeMap<u64, Vec<Attempt>>,
    /// Outcomes that callers received, by the number of the request.
    answers: BTreeMap<u64, Outcome>,
    /// Events that were counted.
    pub counted: Vec<CountedEvent>,
    /// Whether upstreams at which attempts are lost have crashed.
    pub upstreams_crash: bool,
    /// Whether trials are granted, each at the first candidate.
    pub grants_trials: bool,
    /// Whether checks of upstreams remain unanswered.
    pub defers_checks: bool,
}

impl RouterHarness {
    /// Lets the daemon do nothing for a while, as if its process were paused.
    pub fn pause(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// Replaces the topology by one without any target.
    pub fn remove_all_targets(&mut self) {
        self.router.set_topology(self.now, Topology::new());
    }

    /// Creates a router that has received reports of all its replicas as complete and idle.
    pub fn with_replicas(replica_count: u64) -> Self {
        Self::with_settings(replica_count, RouterSettings::default())
    }

    /// Like [`Self::with_replicas`], with these settings.
    pub fn with_settings(replica_count: u64, settings: RouterSettings) -> Self {
        let mut harness = Self {
            router: Router::new(settings, Incarnation(1)),
            now: Timestamp::from_millis(1_000),
            rng: SmallRng::seed_from_u64(1),
            replica_count,
            reports_wanted: Vec::new(),
            sent: BTreeMap::new(),
            answers: BTreeMap::new(),
            counted: Vec::new(),
            upstreams_crash: false,
            grants_trials: true,
            defers_checks: false,
        };
        let specs = (0..replica_count).map(spec).collect();
        harness
            .router
            .set_topology(harness.now, Topology::from([(target(), specs)]));
        harness.advance(Duration::from_secs(3));
        harness
    }

    /// Advances time, with reports of complete, idle replicas.
    pub fn advance(&mut self, time: Duration) {
        self.advance_time(time, true);
    }

    /// Advances time; reports that the router asks for arrive when time advances with reports again.
    pub fn advance_without_reports(&mut self, time: Duration) {
        self.advance_time(time, false);
    }

    /// Reduces the topology to the first `replicas` replicas.
    pub fn keep_replicas(&mut self, replica_count: u64) {
        self.replica_count = replica_count;
        let specs = (0..replica_count).map(spec).collect();
        self.router
            .set_topology(self.now, Topology::from([(target(), specs)]));
    }

    /// Replaces the replicas by as many others, divided evenly among these models.
    pub fn split_replicas(&mut self, models: &[&str]) {
        let first = self.replica_count;
        let of_model = self.replica_count / models.len() as u64;
        self.replica_count *= 2;
        let parts = (0..).zip(models).map(|(index, model)| {
            let numbers = first + index * of_model..first + (index + 1) * of_model;
            (
                Target::Model(ModelName::new(model)),
                numbers.map(spec).collect(),
            )
        });
        self.router.set_topology(self.now, parts.collect());
        self.advance(Duration::from_secs(3));
    }

    /// Fails a report of every replica, so that none counts as complete.
    pub fn fail_all_reports(&mut self) {
        for number in 0..self.replica_count {
            let mut out = Vec::new();
            let id = spec(number).id;
            let now = self.now;
            self.router
                .on_report(now, now, &id, None, &mut self.rng, &mut out);
            self.handle(out);
        }
        self.replica_count = 0;
    }

    /// Reports a replica as complete, based on a member check of this age.
    pub fn report_with_check_age(&mut self, number: u64, age: Duration) {
        let mut status = idle_status(number);
        status.members_age_ms = age.as_millis() as u64;
        let (id, now) = (spec(number).id, self.now);
        let mut out = Vec::new();
        self.router
            .on_report(now, now, &id, Some(&status), &mut self.rng, &mut out);
        self.handle(out);
    }

    fn advance_time(&mut self, time: Duration, with_reports: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            let mut out = Vec::new();
            self.reports_wanted
                .extend(self.router.reports_wanted(self.now));
            let answered = if with_reports {
                std::mem::take(&mut self.reports_wanted)
            } else {
                Vec::new()
            };
            for wanted in answered {
                let number = wanted.group.map_or(0, |group| group.0);
                if number < self.replica_count {
                    let status = idle_status(number);
                    let (id, now) = (wanted.id, self.now);
                    self.router
                        .on_report(now, now, &id, Some(&status), &mut self.rng, &mut out);
                }
            }
            self.router.tick(self.now, &mut self.rng, &mut out);
            self.handle(out);
        }
    }

    /// Submits a request. Returns the upstream of its first attempt if it was sent immediately.
    pub fn submit(&mut self, number: u64, request: RequestBuilder) -> Option<UpstreamId> {
        let mut meta = request.0;
        meta.deadline = self.now + Duration::from_secs(60);
        meta.fingerprint = request.1.unwrap_or(Fingerprint(number));
        let mut out = Vec::new();
        let id = RequestId(number);
        self.router
            .submit(self.now, id, meta, 1, &mut self.rng, &mut out);
        self.handle(out);
        self.upstream_of(number)
    }

    /// Submits requests until one is not sent immediately.
    pub fn fill_upstreams(&mut self) {
        let mut number = 1_000;
        while self.submit(number, request()).is_some() {
            number += 1;
        }
    }

    /// Reports output of the last attempt of a request, if there is one.
    pub fn output(&mut self, number: u64) {
        let Some(attempt) = self.last_attempt(number).map(|attempt| attempt.id) else {
            return;
        };
        let mut out = Vec::new();
        self.router
            .on_output(self.now, RequestId(number), attempt, &mut out);
        self.handle(out);
    }

    /// Ends the last attempt of a request, if there is one.
    pub fn end_attempt(&mut self, number: u64, end: AttemptEnd) {
        self.end_with_attempt_of(number, number, end);
    }

    /// Reports the end of the last attempt of `other` as the end of an attempt of `number`.
    pub fn end_with_attempt_of(&mut self, number: u64, other: u64, end: AttemptEnd) {
        let Some(attempt) = self.sent.get(&other).and_then(|sent| sent.last()) else {
            return;
        };
        let mut out = Vec::new();
        let (id, attempt) = (RequestId(number), attempt.id);
        self.router
            .on_ended(self.now, id, attempt, end, &mut self.rng, &mut out);
        self.handle(out);
    }

    /// Reports that another daemon received a complete answer to a request with this fingerprint.
    pub fn report_remote_completion(&mut self, fingerprint: u64) {
        let completion = Completion {
            fingerprint: Fingerprint(fingerprint),
            at: self.now,
        };
        let update = QuarantineUpdate {
            completions: vec![completion],
            ..QuarantineUpdate::default()
        };
        let mut out = Vec::new();
        self.router.apply_quarantine_update(update, &mut out);
        self.handle(out);
    }

    /// Cancels a request, as when its caller disconnects.
    pub fn cancel(&mut self, number: u64) {
        let mut out = Vec::new();
        self.router.cancel(RequestId(number), &mut out);
        self.handle(out);
    }

    /// Revokes all API keys.
    pub fn revoke_keys(&mut self) {
        let mut out = Vec::new();
        self.router.recheck_keys(|_| false, &mut out);
        self.handle(out);
    }

    /// Upstreams that are ejected now.
    pub fn ejected(&self) -> Vec<UpstreamId> {
        let upstreams = self.router.upstreams();
        upstreams
            .filter(|upstream| upstream.outlier.is_ejected(self.now))
            .map(|upstream| upstream.spec.id.clone())
            .collect()
    }

    /// The last attempt of a request.
    pub fn last_attempt(&self, number: u64) -> Option<&Attempt> {
        self.sent.get(&number)?.last()
    }

    /// Number of attempts that were sent for a request.
    pub fn attempts(&self, number: u64) -> usize {
        self.sent.get(&number).map_or(0, Vec::len)
    }

    /// The simulated time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Upstream of the first attempt of a request.
    pub fn upstream_of(&self, number: u64) -> Option<UpstreamId> {
        let sent = self.sent.get(&number)?;
        sent.first().map(|attempt| attempt.upstream.clone())
    }

    /// The outcome of a request, if it was answered.
    pub fn answer(&self, number: u64) -> Option<Outcome> {
        self.answers.get(&number).copied()
    }

    fn handle(&mut self, actions: Vec<RouterAction>) {
        for action in actions {
            match action {
                RouterAction::Send(attempt) => {
                    let sent = self.sent.entry(attempt.request.0).or_default();
                    sent.push(attempt);
                }
                RouterAction::Answer { request, outcome } => {
                    self.answers.insert(request.0, outcome);
                }
                RouterAction::CheckUpstream { .. } if self.defers_checks => {}
                RouterAction::CheckUpstream { upstream, .. } => {
                    let mut out = Vec::new();
                    let is_gone = self.upstreams_crash;
                    let now = self.now;
                    self.router.on_upstream_checked(
                        now,
                        &upstream,
                        is_gone,
                        &mut self.rng,
                        &mut out,
                    );
                    self.handle(out);
                }
                RouterAction::RequestTrial(trial_request) if self.grants_trials => {
                    let grant = TrialGrant {
                        fingerprint: trial_request.fingerprint,
                        upstream: trial_request.candidates[0].clone(),
                    };
                    let mut out = Vec::new();
                    self.router
                        .on_trial(self.now, &grant, &mut self.rng, &mut out);
                    self.handle(out);
                }
                RouterAction::Count(event) => self.counted.push(event),
                RouterAction::Abandon(_)
                | RouterAction::Forward(_)
                | RouterAction::ProbeUpstream { .. }
                | RouterAction::RequestTrial(_)
                | RouterAction::ReportLimit(_)
                | RouterAction::RequestPermits { .. }
                | RouterAction::Log(_) => {}
            }
        }
    }
}

fn spec(number: u64) -> UpstreamSpec {
    UpstreamSpec {
        id: UpstreamId::Replica(ReplicaId {
            failure_domain: FailureDomain::new("d"),
            number: GroupNumber(number),
        }),
        address: Address::from(([10, 0, 0, 1], number as u16)),
        group: Some(GroupNumber(number)),
        failure_domain: FailureDomain::new("d"),
        remote: false,
        accepts_new: true,
        host: None,
        evidence: shalehinge::core::router::upstream::Evidence::Reports,
        slots: None,
        started: None,
        warm_up: None,
    }
}

fn idle_status(number: u64) -> EngineStatus {
    EngineStatus {
        host: HostId::new("h"),
        phase: EnginePhase::Ready,
        group: Some(GroupNumber(number)),
        held: None,
        members_present: 4,
        member_count: 4,
        members_age_ms: 0,
        started: None,
        load: EngineLoad {
            slots: 16,
            kv_total: 100_000,
            ..EngineLoad::default()
        },
    }
}
