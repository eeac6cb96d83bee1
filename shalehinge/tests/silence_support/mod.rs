//! Simulates streams at listed replicas that pause: a silent replica produces nothing, and goes on
//! afterwards where each of its streams is.

#![allow(dead_code)] // Each test file uses a part of it.

pub mod stream;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::router::request::{AttemptEnd, RequestMeta, Target, UpstreamId};
use shalehinge::core::router::topology::Topology;
use shalehinge::core::router::upstream::{Evidence, UpstreamSpec};
use shalehinge::core::router::{Router, RouterAction};
use shalehinge::core::types::{
    AttemptId, Customer, FailureDomain, GroupNumber, HostId, Incarnation, ModelName, ReplicaId,
    RequestId, Timestamp,
};
use shalehinge::settings::router::RouterSettings;

use self::stream::{MAX_ATTEMPTS, SimulatedStream, StreamFigures};

/// Time between two ticks of the router, and between two events of a stream.
pub const TICK: Duration = Duration::from_millis(50);
/// Time from submission to a deadline that no silence in these tests reaches.
pub const FAR: Duration = Duration::from_secs(60);
/// When the simulation begins.
const START: Timestamp = Timestamp::from_millis(1_000);

/// A router and replicas that pause.
pub struct SilenceSimulation {
    pub router: Router,
    pub now: Timestamp,
    pub streams: BTreeMap<u64, SimulatedStream>,
    rng: SmallRng,
    silences: BTreeMap<UpstreamId, Vec<Range<Timestamp>>>,
}

pub fn target() -> Target {
    Target::Model(ModelName::new("s/m"))
}

pub fn replica(number: u64) -> UpstreamId {
    UpstreamId::Replica(ReplicaId {
        failure_domain: FailureDomain::new("d"),
        number: GroupNumber(number),
    })
}

pub fn listed(number: u64) -> UpstreamSpec {
    UpstreamSpec {
        id: replica(number),
        address: ([10, 0, 0, 1], number as u16).into(),
        group: Some(GroupNumber(number)),
        failure_domain: FailureDomain::new("d"),
        remote: false,
        accepts_new: true,
        host: Some(HostId::new("host")),
        evidence: Evidence::Listed,
        slots: Some(8),
        started: None,
        warm_up: None,
    }
}

/// A stream that another upstream can continue.
pub fn resumable_stream(request: u64, deadline: Timestamp) -> RequestMeta {
    RequestMeta {
        customer: Customer::new("one"),
        fingerprint: Fingerprint(request),
        target: target(),
        prompt_tokens: 100,
        max_output_tokens: 50,
        deadline,
        first_output_within: None,
        priority: 5,
        key: None,
        repeatable: true,
        prefix: Vec::new(),
        prompt_parts: Vec::new(),
        max_attempts: Some(MAX_ATTEMPTS as u32),
        is_resumable: true,
        credential: None,
    }
}

impl SilenceSimulation {
    pub fn with_replicas(count: u64) -> Self {
        Self::with_settings(count, 1, Self::settings())
    }

    /// Settings with a retry budget that the tests don't use up.
    pub fn settings() -> RouterSettings {
        RouterSettings {
            max_attempts: 5,
            retry_burst: 50.0,
            ..RouterSettings::default()
        }
    }

    pub fn with_settings(count: u64, seed: u64, settings: RouterSettings) -> Self {
        let mut router = Router::new(settings, Incarnation(1));
        let specs = (0..count).map(listed).collect();
        router.set_topology(START, Topology::from([(target(), specs)]));
        Self {
            router,
            now: START,
            streams: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            silences: BTreeMap::new(),
        }
    }

    /// Pauses a replica from `after` from now on, for `length`.
    pub fn silence(&mut self, upstream: &UpstreamId, after: Duration, length: Duration) {
        let begin = self.now + after;
        let silences = self.silences.entry(upstream.clone()).or_default();
        silences.push(begin..begin + length);
    }

    /// Submits a stream of `events` events that is due `due_in` from now.
    pub fn submit(&mut self, request: u64, events: u32, due_in: Duration) {
        let meta = resumable_stream(request, self.now + due_in);
        self.submit_as(request, events, meta);
    }

    /// Submits a stream of `events` events.
    pub fn submit_as(&mut self, request: u64, events: u32, meta: RequestMeta) {
        let stream = SimulatedStream::new(self.now, events, meta.deadline);
        self.streams.insert(request, stream);
        let id = RequestId(request);
        let mut out = Vec::new();
        self.router
            .submit(self.now, id, meta, 1, &mut self.rng, &mut out);
        self.handle(out);
    }

    /// Lets `time` pass.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Steps until `condition` holds; fails after `limit`.
    pub fn step_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !condition(self) {
            assert!(self.now < end, "{}", self.figures());
            self.step();
        }
    }

    /// The replica of a stream's first attempt.
    pub fn first_replica(&self, request: u64) -> UpstreamId {
        self.streams[&request].attempts[0].upstream.clone()
    }

    /// One tick: all replicas produce one event a stream, then the router is ticked.
    pub fn step(&mut self) {
        self.now = self.now + TICK;
        for request in self.streams.keys().copied().collect::<Vec<_>>() {
            for index in 0..self.streams[&request].attempts.len() {
                self.produce(request, index);
            }
        }
        let mut out = Vec::new();
        self.router.tick(self.now, &mut self.rng, &mut out);
        self.handle(out);
    }

    fn is_silent(&self, upstream: &UpstreamId) -> bool {
        let mut silences = self.silences.get(upstream).into_iter().flatten();
        silences.any(|range| range.contains(&self.now))
    }

    fn produce(&mut self, request: u64, index: usize) {
        if self.is_silent(&self.streams[&request].attempts[index].upstream) {
            return;
        }
        let (now, id) = (self.now, RequestId(request));
        let stream = self.streams.get_mut(&request).expect("known");
        let Some(produced) = stream.produce(now, index) else {
            return;
        };
        let mut out = Vec::new();
        if produced.is_first {
            self.router.on_output(now, id, produced.attempt, &mut out);
        } else {
            self.router.on_progress(now, id, produced.attempt, &mut out);
        }
        self.handle(out);
        if produced.is_last {
            self.complete(request, produced.attempt);
        }
    }

    fn complete(&mut self, request: u64, attempt: AttemptId) {
        let output_tokens = self.streams[&request].received;
        self.end(request, attempt, AttemptEnd::Completed { output_tokens });
    }

    /// The replica ends an attempt, if it runs.
    pub fn end(&mut self, request: u64, attempt: AttemptId, end: AttemptEnd) {
        let stream = self.streams.get_mut(&request).expect("known");
        if !stream.end(attempt) {
            return;
        }
        let (now, id) = (self.now, RequestId(request));
        let mut out = Vec::new();
        self.router
            .on_ended(now, id, attempt, end, &mut self.rng, &mut out);
        self.handle(out);
    }

    /// The caller of a stream leaves.
    pub fn cancel(&mut self, request: u64) {
        let mut out = Vec::new();
        self.router.cancel(RequestId(request), &mut out);
        self.handle(out);
    }

    fn handle(&mut self, actions: Vec<RouterAction>) {
        for action in actions {
            match action {
                RouterAction::Send(attempt) => {
                    let stream = self.streams.get_mut(&attempt.request.0).expect("known");
                    stream.send(self.now, &attempt);
                }
                RouterAction::Answer { request, outcome } => {
                    let stream = self.streams.get_mut(&request.0).expect("known");
                    stream.answer(self.now, outcome);
                }
                RouterAction::Abandon(id) => {
                    for stream in self.streams.values_mut() {
                        stream.abandon(self.now, id);
                    }
                }
                RouterAction::CheckUpstream { upstream, .. } => {
                    let (now, is_gone) = (self.now, false);
                    let mut out = Vec::new();
                    self.router.on_upstream_checked(
                        now,
                        &upstream,
                        is_gone,
                        &mut self.rng,
                        &mut out,
                    );
                    self.handle(out);
                }
                RouterAction::RequestTrial(_)
                | RouterAction::Forward(_)
                | RouterAction::ProbeUpstream { .. }
                | RouterAction::ReportLimit(_)
                | RouterAction::RequestPermits { .. }
                | RouterAction::Count(_)
                | RouterAction::Log(_) => {}
            }
        }
    }

    /// The figures of all streams.
    pub fn figures(&self) -> StreamFigures {
        StreamFigures::of(self.streams.values())
    }

    /// Whether all streams are whole and no attempt was abandoned for silence alone.
    pub fn is_as_required(&self) -> bool {
        let figures = self.figures();
        figures.whole == figures.all && figures.abandoned_too_early == 0
    }

    /// Asserts that all streams are whole, and that no attempt was abandoned for silence alone.
    pub fn assert_all_whole(&self) {
        println!("{}", self.figures());
        assert!(self.is_as_required(), "{}", self.figures());
    }

    /// Asserts that no stream paused for longer than `silence` and the ticks around it.
    pub fn assert_no_pause_beyond(&self, silence: Duration) {
        let figures = self.figures();
        assert!(figures.longest_pause <= silence + 2 * TICK, "{figures}");
    }
}
