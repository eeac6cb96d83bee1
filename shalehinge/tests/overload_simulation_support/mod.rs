//! Routers of many daemons that send to the same groups, in simulated time and without a network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shalehinge::core::admission::urgency::{Band, MAX_RANK, Standing, urgency};
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::hash::rendezvous_weight;
use shalehinge::core::load::PeerLoad;
use shalehinge::core::router::request::{
    Attempt, AttemptEnd, Outcome, RequestMeta, Target, UpstreamId,
};
use shalehinge::core::router::topology::Topology;
use shalehinge::core::router::upstream::{Evidence, UpstreamSpec};
use shalehinge::core::router::{Router, RouterAction};
use shalehinge::core::types::{
    Address, AttemptId, Customer, FailureDomain, GroupNumber, Incarnation, ModelName, ReplicaId,
    RequestId, Timestamp,
};
use shalehinge::settings::router::RouterSettings;

pub const CUSTOMERS: usize = 6;
pub const RANKS: usize = 2;
pub const DOMAINS: usize = 3;
/// Time from arrival within which the first output is on time.
pub const LATENCY_TARGET_MS: u64 = 250;
const DEADLINE_MS: u64 = 6_000;
/// Requests that a group runs at the same time.
const SLOTS: usize = 5;
/// Time for which a group runs a request.
const SERVICE_MS: u64 = 200;
/// Time from when a group starts a request to its first output.
const FIRST_OUTPUT_MS: u64 = 50;
/// Requests per second that a group serves.
const GROUP_RATE: f64 = SLOTS as f64 * 1_000.0 / SERVICE_MS as f64;
/// Requests that wait at a group at most: what it serves in 4 s.
const MAX_WAITING: usize = 4 * GROUP_RATE as usize;
/// Urgency that a group assumes for a request without one.
const DEFAULT_URGENCY: u8 = 4;
const TICK_MS: u64 = 50;
/// Interval between two samples of the daemons' state.
const SAMPLE_MS: u64 = 500;
const START_MS: u64 = 1_000;
/// Fraction of the requests that [`Way::FixedFraction`] deprioritizes.
const FIXED_FRACTION: f64 = 0.6;

/// How requests are ordered at the groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By arrival, without the setting.
    Off,
    /// A fixed fraction is deprioritized by a hash of the request, without the setting.
    FixedFraction,
    /// By the urgency that the routers determine.
    On,
}

/// The fleet to simulate.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub daemons: usize,
    pub groups: usize,
    pub seed: u64,
    /// Demand as a multiple of the capacity, and for how many milliseconds, one phase after another.
    pub phases: &'static [(f64, u64)],
}

impl Scenario {
    /// Requests per second that all groups serve.
    pub fn capacity(&self) -> f64 {
        self.groups as f64 * GROUP_RATE
    }
}

/// A request and what its caller got.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Record {
    /// When it arrived, in milliseconds since the start of the first phase.
    pub arrived_at: u64,
    pub customer: usize,
    pub rank: usize,
    /// Failure domain of its daemon.
    pub domain: usize,
    daemon: usize,
    first_output_at: Option<u64>,
    outcome: Option<Outcome>,
}

/// What a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerResult {
    OnTime,
    Late,
    Refused,
    Failed,
}

impl Record {
    pub fn result(&self) -> CallerResult {
        let is_on_time = |at: u64| at - self.arrived_at <= LATENCY_TARGET_MS;
        match self.outcome {
            Some(Outcome::Completed) if self.first_output_at.is_some_and(is_on_time) => {
                CallerResult::OnTime
            }
            Some(Outcome::Completed) => CallerResult::Late,
            Some(Outcome::NotRun { .. }) => CallerResult::Refused,
            Some(Outcome::Failed { .. } | Outcome::Unknown { .. }) | None => CallerResult::Failed,
        }
    }
}

/// What the daemons know at one time.
#[derive(Clone, Copy, Debug)]
pub struct StateSample {
    /// Milliseconds since the start of the first phase.
    pub at: u64,
    /// Fraction of the daemons that assume an overload.
    pub overloaded: f64,
}

/// The result of a simulation.
pub struct Report {
    pub records: Vec<Record>,
    pub states: Vec<StateSample>,
}

/// A group, which starts waiting requests by urgency, then by arrival.
#[derive(Default)]
struct Group {
    running: BTreeSet<AttemptId>,
    waiting: BTreeMap<(Reverse<u8>, u64), AttemptId>,
}

enum Event {
    Arrival(usize),
    FirstOutput(AttemptId),
    Completed(AttemptId),
    Refused(AttemptId),
    Checked(usize, UpstreamId),
    Tick(usize),
    Sample,
}

/// An attempt that a group has taken, or has refused without the router knowing it yet.
#[derive(Clone, Copy)]
struct Sent {
    request: usize,
    group: usize,
}

struct Simulation {
    way: Way,
    now: u64,
    routers: Vec<Router>,
    groups: Vec<Group>,
    attempts: BTreeMap<AttemptId, Sent>,
    records: Vec<Record>,
    states: Vec<StateSample>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    rng: SmallRng,
}

/// Simulates all phases, and the time until all requests have been answered.
pub fn simulate(scenario: &Scenario, way: Way) -> Report {
    let records = arrivals(scenario);
    let phases = scenario.phases.iter();
    let end = phases.map(|(_, millis)| millis).sum::<u64>() + DEADLINE_MS + 1_000;
    let mut simulation = Simulation {
        way,
        now: START_MS,
        routers: (0..scenario.daemons)
            .map(|daemon| router(scenario, way, daemon))
            .collect(),
        groups: (0..scenario.groups).map(|_| Group::default()).collect(),
        attempts: BTreeMap::new(),
        records,
        states: Vec::new(),
        events: BTreeMap::new(),
        next_event: 0,
        rng: SmallRng::seed_from_u64(scenario.seed + 1),
    };
    for request in 0..simulation.records.len() {
        let at = START_MS + simulation.records[request].arrived_at;
        simulation.schedule(at, Event::Arrival(request));
    }
    for daemon in 0..scenario.daemons {
        let offset = TICK_MS * daemon as u64 / scenario.daemons as u64;
        simulation.schedule(START_MS + offset, Event::Tick(daemon));
    }
    simulation.schedule(START_MS, Event::Sample);
    simulation.run_until(START_MS + end);
    Report {
        records: simulation.records,
        states: simulation.states,
    }
}

/// The requests of all phases: Poisson arrivals at daemons chosen at random.
fn arrivals(scenario: &Scenario) -> Vec<Record> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut records = Vec::new();
    let mut begin = 0.0;
    for (demand, millis) in scenario.phases {
        let end = begin + *millis as f64;
        let interval = 1_000.0 / (demand * scenario.capacity());
        let mut at = begin;
        loop {
            at -= interval * (1.0 - rng.random::<f64>()).ln();
            if at >= end {
                break;
            }
            let daemon = rng.random_range(0..scenario.daemons);
            records.push(Record {
                arrived_at: at as u64,
                customer: rng.random_range(0..CUSTOMERS),
                rank: rng.random_range(0..RANKS),
                domain: daemon % DOMAINS,
                daemon,
                first_output_at: None,
                outcome: None,
            });
        }
        begin = end;
    }
    records
}

fn target() -> Target {
    Target::Model(ModelName::new("m"))
}

fn domain(number: usize) -> FailureDomain {
    FailureDomain::new(&format!("d{number}"))
}

/// The router of a daemon, with the settings of the users' platform where they matter here.
fn router(scenario: &Scenario, way: Way, daemon: usize) -> Router {
    let settings = RouterSettings {
        max_attempts: 5,
        retry_ratio: 0.15,
        retry_burst_is_shared: true,
        retry_after: Duration::from_secs(1),
        stall_after: Duration::from_millis(450),
        suspect_after: Duration::from_millis(200),
        prefix_affinity: false,
        overload_order: way == Way::On,
        ..RouterSettings::default()
    };
    let specs = (0..scenario.groups).map(|group| UpstreamSpec {
        id: UpstreamId::Replica(ReplicaId {
            failure_domain: domain(group % DOMAINS),
            number: GroupNumber(group as u64),
        }),
        address: Address::from(([10, 0, 0, 1], 1 + group as u16)),
        group: Some(GroupNumber(group as u64)),
        failure_domain: domain(group % DOMAINS),
        remote: group % DOMAINS != daemon % DOMAINS,
        accepts_new: true,
        host: None,
        evidence: Evidence::Listed,
        slots: Some(SLOTS as u32),
        started: None,
        warm_up: None,
    });
    let now = Timestamp::from_millis(START_MS);
    let mut router = Router::new(settings, Incarnation(1 + daemon as u64));
    router.set_topology(now, Topology::from([(target(), specs.collect())]));
    router.set_fleet_load(now, scenario.daemons, &PeerLoad::default());
    router
}

impl Simulation {
    fn schedule(&mut self, at: u64, event: Event) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn run_until(&mut self, end: u64) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = Timestamp::from_millis(self.now);
        let mut out = Vec::new();
        match event {
            Event::Arrival(request) => {
                let meta = self.meta(request);
                let daemon = self.records[request].daemon;
                let id = RequestId(request as u64);
                self.routers[daemon].submit(now, id, meta, 1, &mut self.rng, &mut out);
                self.perform(daemon, out);
            }
            Event::FirstOutput(id) => {
                let Some(sent) = self.attempts.get(&id) else {
                    return;
                };
                let record = &mut self.records[sent.request];
                record.first_output_at.get_or_insert(self.now - START_MS);
                let (daemon, request) = (record.daemon, RequestId(sent.request as u64));
                self.routers[daemon].on_output(now, request, id, &mut out);
                self.perform(daemon, out);
            }
            Event::Completed(id) => {
                self.end_attempt(id, AttemptEnd::Completed { output_tokens: 8 });
            }
            Event::Refused(id) => self.end_attempt(id, AttemptEnd::Refused),
            Event::Checked(daemon, upstream) => {
                let router = &mut self.routers[daemon];
                router.on_upstream_checked(now, &upstream, false, &mut self.rng, &mut out);
                self.perform(daemon, out);
            }
            Event::Tick(daemon) => {
                self.routers[daemon].tick(now, &mut self.rng, &mut out);
                self.perform(daemon, out);
                self.schedule(self.now + TICK_MS, Event::Tick(daemon));
            }
            Event::Sample => {
                self.sample_states();
                self.schedule(self.now + SAMPLE_MS, Event::Sample);
            }
        }
    }

    fn meta(&self, request: usize) -> RequestMeta {
        let record = &self.records[request];
        RequestMeta {
            customer: Customer::new(&format!("c{}", record.customer)),
            fingerprint: Fingerprint(request as u64),
            target: target(),
            prompt_tokens: 100,
            max_output_tokens: 16,
            deadline: Timestamp::from_millis(self.now + DEADLINE_MS),
            first_output_within: Some(Duration::from_millis(LATENCY_TARGET_MS)),
            priority: MAX_RANK - record.rank as u8,
            key: None,
            // Half of the requests may be hedged.
            repeatable: request.is_multiple_of(2),
            prefix: Vec::new(),
            prompt_parts: Vec::new(),
            max_attempts: None,
            is_resumable: false,
            credential: None,
        }
    }

    fn sample_states(&mut self) {
        let target = target();
        let routers = self.routers.iter();
        let overloaded = routers.filter(|router| router.is_overloaded(&target));
        self.states.push(StateSample {
            at: self.now - START_MS,
            overloaded: overloaded.count() as f64 / self.routers.len() as f64,
        });
    }

    fn perform(&mut self, daemon: usize, actions: Vec<RouterAction>) {
        for action in actions {
            match action {
                RouterAction::Send(attempt) => self.send(&attempt),
                RouterAction::Answer { request, outcome } => {
                    let record = &mut self.records[request.0 as usize];
                    assert_eq!(record.outcome.replace(outcome), None, "answered twice");
                }
                RouterAction::Abandon(id) => self.remove(id),
                RouterAction::CheckUpstream { upstream, .. } => {
                    self.schedule(self.now, Event::Checked(daemon, upstream));
                }
                RouterAction::Forward(_)
                | RouterAction::ProbeUpstream { .. }
                | RouterAction::ReportLimit(_)
                | RouterAction::RequestPermits { .. }
                | RouterAction::RequestTrial(_)
                | RouterAction::Count(_)
                | RouterAction::Log(_) => {}
            }
        }
    }

    /// Puts an attempt in the queue of its group, or refuses it.
    fn send(&mut self, attempt: &Attempt) {
        let group = attempt.group.map_or(0, |group| group.0 as usize);
        let request = attempt.request.0 as usize;
        self.attempts.insert(attempt.id, Sent { request, group });
        if self.groups[group].waiting.len() >= MAX_WAITING {
            self.schedule(self.now, Event::Refused(attempt.id));
            return;
        }
        let urgency = self.urgency_of(attempt);
        let key = (Reverse(urgency), self.next_event);
        self.next_event += 1;
        self.groups[group].waiting.insert(key, attempt.id);
        self.start_waiting(group);
    }

    fn urgency_of(&self, attempt: &Attempt) -> u8 {
        if self.way != Way::FixedFraction {
            return attempt.urgency.unwrap_or(DEFAULT_URGENCY);
        }
        let hash = rendezvous_weight(&attempt.request.0, &FIXED_FRACTION.to_bits());
        let is_last = (hash as f64) < FIXED_FRACTION * u64::MAX as f64;
        let standing = if is_last {
            Standing::InBand(Band::LAST)
        } else {
            Standing::Ordinary
        };
        urgency(standing)
    }

    fn start_waiting(&mut self, group: usize) {
        while self.groups[group].running.len() < SLOTS {
            let Some((_, id)) = self.groups[group].waiting.pop_first() else {
                return;
            };
            self.groups[group].running.insert(id);
            self.schedule(self.now + FIRST_OUTPUT_MS, Event::FirstOutput(id));
            self.schedule(self.now + SERVICE_MS, Event::Completed(id));
        }
    }

    /// Ends an attempt at its group, unless it has ended before.
    fn remove(&mut self, id: AttemptId) {
        let Some(sent) = self.attempts.remove(&id) else {
            return;
        };
        let group = &mut self.groups[sent.group];
        if !group.running.remove(&id) {
            group.waiting.retain(|_, waiting| *waiting != id);
        }
        self.start_waiting(sent.group);
    }

    fn end_attempt(&mut self, id: AttemptId, end: AttemptEnd) {
        let Some(sent) = self.attempts.get(&id).copied() else {
            return;
        };
        self.remove(id);
        let now = Timestamp::from_millis(self.now);
        let daemon = self.records[sent.request].daemon;
        let request = RequestId(sent.request as u64);
        let mut out = Vec::new();
        self.routers[daemon].on_ended(now, request, id, end, &mut self.rng, &mut out);
        self.perform(daemon, out);
    }
}
