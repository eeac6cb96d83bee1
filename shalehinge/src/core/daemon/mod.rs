//! The whole of a daemon's decisions, behind one entry.
//!
//! A harness builds a [`Daemon`], gives it events with the time, and carries
//! out the actions that come back. Nothing else is needed to step it: the
//! daemon process does the same with sockets and timers.
//!
//! - `platform_calls`: calls to the platform, and where their answers go
//! - `configuration`: which objects are in force: listed, watched, spread
//! - `peers`: pulls and notices between daemons
//! - `quarantine`: what daemons tell each other of requests that crash upstreams
//! - `relays`: what daemons that don't read the platform hear from peers
//! - `control`: the lease, and what its holder does
//! - `limits`: how many requests upstreams in need take from all daemons together
//! - `operators`: plans and confirms
//! - `requests`: requests of callers, and what the router decides
//! - `claiming`: keys of requests: claimed before, settled after
//! - `stopping`: a planned stop
//! - `store_era`: which era of the platform's store answers are of

mod claiming;
mod configuration;
mod control;
mod limits;
mod operators;
mod peers;
mod platform_calls;
mod quarantine;
mod relays;
mod requests;
mod stopping;
mod store_era;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::core::claims::{ClaimResult, ClaimTracker};
use crate::core::controller::Controller;
use crate::core::demand::Demand;
use crate::core::event::{Action, Event, LimitsNotice, LogLine, Part, StatusPurpose};
use crate::core::feed::{Confirmation, Feed};
use crate::core::fleet_state::{FleetState, HostDetail};
use crate::core::lease::ControlLease;
use crate::core::membership::{Heartbeat, Membership};
use crate::core::object_fetch::ObjectFetch;
use crate::core::objects::KeyHash;
use crate::core::operator::{OperatorCallId, Operators};
use crate::core::permits::PermitOwner;
use crate::core::platform::{CallId, Scope};
use crate::core::router::Router;
use crate::core::router::request::{NotRunReason, Outcome, RequestMeta, UnknownReason};
use crate::core::routes::{RouteQuery, RouteRefusal, RouteTable, Routed};
use crate::core::superseded::Superseded;
use crate::core::trials::{TrialGrant, TrialOwner};
use crate::core::types::{
    Address, Customer, DaemonId, FailureDomain, FleetVersion, Incarnation, OperationId, RequestId,
    Timestamp,
};
use crate::settings::core::CoreSettings;
use crate::settings::learning::{FeedLayout, LearningSettings};

use self::store_era::{EraState, OpenCall};

/// How often a [`Event::Tick`] should come.
pub const TICK: Duration = Duration::from_millis(50);
/// Daemons of a failure domain that try to get its lease.
const CANDIDATES: usize = 3;
/// The duty of asking the platform exactly.
const WATCH_DUTY: &str = "watch";
/// Time between two questions to a watcher whether the configuration still holds.
const CONFIRM_SPACING: Duration = Duration::from_millis(400);
/// Time between two tellings of replicas that lost a member.
const SUSPECTS_INTERVAL: Duration = Duration::from_millis(500);
/// Outputs of replicas that are older are left out of the answer to what moves. A
/// loss is decided on within 400 ms, and older outputs prove nothing then.
const MOVING_WITHIN: Duration = Duration::from_millis(500);
/// Daemons that are asked whether a replica moves. One in five of ninety daemons
/// runs a request at a given replica, so that some of twelve do in nine cases of ten.
const MOVING_WITNESSES: usize = 12;
/// Time between two sums of the work that arrives at the fleet.
const WORK_INTERVAL: Duration = Duration::from_secs(1);
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
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Wall clock at the start, in seconds since 1970; for the age of claims only.
    pub wall_seconds: u64,
}

/// Why a platform call was made.
#[derive(Clone, Debug)]
enum Purpose {
    Feed(usize),
    Lease,
    Assignment,
    Claims(u16),
    Operator(OperatorCallId),
    /// A configuration that the store lost is written again.
    RewriteFleet,
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
    claims: ClaimTracker,
    /// The limits of upstreams that this daemon owns.
    permits: PermitOwner,
    /// The trials that this daemon hands out.
    trials: TrialOwner,
    /// Trials that it has for itself.
    own_trials: Vec<TrialGrant>,
    /// What this daemon has for itself as an owner of limits.
    own_limits: Vec<LimitsNotice>,
    operators: Operators,
    router: Router,
    demand: Demand,
    next_work_at: Timestamp,
    calls: BTreeMap<CallId, OpenCall>,
    era: EraState,
    next_call: u64,
    claimed: BTreeMap<RequestId, Claimed>,
    feeds: Vec<Feed>,
    routes: RouteTable,
    confirmed_by_peer: Option<Timestamp>,
    /// The newest revision that the platform is known to have reached.
    confirmation: Option<Confirmation>,
    /// The last configuration that was read and is older than the one in force.
    passed_over: Option<FleetVersion>,
    next_confirm_at: Timestamp,
    next_relay_at: Timestamp,
    /// The time of which peers told the host list.
    hosts_told_at: Option<Timestamp>,
    whole_fetch: ObjectFetch,
    superseded: Superseded,
    /// How long before the start of this daemon the platform confirmed the configuration, as
    /// peers told; counts until it is confirmed again.
    confirmed_before_start: Option<Duration>,
    next_suspects_at: Timestamp,
    was_holder: bool,
    /// A request came in since the start.
    has_served: bool,
    is_leaving: bool,
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
            revision: 0,
            leaving: false,
            fleet: FleetVersion::NONE,
            holds_control: false,
        };
        let domain = identity.failure_domain.clone();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            state: FleetState::new(if settings.learning.relays {
                HostDetail::Routable
            } else {
                HostDetail::Full
            }),
            membership: Membership::new(settings.membership, heartbeat, identity.seeds.clone()),
            lease: ControlLease::new(
                settings.lease,
                identity.daemon.clone(),
                identity.incarnation,
            ),
            controller: Controller::new(settings.control, domain),
            claims: ClaimTracker::new(settings.claims),
            permits: PermitOwner::default(),
            trials: TrialOwner::default(),
            own_trials: Vec::new(),
            own_limits: Vec::new(),
            operators: Operators::default(),
            router: Router::new(settings.router, identity.incarnation),
            demand: Demand::default(),
            next_work_at: Timestamp::ZERO,
            calls: BTreeMap::new(),
            era: EraState::default(),
            next_call: 1,
            claimed: BTreeMap::new(),
            feeds: scopes(settings.learning.feeds)
                .iter()
                .map(|scope| first_feed(*scope, settings.learning))
                .collect(),
            routes: RouteTable::default(),
            confirmed_by_peer: None,
            confirmation: None,
            passed_over: None,
            next_confirm_at: Timestamp::ZERO,
            next_relay_at: Timestamp::ZERO,
            hosts_told_at: None,
            whole_fetch: ObjectFetch::default(),
            superseded: Superseded::default(),
            confirmed_before_start: None,
            next_suspects_at: Timestamp::ZERO,
            was_holder: false,
            has_served: false,
            is_leaving: false,
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
        self.state.fleet().is_some() && !self.is_leaving
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

    /// Where a relayed request goes. It is refused for good only on a configuration
    /// that is known to be fresh, and not served on one that is known to be out of date.
    pub fn route(&self, now: Timestamp, query: RouteQuery<'_>) -> Result<Routed, RouteRefusal> {
        if self.state.fleet().is_none() || self.is_out_of_date(now) {
            return Err(RouteRefusal::NotReady);
        }
        let routed = self.routes.find(query);
        let is_fresh = self.settings.learning.refuse_within.is_none_or(|within| {
            let confirmed_at = self.confirmed_at();
            confirmed_at.is_some_and(|at| now.since(at) < within)
        });
        if routed.is_err() && !is_fresh {
            return Err(RouteRefusal::NotReady);
        }
        routed
    }

    /// The routes in force.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Takes in one event; what is to be done is added to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Platform { call, result } => self.on_platform(now, call, result, out),
            Event::PullAsked { pull_id, pull } => self.on_pull_asked(now, pull_id, pull, out),
            Event::PullAnswered {
                topic,
                asked_at,
                reply,
            } => self.on_pull_answered(now, topic, asked_at, reply, out),
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
                Some(reply) => {
                    self.controller
                        .on_order_reply(now, asked_at, &host, &order, reply);
                }
                None => self.controller.on_order_unanswered(now, asked_at, &host),
            },
            Event::Request { request, meta } => self.on_request(now, request, meta, out),
            Event::Output { request, attempt } => self.router.on_output(now, request, attempt),
            Event::Progress { request, attempt } => {
                self.router.on_progress(now, request, attempt);
            }
            Event::Signal {
                request,
                attempt,
                signal,
            } => self.on_signal(now, request, attempt, signal, out),
            Event::Ended {
                request,
                attempt,
                end,
            } => self.on_ended(now, request, attempt, end, out),
            Event::UpstreamChecked { upstream, is_gone } => {
                self.on_upstream_checked(now, &upstream, is_gone, out);
            }
            Event::CallerLeft(request) => self.on_caller_left(now, request, out),
            Event::Operator { call_id, call } => self.on_operator(now, call_id, call, out),
            Event::Leave => self.on_leave(now, out),
            Event::Stop => self.on_stop(now, out),
        }
    }

    fn tick(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.learn(now, out);
        self.pull(now, out);
        self.ask_watcher(now, out);
        self.pull_from_relay(now, out);
        self.fetch_whole_objects(now, out);
        self.tick_earlier_hosts(now, out);
        self.tick_lease(now, out);
        self.tick_controller(now, out);
        self.tick_claims(now, out);
        self.tick_router(now, out);
        self.tell_suspects(now, out);
        self.tell_quarantine(now, out);
        self.tick_limits(now, out);
        self.finish_stop(out);
    }
}

/// The feeds of a layout.
fn scopes(layout: FeedLayout) -> &'static [Scope] {
    match layout {
        FeedLayout::Shared => &[Scope::Shared],
        FeedLayout::Split => &[Scope::Configuration, Scope::Hosts],
    }
}

/// A list of hosts that may be stale is completed by the watches that follow it.
fn first_feed(scope: Scope, settings: LearningSettings) -> Feed {
    if scope == Scope::Hosts && settings.stale_watches {
        Feed::with_stale_list(scope)
    } else {
        Feed::new(scope)
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
