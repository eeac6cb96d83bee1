//! Simulation of routers and engines.
//!
//! The routers are those that the daemons use, the engines are performance models. The network
//! between them is simulated with a delay of 1 ms each way, and load reports can lag.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::engine::{EngineLoad, EnginePhase, EngineStatus};
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::fleet_state::{FleetState, ObjectUpdate};
use shalehinge::core::load::PeerLoad;
use shalehinge::core::objects::{
    Assignment, FleetConfig, GroupPhase, Member, ModelIntent, Object, ObjectKey,
};
use shalehinge::core::router::request::{
    Attempt, AttemptEnd, Outcome, RequestMeta, Target, UpstreamId,
};
use shalehinge::core::router::{Router, RouterAction, topology};
use shalehinge::core::types::{
    Address, AttemptId, Customer, DaemonId, FailureDomain, GroupNumber, HostId, Incarnation,
    ModelName, ModelVersion, RequestId, Timestamp, Version,
};
use shalehinge::settings::router::RouterSettings;

use super::workload::{Arrival, CUSTOMER_SHARES, CUSTOMERS, MAX_OUTPUT_TOKENS, REQUEST_DEADLINE};
use crate::engine::model::{EngineModel, EngineParameters, SequenceSpec};

/// One-way network delay between a router and an engine.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Interval between two ticks of a router.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between two samples of an engine's load history.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Number of daemons, each with one router.
    pub routers: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of replicas in all failure domains together.
    pub replicas: usize,
    /// Settings of the routers.
    pub settings: RouterSettings,
    /// Age of the load in a report.
    pub report_lag: Duration,
    /// Whether reports state the age of the load.
    pub reports_load_age: bool,
    /// Number of slow replicas, and the factor on the duration of their steps.
    pub slow_replicas: (usize, f64),
    /// Number of replicas that are lost, and when, since the start of the run.
    pub lost_replicas: (usize, Duration),
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_total: u64,
}

/// Result of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// Index of the customer.
    pub customer: usize,
    /// Time of arrival since the start of the run.
    pub arrived_at: Duration,
    /// Time from arrival to the first token of the last attempt that generated one.
    pub first_token: Option<Duration>,
    /// Mean time between tokens, for a complete output of at least two tokens.
    pub token_interval: Option<Duration>,
    /// Outcome and when it was returned, since the start of the run; `None` if the run ended
    /// before.
    pub outcome: Option<(Outcome, Duration)>,
    /// Number of attempts sent to engines.
    pub attempts: u32,
}

/// Results of a simulation.
#[derive(Clone, Debug)]
pub struct FleetResult {
    /// Results of the requests, in the order of arrival.
    pub requests: Vec<RequestResult>,
    /// Fraction of the prompt blocks that were found in prefix caches.
    pub prefix_hit_ratio: f64,
    /// Number of sequences preempted because a KV cache was full.
    pub preemptions: u64,
}

/// Event of the simulation. Routers, engines and arrivals are given by their index.
#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// A request of the workload arrives.
    RequestArrives(usize),
    /// A router ticks.
    RouterTicks(usize),
    /// An attempt of a router reaches its engine.
    AttemptArrives(usize, Attempt),
    /// An engine completes a step.
    StepEnds(usize),
    /// A router receives the status of an upstream that it requested at this time, or `None` on a
    /// timeout.
    ReportArrives(usize, UpstreamId, Timestamp, Option<EngineStatus>),
    /// A router receives the first token of an attempt.
    OutputArrives(usize, RequestId, AttemptId),
    /// A router learns how an attempt ended.
    AttemptEndArrives(usize, RequestId, AttemptId, AttemptEnd),
    /// A replica is lost.
    ReplicaIsLost(usize),
}

/// Queue entry for an event: the earliest comes first, then the one added first.
struct QueuedEvent {
    at: Duration,
    /// Order of insertion, for events at the same time.
    number: u64,
    event: Event,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Simulated engine of one replica.
struct Engine {
    model: EngineModel,
    is_lost: bool,
    /// Whether a step is in progress.
    is_stepping: bool,
    /// Tokens of the step in progress.
    pending_tokens: Vec<crate::engine::model::Token>,
    /// Router, attempt, and time of the first token (of the start, before it) by sequence.
    sequences: BTreeMap<u64, (usize, Attempt, Duration)>,
    /// Samples of the load over the last 3 s, oldest first.
    history: VecDeque<(Duration, EngineLoad)>,
}

/// Simulated fleet. Times are since the start of the run.
pub struct Fleet<'a> {
    spec: &'a FleetSpec,
    arrivals: &'a [Arrival],
    now: Duration,
    queue: BinaryHeap<QueuedEvent>,
    next_event_number: u64,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    rng: SmallRng,
    results: Vec<RequestResult>,
    next_sequence: u64,
}

/// Simulates a fleet under a workload, until all events are handled or two deadlines after the
/// last arrival.
pub fn run(spec: &FleetSpec, arrivals: &[Arrival], seed: u64) -> FleetResult {
    let mut fleet = Fleet::new(spec, arrivals, seed);
    let end = arrivals.last().map_or(Duration::ZERO, |last| last.at) + REQUEST_DEADLINE * 2;
    while let Some(entry) = fleet.queue.pop() {
        if entry.at > end {
            break;
        }
        fleet.now = entry.at;
        fleet.handle_event(entry.event);
    }
    fleet.into_result()
}

fn model_name() -> ModelName {
    ModelName::new("model")
}

fn customer_name(index: usize) -> Customer {
    Customer::new(&format!("customer-{index}"))
}

fn domain_name(index: usize) -> FailureDomain {
    FailureDomain::new(&format!("domain-{index}"))
}

/// Returns the state of a fleet with one model whose replicas, of one host each, already serve.
pub fn fleet_state(domains: usize, replicas: usize) -> FleetState {
    let mut state = FleetState::default();
    let mut fleet = FleetConfig::default();
    let intent = ModelIntent {
        owner: customer_name(0),
        version: ModelVersion::new("v1"),
        hosts_per_replica: 1,
        replicas: BTreeMap::new(),
    };
    fleet.models.insert(model_name(), intent);
    state.apply(ObjectUpdate {
        key: ObjectKey::Fleet,
        version: Version::without_era(1),
        object: Object::Fleet(fleet),
    });
    for domain in 0..domains {
        let mut assignment = Assignment::default();
        for replica in (domain..replicas).step_by(domains) {
            let member = Member {
                host: HostId::new(&format!("host-{replica}")),
                address: address_of(replica),
            };
            let version = ModelVersion::new("v1");
            let number = assignment.add_group(model_name(), version, vec![member]);
            if let Some(group) = assignment.groups.get_mut(&number) {
                group.phase = GroupPhase::Serving;
            }
        }
        state.apply(ObjectUpdate {
            key: ObjectKey::Assignment(domain_name(domain)),
            version: Version::without_era(1),
            object: Object::Assignment(assignment),
        });
    }
    state
}

/// Encodes the index of a replica in its address.
fn address_of(replica: usize) -> Address {
    let high = (replica / 60_000) as u8;
    Address::from(([10, 0, 0, high], (replica % 60_000) as u16))
}

fn replica_at(address: Address) -> usize {
    usize::from(address.port())
}

/// Returns the router of the daemon with this index, with the topology of the fleet.
pub fn new_router(index: usize, spec: &FleetSpec, state: &FleetState) -> Router {
    let mut router = Router::new(spec.settings, Incarnation(index as u64 + 1));
    let own_id = DaemonId::new(&format!("daemon-{index}"));
    let domain = domain_name(index % spec.domains);
    let upstreams = topology::build(state, &own_id, &domain, &spec.settings, |_| 1);
    router.set_topology(Timestamp::ZERO, upstreams);
    router.set_fleet_load(Timestamp::ZERO, spec.routers, &PeerLoad::default());
    router
}

impl<'a> Fleet<'a> {
    fn new(spec: &'a FleetSpec, arrivals: &'a [Arrival], seed: u64) -> Self {
        let state = fleet_state(spec.domains, spec.replicas);
        let routers = (0..spec.routers)
            .map(|index| new_router(index, spec, &state))
            .collect();
        let engines = (0..spec.replicas)
            .map(|index| new_engine(index, spec))
            .collect();
        let results = arrivals.iter().map(pending_result).collect();
        let mut fleet = Self {
            spec,
            arrivals,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            next_event_number: 0,
            routers,
            engines,
            rng: SmallRng::seed_from_u64(seed),
            results,
            next_sequence: 0,
        };
        for index in 0..spec.routers {
            // Staggers the ticks of the routers.
            let offset = TICK_INTERVAL.mul_f64(index as f64 / spec.routers as f64);
            fleet.schedule_after(offset, Event::RouterTicks(index));
        }
        for (index, arrival) in arrivals.iter().enumerate() {
            fleet.schedule_at(arrival.at, Event::RequestArrives(index));
        }
        for index in 0..spec.lost_replicas.0 {
            fleet.schedule_at(spec.lost_replicas.1, Event::ReplicaIsLost(index));
        }
        fleet
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.next_event_number += 1;
        let number = self.next_event_number;
        self.queue.push(QueuedEvent { at, number, event });
    }

    /// Current time by the clock of the routers.
    fn router_time(&self) -> Timestamp {
        // The run starts 10 s after the daemons.
        Timestamp::from_duration(self.now + Duration::from_secs(10))
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.router_time();
        let mut actions = Vec::new();
        match event {
            Event::RequestArrives(index) => self.submit_request(index),
            Event::RouterTicks(index) => self.tick(index),
            Event::AttemptArrives(router, attempt) => self.start_attempt(router, attempt),
            Event::StepEnds(engine) => self.end_step(engine),
            Event::ReportArrives(index, id, asked_at, status) => {
                let router = &mut self.routers[index];
                router.on_report(
                    now,
                    asked_at,
                    &id,
                    status.as_ref(),
                    &mut self.rng,
                    &mut actions,
                );
                self.apply_actions(index, actions);
            }
            Event::OutputArrives(index, request, attempt) => {
                let router = &mut self.routers[index];
                router.on_output(now, request, attempt, &mut actions);
                self.apply_actions(index, actions);
            }
            Event::AttemptEndArrives(index, request, attempt, end) => {
                let router = &mut self.routers[index];
                router.on_ended(now, request, attempt, end, &mut self.rng, &mut actions);
                self.apply_actions(index, actions);
            }
            Event::ReplicaIsLost(index) => self.lose_replica(index),
        }
    }

    fn submit_request(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        let router = index % self.spec.routers;
        let meta = RequestMeta {
            customer: customer_name(arrival.customer),
            fingerprint: Fingerprint(index as u64),
            target: Target::Model(model_name()),
            prompt_tokens: arrival.prompt_tokens,
            max_output_tokens: MAX_OUTPUT_TOKENS,
            deadline: self.router_time() + REQUEST_DEADLINE,
            first_output_within: None,
            priority: 0,
            key: None,
            repeatable: true,
            prefix: arrival.prefix.clone(),
            prompt_parts: Vec::new(),
            max_attempts: None,
            is_resumable: false,
            credential: None,
        };
        let mut actions = Vec::new();
        let (now, request) = (self.router_time(), RequestId(index as u64));
        let share = CUSTOMER_SHARES[arrival.customer];
        self.routers[router].submit(now, request, meta, share, &mut self.rng, &mut actions);
        self.apply_actions(router, actions);
    }

    fn tick(&mut self, index: usize) {
        let now = self.router_time();
        for report_request in self.routers[index].reports_wanted(now) {
            let engine = replica_at(report_request.address);
            let status = self.status(engine, report_request.group);
            let delay = if status.is_some() {
                NETWORK_DELAY * 2
            } else {
                Duration::from_secs(1)
            };
            self.schedule_after(
                delay,
                Event::ReportArrives(index, report_request.id, now, status),
            );
        }
        let mut actions = Vec::new();
        self.routers[index].tick(now, &mut self.rng, &mut actions);
        self.apply_actions(index, actions);
        self.schedule_after(TICK_INTERVAL, Event::RouterTicks(index));
    }

    /// Status that an engine reports, with a load as old as the report lag; `None` if it is lost.
    fn status(&self, index: usize, group: Option<GroupNumber>) -> Option<EngineStatus> {
        let engine = &self.engines[index];
        if engine.is_lost {
            return None;
        }
        let sampled_by = self.now.saturating_sub(self.spec.report_lag);
        let lagged = engine
            .history
            .iter()
            .rev()
            .find(|(at, _)| *at <= sampled_by);
        let mut load = lagged.map_or_else(|| engine.model.load(), |(_, load)| *load);
        load.age_ms = self
            .spec
            .reports_load_age
            .then_some(self.spec.report_lag.as_millis() as u64);
        Some(EngineStatus {
            host: HostId::new("host"),
            phase: EnginePhase::Ready,
            group,
            held: None,
            members_present: 1,
            member_count: 1,
            members_age_ms: 0,
            load,
            started: None,
        })
    }

    /// Carries out the actions that a router returned.
    fn apply_actions(&mut self, router: usize, actions: Vec<RouterAction>) {
        for action in actions {
            match action {
                RouterAction::Send(attempt) => {
                    let index = attempt.request.0 as usize;
                    self.results[index].attempts += 1;
                    self.schedule_after(NETWORK_DELAY, Event::AttemptArrives(router, attempt));
                }
                RouterAction::Answer { request, outcome } => {
                    let index = request.0 as usize;
                    self.results[index].outcome = Some((outcome, self.now));
                }
                RouterAction::Abandon(attempt) => self.cancel_attempt(attempt),
                RouterAction::CheckUpstream { upstream, .. } => {
                    // A lost replica would return as a different one; its host still answers, so
                    // the upstream doesn't count as gone.
                    let (now, is_gone) = (self.router_time(), false);
                    let mut new_actions = Vec::new();
                    self.routers[router].on_upstream_checked(
                        now,
                        &upstream,
                        is_gone,
                        &mut self.rng,
                        &mut new_actions,
                    );
                    self.apply_actions(router, new_actions);
                }
                // Simulated engines neither announce limits nor crash on a request, and can always be
                // connected to.
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

    /// Cancels the sequence of an attempt.
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        for engine in &mut self.engines {
            let sequence = engine
                .sequences
                .iter()
                .find(|(_, (_, running, _))| running.id == attempt)
                .map(|(sequence, _)| *sequence);
            if let Some(sequence) = sequence {
                engine.sequences.remove(&sequence);
                engine.model.cancel(sequence);
            }
        }
    }

    /// Submits an attempt to its engine.
    fn start_attempt(&mut self, router: usize, attempt: Attempt) {
        let index = replica_at(attempt.address);
        if self.engines[index].is_lost {
            let (request, id) = (attempt.request, attempt.id);
            self.schedule_after(
                NETWORK_DELAY,
                Event::AttemptEndArrives(router, request, id, AttemptEnd::NotSent),
            );
            return;
        }
        let arrival = &self.arrivals[attempt.request.0 as usize];
        let id = self.next_sequence;
        self.next_sequence += 1;
        let engine = &mut self.engines[index];
        engine.model.submit(SequenceSpec {
            id,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            prefix: arrival.prefix.clone(),
            priority: 0,
        });
        engine.sequences.insert(id, (router, attempt, self.now));
        self.start_step(index);
    }

    /// Starts the next step of an engine, unless a step is in progress.
    fn start_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.is_stepping || engine.is_lost {
            return;
        }
        if let Some(step) = engine.model.step() {
            engine.is_stepping = true;
            engine.pending_tokens = step.tokens;
            self.schedule_after(step.duration, Event::StepEnds(index));
        }
    }

    fn end_step(&mut self, index: usize) {
        let now = self.now;
        let engine = &mut self.engines[index];
        engine.is_stepping = false;
        let newest = engine.history.back().map(|(at, _)| *at);
        if newest.is_none_or(|at| now >= at + LOAD_SAMPLE_INTERVAL) {
            engine.history.push_back((now, engine.model.load()));
            let oldest = now.saturating_sub(Duration::from_secs(3));
            engine.history.retain(|(at, _)| *at >= oldest);
        }
        for token in std::mem::take(&mut self.engines[index].pending_tokens) {
            self.deliver_token(index, token);
        }
        self.start_step(index);
    }

    /// Sends a token of an engine to the router of its attempt.
    fn deliver_token(&mut self, index: usize, token: crate::engine::model::Token) {
        let engine = &mut self.engines[index];
        let Some((router, attempt, first_at)) = engine.sequences.get_mut(&token.id) else {
            return;
        };
        let (router, request, id) = (*router, attempt.request, attempt.id);
        let result = &mut self.results[request.0 as usize];
        let received_at = self.now + NETWORK_DELAY;
        if token.number == 1 {
            *first_at = self.now;
            result.first_token = Some(received_at - result.arrived_at);
            self.schedule_after(NETWORK_DELAY, Event::OutputArrives(router, request, id));
        }
        if !token.is_last {
            return;
        }
        let Some((_, _, first_at)) = self.engines[index].sequences.remove(&token.id) else {
            return;
        };
        if token.number > 1 {
            let result = &mut self.results[request.0 as usize];
            result.token_interval = Some((self.now - first_at) / (token.number - 1));
        }
        let end = AttemptEnd::Completed {
            output_tokens: token.number,
        };
        self.schedule_after(
            NETWORK_DELAY,
            Event::AttemptEndArrives(router, request, id, end),
        );
    }

    /// Ends the engine of a replica; its attempts are reported as lost.
    fn lose_replica(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.is_lost = true;
        engine.model.reset();
        for (_, (router, attempt, _)) in std::mem::take(&mut engine.sequences) {
            let (request, id) = (attempt.request, attempt.id);
            self.schedule_after(
                NETWORK_DELAY,
                Event::AttemptEndArrives(router, request, id, AttemptEnd::Lost),
            );
        }
    }

    fn into_result(self) -> FleetResult {
        let sum = |count: fn(&EngineModel) -> u64| -> u64 {
            self.engines.iter().map(|engine| count(&engine.model)).sum()
        };
        let lookups = sum(|model| model.cache_lookup_blocks).max(1);
        FleetResult {
            prefix_hit_ratio: sum(|model| model.cache_hit_blocks) as f64 / lookups as f64,
            preemptions: sum(|model| model.preemptions),
            requests: self.results,
        }
    }
}

fn new_engine(index: usize, spec: &FleetSpec) -> Engine {
    let mut parameters = EngineParameters {
        kv_total: spec.kv_total,
        ..EngineParameters::default()
    };
    if index < spec.slow_replicas.0 {
        parameters.slowdown = spec.slow_replicas.1;
    }
    Engine {
        model: EngineModel::new(parameters),
        is_lost: false,
        is_stepping: false,
        pending_tokens: Vec::new(),
        sequences: BTreeMap::new(),
        history: VecDeque::new(),
    }
}

fn pending_result(arrival: &Arrival) -> RequestResult {
    RequestResult {
        customer: arrival.customer,
        arrived_at: arrival.at,
        first_token: None,
        token_interval: None,
        outcome: None,
        attempts: 0,
    }
}

/// Returns the number of requests per second that one engine with this KV cache, in tokens,
/// completes while its queue never runs empty. Simulates this for `duration`.
pub fn engine_capacity(arrivals: &[Arrival], kv_total: u64, duration: Duration) -> f64 {
    let mut model = EngineModel::new(EngineParameters {
        kv_total,
        ..EngineParameters::default()
    });
    let mut elapsed = Duration::ZERO;
    let mut completed = 0;
    let mut next = arrivals.iter().cycle().enumerate();
    while elapsed < duration {
        while model.load().waiting < CUSTOMERS as u32 {
            let Some((id, arrival)) = next.next() else {
                break;
            };
            model.submit(SequenceSpec {
                id: id as u64,
                prompt_tokens: arrival.prompt_tokens,
                output_tokens: arrival.output_tokens,
                prefix: arrival.prefix.clone(),
                priority: 0,
            });
        }
        let Some(step) = model.step() else {
            break;
        };
        elapsed += step.duration;
        completed += step.tokens.iter().filter(|token| token.is_last).count();
    }
    completed as f64 / elapsed.as_secs_f64()
}
