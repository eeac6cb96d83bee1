//! What one model service wants of a failure domain, as the planner reads it.
//!
//! Models with a profile have no replicas written in the configuration; they follow
//! from their parts of the work and from the hosts that are listed. Each service
//! has hosts of its own, so each is planned apart.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::fleet_state::FleetState;
use crate::core::objects::{
    Assignment, FleetConfig, HostList, HostState, ModelIntent, ModelProfile,
};
use crate::core::placement::shares::{ReplicaCounts, replicas_by_share, replicas_that_fit};
use crate::core::types::{
    Customer, FabricDomain, FailureDomain, HostId, ModelName, ModelVersion, ServiceName, Version,
};

/// The version of models whose configuration names none.
pub(super) const ONLY_VERSION: &str = "current";

/// One service with its models and hosts.
#[derive(Clone, Debug)]
pub(super) struct ServicePlan {
    service: ServiceName,
    /// Models of the service, with replicas for this failure domain.
    pub(super) fleet: FleetConfig,
    /// Hosts of the service.
    pub(super) hosts: HostList,
}

/// The plans of all services, made anew when what they follow from changes.
#[derive(Clone, Debug, Default)]
pub(super) struct ServicePlans {
    made_from: (Version, Version),
    made_without: BTreeSet<HostId>,
    plans: Vec<ServicePlan>,
}

impl ServicePlans {
    /// Brings the plans up to date; returns lines for the log where they changed.
    pub(super) fn refresh(
        &mut self,
        state: &FleetState,
        domain: &FailureDomain,
        spare_share: f64,
        unreachable: &BTreeSet<HostId>,
        wanted: &mut ReplicaCounts,
    ) -> Vec<String> {
        let versions = (state.fleet_version(), state.hosts_version());
        let (Some(fleet), Some(hosts)) = (state.fleet(), state.hosts()) else {
            return Vec::new();
        };
        if versions == self.made_from && *unreachable == self.made_without {
            return Vec::new();
        }
        self.made_from = versions;
        self.made_without.clone_from(unreachable);
        let plans = plans_of(
            &fleet.value,
            &hosts.value,
            domain,
            spare_share,
            unreachable,
            wanted,
        );
        let lines = changes(&self.plans, &plans, domain);
        self.plans = plans;
        lines
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ServicePlan> {
        self.plans.iter()
    }

    /// Models with their service and the hosts of one replica.
    pub(super) fn model_sizes(&self) -> Vec<(ModelName, ServiceName, u32)> {
        let models = self.plans.iter().flat_map(|plan| {
            let service = &plan.service;
            plan.fleet.models.iter().map(move |(model, intent)| {
                (model.clone(), service.clone(), intent.hosts_per_replica)
            })
        });
        models.collect()
    }

    /// The assignment as one plan sees it. Groups of models that no plan knows fall to
    /// the first, which retires them.
    pub(super) fn part_of(&self, index: usize, whole: &Assignment) -> Assignment {
        let knows = |plan: &ServicePlan, model: &ModelName| plan.fleet.models.contains_key(model);
        let mut part = whole.clone();
        part.groups.retain(|_, group| {
            let owner = self.plans.iter().position(|plan| knows(plan, &group.model));
            owner.unwrap_or(0) == index
        });
        part
    }
}

fn plans_of(
    fleet: &FleetConfig,
    hosts: &HostList,
    domain: &FailureDomain,
    spare_share: f64,
    unreachable: &BTreeSet<HostId>,
    wanted: &mut ReplicaCounts,
) -> Vec<ServicePlan> {
    wanted.retain(|model, _| fleet.profiles.contains_key(model));
    let services: BTreeSet<&ServiceName> = fleet.profiles.values().map(|p| &p.service).collect();
    services
        .into_iter()
        .map(|service| {
            plan_of(
                fleet,
                hosts,
                domain,
                service,
                spare_share,
                unreachable,
                wanted,
            )
        })
        .collect()
}

fn plan_of(
    fleet: &FleetConfig,
    hosts: &HostList,
    domain: &FailureDomain,
    service: &ServiceName,
    spare_share: f64,
    unreachable: &BTreeSet<HostId>,
    wanted: &mut ReplicaCounts,
) -> ServicePlan {
    let own = hosts.hosts.iter().filter(|(_, record)| {
        record.service.as_ref() == Some(service) && record.failure_domain == *domain
    });
    let hosts = HostList {
        hosts: own
            .map(|(host, record)| (host.clone(), record.clone()))
            .collect(),
    };
    let profiles: BTreeMap<ModelName, ModelProfile> = fleet
        .profiles
        .iter()
        .filter(|(_, profile)| profile.service == *service)
        .map(|(model, profile)| (model.clone(), profile.clone()))
        .collect();
    let sizes = fabric_sizes(&hosts, unreachable);
    let mut counts = replicas_by_share(&profiles, &sizes, spare_share);
    for (model, count) in &mut counts {
        let most = wanted.entry(model.clone()).or_default();
        *most = (*most).max(*count);
        *count = *most;
    }
    let counts = replicas_that_fit(&profiles, &sizes, counts);
    let models = profiles.iter().map(|(model, profile)| {
        let intent = ModelIntent {
            owner: Customer::new(service.as_str()),
            version: ModelVersion::new(ONLY_VERSION),
            hosts_per_replica: profile.hosts_per_replica,
            replicas: BTreeMap::from([(domain.clone(), counts[model])]),
        };
        (model.clone(), intent)
    });
    ServicePlan {
        service: service.clone(),
        fleet: FleetConfig {
            models: models.collect(),
            draining: fleet.draining.clone(),
            weights: fleet.weights,
            ..FleetConfig::default()
        },
        hosts,
    }
}

fn fabric_sizes(hosts: &HostList, unreachable: &BTreeSet<HostId>) -> Vec<usize> {
    let mut sizes: BTreeMap<&FabricDomain, usize> = BTreeMap::new();
    for (host, record) in &hosts.hosts {
        if record.state == HostState::Live && !unreachable.contains(host) {
            *sizes.entry(&record.fabric_domain).or_default() += 1;
        }
    }
    sizes.into_values().collect()
}

fn changes(old: &[ServicePlan], new: &[ServicePlan], domain: &FailureDomain) -> Vec<String> {
    let wanted = |plans: &[ServicePlan]| -> BTreeMap<ModelName, u32> {
        let models = plans.iter().flat_map(|plan| &plan.fleet.models);
        models
            .map(|(model, intent)| {
                let count = intent.replicas.get(domain).copied().unwrap_or(0);
                (model.clone(), count)
            })
            .collect()
    };
    let (old, new) = (wanted(old), wanted(new));
    if old == new {
        return Vec::new();
    }
    new.iter()
        .map(|(model, count)| format!("{domain} should have {count} replicas of {model}"))
        .collect()
}
