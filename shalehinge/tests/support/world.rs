//! Simulated time, network and entry hosts of a small fleet, stepped in one thread.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shalehinge::core::change::Change;
use shalehinge::core::event::{Action, Event, Pull, PullId, PullReply, PullTopic};
use shalehinge::core::objects::{
    CustomerConfig, FleetConfig, GroupPhase, HostList, HostRecord, HostState, Object, ObjectKey,
};
use shalehinge::core::operator::{OperatorAnswer, OperatorCallId, Plan};
use shalehinge::core::platform::{CallId, NoAnswer, PlatformCall};
use shalehinge::core::router::request::Outcome;
use shalehinge::core::types::{
    AttemptId, Customer, FabricDomain, FailureDomain, ModelName, ModelVersion, OperationId,
    RequestId, Version,
};

use super::engines::FakeHost;
use super::entry::Entry;
use super::forwards::RunningForward;
use super::host_messages::{Execution, HostMessage};
use super::oracle::{CallerRequest, Oracle};
use super::platform::{FakePlatform, Fault};

/// Simulated time per step.
pub const STEP: Duration = Duration::from_millis(50);
/// The only model of the fleet.
pub const MODEL: &str = "lector-llm";
/// The only customer of the fleet.
pub const CUSTOMER: &str = "lecturistas";
/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call to a host or a peer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
const HOSTS_PER_REPLICA: u32 = 2;

/// A message in transit.
pub enum Delivery {
    Entry {
        entry: usize,
        run: u64,
        event: Box<Event>,
    },
    Platform {
        entry: usize,
        run: u64,
        call: CallId,
        request: PlatformCall,
    },
    Host {
        entry: usize,
        run: u64,
        host: usize,
        message: HostMessage,
    },
}

/// A watch that is waiting for a change.
pub struct PendingWatch {
    pub entry: usize,
    /// Run of the daemon that watches; the answer is dropped if it has been restarted.
    pub run: u64,
    pub call: CallId,
    pub after: Version,
    /// When it is answered even without a change.
    pub until: Duration,
}

/// A pull from a peer that has not been answered.
pub struct PendingPull {
    entry: usize,
    run: u64,
    topic: PullTopic,
    /// When it times out.
    until: Duration,
}

/// The simulated fleet.
pub struct World {
    /// Simulated time.
    pub now: Duration,
    pub platform: FakePlatform,
    pub hosts: Vec<FakeHost>,
    pub entries: Vec<Entry>,
    pub domains: Vec<FailureDomain>,
    /// Failure domains that are partitioned from the others.
    pub partitioned_domains: BTreeSet<FailureDomain>,
    /// Failure domains that are partitioned from the platform.
    pub platform_partitioned_domains: BTreeSet<FailureDomain>,
    /// Hosts that answer no daemon, but reach other hosts and the platform.
    pub unreachable_hosts: BTreeSet<usize>,
    pub oracle: Oracle,
    /// All plans that daemons returned, oldest first.
    pub plans: Vec<Plan>,
    /// Answers to confirms.
    pub operator_answers: Vec<(OperationId, OperatorAnswer)>,
    pub rng: SmallRng,
    /// Messages in transit, by time of delivery and sequence number.
    pub network: BTreeMap<(Duration, u64), Delivery>,
    pub next_message: u64,
    pub next_request: CallerRequest,
    pub next_operation: u64,
    pub next_pull: u64,
    /// Watches that are waiting for a change.
    pub watches: Vec<PendingWatch>,
    pub pulls: BTreeMap<PullId, PendingPull>,
    /// Operator calls in progress, by daemon, with the operation that each confirms.
    pub operator_calls: BTreeMap<(usize, OperatorCallId), Option<OperationId>>,
    /// Deadlines of callers' requests, in simulated time.
    pub deadlines: BTreeMap<CallerRequest, Duration>,
    /// Attempts that are running at hosts.
    pub executions: Vec<Execution>,
    /// Requests that daemons run for each other.
    pub forwards: Vec<RunningForward>,
}

impl World {
    /// Creates two failure domains, each with two entry hosts and five hosts, one of which doesn't
    /// check fencing tokens. Nothing is configured or started.
    pub fn empty(seed: u64) -> Self {
        let domains = vec![FailureDomain::new("talca-a"), FailureDomain::new("talca-b")];
        let mut hosts = Vec::new();
        let mut entries = Vec::new();
        for (index, domain) in domains.iter().enumerate() {
            for number in 0..5u16 {
                let port = 100 * (index as u16 + 1) + number;
                let name = format!("{domain}-h{number}");
                hosts.push(FakeHost::new(&name, port, domain, number != 4));
            }
            for number in 0..2u16 {
                let port = 10 * (index as u16 + 1) + number;
                let rate = 0.99 + 0.005 * entries.len() as f64;
                entries.push(Entry::new(&format!("entry-{port}"), domain, port, rate));
            }
        }
        let seeds: Vec<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
        for entry in &mut entries {
            entry.seeds = seeds.clone();
        }
        let mut world = Self {
            now: Duration::from_secs(1),
            platform: FakePlatform::new(),
            hosts,
            entries,
            domains,
            partitioned_domains: BTreeSet::new(),
            platform_partitioned_domains: BTreeSet::new(),
            unreachable_hosts: BTreeSet::new(),
            oracle: Oracle::default(),
            plans: Vec::new(),
            operator_answers: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            network: BTreeMap::new(),
            next_message: 0,
            next_request: 1,
            next_operation: 1,
            next_pull: 1,
            watches: Vec::new(),
            pulls: BTreeMap::new(),
            operator_calls: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            executions: Vec::new(),
            forwards: Vec::new(),
        };
        world.write_host_list();
        world
    }

    /// Creates the same fleet with a customer and a model of two replicas per failure domain, and
    /// steps until all replicas serve.
    pub fn serving(seed: u64) -> Self {
        Self::empty(seed).start_serving()
    }

    /// Configures and starts an empty fleet, and steps until all replicas serve.
    pub fn start_serving(self) -> Self {
        let mut world = self;
        world.configure();
        for index in 0..world.entries.len() {
            world.start(index);
        }
        world.run_until("both replicas of each domain serve", |world| {
            world.serving_groups() == 4
                && world
                    .entries
                    .iter()
                    .all(|entry| entry.has_eligible_replicas(4, world.now))
        });
        world
    }

    fn configure(&mut self) {
        let mut fleet = FleetConfig::default();
        let customer = CustomerConfig {
            key_sha256: Vec::new(),
            share: 1,
            rank: None,
        };
        fleet.customers.insert(Customer::new(CUSTOMER), customer);
        let change = Change::Intent {
            model: ModelName::new(MODEL),
            version: ModelVersion::new("v1"),
            replicas: 4,
            hosts_per_replica: HOSTS_PER_REPLICA,
            owner: Customer::new(CUSTOMER),
        };
        let fleet = change.apply(&fleet, &self.host_list()).expect("valid");
        self.platform.write(ObjectKey::Fleet, Object::Fleet(fleet));
    }

    fn host_list(&self) -> HostList {
        let mut list = HostList::default();
        for host in &self.hosts {
            let is_leaving = self.oracle.leaving_at.contains_key(&host.id);
            let record = HostRecord {
                address: host.address,
                failure_domain: host.domain.clone(),
                fabric_domain: FabricDomain::new("f"),
                accelerators: 8,
                state: if is_leaving {
                    HostState::Leaving
                } else {
                    HostState::Live
                },
                service: None,
                slots: None,
                staged: Vec::new(),
                status: None,
                started: None,
                warm_up_ms: 0,
            };
            list.hosts.insert(host.id.clone(), record);
        }
        list
    }

    /// Writes the host list to the platform.
    pub fn write_host_list(&mut self) {
        let list = self.host_list();
        self.platform.write(ObjectKey::Hosts, Object::Hosts(list));
    }

    /// Returns the number of serving groups, according to the assignments on the platform.
    pub fn serving_groups(&self) -> usize {
        let values = self.platform.objects.values();
        let assignments = values.filter_map(|object| match &object.value {
            Object::Assignment(assignment) => Some(assignment),
            _ => None,
        });
        assignments
            .flat_map(|assignment| assignment.groups.values())
            .filter(|group| group.phase == GroupPhase::Serving)
            .count()
    }

    // --- time ---

    /// Steps for a span of simulated time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Steps until the condition holds; panics after two minutes of simulated time.
    pub fn run_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_secs(120);
        while !condition(self) {
            assert!(self.now < end, "timed out waiting for: {what}");
            self.step();
        }
    }

    /// Advances by one step: delivers messages, runs daemons and hosts, and checks the invariants.
    pub fn step(&mut self) {
        self.now += STEP;
        self.platform.carry_out_late_writes(self.now);
        self.deliver_due();
        self.time_out_pulls();
        self.answer_watches();
        for index in 0..self.entries.len() {
            self.execute_actions(index);
            self.deliver_event(index, Event::Tick);
        }
        self.step_hosts();
        self.check_invariants();
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let delivery = entry.remove();
            self.deliver(delivery);
        }
    }

    /// Schedules a delivery.
    pub fn schedule_delivery(&mut self, delay: Duration, delivery: Delivery) {
        self.next_message += 1;
        let key = (self.now + delay, self.next_message);
        self.network.insert(key, delivery);
    }

    /// Returns a random network delay.
    pub fn delay(&mut self) -> Duration {
        STEP * self.rng.random_range(0..=2)
    }

    /// Schedules an event for a daemon; it is dropped if the daemon restarts before.
    pub fn send_to_entry(&mut self, delay: Duration, entry: usize, run: u64, event: Event) {
        let event = Box::new(event);
        self.schedule_delivery(delay, Delivery::Entry { entry, run, event });
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Entry { entry, run, event } => {
                if self.entries[entry].run == run {
                    self.deliver_event(entry, *event);
                }
            }
            Delivery::Platform {
                entry,
                run,
                call,
                request,
            } => self.handle_at_platform(entry, run, call, request),
            Delivery::Host {
                entry,
                run,
                host,
                message,
            } => self.handle_at_host(entry, run, host, message),
        }
    }

    /// Passes an event to a daemon core, or queues it while the daemon is frozen.
    pub fn deliver_event(&mut self, index: usize, event: Event) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let clock = entry.clock(now);
        let Some(core) = &mut entry.core else {
            return;
        };
        if entry.is_frozen {
            if event != Event::Tick {
                entry.inbox.push(event);
            }
            return;
        }
        core.handle(clock, event, &mut entry.outbox);
    }

    // --- entry hosts ---

    /// Starts a daemon with empty state, unless it is running.
    pub fn start(&mut self, index: usize) {
        let now = self.now;
        self.entries[index].start(now);
        self.record_disturbance();
    }

    /// Kills a daemon without a shutdown.
    pub fn kill(&mut self, index: usize) {
        self.entries[index].kill();
        self.end_forwards_of(index);
        self.record_disturbance();
    }

    /// Pauses a running daemon; its clock advances and its events are queued.
    pub fn freeze(&mut self, index: usize) {
        self.entries[index].is_frozen = self.entries[index].core.is_some();
    }

    /// Resumes a frozen daemon, which then handles the queued events.
    pub fn unfreeze(&mut self, index: usize) {
        if !self.entries[index].is_frozen {
            return;
        }
        self.entries[index].is_frozen = false;
        self.record_disturbance();
        // Actions that were decided before the freeze are executed first.
        self.execute_actions(index);
        for event in std::mem::take(&mut self.entries[index].inbox) {
            self.deliver_event(index, event);
        }
    }

    /// Asks a running daemon to shut down.
    pub fn stop(&mut self, index: usize) {
        if self.entries[index].is_running() {
            self.entries[index].is_stopping = true;
            self.record_disturbance();
            self.deliver_event(index, Event::Stop);
        }
    }

    /// Records a disturbance, so that time limits count from now.
    pub fn record_disturbance(&mut self) {
        self.oracle.undisturbed_since = self.now;
    }

    // --- actions ---

    fn execute_actions(&mut self, index: usize) {
        if !self.entries[index].is_running() {
            return;
        }
        let actions = std::mem::take(&mut self.entries[index].outbox);
        let has_stopped = actions.contains(&Action::Stopped);
        for action in actions {
            self.execute_action(index, action);
        }
        // The process exits after it has executed all actions decided so far.
        if has_stopped {
            self.handle_stopped(index);
        }
    }

    fn execute_action(&mut self, index: usize, action: Action) {
        let run = self.entries[index].run;
        match action {
            Action::Platform { call, request } => self.call_platform(index, run, call, request),
            Action::Pull { to, pull } => self.pull(index, run, to, pull),
            Action::AnswerPull { pull_id, reply } => {
                let requester = self.pulls.get(&pull_id).map(|pull| pull.entry);
                let is_partitioned = requester.is_none_or(|requester| {
                    !self.can_reach(index, &self.entries[requester].domain)
                });
                if !is_partitioned && let Some(pull) = self.pulls.remove(&pull_id) {
                    let delay = self.delay();
                    self.schedule_pull_answer(delay, &pull, Some(reply));
                }
            }
            Action::Notify { to, notice } => self.notify(index, to, notice),
            Action::RequestStatus {
                purpose,
                host: _,
                address,
            } => {
                let asked_at = self.entries[index].clock(self.now);
                let message = HostMessage::Status { purpose, asked_at };
                self.send_to_host(index, run, address, message);
            }
            Action::Order {
                address,
                order,
                valid_until,
                ..
            } => {
                // The driver checks the lease again right before it sends an order.
                let asked_at = self.entries[index].clock(self.now);
                if asked_at < valid_until {
                    let message = HostMessage::Order { order, asked_at };
                    self.send_to_host(index, run, address, message);
                }
            }
            Action::Send(attempt) => self.send_attempt(index, run, attempt),
            Action::Forward(forward) => self.forward(index, run, forward),
            Action::CancelAttempt(attempt) => {
                self.cancel_forward(index, attempt);
                self.handle_abandon(index, attempt);
            }
            Action::ProbeUpstream { upstream, address } => {
                self.send_to_host(index, run, address, HostMessage::Probe(upstream));
            }
            Action::CheckUpstream { upstream, .. } => {
                // Every lost attempt is reported as a crash: no invariant may depend on this.
                let is_gone = true;
                let event = Event::UpstreamChecked { upstream, is_gone };
                self.send_to_entry(Duration::ZERO, index, run, event);
            }
            Action::Answer { request, outcome } => self.handle_answer(index, request, outcome),
            Action::AnswerOperator { call_id, answer } => {
                self.record_operator_answer(index, call_id, answer);
            }
            Action::Count(_) | Action::Log(_) | Action::Stopped => {}
        }
    }

    /// Whether an entry host can exchange messages with a failure domain.
    pub fn can_reach(&self, index: usize, other: &FailureDomain) -> bool {
        let own = &self.entries[index].domain;
        own == other
            || (!self.partitioned_domains.contains(own)
                && !self.partitioned_domains.contains(other))
    }

    fn handle_stopped(&mut self, index: usize) {
        let left: Vec<CallerRequest> = self.entries[index].requests.values().copied().collect();
        if !left.is_empty() {
            let text = format!("daemon {index} stopped with requests {left:?} in progress");
            self.oracle.report_violation(text);
        }
        self.kill(index);
    }

    // --- platform ---

    fn call_platform(&mut self, entry: usize, run: u64, call: CallId, request: PlatformCall) {
        if self
            .platform_partitioned_domains
            .contains(&self.entries[entry].domain)
        {
            let result = Err(NoAnswer);
            let event = Event::Platform { call, result };
            self.send_to_entry(PLATFORM_TIMEOUT, entry, run, event);
            return;
        }
        let delay = self.delay();
        let delivery = Delivery::Platform {
            entry,
            run,
            call,
            request,
        };
        self.schedule_delivery(delay, delivery);
    }

    fn handle_at_platform(&mut self, entry: usize, run: u64, call: CallId, request: PlatformCall) {
        if let PlatformCall::Watch { after, .. } = request
            && self.platform.fault == Fault::None
        {
            let until = self.now + WATCH_WAIT;
            self.watches.push(PendingWatch {
                entry,
                run,
                call,
                after,
                until,
            });
            return;
        }
        let writes_config = matches!(
            &request,
            PlatformCall::Put {
                key: ObjectKey::Fleet,
                ..
            }
        );
        let result = if self
            .platform
            .holds(self.entries[entry].name.as_str(), &request)
        {
            Err(NoAnswer)
        } else {
            self.platform.call(request)
        };
        if writes_config {
            self.oracle.config_written_at = self.now;
        }
        let is_lost = self
            .platform_partitioned_domains
            .contains(&self.entries[entry].domain);
        let result = if is_lost { Err(NoAnswer) } else { result };
        let delay = if result.is_err() {
            PLATFORM_TIMEOUT
        } else {
            self.delay()
        };
        self.send_to_entry(delay, entry, run, Event::Platform { call, result });
    }

    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let is_lost = self
                .platform_partitioned_domains
                .contains(&self.entries[watch.entry].domain)
                || self.platform.fault == Fault::Down;
            let is_due = self.platform.has_changes_since(watch.after) || self.now >= watch.until;
            let call = watch.call;
            if is_lost {
                let result = Err(NoAnswer);
                let event = Event::Platform { call, result };
                self.send_to_entry(PLATFORM_TIMEOUT, watch.entry, watch.run, event);
            } else if is_due {
                let result = Ok(self.platform.changes_since(watch.after));
                let delay = self.delay();
                let event = Event::Platform { call, result };
                self.send_to_entry(delay, watch.entry, watch.run, event);
            } else {
                self.watches.push(watch);
            }
        }
    }

    // --- peers ---

    pub fn entry_by_address(&self, address: SocketAddr) -> Option<usize> {
        self.entries.iter().position(|e| e.address == address)
    }

    fn schedule_pull_answer(
        &mut self,
        delay: Duration,
        pull: &PendingPull,
        reply: Option<PullReply>,
    ) {
        let event = Event::PullAnswered {
            topic: pull.topic,
            asked_at: shalehinge::core::types::Timestamp::ZERO,
            reply,
        };
        self.send_to_entry(delay, pull.entry, pull.run, event);
    }

    /// Ends pulls that timed out, as their peer died or was partitioned before it answered.
    fn time_out_pulls(&mut self) {
        let now = self.now;
        let pulls = std::mem::take(&mut self.pulls);
        let has_timed_out = |pull: &PendingPull| now >= pull.until;
        let (timed_out, open): (Vec<_>, Vec<_>) =
            pulls.into_iter().partition(|(_, p)| has_timed_out(p));
        self.pulls = open.into_iter().collect();
        for (_, pull) in timed_out {
            self.schedule_pull_answer(Duration::ZERO, &pull, None);
        }
    }

    fn pull(&mut self, index: usize, run: u64, to: SocketAddr, pull: Pull) {
        let pending = PendingPull {
            entry: index,
            run,
            topic: pull.topic,
            until: self.now + CALL_TIMEOUT,
        };
        let target = self.entry_by_address(to);
        let target = target.filter(|target| {
            let target = &self.entries[*target];
            target.is_running() && self.can_reach(index, &target.domain)
        });
        let Some(target) = target else {
            self.schedule_pull_answer(CALL_TIMEOUT, &pending, None);
            return;
        };
        let pull_id = PullId(self.next_pull);
        self.next_pull += 1;
        self.pulls.insert(pull_id, pending);
        let target_run = self.entries[target].run;
        let delay = self.delay();
        self.send_to_entry(
            delay,
            target,
            target_run,
            Event::PullReceived { pull_id, pull },
        );
    }

    fn notify(&mut self, index: usize, to: SocketAddr, notice: shalehinge::core::event::Notice) {
        let Some(target) = self.entry_by_address(to) else {
            return;
        };
        if !self.can_reach(index, &self.entries[target].domain.clone()) {
            return;
        }
        let run = self.entries[target].run;
        // Some messages are delivered twice.
        let copies = 1 + u32::from(self.rng.random_bool(0.2));
        for _ in 0..copies {
            let delay = self.delay();
            self.send_to_entry(delay, target, run, Event::NoticeReceived(notice.clone()));
        }
    }

    fn handle_abandon(&mut self, index: usize, attempt: AttemptId) {
        let Some(request) = self.entries[index].open_attempts.remove(&attempt) else {
            return;
        };
        // The daemon that handed it over is gone, and its caller's connection with it.
        if self.is_cancelled_forward(index, request) {
            return;
        }
        let caller = self.entries[index].requests.get(&request).copied();
        let deadline = caller.and_then(|caller| self.deadlines.get(&caller).copied());
        // Clock rates differ slightly.
        let slack = Duration::from_millis(500);
        if deadline.is_some_and(|deadline| self.now + slack < deadline) {
            let text = format!("daemon {index} aborted request {caller:?} before its deadline");
            self.oracle.report_violation(text);
        }
    }

    fn handle_answer(&mut self, index: usize, request: RequestId, outcome: Outcome) {
        if self.answer_forward(index, request, outcome) {
            let entry = &mut self.entries[index];
            entry.open_attempts.retain(|_, running| *running != request);
            return;
        }
        let entry = &mut self.entries[index];
        entry.open_attempts.retain(|_, running| *running != request);
        if let Some(caller) = entry.requests.remove(&request) {
            self.oracle.on_answer(caller, outcome);
        }
    }
}
