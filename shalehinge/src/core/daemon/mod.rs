//! The decision logic of one daemon, free of I/O.
//!
//! The caller builds a [`Daemon`], passes it events together with the current time, and carries
//! out the actions that it returns. Tests drive it in simulated time; the daemon process drives
//! it with sockets and timers.
//!
//! - `platform_calls`: issues calls to the platform and dispatches their replies
//! - `configuration`: lists and watches objects, applies them, and notifies peers of changes
//! - `peers`: pulls and notices between daemons
//! - `quarantine`: exchanges reports of requests that crash upstreams
//! - `relays`: distributes the host list to daemons that don't read it from the platform
//! - `control`: the control lease of a failure domain, and the work of the lease holder
//! - `limits`: enforces, over all daemons, the request rates that overloaded upstreams ask for
//! - `operators`: plan and confirm calls of operators
//! - `forwarding`: requests that are handed between daemons
//! - `requests`: requests of callers, and the router's actions
//! - `claiming`: claims idempotency keys before requests run and settles them afterwards
//! - `stopping`: planned shutdown
//! - `era_objects`: which objects hold the leases, assignments and claims of a store era
//! - `store_era`: detects that the platform's store was restored, and rejects outdated replies

mod claiming;
mod configuration;
mod control;
mod era_objects;
mod forwarding;
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

use crate::core::claim_witnesses::PendingGrants;
use crate::core::claims::{ClaimResult, ClaimTracker};
use crate::core::controller::Controller;
use crate::core::demand::Demand;
use crate::core::event::{Action, Component, Event, LimitsNotice, LogLine, StatusPurpose};
use crate::core::feed::{Confirmation, Feed};
use crate::core::fleet_state::{FleetState, HostDetail};
use crate::core::lease::ControlLease;
use crate::core::load::DaemonLoad;
use crate::core::membership::{Heartbeat, Membership};
use crate::core::object_fetch::ObjectFetch;
use crate::core::objects::KeyHash;
use crate::core::operator::{OperatorCallId, OperatorCalls};
use crate::core::owner_watch::OwnerWatch;
use crate::core::permit_recipients::PermitRecipients;
use crate::core::permits::PermitOwner;
use crate::core::platform::{CallId, Scope};
use crate::core::router::Router;
use crate::core::router::request::{NotRunReason, Outcome, RequestMeta, UnknownReason};
use crate::core::routes::{RouteMatch, RouteQuery, RouteRefusal, RouteTable};
use crate::core::superseded::NewerConfigurations;
use crate::core::trials::{TrialGrant, TrialOwner};
use crate::core::types::{
    Address, Customer, DaemonId, FailureDomain, FleetVersion, Incarnation, OperationId, RequestId,
    Timestamp,
};
use crate::settings::core::CoreSettings;
use crate::settings::learning::{FeedLayout, LearningSettings};

use self::era_objects::{EraObjects, SuccessorCheck};
use self::quarantine::StoredCulprits;
use self::store_era::{EraState, OpenCall};

/// Interval at which the caller must deliver [`Event::Tick`].
pub const TICK: Duration = Duration::from_millis(50);
/// Number of daemons per failure domain that try to acquire its control lease.
const LEASE_CANDIDATES: usize = 3;
/// Membership duty of the watchers, which read the platform with exact freshness.
const WATCH_DUTY: &str = "watch";
/// Minimum time between two pulls that ask a watcher to confirm the configuration.
const CONFIRM_PULL_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two reports of replicas that may have lost a member.
const SUSPECT_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum age of a replica's last output that is reported as a sign of progress. The controller
/// decides on a loss within 400 ms, so older outputs prove nothing.
const LAST_OUTPUT_MAX_AGE: Duration = Duration::from_millis(500);
/// Number of peers asked for the last output of a replica. With 90 daemons, one in five runs a
/// request on a given replica, so at least one of 12 does in nine cases out of ten.
const LAST_OUTPUT_PEERS: usize = 12;
/// Interval at which the lease holder recomputes the demand on the fleet.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Number of peers that a daemon notifies when an object changes.
const NOTICE_FANOUT: usize = 3;
/// Minimum delay before a failed watch is retried. Random jitter of up to the same length is
/// added.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The identity of a daemon, constant while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// The daemon's name, unique in the fleet.
    pub daemon: DaemonId,
    /// The failure domain that the daemon's host belongs to.
    pub failure_domain: FailureDomain,
    /// The address at which peers reach the daemon.
    pub address: Address,
    /// Number of this run of the daemon; higher than that of any earlier run.
    pub incarnation: Incarnation,
    /// Addresses of peers to contact before any member is known.
    pub seeds: Vec<Address>,
    /// Whether the whole fleet starts for the first time, so that nothing is stored yet.
    pub is_first_start: bool,
    /// Wall clock time at the start, in seconds since the Unix epoch. Used only for the age of
    /// claims.
    pub wall_seconds: u64,
}

/// What a platform call was made for; decides where its reply goes.
#[derive(Clone, Debug)]
enum CallPurpose {
    /// The feed at this index lists or watches its scope.
    Feed(usize),
    /// Reads or writes the control lease.
    Lease,
    /// Reads or writes the assignment of this failure domain.
    Assignment,
    /// Reads or writes this partition of the claims.
    Claims(u16),
    /// Lists the shared leases to decide the scope of the objects of this era.
    ObjectScope,
    /// Reads the successor of an object of an earlier era before that is deleted.
    Successor(SuccessorCheck),
    /// Deletes an object of an earlier era whose successor was written.
    DeleteSuperseded,
    /// Part of a plan or confirm call.
    Operator(OperatorCallId),
    /// Rewrites a configuration that the store lost.
    RewriteFleet,
    /// Reads what was known to crash upstreams.
    StoredCulprits,
}

/// A request with an idempotency key, from its claim to its outcome.
#[derive(Clone, Debug)]
struct ClaimedRequest {
    key: KeyHash,
    claimant: OperationId,
    /// The request's metadata, until the claim is granted.
    pending_meta: Option<RequestMeta>,
    /// When the request is rejected unless its key has been granted.
    expires_at: Timestamp,
}

/// The state and decision logic of one daemon.
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
    /// Stored claims that wait for witnesses.
    pending_grants: PendingGrants,
    /// The request limits that this daemon owns, and their permits.
    permits: PermitOwner,
    /// The owners of limits for which this daemon is the standby.
    owner_watch: OwnerWatch,
    /// The recipients of this daemon's permit requests.
    permit_recipients: PermitRecipients,
    /// What was read of what is stored about requests that crash upstreams.
    culprits: StoredCulprits,
    /// The trials that this daemon owns and grants.
    trials: TrialOwner,
    /// Trials that this daemon granted to itself and has not started yet.
    own_trial_grants: Vec<TrialGrant>,
    /// Limit notices that this daemon addressed to itself and has not processed yet.
    own_limit_notices: Vec<LimitsNotice>,
    operators: OperatorCalls,
    router: Router,
    demand: Demand,
    next_demand_update_at: Timestamp,
    calls: BTreeMap<CallId, OpenCall>,
    era_state: EraState,
    era_objects: EraObjects,
    next_call: u64,
    claimed_requests: BTreeMap<RequestId, ClaimedRequest>,
    feeds: Vec<Feed>,
    routes: RouteTable,
    /// When the configuration in force was last known to be the newest, as reported by peers.
    confirmed_by_peer: Option<Timestamp>,
    /// The newest known revision of the platform, and when it was confirmed.
    confirmation: Option<Confirmation>,
    /// When this daemon learned of the newest known revision.
    revision_known_at: Timestamp,
    /// Number of exact answers whose revision was lower than one known before the call.
    lower_revisions: u64,
    /// The last configuration version that was ignored because a newer one is in force.
    last_ignored_version: Option<FleetVersion>,
    next_confirm_pull_at: Timestamp,
    next_relay_pull_at: Timestamp,
    /// When the platform last answered the daemons that the peers' host list comes from.
    peer_hosts_answered_at: Option<Timestamp>,
    whole_fetch: ObjectFetch,
    superseded: NewerConfigurations,
    /// Age, at the start of this daemon, of the platform's last confirmation of the
    /// configuration, as reported by peers. Used until the configuration is confirmed again.
    confirmed_age_at_start: Option<Duration>,
    next_suspect_report_at: Timestamp,
    is_lease_holder: bool,
    /// Since when this daemon has reached no upstream.
    isolated_since: Option<Timestamp>,
    /// Whether a request has arrived since the start.
    has_received_request: bool,
    is_leaving: bool,
    is_stopping: bool,
    /// Until when a stop waits for the release of the lease.
    release_until: Timestamp,
    has_stopped: bool,
}

impl Daemon {
    /// Creates a daemon that knows no objects and no peers but its seeds. `seed` initialises its
    /// random number generator.
    pub fn new(settings: CoreSettings, identity: Identity, seed: u64) -> Self {
        let heartbeat = Heartbeat {
            daemon: identity.daemon.clone(),
            address: identity.address,
            failure_domain: identity.failure_domain.clone(),
            incarnation: identity.incarnation,
            counter: 0,
            revision: 0,
            leaving: false,
            isolated: false,
            fleet: FleetVersion::NONE,
            holds_control: false,
            load: DaemonLoad::default(),
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
            pending_grants: PendingGrants::default(),
            permits: PermitOwner::default(),
            owner_watch: OwnerWatch::default(),
            permit_recipients: PermitRecipients::default(),
            culprits: StoredCulprits::default(),
            trials: TrialOwner::default(),
            own_trial_grants: Vec::new(),
            own_limit_notices: Vec::new(),
            operators: OperatorCalls::default(),
            router: Router::new(settings.router, identity.incarnation),
            demand: Demand::default(),
            next_demand_update_at: Timestamp::ZERO,
            calls: BTreeMap::new(),
            era_state: EraState::default(),
            era_objects: EraObjects::default(),
            next_call: 1,
            claimed_requests: BTreeMap::new(),
            feeds: watched_scopes(settings.learning)
                .into_iter()
                .map(|scope| first_feed(scope, settings.learning))
                .collect(),
            routes: RouteTable::default(),
            confirmed_by_peer: None,
            confirmation: None,
            revision_known_at: Timestamp::ZERO,
            lower_revisions: 0,
            last_ignored_version: None,
            next_confirm_pull_at: Timestamp::ZERO,
            next_relay_pull_at: Timestamp::ZERO,
            peer_hosts_answered_at: None,
            whole_fetch: ObjectFetch::default(),
            superseded: NewerConfigurations::default(),
            confirmed_age_at_start: None,
            next_suspect_report_at: Timestamp::ZERO,
            is_lease_holder: false,
            isolated_since: None,
            has_received_request: false,
            is_leaving: false,
            is_stopping: false,
            release_until: Timestamp::ZERO,
            has_stopped: false,
            settings,
            identity,
        }
    }

    /// The objects in force at this daemon.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// The router, for status reports.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The control lease, for status reports.
    pub fn lease(&self) -> &ControlLease {
        &self.lease
    }

    /// The fleet's members, for status reports.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The identity of this daemon.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Whether the daemon should receive new requests: it has a configuration and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.state.fleet().is_some() && !self.is_leaving
    }

    /// Looks up the customer whose API key has this SHA-256 digest, in hexadecimal of either case.
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

    /// Finds the service for a relayed request.
    ///
    /// # Errors
    ///
    /// [`RouteRefusal::NotReady`] if there is no configuration, if it is known to be out of date,
    /// or if the route table refuses the request and the configuration was not confirmed
    /// recently: a permanent refusal requires a fresh configuration. Otherwise the refusal of the
    /// route table.
    pub fn route(&self, now: Timestamp, query: RouteQuery<'_>) -> Result<RouteMatch, RouteRefusal> {
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

    /// The route table in force.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Platform { call, result } => self.on_platform_reply(now, call, result, out),
            Event::PullReceived { pull_id, pull } => self.on_pull_request(now, pull_id, pull, out),
            Event::PullAnswered {
                topic,
                asked_at,
                reply,
            } => self.on_pull_reply(now, topic, asked_at, reply, out),
            Event::NoticeReceived(notice) => self.on_notice(now, notice, out),
            Event::Status {
                purpose,
                asked_at,
                host,
                status,
            } => match purpose {
                StatusPurpose::Report(upstream) => {
                    self.on_report(now, asked_at, &upstream, status.ok(), out);
                }
                StatusPurpose::Probe(_) => match (status, host) {
                    (Ok(status), _) => self.controller.on_status(now, asked_at, status),
                    (Err(cause), Some(host)) => {
                        self.controller.on_no_status(now, asked_at, &host, cause);
                    }
                    (Err(_), None) => {}
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
                None => {
                    self.controller
                        .record_unanswered_order(asked_at, &host, &order);
                    self.controller.on_order_unanswered(now, asked_at, &host);
                }
            },
            Event::Request { request, meta } => self.on_request(now, request, meta, out),
            Event::ForwardReceived { request, meta } => {
                self.on_forward_received(now, request, meta, out);
            }
            Event::ForwardEnded {
                request,
                attempt,
                end,
            } => self.on_forward_ended(now, request, attempt, end, out),
            Event::FirstOutput { request, attempt } => {
                self.on_first_output(now, request, attempt, out);
            }
            Event::Progress { request, attempt } => {
                self.on_progress(now, request, attempt, out);
            }
            Event::Signal {
                request,
                attempt,
                signal,
            } => self.on_signal(now, request, attempt, signal, out),
            Event::AttemptEnded {
                request,
                attempt,
                end,
            } => self.on_ended(now, request, attempt, end, out),
            Event::UpstreamChecked { upstream, is_gone } => {
                self.on_upstream_checked(now, &upstream, is_gone, out);
            }
            Event::UpstreamProbed {
                upstream,
                is_reachable,
            } => self.on_upstream_probed(now, &upstream, is_reachable, out),
            Event::CallerLeft(request) => self.on_caller_left(now, request, out),
            Event::Operator { call_id, call } => self.on_operator(now, call_id, call, out),
            Event::Leave => self.on_leave(now, out),
            Event::Stop => self.on_stop(now, out),
        }
    }

    fn tick(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.poll_feeds(now, out);
        self.send_gossip_pull(now, out);
        self.pull_confirmation(now, out);
        self.pull_from_relay(now, out);
        self.fetch_whole_objects(now, out);
        self.expire_earlier_hosts(now, out);
        self.expire_lost_evacuations(now, out);
        self.read_stored_culprits(now, out);
        self.tick_lease(now, out);
        self.tick_controller(now, out);
        self.tick_claims(now, out);
        self.check_successors(now, out);
        self.update_forward_peers(now, out);
        self.tick_router(now, out);
        self.report_suspects(now, out);
        self.send_quarantine_update(now, out);
        self.tick_limits(now, out);
        self.finish_stop(now, out);
    }
}

/// The scopes that the feeds cover, one feed each.
fn watched_scopes(settings: LearningSettings) -> Vec<Scope> {
    let mut scopes = match settings.feeds {
        FeedLayout::Shared => vec![Scope::Shared],
        FeedLayout::Split => vec![Scope::Configuration, Scope::Hosts],
    };
    if settings.evacuations {
        scopes.push(Scope::Evacuations);
    }
    scopes
}

/// Creates the feed of a scope. With stale watches, the initial host list may be stale too: the
/// watches that follow bring it up to date.
fn first_feed(scope: Scope, settings: LearningSettings) -> Feed {
    if scope == Scope::Hosts && settings.stale_watches {
        Feed::with_stale_list(scope)
    } else {
        Feed::new(scope)
    }
}

fn log(out: &mut Vec<Action>, component: Component, text: String) {
    out.push(Action::Log(LogLine { component, text }));
}

fn not_run(reason: NotRunReason, retry_after: Duration) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after,
    }
}

fn outcome_of_refused_claim(result: ClaimResult) -> Outcome {
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
