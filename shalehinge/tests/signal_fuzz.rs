//! Random sequences of answers, checked against an oracle of what each upstream requested.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use bolero::{ValueGenerator, generator::bolero_generator::driver};
use rand::SeedableRng;
use rand::rngs::{SmallRng, StdRng};
use shalehinge::core::advertised_limit::AdvertisedLimit;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::router::request::{
    Attempt, AttemptEnd, Outcome, RequestMeta, Target, UpstreamId,
};
use shalehinge::core::router::topology::Topology;
use shalehinge::core::router::upstream::{Evidence, UpstreamSpec};
use shalehinge::core::router::{Router, RouterAction};
use shalehinge::core::signal::{LeavingMark, RequestedCooldown, UpstreamSignal};
use shalehinge::core::types::{
    Customer, FailureDomain, HostId, Incarnation, RequestId, ServiceName, Timestamp,
};
use shalehinge::settings::router::RouterSettings;

/// Number of sequences run by the normal test command.
const SEEDS: u64 = 300;
const STEPS: usize = 250;
const TICK: Duration = Duration::from_millis(50);
/// Number of requests submitted at once at the end of a sequence.
const BURST: usize = 30;
/// The longest cooldown that a sequence can contain.
const LONGEST_COOLDOWN: Duration = Duration::from_millis(255 * 40);

/// One step of a sequence.
#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Step {
    /// Submits a request. Multiples of 2 may be repeated; multiples of 3 are streams that another
    /// upstream can continue.
    Submit(u8),
    /// Waits for this many ticks, modulo 16.
    Wait(u8),
    /// Completes a running attempt.
    Complete(u8),
    /// Produces output of a running attempt.
    Output(u8),
    /// Loses a running attempt.
    Lose(u8),
    /// Refuses a running attempt, with a cooldown of 40 ms times the second value.
    TurnAway(u8, u8),
    /// Completes a running attempt, with an answer that announces that the upstream is leaving.
    Leave(u8),
}

struct Simulation {
    router: Router,
    rng: SmallRng,
    now: Timestamp,
    last_request: u64,
    running: BTreeMap<RequestId, Attempt>,
    unanswered: BTreeSet<RequestId>,
    outcomes: Vec<Outcome>,
    cooldowns: BTreeMap<UpstreamId, Timestamp>,
    leaving: BTreeSet<UpstreamId>,
}

fn target() -> Target {
    Target::Service(ServiceName::new("s"))
}

fn spec(number: u16) -> UpstreamSpec {
    UpstreamSpec {
        id: UpstreamId::Host(ServiceName::new("s"), HostId::new(&format!("h{number}"))),
        address: ([10, 0, 0, 1], number).into(),
        group: None,
        failure_domain: FailureDomain::new("d"),
        remote: false,
        accepts_new: true,
        host: Some(HostId::new(&format!("h{number}"))),
        evidence: Evidence::Listed,
        slots: Some(4),
        started: None,
        warm_up: None,
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let settings = RouterSettings {
            max_attempts: 5,
            retry_burst: 1_000.0,
            quarantine_after: 0,
            ..RouterSettings::default()
        };
        let mut router = Router::new(settings, Incarnation(1));
        let specs = (0..5).map(spec).collect();
        router.set_topology(
            Timestamp::from_millis(1_000),
            Topology::from([(target(), specs)]),
        );
        Self {
            router,
            rng: SmallRng::seed_from_u64(seed),
            now: Timestamp::from_millis(1_000),
            last_request: 0,
            running: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            outcomes: Vec::new(),
            cooldowns: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    fn submit(&mut self, kind: u8) {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.unanswered.insert(request);
        let meta = RequestMeta {
            customer: Customer::new("one"),
            fingerprint: Fingerprint(self.last_request),
            target: target(),
            prompt_tokens: 100,
            max_output_tokens: 50,
            deadline: self.now + Duration::from_secs(8),
            first_output_within: None,
            priority: 5,
            key: None,
            repeatable: kind.is_multiple_of(2),
            prefix: Vec::new(),
            prompt_parts: Vec::new(),
            max_attempts: None,
            is_resumable: kind.is_multiple_of(3),
            credential: None,
        };
        let mut out = Vec::new();
        self.router
            .submit(self.now, request, meta, 1, &mut self.rng, &mut out);
        self.handle(out);
    }

    fn wait(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            let mut out = Vec::new();
            self.router.tick(self.now, &mut self.rng, &mut out);
            self.handle(out);
        }
    }

    fn running_attempt(&self, index: u8) -> Option<Attempt> {
        let count = self.running.len().max(1);
        self.running
            .values()
            .nth(usize::from(index) % count)
            .cloned()
    }

    fn end(&mut self, attempt: &Attempt, signal: UpstreamSignal, end: AttemptEnd) {
        self.running.remove(&attempt.request);
        let mut out = Vec::new();
        let (request, id, now) = (attempt.request, attempt.id, self.now);
        self.router.on_signal(now, request, id, signal, &mut out);
        self.router
            .on_ended(now, request, id, end, &mut self.rng, &mut out);
        self.handle(out);
    }

    fn handle(&mut self, actions: Vec<RouterAction>) {
        for action in actions {
            match action {
                RouterAction::Send(attempt) => self.send(attempt),
                RouterAction::Abandon(id) => self.running.retain(|_, attempt| attempt.id != id),
                RouterAction::Answer { request, outcome } => {
                    assert!(
                        self.unanswered.remove(&request),
                        "{request:?} was answered twice"
                    );
                    self.running.remove(&request);
                    self.outcomes.push(outcome);
                }
                RouterAction::CheckUpstream { upstream, .. } => {
                    let mut out = Vec::new();
                    let now = self.now;
                    self.router
                        .on_upstream_checked(now, &upstream, false, &mut self.rng, &mut out);
                    self.handle(out);
                }
                RouterAction::ReportLimit(_)
                | RouterAction::RequestPermits { .. }
                | RouterAction::RequestTrial(_)
                | RouterAction::Forward(_)
                | RouterAction::ProbeUpstream { .. }
                | RouterAction::Count(_)
                | RouterAction::Log(_) => {}
            }
        }
    }

    fn send(&mut self, attempt: Attempt) {
        let id = &attempt.upstream;
        let until = self.cooldowns.get(id).copied().unwrap_or(Timestamp::ZERO);
        assert!(self.now >= until, "{id} got a request during its cooldown");
        assert!(
            !self.leaving.contains(id),
            "{id} got a request although it is leaving"
        );
        self.running.insert(attempt.request, attempt);
    }

    fn apply(&mut self, step: Step) {
        let completed = AttemptEnd::Completed { output_tokens: 8 };
        match step {
            Step::Submit(kind) => self.submit(kind),
            Step::Wait(ticks) => self.wait(usize::from(ticks % 16)),
            Step::Complete(index) => {
                if let Some(attempt) = self.running_attempt(index) {
                    self.end(&attempt, UpstreamSignal::status_only(200), completed);
                }
            }
            Step::Output(index) => {
                if let Some(attempt) = self.running_attempt(index) {
                    let mut out = Vec::new();
                    let (request, id) = (attempt.request, attempt.id);
                    self.router.on_output(self.now, request, id, &mut out);
                    self.handle(out);
                }
            }
            Step::Lose(index) => {
                if let Some(attempt) = self.running_attempt(index) {
                    self.end(&attempt, UpstreamSignal::status_only(500), AttemptEnd::Lost);
                }
            }
            Step::TurnAway(index, length) => self.turn_away(index, length),
            Step::Leave(index) => {
                if let Some(attempt) = self
                    .running_attempt(index)
                    .filter(|_| self.leaving.len() < 3)
                {
                    self.leaving.insert(attempt.upstream.clone());
                    let leaving = LeavingMark::Leaving;
                    let signal = UpstreamSignal {
                        leaving,
                        ..UpstreamSignal::status_only(200)
                    };
                    self.end(&attempt, signal, completed);
                }
            }
        }
    }

    fn turn_away(&mut self, index: u8, length: u8) {
        let Some(attempt) = self.running_attempt(index) else {
            return;
        };
        let cooldown = Duration::from_millis(u64::from(length) * 40);
        let until = self
            .cooldowns
            .entry(attempt.upstream.clone())
            .or_insert(Timestamp::ZERO);
        *until = (*until).max(self.now + cooldown);
        let signal = UpstreamSignal {
            cooldown: RequestedCooldown::For(cooldown),
            ..UpstreamSignal::status_only(503)
        };
        self.end(&attempt, signal, AttemptEnd::Refused);
    }

    /// Completes all running attempts, lets all cooldowns end, and asserts that every upstream
    /// that is not leaving is used again.
    fn recover(&mut self) {
        let completed = AttemptEnd::Completed { output_tokens: 8 };
        let mut used = BTreeSet::new();
        self.wait(LONGEST_COOLDOWN.as_millis() as usize / TICK.as_millis() as usize);
        // Ejections of upstreams that lost attempts last up to a minute.
        self.wait(60 * 20);
        for _ in 0..20 {
            // More requests at once than one upstream can run.
            (0..BURST).for_each(|_| self.submit(2));
            used.extend(
                self.running
                    .values()
                    .map(|attempt| attempt.upstream.clone()),
            );
            while let Some(attempt) = self.running_attempt(0) {
                used.insert(attempt.upstream.clone());
                self.end(&attempt, UpstreamSignal::status_only(200), completed);
            }
            self.wait(1);
        }
        assert!(
            self.unanswered.is_empty(),
            "{:?} were not answered",
            self.unanswered
        );
        assert_eq!(
            used.len(),
            5 - self.leaving.len(),
            "every remaining upstream must be used"
        );
    }
}

fn run_sequence(seed: u64) {
    let options = driver::Options::default();
    let mut driver = driver::Rng::new(StdRng::seed_from_u64(seed), &options);
    let steps = (0..STEPS).filter_map(|_| bolero::produce::<Step>().generate(&mut driver));
    let mut simulation = Simulation::new(seed);
    for step in steps {
        simulation.apply(step);
    }
    simulation.recover();
}

fn run_all(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let result = std::panic::catch_unwind(|| run_sequence(seed));
        assert!(result.is_ok(), "seed {seed}");
    }
}

#[test]
fn no_request_is_sent_during_a_cooldown_in_fixed_sequences() {
    run_all(0..SEEDS);
}

#[test]
#[ignore = "long; run by hand with FUZZ_SEEDS=FROM..TO"]
fn no_request_is_sent_during_a_cooldown_in_more_sequences() {
    let seeds = std::env::var("FUZZ_SEEDS").unwrap_or_else(|_| "1000..5000".into());
    let (from, to) = seeds.split_once("..").expect("FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("an integer");
    run_all(number(from)..number(to));
}

#[test]
fn parsing_any_header_does_not_panic() {
    for seed in 0..20_000 {
        let options = driver::Options::default();
        let mut driver = driver::Rng::new(StdRng::seed_from_u64(seed), &options);
        let generator = bolero::produce::<(u16, Vec<String>)>();
        let Some((status, values)) = generator.generate(&mut driver) else {
            continue;
        };
        let texts = || values.iter().map(String::as_str);
        let _ = AdvertisedLimit::parse(texts());
        let _ = LeavingMark::parse(texts());
        let _ = RequestedCooldown::parse(status, texts(), || SystemTime::UNIX_EPOCH);
        let _ = RequestedCooldown::parse(503, texts(), SystemTime::now);
    }
}
