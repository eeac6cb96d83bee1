//! A simulated entry host: a daemon core with its clock, and the state of the driver around it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use shalehinge::core::daemon::{Daemon, Identity};
use shalehinge::core::event::{Action, Event};
use shalehinge::core::router::request::Target;
use shalehinge::core::types::{
    AttemptId, DaemonId, FailureDomain, Incarnation, ModelName, RequestId, Timestamp,
};
use shalehinge::settings::core::CoreSettings;

use super::oracle::CallerRequest;
use super::world::MODEL;

/// An entry host.
pub struct Entry {
    pub name: DaemonId,
    pub domain: FailureDomain,
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// The daemon; `None` while it is down.
    pub core: Option<Daemon>,
    pub is_frozen: bool,
    pub is_stopping: bool,
    /// Number of times that the daemon was started; part of the incarnation.
    pub run: u64,
    /// Simulated time of the last start.
    pub started_at: Duration,
    /// Rate of the daemon's clock relative to simulated time.
    pub clock_rate: f64,
    /// Events that arrived while the daemon was frozen.
    pub inbox: Vec<Event>,
    /// Actions that were decided but not executed yet.
    pub outbox: Vec<Action>,
    /// Requests in progress.
    pub requests: BTreeMap<RequestId, CallerRequest>,
    /// Attempts in progress.
    pub open_attempts: BTreeMap<AttemptId, RequestId>,
    pub next_request: u64,
    /// Settings of its daemon, from its next start on.
    pub settings: CoreSettings,
}

impl Entry {
    pub fn new(name: &str, domain: &FailureDomain, port: u16, clock_rate: f64) -> Self {
        Self {
            name: DaemonId::new(name),
            domain: domain.clone(),
            address: SocketAddr::from(([10, 0, 1, 1], port)),
            seeds: Vec::new(),
            core: None,
            is_frozen: false,
            is_stopping: false,
            run: 0,
            started_at: Duration::ZERO,
            clock_rate,
            inbox: Vec::new(),
            outbox: Vec::new(),
            requests: BTreeMap::new(),
            open_attempts: BTreeMap::new(),
            next_request: 1,
            settings: CoreSettings::default(),
        }
    }

    /// Starts the daemon with empty state, unless it is running.
    pub fn start(&mut self, now: Duration) {
        if self.core.is_some() {
            return;
        }
        self.run += 1;
        self.started_at = now;
        self.is_stopping = false;
        let identity = Identity {
            is_first_start: false,
            daemon: self.name.clone(),
            failure_domain: self.domain.clone(),
            address: self.address,
            incarnation: Incarnation(self.run << 16 | u64::from(self.address.port())),
            seeds: self.seeds.clone(),
            wall_seconds: 1_000_000 + now.as_secs(),
        };
        let seed = self.run << 32 | u64::from(self.address.port());
        self.core = Some(Daemon::new(self.settings, identity, seed));
    }

    /// Kills the daemon; state and connections are lost. Returns the requests that were in
    /// progress.
    pub fn kill(&mut self) -> Vec<CallerRequest> {
        self.core = None;
        self.is_frozen = false;
        self.inbox.clear();
        self.outbox.clear();
        self.open_attempts.clear();
        std::mem::take(&mut self.requests).into_values().collect()
    }

    /// The id of a new request.
    pub fn take_request_id(&mut self) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        id
    }

    /// Whether the daemon is neither down nor frozen.
    pub fn is_running(&self) -> bool {
        self.core.is_some() && !self.is_frozen
    }

    /// Returns the daemon's monotonic clock, which advances while the daemon is frozen.
    pub fn clock(&self, now: Duration) -> Timestamp {
        let since_start = now.saturating_sub(self.started_at);
        Timestamp::from_duration(since_start.mul_f64(self.clock_rate))
    }

    /// Whether at least this many replicas of the model are eligible for requests.
    pub fn has_eligible_replicas(&self, replicas: usize, now: Duration) -> bool {
        let target = Target::Model(ModelName::new(MODEL));
        let core = self.core.as_ref();
        core.is_some_and(|core| core.router().eligible(self.clock(now), &target).0 >= replicas)
    }
}
