//! Simulates streams at listed replicas that pause: a silent replica produces nothing, and goes on
//! afterwards where each of its streams is.

#![allow(dead_code)] // Each test file uses a part of it.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::router::request::{
    Attempt, AttemptEnd, Outcome, RequestMeta, Target, UpstreamId,
};
use shalehinge::core::router::topology::Topology;
use shalehinge::core::router::upstream::{Evidence, UpstreamSpec};
use shalehinge::core::router::{Router, RouterAction};
use shalehinge::core::types::{
    AttemptId, Customer, FailureDomain, GroupNumber, HostId, Incarnation, ModelName, ReplicaId,
    RequestId, Timestamp,
};
use shalehinge::settings::router::RouterSettings;

/// Time between two ticks of the router, and between two events of a stream.
pub const TICK: Duration = Duration::from_millis(50);
/// Ticks until a replica produces the first event of an attempt.
const TICKS_TO_FIRST_EVENT: u32 = 2;
/// When the simulation begins.
pub const START: Timestamp = Timestamp::from_millis(1_000);
/// Maximum number of attempts of a stream, as its route sets it.
pub const MAX_ATTEMPTS: usize = 2;

/// One attempt at a replica.
#[derive(Clone, Debug)]
pub struct SimulatedAttempt {
    pub id: AttemptId,
    pub upstream: UpstreamId,
    pub sent_at: Timestamp,
    pub output_at: Option<Timestamp>,
    is_running: bool,
    preparing: u32,
    position: u32,
}

/// One stream and what was measured of it.
#[derive(Debug)]
pub struct SimulatedStream {
    pub attempts: Vec<SimulatedAttempt>,
    pub outcome: Option<Outcome>,
    pub longest_pause: Duration,
    pub abandoned: usize,
    /// Attempts abandoned although no other one had gone on.
    pub abandoned_too_early: usize,
    events: u32,
    received: u32,
    received_at: Timestamp,
    deadline: Timestamp,
    ended_early: bool,
}

impl SimulatedStream {
    /// Whether the caller received each event and the end of the stream.
    pub fn is_whole(&self) -> bool {
        self.received == self.events && self.outcome == Some(Outcome::Completed)
    }

    /// Number of events that the caller received.
    pub fn received(&self) -> u32 {
        self.received
    }

    /// Whether the daemon answered otherwise before the deadline.
    pub fn is_ended_early(&self) -> bool {
        self.ended_early
    }
}

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

fn meta(request: u64, deadline: Timestamp) -> RequestMeta {
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
        Self::with_settings(count, 1, RouterSettings::default())
    }

    pub fn with_settings(count: u64, seed: u64, settings: RouterSettings) -> Self {
        let settings = RouterSettings {
            max_attempts: 5,
            retry_burst: 50.0,
            ..settings
        };
        Self::with_router_settings(count, seed, settings)
    }

    /// Like `with_settings`, with the given number of attempts and of retries.
    pub fn with_router_settings(count: u64, seed: u64, settings: RouterSettings) -> Self {
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
        let deadline = self.now + due_in;
        let stream = SimulatedStream {
            attempts: Vec::new(),
            outcome: None,
            longest_pause: Duration::ZERO,
            abandoned: 0,
            abandoned_too_early: 0,
            events,
            received: 0,
            received_at: self.now,
            deadline,
            ended_early: false,
        };
        self.streams.insert(request, stream);
        let (id, meta) = (RequestId(request), meta(request, deadline));
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
            assert!(self.now < end, "{}", self.summary());
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
        self.check_limits();
    }

    pub fn is_silent(&self, upstream: &UpstreamId) -> bool {
        let silences = self.silences.get(upstream).into_iter().flatten();
        silences.into_iter().any(|range| range.contains(&self.now))
    }

    fn produce(&mut self, request: u64, index: usize) {
        let attempt = &self.streams[&request].attempts[index];
        if !attempt.is_running || self.is_silent(&attempt.upstream) {
            return;
        }
        let now = self.now;
        let stream = self.streams.get_mut(&request).expect("known");
        let attempt = &mut stream.attempts[index];
        let id = attempt.id;
        if attempt.preparing > 0 {
            attempt.preparing -= 1;
            return;
        }
        let is_first = attempt.output_at.replace(now).is_none();
        attempt.position += 1;
        let is_last = attempt.position == stream.events;
        if attempt.position > stream.received {
            stream.received = attempt.position;
            stream.longest_pause = stream.longest_pause.max(now.since(stream.received_at));
            stream.received_at = now;
        }
        let mut out = Vec::new();
        let known = RequestId(request);
        if is_first {
            self.router.on_output(now, known, id, &mut out);
        } else {
            self.router.on_progress(now, known, id, &mut out);
        }
        self.handle(out);
        if is_last {
            self.complete(request, index);
        }
    }

    fn complete(&mut self, request: u64, index: usize) {
        let output_tokens = self.streams[&request].attempts[index].position;
        self.end(request, index, AttemptEnd::Completed { output_tokens });
    }

    /// The replica ends an attempt, if it runs.
    pub fn end(&mut self, request: u64, index: usize, end: AttemptEnd) {
        let attempts = &mut self.streams.get_mut(&request).expect("known").attempts;
        if !attempts[index].is_running {
            return;
        }
        attempts[index].is_running = false;
        let id = attempts[index].id;
        let mut out = Vec::new();
        let known = RequestId(request);
        self.router
            .on_ended(self.now, known, id, end, &mut self.rng, &mut out);
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
                RouterAction::Send(attempt) => self.send(&attempt),
                RouterAction::Answer { request, outcome } => self.answer(request, outcome),
                RouterAction::Abandon(id) => self.abandon(id),
                RouterAction::CheckUpstream { upstream, .. } => {
                    let mut out = Vec::new();
                    self.router.on_upstream_checked(
                        self.now,
                        &upstream,
                        false,
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
                | RouterAction::Log(_) => {}
            }
        }
    }

    fn send(&mut self, attempt: &Attempt) {
        let now = self.now;
        let stream = self.streams.get_mut(&attempt.request.0).expect("known");
        stream.attempts.push(SimulatedAttempt {
            id: attempt.id,
            upstream: attempt.upstream.clone(),
            sent_at: now,
            output_at: None,
            is_running: true,
            preparing: TICKS_TO_FIRST_EVENT,
            position: stream.received,
        });
    }

    fn answer(&mut self, request: RequestId, outcome: Outcome) {
        let now = self.now;
        let stream = self.streams.get_mut(&request.0).expect("known");
        assert_eq!(stream.outcome, None, "a request is answered once");
        stream.outcome = Some(outcome);
        stream.ended_early = outcome != Outcome::Completed && now < stream.deadline;
        for attempt in &mut stream.attempts {
            attempt.is_running = false;
        }
    }

    fn abandon(&mut self, id: AttemptId) {
        let is_it = |attempt: &SimulatedAttempt| attempt.id == id;
        let mut streams = self.streams.values_mut();
        let stream = streams
            .find(|stream| stream.attempts.iter().any(is_it))
            .expect("known");
        let index = stream.attempts.iter().position(is_it).expect("known");
        let sent_at = stream.attempts[index].sent_at;
        let mut others = stream.attempts.iter().filter(|attempt| attempt.id != id);
        let another_went_on = others.any(|other| {
            let both_ran_at = other.sent_at.max(sent_at);
            other.is_running && other.output_at.is_some_and(|at| at >= both_ran_at)
        });
        let is_due = self.now >= stream.deadline;
        let is_over = matches!(stream.outcome, Some(Outcome::Completed)) || is_due;
        stream.abandoned += 1;
        stream.abandoned_too_early += usize::from(!another_went_on && !is_over);
        stream.attempts[index].is_running = false;
    }

    fn check_limits(&self) {
        for (request, stream) in &self.streams {
            let attempts = &stream.attempts;
            assert!(
                attempts.len() <= MAX_ATTEMPTS,
                "stream {request}: {attempts:?}"
            );
            let mut running = attempts.iter().filter(|attempt| attempt.is_running);
            if let (Some(first), Some(second)) = (running.next(), running.next()) {
                assert_ne!(first.upstream, second.upstream, "stream {request}");
            }
        }
    }

    /// Numbers of whole streams and of all.
    pub fn whole(&self) -> (usize, usize) {
        let whole = self.streams.values().filter(|stream| stream.is_whole());
        (whole.count(), self.streams.len())
    }

    /// The figures of all streams in one line.
    pub fn summary(&self) -> String {
        let sum = |figure: fn(&SimulatedStream) -> usize| -> usize {
            self.streams.values().map(figure).sum()
        };
        let (whole, all) = self.whole();
        let pauses = self.streams.values().map(|stream| stream.longest_pause);
        format!(
            "{whole} of {all} whole, {} ended early, {} attempts, {} abandoned, {} of them too early, longest pause {:?}",
            sum(|stream| usize::from(stream.is_ended_early())),
            sum(|stream| stream.attempts.len()),
            sum(|stream| stream.abandoned),
            sum(|stream| stream.abandoned_too_early),
            pauses.max().unwrap_or_default(),
        )
    }

    /// Whether all streams are whole and no attempt was abandoned for silence alone.
    pub fn is_as_required(&self) -> bool {
        let mut streams = self.streams.values();
        streams.all(|stream| stream.is_whole() && stream.abandoned_too_early == 0)
    }

    /// Asserts that all streams are whole, and that no attempt was abandoned for silence alone.
    pub fn assert_all_whole(&self) {
        let summary = self.summary();
        println!("{summary}");
        for (request, stream) in &self.streams {
            assert!(stream.is_whole(), "{summary}; stream {request}: {stream:?}");
            assert_eq!(
                stream.abandoned_too_early, 0,
                "{summary}; stream {request}: {stream:?}"
            );
        }
    }

    /// Asserts that no stream paused for longer than `silence` and the ticks around it.
    pub fn assert_no_pause_beyond(&self, silence: Duration) {
        let summary = self.summary();
        let pauses = self.streams.values().map(|stream| stream.longest_pause);
        let longest = pauses.max().unwrap_or_default();
        assert!(longest <= silence + 2 * TICK, "{summary}");
    }
}

/// A deadline that no silence in these tests reaches.
pub const FAR: Duration = Duration::from_secs(60);
