//! Division of a fleet's hosts among the models by what their work needs.
//!
//! Replicas are added one at a time where they shorten the waits of callers most for each
//! host that they take. Waits grow ever faster as a model's replicas get busy, so that no
//! model is starved, and a model that few ask for is not served better than one that many
//! wait for. Each model is reckoned with one replica less than it gets: one may be lost at
//! any time, and the loss of one of three weighs more than that of one of twelve.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::objects::ModelProfile;
use crate::core::types::{FailureDomain, ModelName};

use super::need::Needs;
use super::shares::{ReplicaCounts, fit};

/// Part of the hosts that the work is taken to need at the most. A measured need above
/// it may be an error of the estimate, and nothing could be divided by it.
const MOST_NEEDED: f64 = 0.8;
/// Load of a replica above which its waits are taken to grow at the rate that they have
/// there: the formula for the wait ends at a load of 1.
const MOST_LOAD: f64 = 0.95;

/// Replicas by failure domain.
pub type DomainCounts = BTreeMap<FailureDomain, ReplicaCounts>;

/// Fabric domains of each failure domain, by their number of hosts.
pub type FabricSizes = BTreeMap<FailureDomain, Vec<usize>>;

/// Divides the hosts.
pub fn divide(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    needs: &Needs,
    domains: &FabricSizes,
) -> DomainCounts {
    let mut division = Division::new(profiles, needs, domains);
    division.add_one_of_each();
    division.add_where_it_helps_most();
    division.counts
}

/// How much callers wait at this division: requests a second, each with its wait against
/// the time that it runs.
pub fn cost_of(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    needs: &Needs,
    domains: &FabricSizes,
    counts: DomainCounts,
) -> f64 {
    let mut division = Division::new(profiles, needs, domains);
    division.counts = counts;
    let models = profiles.keys();
    models
        .map(|model| division.cost(model, division.total(model)))
        .sum()
}

struct Division<'a> {
    profiles: &'a BTreeMap<ModelName, ModelProfile>,
    needs: &'a Needs,
    domains: &'a FabricSizes,
    /// Factor on the needs, see [`MOST_NEEDED`].
    scale: f64,
    counts: DomainCounts,
}

impl<'a> Division<'a> {
    fn new(
        profiles: &'a BTreeMap<ModelName, ModelProfile>,
        needs: &'a Needs,
        domains: &'a FabricSizes,
    ) -> Self {
        let hosts: usize = domains.values().flatten().sum();
        let needed: f64 = profiles
            .iter()
            .filter_map(|(model, profile)| {
                let need = needs.get(model)?;
                Some(need.busy_replicas * f64::from(profile.hosts_per_replica))
            })
            .sum();
        let most = MOST_NEEDED * hosts as f64;
        let none = || profiles.keys().map(|model| (model.clone(), 0)).collect();
        Self {
            profiles,
            needs,
            domains,
            scale: (most / needed.max(f64::EPSILON)).min(1.0),
            counts: domains
                .keys()
                .map(|domain| (domain.clone(), none()))
                .collect(),
        }
    }

    fn total(&self, model: &ModelName) -> u32 {
        let of_model = |counts: &ReplicaCounts| counts.get(model).copied().unwrap_or(0);
        self.counts.values().map(of_model).sum()
    }

    /// How much the callers of a model wait at so many replicas.
    fn cost(&self, model: &ModelName, replicas: u32) -> f64 {
        let Some(need) = self.needs.get(model) else {
            return 0.0;
        };
        let left = replicas.saturating_sub(1).max(1);
        let load = need.busy_replicas * self.scale / f64::from(left);
        need.requests_per_second * relative_wait(load)
    }

    /// Each failure domain may be cut off alone, so it has one replica of each model where
    /// they fit; the large ones are placed first.
    fn add_one_of_each(&mut self) {
        let mut models: Vec<&ModelName> = self.profiles.keys().collect();
        models.sort_by_key(|model| std::cmp::Reverse(self.profiles[*model].hosts_per_replica));
        for domain in self.domains.keys() {
            for model in &models {
                self.add(domain, model);
            }
        }
    }

    fn add_where_it_helps_most(&mut self) {
        let mut open: BTreeSet<&ModelName> = self.profiles.keys().collect();
        while let Some(model) = self.most_helped(&open) {
            let added = self.emptiest_first(model).into_iter();
            let mut domains = added.map(|domain| self.add(domain, model));
            if !domains.any(|was_added| was_added) {
                open.remove(model);
            }
        }
    }

    /// The model whose callers one more replica helps most, for each of its hosts.
    fn most_helped(&self, open: &BTreeSet<&'a ModelName>) -> Option<&'a ModelName> {
        let help = |model: &ModelName| {
            let replicas = self.total(model);
            let saved = self.cost(model, replicas) - self.cost(model, replicas + 1);
            saved / f64::from(self.profiles[model].hosts_per_replica.max(1))
        };
        let models = open.iter().copied();
        models.max_by(|a, b| help(a).total_cmp(&help(b)))
    }

    /// Failure domains by how many replicas of the model they have for their size.
    fn emptiest_first(&self, model: &ModelName) -> Vec<&'a FailureDomain> {
        let part = |domain: &FailureDomain| {
            let hosts: usize = self.domains[domain].iter().sum();
            f64::from(self.counts[domain][model]) / hosts.max(1) as f64
        };
        let mut domains: Vec<&FailureDomain> = self.domains.keys().collect();
        domains.sort_by(|a, b| part(a).total_cmp(&part(b)));
        domains
    }

    /// Adds a replica if the failure domain has room for it. Tells whether it did.
    fn add(&mut self, domain: &FailureDomain, model: &ModelName) -> bool {
        let Some(counts) = self.counts.get_mut(domain) else {
            return false;
        };
        let mut more = counts.clone();
        *more.entry(model.clone()).or_default() += 1;
        let has_room = fit(self.profiles, &more, &self.domains[domain]);
        if has_room {
            *counts = more;
        }
        has_room
    }
}

/// The mean wait at this load against the time that a request runs, as of a single queue.
fn relative_wait(load: f64) -> f64 {
    let wait = |load: f64| load / (1.0 - load);
    if load <= MOST_LOAD {
        return wait(load);
    }
    let slope = 1.0 / (1.0 - MOST_LOAD).powi(2);
    wait(MOST_LOAD) + slope * (load - MOST_LOAD)
}
