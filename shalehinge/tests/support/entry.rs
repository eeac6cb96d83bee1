//! One entry host: a core with its clock, and what its shell keeps.

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

pub struct Entry {
    pub name: DaemonId,
    pub domain: FailureDomain,
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub core: Option<Daemon>,
    pub is_frozen: bool,
    pub is_stopping: bool,
    /// Counts the runs; part of the incarnation.
    pub run: u64,
    pub started_at: Duration,
    /// How fast its clock goes against the world's.
    pub rate: f64,
    /// Events that came while it was frozen.
    pub inbox: Vec<Event>,
    /// Actions decided and not yet carried out.
    pub outbox: Vec<Action>,
    pub requests: BTreeMap<RequestId, CallerRequest>,
    pub running: BTreeMap<AttemptId, RequestId>,
    pub next_request: u64,
}

impl Entry {
    pub fn new(name: &str, domain: &FailureDomain, port: u16, rate: f64) -> Self {
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
            rate,
            inbox: Vec::new(),
            outbox: Vec::new(),
            requests: BTreeMap::new(),
            running: BTreeMap::new(),
            next_request: 1,
        }
    }

    /// Starts with empty memory.
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
        self.core = Some(Daemon::new(CoreSettings::default(), identity, seed));
    }

    /// Memory and connections are gone. Says which requests lost their daemon.
    pub fn kill(&mut self) -> Vec<CallerRequest> {
        self.core = None;
        self.is_frozen = false;
        self.inbox.clear();
        self.outbox.clear();
        self.running.clear();
        std::mem::take(&mut self.requests).into_values().collect()
    }

    pub fn runs(&self) -> bool {
        self.core.is_some() && !self.is_frozen
    }

    /// Its monotonic clock, which goes on while it is frozen.
    pub fn clock(&self, now: Duration) -> Timestamp {
        let since_start = now.saturating_sub(self.started_at);
        Timestamp::from_duration(since_start.mul_f64(self.rate))
    }

    /// Whether it would send to so many replicas.
    pub fn sees(&self, replicas: usize, now: Duration) -> bool {
        let target = Target::Model(ModelName::new(MODEL));
        let core = self.core.as_ref();
        core.is_some_and(|core| core.router().eligible(self.clock(now), &target).0 >= replicas)
    }
}
