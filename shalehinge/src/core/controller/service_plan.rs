//! Replica counts of one model service in a failure domain, as input of the planner.
//!
//! The configuration contains no replica counts for models with a profile. The counts follow from
//! the models' work shares and the listed hosts of this failure domain and, if it is too small
//! for every model, of the other failure domains. Services do not share hosts, so each is planned
//! separately.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::fleet_state::FleetState;
use crate::core::objects::{
    Assignment, FleetConfig, HostList, HostState, ModelIntent, ModelProfile,
};
use crate::core::placement::fleet_shares::{
    DomainHosts, DomainShare, FleetShares, fleet_shares, models_without_room,
};
use crate::core::placement::shares::{
    ReplicaCounts, count_models, fill, replicas_by_share, replicas_that_fit, usable_hosts,
};
use crate::core::types::{
    Customer, FabricDomain, FailureDomain, FleetVersion, GroupNumber, HostId, ModelName,
    ModelVersion, ServiceName, Version,
};

/// Version of models for which the configuration specifies none.
pub(super) const ONLY_VERSION: &str = "current";

/// A service with its models and hosts.
#[derive(Clone, Debug)]
pub(super) struct ServicePlan {
    /// Service that is planned.
    service: ServiceName,
    /// Models of the service, with replica counts for this failure domain.
    pub(super) fleet: FleetConfig,
    /// Hosts of the service in this failure domain.
    pub(super) hosts: HostList,
}

/// Inputs of the plans of a failure domain.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlanInput<'a> {
    /// Failure domain that is planned.
    pub(super) domain: &'a FailureDomain,
    /// Fraction of the hosts, 0 to 1, that stays free once each model has its share.
    pub(super) spare_share: f64,
    /// Hosts of this failure domain that are listed but cannot be used.
    pub(super) unreachable: &'a BTreeSet<HostId>,
    /// Replicas of this failure domain that are neither retiring nor lost, by model.
    pub(super) existing: &'a ReplicaCounts,
    /// Whether expired entries may reappear in the list. In that case the listed state of other
    /// failure domains is no reason to change the replicas of this one.
    pub(super) entries_may_reappear: bool,
}

/// Plans of all services, recomputed when their inputs change.
#[derive(Clone, Debug, Default)]
pub(super) struct ServicePlans {
    /// Versions of the configuration and of the host list that were planned last.
    planned_versions: (FleetVersion, Version),
    /// Unreachable hosts at that time.
    planned_unreachable: BTreeSet<HostId>,
    /// Existing replicas at that time.
    planned_existing: ReplicaCounts,
    /// Target of this failure domain for each service.
    shares: BTreeMap<ServiceName, DomainShare>,
    /// Models for which no failure domain has enough hosts.
    without_room: Vec<ModelName>,
    /// The plan of each service.
    plans: Vec<ServicePlan>,
}

impl ServicePlans {
    /// Updates the plans. Returns log lines if they changed.
    pub(super) fn refresh(
        &mut self,
        state: &FleetState,
        input: PlanInput<'_>,
        wanted: &mut ReplicaCounts,
    ) -> Vec<String> {
        let versions = (state.fleet_version(), state.hosts_version());
        let (Some(fleet), Some(hosts)) = (state.fleet(), state.full_hosts()) else {
            return Vec::new();
        };
        let is_unchanged = versions == self.planned_versions
            && *input.unreachable == self.planned_unreachable
            && *input.existing == self.planned_existing;
        if is_unchanged {
            return Vec::new();
        }
        self.planned_versions = versions;
        self.planned_unreachable.clone_from(input.unreachable);
        self.planned_existing.clone_from(input.existing);
        let mut lines = self.distribute(&fleet.value, &hosts.value, input);
        wanted.retain(|model, _| fleet.value.profiles.contains_key(model));
        let services = services_of(&fleet.value);
        let plans: Vec<ServicePlan> = services
            .into_iter()
            .map(|service| {
                let share = self.shares.get(service).cloned().unwrap_or_default();
                plan_of(&fleet.value, &hosts.value, service, &share, input, wanted)
            })
            .collect();
        lines.extend(changed_counts(&self.plans, &plans, input.domain));
        self.plans = plans;
        lines
    }

    /// Distributes the models of each service over the failure domains. Returns log lines if the
    /// set of models without room changed.
    fn distribute(
        &mut self,
        fleet: &FleetConfig,
        hosts: &HostList,
        input: PlanInput<'_>,
    ) -> Vec<String> {
        if input.entries_may_reappear && !self.shares.is_empty() {
            return Vec::new();
        }
        let mut shares = BTreeMap::new();
        let mut without_room = Vec::new();
        for service in services_of(fleet) {
            let profiles = profiles_of(fleet, service);
            let mut by_domain = hosts_by_domain(hosts, service);
            if let Some(own_hosts) = by_domain.get_mut(input.domain) {
                own_hosts.existing.clone_from(input.existing);
            }
            let distribution: FleetShares = fleet_shares(&profiles, &by_domain, input.spare_share);
            without_room.extend(models_without_room(&profiles, &distribution));
            if let Some(share) = distribution.get(input.domain) {
                shares.insert(service.clone(), share.clone());
            }
        }
        self.shares = shares;
        if self.without_room == without_room {
            return Vec::new();
        }
        self.without_room = without_room;
        let lacking = self.without_room.iter();
        lacking
            .map(|model| format!("no failure domain has enough hosts for a replica of {model}"))
            .collect()
    }

    /// All plans, one for each service.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ServicePlan> {
        self.plans.iter()
    }

    /// Models with their service and the number of hosts per replica.
    pub(super) fn model_sizes(&self) -> Vec<(ModelName, ServiceName, u32)> {
        let models = self.plans.iter().flat_map(|plan| {
            let service = &plan.service;
            plan.fleet.models.iter().map(move |(model, intent)| {
                (model.clone(), service.clone(), intent.hosts_per_replica)
            })
        });
        models.collect()
    }

    /// The part of the assignment that belongs to one plan. Groups of models without a plan
    /// belong to the first plan, which retires them.
    pub(super) fn part_for(&self, index: usize, whole: &Assignment) -> Assignment {
        let contains_model =
            |plan: &ServicePlan, model: &ModelName| plan.fleet.models.contains_key(model);
        let mut part = whole.clone();
        part.groups.retain(|_, group| {
            let owner = self
                .plans
                .iter()
                .position(|plan| contains_model(plan, &group.model));
            owner.unwrap_or(0) == index
        });
        part
    }
}

fn services_of(fleet: &FleetConfig) -> BTreeSet<&ServiceName> {
    fleet.profiles.values().map(|p| &p.service).collect()
}

fn profiles_of(fleet: &FleetConfig, service: &ServiceName) -> BTreeMap<ModelName, ModelProfile> {
    let profiles = fleet.profiles.iter();
    profiles
        .filter(|(_, profile)| profile.service == *service)
        .map(|(model, profile)| (model.clone(), profile.clone()))
        .collect()
}

/// Live hosts of a service in each failure domain, and the replicas that the list shows there.
fn hosts_by_domain(
    hosts: &HostList,
    service: &ServiceName,
) -> BTreeMap<FailureDomain, DomainHosts> {
    let mut fabrics: BTreeMap<&FailureDomain, BTreeMap<&FabricDomain, usize>> = BTreeMap::new();
    let mut groups: BTreeMap<&FailureDomain, BTreeMap<GroupNumber, ModelName>> = BTreeMap::new();
    for record in hosts.hosts.values() {
        let is_usable = record.state == HostState::Live;
        if record.service.as_ref() != Some(service) || !is_usable {
            continue;
        }
        let domain = &record.failure_domain;
        let sizes = fabrics.entry(domain).or_default();
        *sizes.entry(&record.fabric_domain).or_default() += 1;
        if let Some((number, model)) = record.intact_group() {
            let known = groups.entry(domain).or_default();
            known.insert(number, model.clone());
        }
    }
    fabrics
        .into_iter()
        .map(|(domain, sizes)| {
            let existing = groups.remove(domain).unwrap_or_default();
            let hosts = DomainHosts {
                fabric_sizes: sizes.into_values().collect(),
                existing: count_models(existing.values()),
            };
            (domain.clone(), hosts)
        })
        .collect()
}

/// Wanted replicas of each model in the failure domain, as far as its usable hosts allow. A count
/// that was wanted once stays wanted, so that a lost host does not lower it permanently. Only if
/// the failure domain cannot hold every model is the count taken from the distribution over the
/// fleet each time.
fn counts_of(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    share: &DomainShare,
    sizes: &[usize],
    spare_share: f64,
    wanted: &mut ReplicaCounts,
) -> ReplicaCounts {
    if share.is_undersized {
        wanted.extend(share.counts.clone());
        let counts = replicas_that_fit(profiles, sizes, share.counts.clone());
        // Hosts of a replica that does not fit here after all are used for other models.
        return fill(profiles, sizes, usable_hosts(sizes, spare_share), counts);
    }
    let mut counts = replicas_by_share(profiles, sizes, spare_share);
    for (model, count) in &mut counts {
        let wanted_count = wanted.entry(model.clone()).or_default();
        *wanted_count = (*wanted_count).max(*count);
        *count = *wanted_count;
    }
    replicas_that_fit(profiles, sizes, counts)
}

fn plan_of(
    fleet: &FleetConfig,
    hosts: &HostList,
    service: &ServiceName,
    share: &DomainShare,
    input: PlanInput<'_>,
    wanted: &mut ReplicaCounts,
) -> ServicePlan {
    let PlanInput { domain, .. } = input;
    let own_hosts = hosts.hosts.iter().filter(|(_, record)| {
        record.service.as_ref() == Some(service) && record.failure_domain == *domain
    });
    let hosts = HostList {
        hosts: own_hosts
            .map(|(host, record)| (host.clone(), record.clone()))
            .collect(),
    };
    let profiles = profiles_of(fleet, service);
    let sizes = fabric_sizes(&hosts, input.unreachable);
    let counts = counts_of(&profiles, share, &sizes, input.spare_share, wanted);
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

fn changed_counts(old: &[ServicePlan], new: &[ServicePlan], domain: &FailureDomain) -> Vec<String> {
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
