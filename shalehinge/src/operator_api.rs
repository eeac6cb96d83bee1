//! The HTTP API for operators and their client: plan, confirm, status and metrics.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use trillium::{Conn, Handler, KnownHeaderName, Status};
use trillium_router::Router;

use crate::core::change::Change;
use crate::core::daemon::Daemon;
use crate::core::objects::GroupPhase;
use crate::core::operator::{Confirm, OperatorCall};
use crate::core::placement::stranded::stranded_accelerators;
use crate::core::router::request::{Target, UpstreamId};
use crate::core::types::{
    Customer, DaemonId, FailureDomain, FleetVersion, GroupNumber, HostId, ModelName, ModelVersion,
    StoreEra, Timestamp,
};
use crate::gateway::auth::bearer_sha256;
use crate::process::Driver;
use crate::utils::body::{BodyLimits, read_body};
use crate::utils::memory_budget::MemoryBudget;

/// Path of the call that plans a change.
pub const PLAN_PATH: &str = "/v1/plan";
/// Path of the call that confirms a plan.
pub const CONFIRM_PATH: &str = "/v1/confirm";
/// Path of the fleet status.
pub const STATUS_PATH: &str = "/v1/status";
/// Maximum size of an operator's request body, in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024;

/// Status of the fleet, from the point of view of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The daemon that responds.
    pub daemon: DaemonId,
    /// Version of the configuration in force at the responding daemon.
    pub version: FleetVersion,
    /// All live daemons that the responding daemon knows, including itself, sorted by name.
    pub daemons: Vec<DaemonStatus>,
    /// Failure domains in the platform's host list.
    pub domains: BTreeMap<FailureDomain, DomainStatus>,
    /// Models in the configuration.
    pub models: Vec<ModelStatus>,
    /// Share of each customer, as a weight relative to the others.
    pub shares: BTreeMap<Customer, u32>,
    /// Hosts that the configuration drains.
    pub draining: Vec<HostId>,
    /// Evacuated failure domains.
    #[serde(default)]
    pub evacuated: Vec<FailureDomain>,
}

/// Status of a live daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Failure domain of the daemon.
    pub failure_domain: FailureDomain,
    /// Version of the configuration in force there, as last received by gossip.
    pub version: FleetVersion,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
}

/// Status of a failure domain.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DomainStatus {
    /// Number of hosts in the platform's host list.
    pub hosts: usize,
    /// Number of hosts that belong to no group.
    pub free_hosts: usize,
    /// Idle accelerators on hosts that can't form a complete group.
    pub stranded_accelerators: u32,
    /// Lease holder; known only for the responding daemon's own failure domain.
    pub holder: Option<DaemonId>,
    /// Host groups of the failure domain.
    pub groups: Vec<GroupStatus>,
    /// Hosts that have yet to acknowledge their release.
    pub releasing: Vec<HostId>,
}

/// Status of a host group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Number of the group, unique within the failure domain.
    pub number: GroupNumber,
    /// Model that the group serves.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Phase of the group's life cycle.
    pub phase: GroupPhase,
    /// Member hosts, ordered by rank.
    pub hosts: Vec<HostId>,
    /// Whether the responding daemon would route requests to the group; `None` if the group is not
    /// among its candidates.
    pub in_routing: Option<bool>,
}

/// Status of a model.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Name of the model.
    pub model: ModelName,
    /// Desired version.
    pub version: ModelVersion,
    /// Desired number of replicas.
    pub wanted: u32,
    /// Number of replicas in phase serving, according to the assignments.
    pub serving: u32,
    /// Number of replicas that the responding daemon may route requests to now.
    pub eligible_here: usize,
}

/// Builds the handler of the operator API. Plan, confirm and status require the bearer token whose
/// SHA-256, in hexadecimal, is `token_sha256`; metrics are public. Request bodies must arrive
/// within `body_timeout`.
pub fn handler(driver: Arc<Driver>, token_sha256: String, body_timeout: Duration) -> impl Handler {
    let plans = Context {
        driver,
        token_sha256,
        body_timeout,
    };
    let confirms = plans.clone();
    let statuses = plans.clone();
    let metrics = plans.clone();
    Router::new()
        .post(PLAN_PATH, move |conn: Conn| {
            let context = plans.clone();
            async move { context.plan(conn).await }
        })
        .post(CONFIRM_PATH, move |conn: Conn| {
            let context = confirms.clone();
            async move { context.confirm(conn).await }
        })
        .get(STATUS_PATH, move |conn: Conn| {
            let context = statuses.clone();
            async move { context.status(conn) }
        })
        .get("/metrics", move |conn: Conn| {
            let mut page = metrics.driver.metrics.render();
            page.push_str(&store_gauges(&metrics.driver));
            page.push_str(&upstream_gauges(&metrics.driver));
            page.push_str(&queue_gauges(&metrics.driver));
            async move { conn.ok(page) }
        })
}

/// Renders gauges of the platform's store: its era, if it reports one, whether the daemon still
/// keeps host records from the previous era, and the number of answers with a lower revision than
/// was known in the same era.
fn store_gauges(driver: &Driver) -> String {
    driver.read(|_, core| {
        let era = core.store_era().and_then(StoreEra::number);
        let era = era.map(|era| format!("shalehinge.platform.era {era}\n"));
        let kept = u8::from(core.state().has_earlier_hosts());
        let kept = format!("shalehinge.platform.earlier_hosts {kept}\n");
        let lower = core.lower_revisions();
        let lower = format!("shalehinge.platform.lower_revisions {lower}\n");
        era.into_iter().chain([kept, lower]).collect()
    })
}

/// Renders gauges of the signals that upstreams send about themselves, one line each, as known to
/// this daemon: the request rate per second that the upstream accepts from all daemons together,
/// the remaining cooldown in seconds, and 1 for an upstream that is leaving.
fn upstream_gauges(driver: &Driver) -> String {
    driver.read(|now, core| {
        let router = core.router();
        let limited = router.limited_upstreams();
        let limits = limited.map(|(upstream, rate)| format!("limit.{upstream} {rate}"));
        let cooling = router.upstreams_in_cooldown(now);
        let cooldowns = cooling.map(|(upstream, left)| {
            let seconds = left.as_secs_f64();
            format!("cooldown_seconds.{upstream} {seconds:.3}")
        });
        let leaving = router.leaving_upstreams(now);
        let leaving = leaving.map(|upstream| format!("leaving.{upstream} 1"));
        let gauges = limits.chain(cooldowns).chain(leaving);
        gauges
            .map(|gauge| format!("shalehinge.upstream.{gauge}\n"))
            .collect()
    })
}

/// Renders gauges of each target's queue: waiting requests, the places at upstreams that this daemon
/// may use, and the places of all daemons together.
fn queue_gauges(driver: &Driver) -> String {
    driver.read(|now, core| {
        let queues = core.router().queues(now);
        let lines = queues.map(|queue| {
            let (target, waiting) = (queue.target, queue.waiting);
            let (places, all_places) = (queue.places, queue.all_places);
            format!(
                "shalehinge.queue.waiting.{target} {waiting}\nshalehinge.queue.places.{target} {places}\nshalehinge.queue.all_places.{target} {all_places}\n"
            )
        });
        lines.collect()
    })
}

#[derive(Clone)]
struct Context {
    driver: Arc<Driver>,
    token_sha256: String,
    body_timeout: Duration,
}

impl Context {
    fn is_authorized(&self, conn: &Conn) -> bool {
        bearer_sha256(conn).is_some_and(|hash| hash.eq_ignore_ascii_case(&self.token_sha256))
    }

    async fn plan(&self, conn: Conn) -> Conn {
        self.handle_call(conn, |body| {
            serde_json::from_slice::<Change>(body).map(OperatorCall::Plan)
        })
        .await
    }

    async fn confirm(&self, conn: Conn) -> Conn {
        self.handle_call(conn, |body| {
            serde_json::from_slice::<Confirm>(body).map(OperatorCall::Confirm)
        })
        .await
    }

    async fn handle_call(
        &self,
        mut conn: Conn,
        parse: impl Fn(&[u8]) -> serde_json::Result<OperatorCall>,
    ) -> Conn {
        if !self.is_authorized(&conn) {
            return unauthorized(conn);
        }
        let limits = BodyLimits {
            max_bytes: MAX_BODY_BYTES,
            timeout: self.body_timeout,
        };
        let body = match read_body(&mut conn, limits, &MemoryBudget::unlimited()).await {
            Ok(body) => body,
            Err(error) => {
                let conn = conn.with_response_header(KnownHeaderName::Connection, "close");
                return respond_with_error(conn, error.status(), &error.to_string());
            }
        };
        let call = match parse(&body) {
            Ok(call) => call,
            Err(error) => {
                let message = format!("the body can't be read: {error}");
                return respond_with_error(conn, Status::BadRequest, &message);
            }
        };
        match self.driver.execute_operator_call(call).await {
            Some(answer) => write_json(conn, &answer),
            None => respond_with_error(conn, Status::ServiceUnavailable, "the daemon is stopping"),
        }
    }

    fn status(&self, conn: Conn) -> Conn {
        if !self.is_authorized(&conn) {
            return unauthorized(conn);
        }
        let status = self.driver.read(fleet_status);
        write_json(conn, &status)
    }
}

fn unauthorized(conn: Conn) -> Conn {
    let message = "send the operators' token as `Authorization: Bearer TOKEN`";
    respond_with_error(conn, Status::Unauthorized, message)
}

fn respond_with_error(conn: Conn, status: Status, message: &str) -> Conn {
    conn.with_status(status)
        .with_body(format!("{message}\n"))
        .halt()
}

fn write_json(conn: Conn, value: &impl Serialize) -> Conn {
    match serde_json::to_string(value) {
        Ok(body) => conn
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .ok(body),
        Err(error) => respond_with_error(conn, Status::InternalServerError, &error.to_string()),
    }
}

fn fleet_status(now: Timestamp, core: &Daemon) -> FleetStatus {
    let fleet = core.state().fleet();
    let version = core.state().fleet_version();
    let config = fleet.map(|fleet| fleet.value.clone()).unwrap_or_default();
    let shares = config.customers.iter();
    FleetStatus {
        daemon: core.identity().daemon.clone(),
        version,
        daemons: daemon_statuses(now, core),
        domains: domain_statuses(now, core),
        models: model_statuses(now, core),
        shares: shares.map(|(name, c)| (name.clone(), c.share)).collect(),
        draining: config.draining.iter().cloned().collect(),
        evacuated: core.state().evacuated().into_iter().cloned().collect(),
    }
}

fn daemon_statuses(now: Timestamp, core: &Daemon) -> Vec<DaemonStatus> {
    let membership = core.membership();
    let live_members = membership
        .live_peers(now)
        .chain(std::iter::once(membership.own_heartbeat()));
    let mut daemons: Vec<DaemonStatus> = live_members
        .map(|peer| DaemonStatus {
            daemon: peer.daemon.clone(),
            failure_domain: peer.failure_domain.clone(),
            version: peer.fleet,
            leaving: peer.leaving,
        })
        .collect();
    daemons.sort_by(|a, b| a.daemon.cmp(&b.daemon));
    daemons
}

fn model_statuses(now: Timestamp, core: &Daemon) -> Vec<ModelStatus> {
    let Some(fleet) = core.state().fleet() else {
        return Vec::new();
    };
    let groups = || {
        let assignments = core.state().assignments().values();
        assignments.flat_map(|assignment| assignment.value.groups.values())
    };
    fleet
        .value
        .models
        .iter()
        .map(|(name, intent)| {
            let serving = groups()
                .filter(|group| group.model == *name && group.phase == GroupPhase::Serving)
                .count();
            let target = Target::Model(name.clone());
            ModelStatus {
                model: name.clone(),
                version: intent.version.clone(),
                wanted: intent.total_replicas(),
                serving: serving as u32,
                eligible_here: core.router().eligible(now, &target).0,
            }
        })
        .collect()
}

fn domain_statuses(now: Timestamp, core: &Daemon) -> BTreeMap<FailureDomain, DomainStatus> {
    let state = core.state();
    let mut domains: BTreeMap<FailureDomain, DomainStatus> = BTreeMap::new();
    let Some(hosts) = state.hosts() else {
        return domains;
    };
    for host in hosts.value.hosts.values() {
        let domain = domains.entry(host.failure_domain.clone()).or_default();
        domain.hosts += 1;
    }
    for (name, status) in &mut domains {
        if *name == core.identity().failure_domain {
            status.holder = core.lease().holder().cloned();
        }
        let assignment = state
            .assignments()
            .get(name)
            .map(|object| object.value.clone())
            .unwrap_or_default();
        status.free_hosts = status.hosts.saturating_sub(assignment.used_hosts().len());
        if let Some(fleet) = state.fleet() {
            status.stranded_accelerators =
                stranded_accelerators(&hosts.value, &fleet.value, name, &assignment);
        }
        status.releasing = assignment.releasing.keys().cloned().collect();
        for (number, group) in &assignment.groups {
            status.groups.push(GroupStatus {
                number: *number,
                model: group.model.clone(),
                version: group.version.clone(),
                phase: group.phase,
                hosts: group.members.iter().map(|m| m.host.clone()).collect(),
                in_routing: in_routing(now, core, name, *number),
            });
        }
    }
    domains
}

fn in_routing(
    now: Timestamp,
    core: &Daemon,
    domain: &FailureDomain,
    number: GroupNumber,
) -> Option<bool> {
    core.router()
        .upstreams()
        .find(|upstream| {
            matches!(&upstream.spec.id, UpstreamId::Replica(replica)
                if replica.failure_domain == *domain && replica.number == number)
        })
        .map(|upstream| upstream.is_eligible(now))
}
