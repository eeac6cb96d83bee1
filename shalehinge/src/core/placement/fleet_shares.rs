//! Number of replicas of each model in every failure domain.
//!
//! A failure domain uses the counts from [`shares`](super::shares) if these include at least one
//! replica of every model. A failure domain that is too small for that is *undersized*. Computed
//! separately, all undersized failure domains would drop the same model, the one with the largest
//! replicas, and nobody would serve it. Their counts are therefore computed for the whole fleet:
//!
//! 1. Existing replicas are kept.
//! 2. Free hosts go to the model with the lowest supply that fits.
//! 3. An existing replica is removed only for a model that has no replica, or whose supply is
//!    far below its work share, because an exchange costs weight loads and downtime.
//!
//! A host that is added or removed therefore moves no replicas in other failure domains. This is
//! a pure function of the host list and the models' work shares: lease holders that see the same
//! list compute the same result. A failure domain whose hosts are no longer listed is ignored,
//! and the others compensate for it.

use std::collections::BTreeMap;

use crate::core::objects::ModelProfile;
use crate::core::types::{FailureDomain, ModelName};

use super::shares::{
    ReplicaCounts, best_supplied, fit, replicas_by_share, replicas_that_fit, supply,
};

/// Minimum factor by which the lowest supply of any model must improve to justify giving up
/// existing replicas. Below it, the weight loads cost more than the exchange gains.
const MIN_EXCHANGE_GAIN: f64 = 2.0;

/// Hosts and replicas of one service in a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainHosts {
    /// Number of live hosts in each fabric domain.
    pub fabric_sizes: Vec<usize>,
    /// Replicas that serve or are forming in the failure domain, by model.
    pub existing: ReplicaCounts,
}

/// Target of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainShare {
    /// Target number of replicas by model.
    pub counts: ReplicaCounts,
    /// Whether the failure domain is too small for a replica of every model.
    pub is_undersized: bool,
}

/// Target of each failure domain.
pub type FleetShares = BTreeMap<FailureDomain, DomainShare>;

/// Distributes the models over the failure domains. `spare_share` is the fraction of the hosts, 0
/// to 1, that stays free once each model has its share.
pub fn fleet_shares(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    domains: &BTreeMap<FailureDomain, DomainHosts>,
    spare_share: f64,
) -> FleetShares {
    let shares = domains.iter().map(|(domain, hosts)| {
        let share = initial_share(profiles, hosts, spare_share);
        (domain.clone(), share)
    });
    let mut distribution = Distribution {
        profiles,
        domains,
        shares: shares.collect(),
    };
    while distribution.add_replica() || distribution.exchange_replicas() {}
    distribution.shares
}

/// Models without a replica in any failure domain.
pub fn models_without_room(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    shares: &FleetShares,
) -> Vec<ModelName> {
    let has_replica = |model: &&ModelName| shares.values().any(|s| s.counts[*model] > 0);
    let without = profiles.keys().filter(|model| !has_replica(model));
    without.cloned().collect()
}

/// Target of a failure domain on its own. An undersized one starts with its existing replicas.
fn initial_share(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    hosts: &DomainHosts,
    spare_share: f64,
) -> DomainShare {
    let counts = replicas_by_share(profiles, &hosts.fabric_sizes, spare_share);
    let is_undersized = counts.values().any(|count| *count == 0);
    if !is_undersized {
        return DomainShare {
            counts,
            is_undersized,
        };
    }
    let existing = |model: &ModelName| hosts.existing.get(model).copied().unwrap_or(0);
    let counts = profiles
        .keys()
        .map(|model| (model.clone(), existing(model)));
    DomainShare {
        counts: replicas_that_fit(profiles, &hosts.fabric_sizes, counts.collect()),
        is_undersized,
    }
}

/// A distribution of the models that is being improved step by step.
struct Distribution<'a> {
    profiles: &'a BTreeMap<ModelName, ModelProfile>,
    domains: &'a BTreeMap<FailureDomain, DomainHosts>,
    shares: FleetShares,
}

impl Distribution<'_> {
    /// Ratio of the model's hosts in the fleet to its share of the work.
    fn supply_of(&self, model: &ModelName) -> f64 {
        let replicas = self.shares.values().map(|share| share.counts[model]);
        supply(replicas.sum(), &self.profiles[model])
    }

    /// Models in order of increasing supply. Among models without any replica, the one with the
    /// largest replicas comes first, because it fits in fewer places. Among models with equal
    /// supply, the one with the smallest replicas comes first, because it loses less when a host
    /// fails.
    fn by_supply(&self) -> Vec<&ModelName> {
        let mut models: Vec<&ModelName> = self.profiles.keys().collect();
        let size = |model: &ModelName| self.profiles[model].hosts_per_replica;
        models.sort_by(|a, b| {
            let (supply_a, supply_b) = (self.supply_of(a), self.supply_of(b));
            let by_size = if supply_a > 0.0 {
                size(a).cmp(&size(b))
            } else {
                size(b).cmp(&size(a))
            };
            supply_a.total_cmp(&supply_b).then(by_size)
        });
        models
    }

    /// Adds one replica on unused hosts. Returns whether a replica was added.
    fn add_replica(&mut self) -> bool {
        let found = self.by_supply().into_iter().find_map(|model| {
            let undersized = self.shares.iter().filter(|(_, share)| share.is_undersized);
            let candidates = undersized.filter_map(|(domain, share)| {
                let increased = with_one_more(&share.counts, model);
                let has_capacity = fit(
                    self.profiles,
                    &increased,
                    &self.domains[domain].fabric_sizes,
                );
                has_capacity.then(|| (domain.clone(), increased))
            });
            // Prefer the failure domain with most replicas of the model: its hosts already hold
            // the weights.
            candidates.max_by_key(|(_, counts)| counts[model])
        });
        self.apply(found)
    }

    /// Exchanges existing replicas for one of the model with the lowest supply, if the gain is
    /// large enough. Returns whether an exchange was made.
    fn exchange_replicas(&mut self) -> bool {
        let lowest = self.lowest_supply();
        let Some(model) = self.by_supply().first().copied().cloned() else {
            return false;
        };
        let undersized = self.shares.iter().filter(|(_, share)| share.is_undersized);
        let exchanges = undersized.filter_map(|(domain, share)| {
            let sizes = &self.domains[domain].fabric_sizes;
            let counts = with_one_exchanged(self.profiles, sizes, &share.counts, &model)?;
            let after = self.lowest_supply_with(domain, &counts);
            let is_worthwhile = after > 0.0 && after >= lowest * MIN_EXCHANGE_GAIN;
            is_worthwhile.then(|| (after, domain.clone(), counts))
        });
        let best = exchanges.max_by(|a, b| a.0.total_cmp(&b.0));
        self.apply(best.map(|(_, domain, counts)| (domain, counts)))
    }

    fn lowest_supply(&self) -> f64 {
        let supplies = self.profiles.keys().map(|model| self.supply_of(model));
        supplies.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// The lowest supply of any model if the failure domain had these counts.
    fn lowest_supply_with(&self, domain: &FailureDomain, counts: &ReplicaCounts) -> f64 {
        let mut shares = self.shares.clone();
        if let Some(share) = shares.get_mut(domain) {
            share.counts.clone_from(counts);
        }
        let changed = Distribution { shares, ..*self };
        changed.lowest_supply()
    }

    fn apply(&mut self, change: Option<(FailureDomain, ReplicaCounts)>) -> bool {
        let Some((domain, counts)) = change else {
            return false;
        };
        let share = self.shares.get_mut(&domain);
        share.is_some_and(|share| {
            share.counts = counts;
            true
        })
    }
}

fn with_one_more(counts: &ReplicaCounts, model: &ModelName) -> ReplicaCounts {
    let mut increased = counts.clone();
    *increased.entry(model.clone()).or_default() += 1;
    increased
}

/// The counts with one more replica of the model, after removing as many replicas of other models
/// as necessary. Returns `None` if it does not fit even then.
fn with_one_exchanged(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    fabric_sizes: &[usize],
    counts: &ReplicaCounts,
    model: &ModelName,
) -> Option<ReplicaCounts> {
    let mut increased = with_one_more(counts, model);
    while !fit(profiles, &increased, fabric_sizes) {
        let others = increased
            .iter()
            .filter(|(other, count)| *other != model && **count > 0);
        let donor = best_supplied(profiles, &increased, others.map(|(other, _)| other))?;
        *increased.entry(donor).or_default() -= 1;
    }
    Some(increased)
}
