//! Simulated hosts with the engine state of the stand-in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use shalehinge::core::engine::EnginePhase;
use shalehinge::core::types::{AttemptId, FailureDomain, GroupNumber, HostId};
use standin::engine::model::EngineParameters;
use standin::engine::state::HostEngine;

/// A simulated host and its engine.
pub struct FakeHost {
    pub id: HostId,
    pub address: SocketAddr,
    pub domain: FailureDomain,
    /// Whether it is up, possibly frozen.
    pub is_alive: bool,
    pub is_frozen: bool,
    pub engine: HostEngine,
    /// Number of the load in progress, and when it finishes.
    pub pending_load: Option<(u64, Duration)>,
    /// Running attempts, and when each finishes.
    pub running_attempts: BTreeMap<AttemptId, Duration>,
}

impl FakeHost {
    pub fn new(id: &str, port: u16, domain: &FailureDomain, checks_fences: bool) -> Self {
        let id = HostId::new(id);
        Self {
            address: SocketAddr::from(([10, 0, 0, 1], port)),
            domain: domain.clone(),
            is_alive: true,
            is_frozen: false,
            engine: HostEngine::new(id.clone(), checks_fences, EngineParameters::default()),
            pending_load: None,
            running_attempts: BTreeMap::new(),
            id,
        }
    }

    /// Whether the host is neither down nor frozen.
    pub fn is_running(&self) -> bool {
        self.is_alive && !self.is_frozen
    }

    /// Takes the host down; its state is lost.
    pub fn kill(&mut self) {
        let checks_fences = self.engine.checks_fences;
        let parameters = EngineParameters::default();
        self.is_alive = false;
        self.is_frozen = false;
        self.engine = HostEngine::new(self.id.clone(), checks_fences, parameters);
        self.pending_load = None;
        self.running_attempts.clear();
    }

    /// Whether the host is a running, ready member of the group.
    pub fn is_ready_in(&self, group: GroupNumber) -> bool {
        let in_group = self
            .engine
            .membership
            .as_ref()
            .is_some_and(|membership| membership.group == group);
        let is_ready = matches!(
            self.engine.phase,
            EnginePhase::Ready | EnginePhase::Draining
        );
        self.is_running() && in_group && is_ready
    }
}
