//! The whole of a daemon's decisions, behind one entry.
//!
//! A harness builds a [`Daemon`], gives it events with the time, and carries
//! out the actions that come back. Nothing else is needed to step it: the
//! daemon process does the same with sockets and timers.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::claims::{ClaimBook, ClaimResult, ClaimStep};
use super::controller::{Controller, ControllerAction};
use super::event::{Action, Event, LogLine, Notice, Part, Pull, PullReply, StatusPurpose};
use super::fleet_state::{FleetState, ObjectUpdate};
use super::lease::{ControlLease, LeaseStep};
use super::membership::{Heartbeat, Membership};
use super::objects::{KeyHash, Object, ObjectKey, Versioned};
use super::operator::{OperatorCall, OperatorCallId, OperatorStep, Operators};
use super::platform::{CallId, NoAnswer, PlatformCall, PlatformReply, PlatformResult, Revision};
use super::router::request::{NotRunReason, Outcome, RequestMeta, UnknownReason, UpstreamId};
use super::router::{Router, RouterAction, topology};
use super::types::{
    Address, AttemptId, Customer, DaemonId, FailureDomain, Incarnation, OperationId, RequestId,
    Timestamp, Version,
};
use crate::settings::core::CoreSettings;

/// How often a [`Event::Tick`] should come.
pub const TICK: Duration = Duration::from_millis(50);
/// Daemons of a failure domain that watch the platform.
const WATCHERS: usize = 2;
/// Daemons of a failure domain that try to get its lease.
const CANDIDATES: usize = 3;
/// Peers told at once of something new.
const RUMOUR_FANOUT: usize = 3;
/// Pause before a failed watch is tried again, to which up to as much is added.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Who a daemon is; the same as long as it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// Its name, unique in the fleet.
    pub daemon: DaemonId,
    /// Where it is.
    pub failure_domain: FailureDomain,
    /// Where peers reach it.
    pub address: Address,
    /// This run of it; higher than any before.
    pub incarnation: Incarnation,
    /// Peers to ask first.
    pub seeds: Vec<Address>,
    /// Wall clock at the start, in seconds since 1970; for the age of claims only.
    pub wall_seconds: u64,
}

/// Why a platform call was made.
#[derive(Clone, Debug)]
enum Purpose {
    Start,
    Watch,
    Lease,
    Assignment,
    Claims(u16),
    Operator(OperatorCallId),
}

/// A request with a key, from its claim to its answer.
#[derive(Clone, Debug)]
struct Claimed {
    key: KeyHash,
    claimant: OperationId,
    /// Set while the claim is not yet granted.
    waiting: Option<RequestMeta>,
}

/// The decisions of one daemon.
#[derive(Clone, Debug)]
pub struct Daemon {
    settings: CoreSettings,
    identity: Identity,
    rng: SmallRng,
    state: FleetState,
    membership: Membership,
    lease: ControlLease,
    controller: Controller,
    claims: ClaimBook,
    operators: Operators,
    router: Router,
    calls: BTreeMap<CallId, Purpose>,
    next_call: u64,
    claimed: BTreeMap<RequestId, Claimed>,
    revision: Revision,
    is_watching: bool,
    has_listed: bool,
    next_watch_at: Timestamp,
    was_holder: bool,
    is_stopping: bool,
    has_stopped: bool,
}

impl Daemon {
    /// A daemon that knows its settings and nothing else.
    pub fn new(settings: CoreSettings, identity: Identity, seed: u64) -> Self {
        let heartbeat = Heartbeat {
            daemon: identity.daemon.clone(),
            address: identity.address,
            failure_domain: identity.failure_domain.clone(),
            incarnation: identity.incarnation,
            counter: 0,
            leaving: false,
            fleet: Version(0),
        };
        let domain = identity.failure_domain.clone();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            state: FleetState::default(),
            membership: Membership::new(settings.membership, heartbeat, identity.seeds.clone()),
            lease: ControlLease::new(
                settings.lease,
                identity.daemon.clone(),
                identity.incarnation,
            ),
            controller: Controller::new(settings.control, domain),
            claims: ClaimBook::new(settings.claims),
            operators: Operators::default(),
            router: Router::new(settings.router, identity.incarnation),
            calls: BTreeMap::new(),
            next_call: 1,
            claimed: BTreeMap::new(),
            revision: Revision(0),
            is_watching: false,
            has_listed: false,
            next_watch_at: Timestamp::ZERO,
            was_holder: false,
            is_stopping: false,
            has_stopped: false,
            settings,
            identity,
        }
    }

    /// The objects in force here.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// The router, for status pages.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The lease, for status pages.
    pub fn lease(&self) -> &ControlLease {
        &self.lease
    }

    /// The members, for status pages.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Who this daemon is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Whether new callers should come: it has a configuration and does not stop.
    pub fn is_ready(&self) -> bool {
        self.state.fleet().is_some() && !self.is_stopping
    }

    /// The customer that a key belongs to, by the key's SHA-256 in hexadecimal.
    pub fn customer_of(&self, key_sha256: &str) -> Option<Customer> {
        let fleet = self.state.fleet()?;
        fleet
            .value
            .customers
            .iter()
            .find(|(_, customer)| {
                let keys = &customer.key_sha256;
                keys.iter()
                    .any(|known| known.eq_ignore_ascii_case(key_sha256))
            })
            .map(|(name, _)| name.clone())
    }

    /// Takes in one event; what is to be done is added to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Platform { call, result } => self.on_platform(now, call, result, out),
            Event::PullAsked { pull_id, pull } => self.on_pull_asked(now, pull_id, pull, out),
            Event::PullAnswered(reply) => self.on_pull_answered(now, reply, out),
            Event::Noticed(notice) => self.on_noticed(now, notice, out),
            Event::Status {
                purpose,
                asked_at,
                host,
                status,
            } => match purpose {
                StatusPurpose::Report(upstream) => {
                    self.on_report(now, asked_at, &upstream, status, out);
                }
                StatusPurpose::Probe(_) => match (status, host) {
                    (Some(status), _) => self.controller.on_status(now, asked_at, status),
                    (None, Some(host)) => self.controller.on_no_status(now, asked_at, &host),
                    (None, None) => {}
                },
            },
            Event::OrderAnswered {
                host,
                order,
                asked_at,
                reply,
            } => match reply {
                Some(reply) => self.controller.on_order_reply(now, asked_at, &order, reply),
                None => self.controller.on_no_status(now, asked_at, &host),
            },
            Event::Request { request, meta } => self.on_request(now, request, meta, out),
            Event::Output { request, attempt } => self.router.on_output(now, request, attempt),
            Event::Ended {
                request,
                attempt,
                end,
            } => self.on_ended(now, request, attempt, end, out),
            Event::CallerLeft(request) => self.on_caller_left(now, request, out),
            Event::Operator { call_id, call } => self.on_operator(now, call_id, call, out),
            Event::Stop => self.on_stop(now, out),
        }
    }

    fn tick(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.learn(now, out);
        self.pull(now, out);
        self.tick_lease(now, out);
        self.tick_controller(now, out);
        self.tick_claims(now, out);
        self.tick_router(now, out);
        self.finish_stop(out);
    }

    // --- calls to the platform ---

    fn call(&mut self, purpose: Purpose, request: PlatformCall, out: &mut Vec<Action>) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, purpose);
        out.push(Action::Platform { call, request });
    }

    fn operation(&mut self) -> OperationId {
        OperationId(self.rng.random())
    }

    fn on_platform(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        if let Ok(PlatformReply::Objects { updates, .. }) = &result {
            self.apply(now, updates.clone(), out);
        }
        match purpose {
            Purpose::Start => self.on_listed(now, result),
            Purpose::Watch => self.on_watched(now, result),
            Purpose::Lease => self.on_lease_reply(now, result, out),
            Purpose::Assignment => self.on_assignment_reply(now, result, out),
            Purpose::Claims(partition) => self.on_claims_reply(now, partition, result, out),
            Purpose::Operator(id) => {
                let step = self.operators.on_platform(now, id, &result, &self.state);
                self.operator_step(now, id, step, result, out);
            }
        }
    }

    // --- configuration ---

    /// Reads all objects once, then watches if it is this daemon's turn.
    fn learn(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.is_watching || now < self.next_watch_at || self.is_stopping {
            return;
        }
        if !self.has_listed {
            self.is_watching = true;
            self.call(Purpose::Start, PlatformCall::List, out);
            return;
        }
        if self.membership.is_responsible(now, "watch", WATCHERS) {
            self.is_watching = true;
            let after = self.revision;
            self.call(Purpose::Watch, PlatformCall::Watch { after }, out);
        }
    }

    fn on_listed(&mut self, now: Timestamp, result: PlatformResult) {
        self.is_watching = false;
        match result {
            Ok(PlatformReply::Objects { revision, .. }) => {
                self.has_listed = true;
                self.revision = revision;
            }
            _ => self.pause_watch(now),
        }
    }

    fn on_watched(&mut self, now: Timestamp, result: PlatformResult) {
        self.is_watching = false;
        match result {
            Ok(PlatformReply::Objects { revision, .. }) => self.revision = revision,
            _ => self.pause_watch(now),
        }
    }

    fn pause_watch(&mut self, now: Timestamp) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.next_watch_at = now + WATCH_PAUSE.mul_f64(1.0 + jitter);
    }

    /// Takes in objects that are newer, and tells peers of them.
    fn apply(&mut self, now: Timestamp, updates: Vec<ObjectUpdate>, out: &mut Vec<Action>) {
        let mut changed = false;
        for update in updates {
            let (key, version) = (update.key.clone(), update.version);
            if self.state.apply(update) {
                changed = true;
                let text = format!("{key:?} version {} is in force", version.0);
                log(out, Part::Config, text);
            }
        }
        if changed {
            let fleet = self.state.digest().fleet;
            self.membership.set_fleet(fleet);
            self.rebuild_topology();
            self.spread(now, out);
        }
    }

    fn rebuild_topology(&mut self) {
        let topology = topology::build(
            &self.state,
            &self.identity.daemon,
            &self.identity.failure_domain,
            &self.settings.router,
        );
        self.router.set_topology(topology);
    }

    fn spread(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let peers = self
            .membership
            .some_peers(now, RUMOUR_FANOUT, &mut self.rng);
        let notice = Notice {
            from: self.identity.address,
            digest: self.state.digest(),
        };
        for to in peers {
            let notice = notice.clone();
            out.push(Action::Notify { to, notice });
        }
    }

    // --- peers ---

    fn pull(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if let Some(to) = self.membership.pull_target(now, &mut self.rng) {
            let pull = self.make_pull(now);
            out.push(Action::Pull { to, pull });
        }
    }

    fn make_pull(&mut self, now: Timestamp) -> Pull {
        Pull {
            heartbeats: self.membership.sample(now, &mut self.rng),
            digest: self.state.digest(),
        }
    }

    fn on_pull_asked(
        &mut self,
        now: Timestamp,
        pull_id: super::event::PullId,
        pull: Pull,
        out: &mut Vec<Action>,
    ) {
        self.membership.merge(now, pull.heartbeats);
        let reply = PullReply {
            heartbeats: self.membership.sample(now, &mut self.rng),
            updates: self.state.newer_than(&pull.digest),
        };
        out.push(Action::AnswerPull { pull_id, reply });
    }

    fn on_pull_answered(
        &mut self,
        now: Timestamp,
        reply: Option<PullReply>,
        out: &mut Vec<Action>,
    ) {
        let Some(reply) = reply else {
            return;
        };
        self.membership.merge(now, reply.heartbeats);
        self.apply(now, reply.updates, out);
    }

    fn on_noticed(&mut self, now: Timestamp, notice: Notice, out: &mut Vec<Action>) {
        if self.state.is_behind(&notice.digest) {
            let pull = self.make_pull(now);
            out.push(Action::Pull {
                to: notice.from,
                pull,
            });
        }
    }

    // --- control ---

    fn lease_key(&self) -> ObjectKey {
        ObjectKey::Lease(self.identity.failure_domain.clone())
    }

    fn assignment_key(&self) -> ObjectKey {
        ObjectKey::Assignment(self.identity.failure_domain.clone())
    }

    fn tick_lease(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let candidate =
            !self.is_stopping && self.membership.is_responsible(now, "lease", CANDIDATES);
        let operation = self.operation();
        if let Some(step) = self.lease.step(now, candidate, operation) {
            self.lease_step(step, out);
        }
        self.note_holder(now, out);
    }

    fn lease_step(&mut self, step: LeaseStep, out: &mut Vec<Action>) {
        let key = self.lease_key();
        let request = match step {
            LeaseStep::Read => PlatformCall::Get(key),
            LeaseStep::Write { expect, record } => PlatformCall::Put {
                key,
                expect,
                object: Box::new(Object::Lease(record)),
            },
        };
        self.call(Purpose::Lease, request, out);
    }

    fn note_holder(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let held = self.lease.held(now);
        if held.is_some() == self.was_holder {
            return;
        }
        self.was_holder = held.is_some();
        let domain = &self.identity.failure_domain;
        let text = match held {
            Some(epoch) => format!("holds {domain} in epoch {}", epoch.0),
            None => format!("no longer holds {domain}"),
        };
        log(out, Part::Lease, text);
    }

    fn on_lease_reply(&mut self, now: Timestamp, result: PlatformResult, out: &mut Vec<Action>) {
        match result {
            Ok(PlatformReply::Object(object)) => {
                let lease = object.and_then(|object| match object.value {
                    Object::Lease(value) => Some(Versioned {
                        version: object.version,
                        value,
                    }),
                    _ => None,
                });
                self.lease.on_read(now, lease);
            }
            Ok(PlatformReply::Written(version)) => self.lease.on_written(now, version),
            Ok(PlatformReply::Conflict) => self.lease.on_conflict(now),
            Ok(PlatformReply::Objects { .. }) | Err(NoAnswer) => self.lease.on_unclear(),
        }
        self.note_holder(now, out);
    }

    fn tick_controller(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let epoch = self.lease.held(now).filter(|_| !self.is_stopping);
        let operation = self.operation();
        let actions = self.controller.tick(now, epoch, &self.state, operation);
        for action in actions {
            self.controller_action(action, out);
        }
    }

    fn controller_action(&mut self, action: ControllerAction, out: &mut Vec<Action>) {
        match action {
            ControllerAction::Read => {
                let request = PlatformCall::Get(self.assignment_key());
                self.call(Purpose::Assignment, request, out);
            }
            ControllerAction::Write { expect, value } => {
                let request = PlatformCall::Put {
                    key: self.assignment_key(),
                    expect,
                    object: Box::new(Object::Assignment(value)),
                };
                self.call(Purpose::Assignment, request, out);
            }
            ControllerAction::Order {
                host,
                address,
                order,
            } => out.push(Action::Order {
                host,
                address,
                order,
                valid_until: self.lease.valid_until(),
            }),
            ControllerAction::Probe { group, rank_zero } => out.push(Action::AskStatus {
                purpose: StatusPurpose::Probe(group),
                host: Some(rank_zero.host),
                address: rank_zero.address,
            }),
            ControllerAction::Log(text) => log(out, Part::Place, text),
        }
    }

    fn on_assignment_reply(
        &mut self,
        now: Timestamp,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        match result {
            Ok(PlatformReply::Object(object)) => {
                let assignment = object.and_then(|object| match object.value {
                    Object::Assignment(value) => Some(Versioned {
                        version: object.version,
                        value,
                    }),
                    _ => None,
                });
                self.controller.on_read(assignment.clone());
                self.apply_assignment(now, assignment, out);
            }
            Ok(PlatformReply::Written(version)) => {
                let stored = self.controller.on_written(version).cloned();
                self.apply_assignment(now, stored, out);
            }
            Ok(PlatformReply::Conflict | PlatformReply::Objects { .. }) | Err(NoAnswer) => {
                self.controller.on_unclear();
            }
        }
    }

    fn apply_assignment(
        &mut self,
        now: Timestamp,
        assignment: Option<Versioned<super::objects::Assignment>>,
        out: &mut Vec<Action>,
    ) {
        let Some(assignment) = assignment else {
            return;
        };
        let update = ObjectUpdate {
            key: self.assignment_key(),
            version: assignment.version,
            object: Object::Assignment(assignment.value),
        };
        self.apply(now, vec![update], out);
    }

    // --- operators ---

    fn on_operator(
        &mut self,
        now: Timestamp,
        id: OperatorCallId,
        call: OperatorCall,
        out: &mut Vec<Action>,
    ) {
        let what = match &call {
            OperatorCall::Plan(change) => format!("plans {change:?}"),
            OperatorCall::Confirm(confirm) => {
                format!(
                    "confirms {:?} on version {}",
                    confirm.change, confirm.base.0
                )
            }
        };
        log(out, Part::Operator, what);
        let step = self.operators.begin(now, id, call);
        self.operator_step(now, id, Some(step), Err(NoAnswer), out);
    }

    fn operator_step(
        &mut self,
        now: Timestamp,
        id: OperatorCallId,
        step: Option<OperatorStep>,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        match step {
            Some(OperatorStep::Platform(request)) => {
                self.call(Purpose::Operator(id), request, out);
            }
            Some(OperatorStep::Answer(answer)) => {
                // Whoever confirmed has it in force at once.
                if let Ok(PlatformReply::Written(_)) = result {
                    self.next_watch_at = now;
                }
                out.push(Action::AnswerOperator {
                    call_id: id,
                    answer,
                });
            }
            None => {}
        }
    }

    // --- requests ---

    fn on_request(
        &mut self,
        now: Timestamp,
        request: RequestId,
        meta: RequestMeta,
        out: &mut Vec<Action>,
    ) {
        if self.is_stopping {
            let outcome = not_run(NotRunReason::Stopping, Duration::from_secs(1));
            out.push(Action::Answer { request, outcome });
            return;
        }
        let share = self.share_of(&meta.customer);
        let Some(key) = meta.key else {
            self.submit(now, request, meta, out);
            return;
        };
        if let Some((reason, retry_after)) = self.router.refusal(now, &meta, share) {
            let outcome = not_run(reason, retry_after);
            out.push(Action::Answer { request, outcome });
            return;
        }
        let claimant = self.operation();
        self.claims.claim(now, request, key, claimant);
        let claimed = Claimed {
            key,
            claimant,
            waiting: Some(meta),
        };
        self.claimed.insert(request, claimed);
        self.tick_claims(now, out);
    }

    fn share_of(&self, customer: &Customer) -> u32 {
        let fleet = self.state.fleet();
        fleet
            .and_then(|fleet| fleet.value.customers.get(customer))
            .map_or(1, |customer| customer.share)
    }

    fn submit(
        &mut self,
        now: Timestamp,
        request: RequestId,
        meta: RequestMeta,
        out: &mut Vec<Action>,
    ) {
        let share = self.share_of(&meta.customer);
        let mut actions = Vec::new();
        self.router
            .submit(now, request, meta, share, &mut self.rng, &mut actions);
        self.router_actions(now, actions, out);
    }

    fn on_ended(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        end: super::router::request::AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router
            .on_ended(now, request, attempt, end, &mut self.rng, &mut actions);
        self.router_actions(now, actions, out);
    }

    fn on_report(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        upstream: &UpstreamId,
        status: Option<super::engine::EngineStatus>,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router.on_report(
            now,
            asked_at,
            upstream,
            status.as_ref(),
            &mut self.rng,
            &mut actions,
        );
        self.router_actions(now, actions, out);
    }

    fn on_caller_left(&mut self, now: Timestamp, request: RequestId, out: &mut Vec<Action>) {
        let is_waiting_for_claim = self
            .claimed
            .get(&request)
            .is_some_and(|claimed| claimed.waiting.is_some());
        if is_waiting_for_claim {
            self.settle_claim(request, &not_run(NotRunReason::CallerLeft, Duration::ZERO));
            return;
        }
        let mut actions = Vec::new();
        self.router.cancel(request, &mut actions);
        self.router_actions(now, actions, out);
    }

    fn tick_router(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let sharers = self.membership.alive(now).count() + 1;
        self.router.set_sharers(sharers);
        for spec in self.router.reports_wanted(now) {
            out.push(Action::AskStatus {
                purpose: StatusPurpose::Report(spec.id),
                host: None,
                address: spec.address,
            });
        }
        let mut actions = Vec::new();
        self.router.tick(now, &mut self.rng, &mut actions);
        self.router_actions(now, actions, out);
    }

    fn router_actions(
        &mut self,
        now: Timestamp,
        actions: Vec<RouterAction>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                RouterAction::Send(attempt) => out.push(Action::Send(attempt)),
                RouterAction::Abandon(attempt) => out.push(Action::Abandon(attempt)),
                RouterAction::Log(text) => log(out, Part::Route, text),
                RouterAction::Answer { request, outcome } => {
                    let text = format!("request {} ends: {outcome:?}", request.0);
                    log(out, Part::Route, text);
                    self.settle_claim(request, &outcome);
                    out.push(Action::Answer { request, outcome });
                }
            }
        }
        self.tick_claims(now, out);
    }

    // --- claims ---

    /// Says in the claim what became of the request, if it had one.
    fn settle_claim(&mut self, request: RequestId, outcome: &Outcome) {
        let Some(claimed) = self.claimed.remove(&request) else {
            return;
        };
        match outcome {
            Outcome::NotRun { .. } => self.claims.withdraw(claimed.key, claimed.claimant),
            Outcome::Completed | Outcome::Failed { .. } => {
                self.claims.complete(claimed.key, claimed.claimant);
            }
            Outcome::Unknown { .. } => {}
        }
    }

    fn tick_claims(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let wall_seconds = self.identity.wall_seconds + now.as_duration().as_secs();
        let (steps, results) = self.claims.poll(now, wall_seconds);
        for step in steps {
            self.claim_step(step, out);
        }
        self.claim_results(now, results, out);
    }

    fn claim_step(&mut self, step: ClaimStep, out: &mut Vec<Action>) {
        match step {
            ClaimStep::Read(partition) => {
                let request = PlatformCall::Get(ObjectKey::Claims(partition));
                self.call(Purpose::Claims(partition), request, out);
            }
            ClaimStep::Write {
                partition,
                expect,
                value,
            } => {
                let request = PlatformCall::Put {
                    key: ObjectKey::Claims(partition),
                    expect,
                    object: Box::new(Object::Claims(value)),
                };
                self.call(Purpose::Claims(partition), request, out);
            }
        }
    }

    fn on_claims_reply(
        &mut self,
        now: Timestamp,
        partition: u16,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        let results = match result {
            Ok(PlatformReply::Object(object)) => {
                let value = object.and_then(|object| match object.value {
                    Object::Claims(value) => Some(Versioned {
                        version: object.version,
                        value,
                    }),
                    _ => None,
                });
                self.claims.on_read(partition, value)
            }
            Ok(PlatformReply::Written(version)) => self.claims.on_written(partition, version),
            Ok(PlatformReply::Conflict | PlatformReply::Objects { .. }) | Err(NoAnswer) => {
                self.claims.on_unclear(partition);
                Vec::new()
            }
        };
        self.claim_results(now, results, out);
    }

    fn claim_results(
        &mut self,
        now: Timestamp,
        results: Vec<(RequestId, ClaimResult)>,
        out: &mut Vec<Action>,
    ) {
        for (request, result) in results {
            let Some(claimed) = self.claimed.get_mut(&request) else {
                continue;
            };
            let Some(meta) = claimed.waiting.take() else {
                continue;
            };
            if result == ClaimResult::Granted {
                self.submit(now, request, meta, out);
                continue;
            }
            self.claimed.remove(&request);
            let outcome = refusal_of(result);
            let text = format!("request {} is refused its key: {result:?}", request.0);
            log(out, Part::Claim, text);
            out.push(Action::Answer { request, outcome });
        }
    }

    // --- stop ---

    fn on_stop(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        self.membership.leave();
        log(out, Part::Daemon, "stops when its requests are done".into());
        let operation = self.operation();
        if let Some(step) = self.lease.release(now, operation) {
            self.lease_step(step, out);
        }
        self.pull(now, out);
        self.finish_stop(out);
    }

    fn finish_stop(&mut self, out: &mut Vec<Action>) {
        let is_done = self.router.pending() == 0 && self.claimed.is_empty();
        if self.is_stopping && is_done && !self.has_stopped {
            self.has_stopped = true;
            out.push(Action::Stopped);
        }
    }
}

fn log(out: &mut Vec<Action>, part: Part, text: String) {
    out.push(Action::Log(LogLine { part, text }));
}

fn not_run(reason: NotRunReason, retry_after: Duration) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after,
    }
}

fn refusal_of(result: ClaimResult) -> Outcome {
    let reason = match result {
        ClaimResult::Completed | ClaimResult::InProgressOrUnknown => {
            return Outcome::Unknown {
                reason: UnknownReason::KeyUsed,
            };
        }
        ClaimResult::Granted | ClaimResult::Unavailable => NotRunReason::ClaimUnavailable,
    };
    not_run(reason, Duration::from_secs(2))
}
