//! What operators and their client call: plans, confirms, status, metrics.

use std::collections::BTreeMap;
use std::sync::Arc;

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

/// Path of plans.
pub const PLAN_PATH: &str = "/v1/plan";
/// Path of confirms.
pub const CONFIRM_PATH: &str = "/v1/confirm";
/// Path of the status.
pub const STATUS_PATH: &str = "/v1/status";
/// Bytes of an operator's call at most.
const MAX_CALL: u64 = 1024 * 1024;

/// The fleet as one daemon sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The daemon that answers.
    pub daemon: DaemonId,
    /// Version of the configuration in force here.
    pub version: FleetVersion,
    /// All live daemons that this one knows.
    pub daemons: Vec<DaemonStatus>,
    /// Failure domains.
    pub domains: BTreeMap<FailureDomain, DomainStatus>,
    /// Models.
    pub models: Vec<ModelStatus>,
    /// Shares of the customers.
    pub shares: BTreeMap<Customer, u32>,
    /// Hosts being drained.
    pub draining: Vec<HostId>,
}

/// A live daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Its name.
    pub daemon: DaemonId,
    /// Where it is.
    pub failure_domain: FailureDomain,
    /// Version of the configuration in force there, as last heard.
    pub version: FleetVersion,
    /// It is stopping.
    pub leaving: bool,
}

/// A failure domain.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DomainStatus {
    /// Hosts in the platform's list.
    pub hosts: usize,
    /// Hosts in no group.
    pub free_hosts: usize,
    /// Idle accelerators around which no complete group can form.
    pub stranded_accelerators: u32,
    /// Who holds its control lease, where this daemon knows.
    pub holder: Option<DaemonId>,
    /// Its groups.
    pub groups: Vec<GroupStatus>,
    /// Hosts that have yet to acknowledge their release.
    pub releasing: Vec<HostId>,
}

/// A host group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Its number.
    pub number: GroupNumber,
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: ModelVersion,
    /// How far it is.
    pub phase: GroupPhase,
    /// Members by rank.
    pub hosts: Vec<HostId>,
    /// Whether this daemon would send it requests; `None` if it is no candidate here.
    pub in_routing: Option<bool>,
}

/// A model.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Its name.
    pub model: ModelName,
    /// Version wanted.
    pub version: ModelVersion,
    /// Replicas wanted.
    pub wanted: u32,
    /// Replicas that serve, by the assignments.
    pub serving: u32,
    /// Replicas that this daemon may send to now.
    pub eligible_here: usize,
}

/// Handles operators.
pub fn handler(driver: Arc<Driver>, token_sha256: String) -> impl Handler {
    let plans = Context {
        driver,
        token_sha256,
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
            let mut page = metrics.driver.metrics.page();
            page.push_str(&store_page(&metrics.driver));
            page.push_str(&signals_page(&metrics.driver));
            async move { conn.ok(page) }
        })
}

/// Gauges of the platform's store: its era, if it tells one, and whether what was known of hosts in
/// the era before still stands.
fn store_page(driver: &Driver) -> String {
    driver.read(|_, core| {
        let era = core.store_era().and_then(StoreEra::number);
        let era = era.map(|era| format!("shalehinge.platform.era {era}\n"));
        let kept = u8::from(core.state().has_earlier_hosts());
        let kept = format!("shalehinge.platform.earlier_hosts {kept}\n");
        era.into_iter().chain([kept]).collect()
    })
}

/// Gauges of what upstreams state about themselves, a line each, by what this daemon knows: the
/// requests a second that one takes from all daemons together, the seconds left of a cooldown, and 1
/// for one that is leaving.
fn signals_page(driver: &Driver) -> String {
    driver.read(|now, core| {
        let router = core.router();
        let limited = router.limited_upstreams();
        let limits = limited.map(|(upstream, rate)| format!("limit.{upstream} {rate}"));
        let cooling = router.cooling_upstreams(now);
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

#[derive(Clone)]
struct Context {
    driver: Arc<Driver>,
    token_sha256: String,
}

impl Context {
    fn is_allowed(&self, conn: &Conn) -> bool {
        bearer_sha256(conn).is_some_and(|hash| hash.eq_ignore_ascii_case(&self.token_sha256))
    }

    async fn plan(&self, conn: Conn) -> Conn {
        self.operate(conn, |body| {
            serde_json::from_slice::<Change>(body).map(OperatorCall::Plan)
        })
        .await
    }

    async fn confirm(&self, conn: Conn) -> Conn {
        self.operate(conn, |body| {
            serde_json::from_slice::<Confirm>(body).map(OperatorCall::Confirm)
        })
        .await
    }

    async fn operate(
        &self,
        mut conn: Conn,
        parse: impl Fn(&[u8]) -> serde_json::Result<OperatorCall>,
    ) -> Conn {
        if !self.is_allowed(&conn) {
            return unauthorized(conn);
        }
        let body = conn.request_body().with_max_len(MAX_CALL);
        let Ok(body) = body.read_bytes().await else {
            return refuse(conn, Status::BadRequest, "the body can't be read");
        };
        let call = match parse(&body) {
            Ok(call) => call,
            Err(error) => {
                let message = format!("the body can't be read: {error}");
                return refuse(conn, Status::BadRequest, &message);
            }
        };
        match self.driver.execute_operator_call(call).await {
            Some(answer) => write_json(conn, &answer),
            None => refuse(conn, Status::ServiceUnavailable, "the daemon is stopping"),
        }
    }

    fn status(&self, conn: Conn) -> Conn {
        if !self.is_allowed(&conn) {
            return unauthorized(conn);
        }
        let status = self.driver.read(fleet_status);
        write_json(conn, &status)
    }
}

fn unauthorized(conn: Conn) -> Conn {
    let message = "send the operators' token as `Authorization: Bearer TOKEN`";
    refuse(conn, Status::Unauthorized, message)
}

fn refuse(conn: Conn, status: Status, message: &str) -> Conn {
    conn.with_status(status)
        .with_body(format!("{message}\n"))
        .halt()
}

fn write_json(conn: Conn, value: &impl Serialize) -> Conn {
    match serde_json::to_string(value) {
        Ok(body) => conn
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .ok(body),
        Err(error) => refuse(conn, Status::InternalServerError, &error.to_string()),
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
        daemons: daemons(now, core),
        domains: domains(now, core),
        models: models(now, core),
        shares: shares.map(|(name, c)| (name.clone(), c.share)).collect(),
        draining: config.draining.iter().cloned().collect(),
    }
}

fn daemons(now: Timestamp, core: &Daemon) -> Vec<DaemonStatus> {
    let membership = core.membership();
    let everyone = membership
        .alive(now)
        .chain(std::iter::once(membership.me()));
    let mut daemons: Vec<DaemonStatus> = everyone
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

fn models(now: Timestamp, core: &Daemon) -> Vec<ModelStatus> {
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

fn domains(now: Timestamp, core: &Daemon) -> BTreeMap<FailureDomain, DomainStatus> {
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
