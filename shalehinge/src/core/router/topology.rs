//! Selects the upstreams that a daemon considers, based on the objects in force.
//!
//! A daemon considers a bounded subset of a model's replicas, chosen by rendezvous hashing:
//! mostly from its own failure domain, some from others. This bounds its reports and memory
//! regardless of the size of the fleet.

use std::collections::BTreeMap;

use crate::core::fleet_state::FleetState;
use crate::core::hash;
use crate::core::objects::{Group, GroupPhase, HostRecord, HostState};
use crate::core::types::{DaemonId, FailureDomain, HostId, ReplicaId, ServiceName};
use crate::settings::router::RouterSettings;

use super::request::{Target, UpstreamId};
use super::upstream::{Evidence, UpstreamSpec};
use super::warm_up::WarmUpSpec;

/// The considered upstreams by target.
pub type Topology = BTreeMap<Target, Vec<UpstreamSpec>>;

/// Builds the topology of a daemon in failure domain `domain`. The configured numbers of candidates
/// for a target are multiplied by its `candidate_factor`.
pub fn build(
    state: &FleetState,
    daemon: &DaemonId,
    domain: &FailureDomain,
    settings: &RouterSettings,
    candidate_factor: impl Fn(&Target) -> usize,
) -> Topology {
    let mut topology = Topology::new();
    let Some(fleet) = state.fleet() else {
        return topology;
    };
    for model in fleet.value.models.keys().chain(fleet.value.profiles.keys()) {
        topology.insert(Target::Model(model.clone()), Vec::new());
    }
    let mut by_target = assigned_replicas(state, domain);
    for (target, specs) in listed_replicas(state, domain) {
        by_target.entry(target).or_default().extend(specs);
    }
    for (target, specs) in by_target {
        let Some(entry) = topology.get_mut(&target) else {
            continue;
        };
        *entry = subset(specs, daemon, settings, candidate_factor(&target));
    }
    for (name, service) in &fleet.value.services {
        let configured = service.upstreams.iter().map(|upstream| UpstreamSpec {
            id: UpstreamId::Instance(ServiceName::new(name.as_str()), upstream.address),
            address: upstream.address,
            group: None,
            failure_domain: upstream.failure_domain.clone(),
            remote: upstream.failure_domain != *domain,
            accepts_new: !is_leaving(state, &upstream.host)
                && !state.is_evacuated(&upstream.failure_domain),
            host: None,
            evidence: Evidence::Listed,
            slots: None,
            started: None,
            warm_up: None,
        });
        let mut specs: Vec<UpstreamSpec> = configured.collect();
        if service.is_listed {
            specs.extend(listed_instances(state, name, domain));
        }
        topology.insert(Target::Service(name.clone()), specs);
    }
    topology
}

/// Instances of a plain service that the host list names.
fn listed_instances(
    state: &FleetState,
    service: &ServiceName,
    domain: &FailureDomain,
) -> Vec<UpstreamSpec> {
    let Some(list) = state.routed_hosts() else {
        return Vec::new();
    };
    let hosts = list.hosts.iter();
    hosts
        .filter(|(_, record)| record.service.as_ref() == Some(service))
        .map(|(host, record)| UpstreamSpec {
            id: UpstreamId::Host(service.clone(), host.clone()),
            address: record.address,
            group: None,
            failure_domain: record.failure_domain.clone(),
            remote: record.failure_domain != *domain,
            accepts_new: is_in_service(state, record),
            host: Some(host.clone()),
            evidence: Evidence::Listed,
            slots: record.slots,
            started: record.started,
            warm_up: warm_up(state, record),
        })
        .collect()
}

/// Whether requests may be sent to a host.
fn is_in_service(state: &FleetState, record: &HostRecord) -> bool {
    record.state == HostState::Live && !state.is_evacuated(&record.failure_domain)
}

/// The warm-up that a host states, if its service limits requests during it.
fn warm_up(state: &FleetState, record: &HostRecord) -> Option<WarmUpSpec> {
    let warm_ups = &state.fleet()?.value.warm_ups;
    let limit = warm_ups.get(record.service.as_ref()?);
    WarmUpSpec::new(limit, record.warm_up_ms)
}

/// Replicas whose rank 0 states in the host list that it accepts requests.
fn listed_replicas(
    state: &FleetState,
    domain: &FailureDomain,
) -> BTreeMap<Target, Vec<UpstreamSpec>> {
    let mut replicas: BTreeMap<Target, Vec<UpstreamSpec>> = BTreeMap::new();
    let Some(list) = state.routed_hosts() else {
        return replicas;
    };
    for (host, record) in &list.hosts {
        let Some((number, model)) = record.open_group() else {
            continue;
        };
        let replica = ReplicaId {
            failure_domain: record.failure_domain.clone(),
            number,
        };
        let spec = UpstreamSpec {
            id: UpstreamId::Replica(replica),
            address: record.address,
            group: Some(number),
            failure_domain: record.failure_domain.clone(),
            remote: record.failure_domain != *domain,
            accepts_new: is_in_service(state, record),
            host: Some(host.clone()),
            evidence: Evidence::Listed,
            slots: record.slots,
            started: record.started,
            warm_up: warm_up(state, record),
        };
        let target = Target::Model(model.clone());
        replicas.entry(target).or_default().push(spec);
    }
    replicas
}

fn assigned_replicas(
    state: &FleetState,
    domain: &FailureDomain,
) -> BTreeMap<Target, Vec<UpstreamSpec>> {
    let mut replicas: BTreeMap<Target, Vec<UpstreamSpec>> = BTreeMap::new();
    for (group_domain, assignment) in state.assignments() {
        for (number, group) in &assignment.value.groups {
            let Some(rank_zero) = group.members.first() else {
                continue;
            };
            let replica = ReplicaId {
                failure_domain: group_domain.clone(),
                number: *number,
            };
            let spec = UpstreamSpec {
                id: UpstreamId::Replica(replica),
                address: rank_zero.address,
                group: Some(*number),
                failure_domain: group_domain.clone(),
                remote: group_domain != domain,
                accepts_new: accepts_new(state, group) && !state.is_evacuated(group_domain),
                host: None,
                evidence: Evidence::Reports,
                slots: None,
                started: None,
                warm_up: None,
            };
            let target = Target::Model(group.model.clone());
            replicas.entry(target).or_default().push(spec);
        }
    }
    replicas
}

/// Whether a group may get new work. Forming groups are included: evidence decides when they
/// serve.
fn accepts_new(state: &FleetState, group: &Group) -> bool {
    group.phase != GroupPhase::Retiring
        && !group
            .members
            .iter()
            .any(|member| is_listed_leaving(state, &member.host))
}

fn is_listed_leaving(state: &FleetState, host: &HostId) -> bool {
    let record = state.routed_hosts().and_then(|list| list.hosts.get(host));
    record.is_some_and(|record| record.state == HostState::Leaving)
}

fn is_leaving(state: &FleetState, host: &HostId) -> bool {
    let draining = state
        .fleet()
        .is_some_and(|fleet| fleet.value.draining.contains(host));
    draining || is_listed_leaving(state, host)
}

fn subset(
    specs: Vec<UpstreamSpec>,
    daemon: &DaemonId,
    settings: &RouterSettings,
    factor: usize,
) -> Vec<UpstreamSpec> {
    let (remote, local): (Vec<_>, Vec<_>) = specs.into_iter().partition(|spec| spec.remote);
    let mut chosen = top_by_hash(local, daemon, settings.local_candidates * factor);
    chosen.extend(top_by_hash(
        remote,
        daemon,
        settings.remote_candidates * factor,
    ));
    chosen
}

fn top_by_hash(specs: Vec<UpstreamSpec>, daemon: &DaemonId, count: usize) -> Vec<UpstreamSpec> {
    let chosen: Vec<UpstreamId> =
        hash::highest_weighted(daemon, specs.iter().map(|spec| &spec.id), count)
            .into_iter()
            .cloned()
            .collect();
    specs
        .into_iter()
        .filter(|spec| chosen.contains(&spec.id))
        .collect()
}
