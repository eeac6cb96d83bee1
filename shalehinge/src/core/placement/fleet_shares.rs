//! How many replicas of each model every failure domain should have.
//!
//! Each failure domain has the counts of [`shares`](super::shares) as long as it holds a
//! replica of every model. One too small for that is *narrow*: taken alone, all narrow
//! domains would give up the same model, the one with the largest replicas, and nobody
//! would serve it. So their counts are a matter of the whole fleet:
//!
//! 1. What stands stays.
//! 2. Free hosts go to the model that has least of its part and finds room.
//! 3. A replica that stands is given up only for a model that nobody serves, or that has
//!    far less than its part: the exchange costs loads and a time without service.
//!
//! So a host that comes or goes moves nothing elsewhere. A pure function of the host list
//! and the models' parts: lease holders that see the same list reckon the same. A domain
//! whose hosts left the list counts no more, and the others make up for it.

use std::collections::BTreeMap;

use crate::core::objects::ModelProfile;
use crate::core::types::{FailureDomain, ModelName};

use super::shares::{
    ReplicaCounts, fit, most_spared, replicas_by_share, replicas_that_fit, supply,
};

/// How many times better off the worst served model must be after a replica that stands
/// was given up for it. Below that the loads cost more than they bring.
const WORTH_AN_EXCHANGE: f64 = 2.0;

/// What a failure domain has for the models of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainHosts {
    /// Live hosts of each fabric domain.
    pub fabric_sizes: Vec<usize>,
    /// Replicas that serve there or are being formed.
    pub standing: ReplicaCounts,
}

/// What a failure domain should have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainShare {
    /// Replicas by model.
    pub counts: ReplicaCounts,
    /// Whether it is too small for a replica of each model.
    pub is_narrow: bool,
}

/// Counts of each failure domain.
pub type FleetShares = BTreeMap<FailureDomain, DomainShare>;

/// Divides the models over the failure domains; `spare_share` is the part of the hosts
/// that stays free once each model has its part.
pub fn fleet_shares(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    domains: &BTreeMap<FailureDomain, DomainHosts>,
    spare_share: f64,
) -> FleetShares {
    let shares = domains.iter().map(|(domain, hosts)| {
        let share = share_alone(profiles, hosts, spare_share);
        (domain.clone(), share)
    });
    let mut division = Division {
        profiles,
        domains,
        shares: shares.collect(),
    };
    while division.use_free_hosts() || division.exchange() {}
    division.shares
}

/// Models that no failure domain has a replica of.
pub fn models_without_room(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    shares: &FleetShares,
) -> Vec<ModelName> {
    let has_replica = |model: &&ModelName| shares.values().any(|s| s.counts[*model] > 0);
    let without = profiles.keys().filter(|model| !has_replica(model));
    without.cloned().collect()
}

/// What a domain should have by itself; a narrow one at first just what stands there.
fn share_alone(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    hosts: &DomainHosts,
    spare_share: f64,
) -> DomainShare {
    let counts = replicas_by_share(profiles, &hosts.fabric_sizes, spare_share);
    let is_narrow = counts.values().any(|count| *count == 0);
    if !is_narrow {
        return DomainShare { counts, is_narrow };
    }
    let standing = |model: &ModelName| hosts.standing.get(model).copied().unwrap_or(0);
    let counts = profiles
        .keys()
        .map(|model| (model.clone(), standing(model)));
    DomainShare {
        counts: replicas_that_fit(profiles, &hosts.fabric_sizes, counts.collect()),
        is_narrow,
    }
}

/// A division of the models that is being improved.
struct Division<'a> {
    profiles: &'a BTreeMap<ModelName, ModelProfile>,
    domains: &'a BTreeMap<FailureDomain, DomainHosts>,
    shares: FleetShares,
}

impl Division<'_> {
    /// Hosts of the model in the fleet against its part of the work.
    fn supply_of(&self, model: &ModelName) -> f64 {
        let replicas = self.shares.values().map(|share| share.counts[model]);
        supply(replicas.sum(), &self.profiles[model])
    }

    /// Models by how little they have. Of those that have nothing the one with the larger
    /// replicas comes first, as it finds room in fewer places; of others alike the one
    /// with the smaller, as it loses less with a host.
    fn by_need(&self) -> Vec<&ModelName> {
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

    /// Adds one replica on hosts that no replica uses. Tells whether it did.
    fn use_free_hosts(&mut self) -> bool {
        let found = self.by_need().into_iter().find_map(|model| {
            let narrow = self.shares.iter().filter(|(_, share)| share.is_narrow);
            let room = narrow.filter_map(|(domain, share)| {
                let more = one_more(&share.counts, model);
                let has_room = fit(self.profiles, &more, &self.domains[domain].fabric_sizes);
                has_room.then(|| (domain.clone(), more))
            });
            // Where most of the model stands already, its weights are at hand.
            room.max_by_key(|(_, counts)| counts[model])
        });
        self.take(found)
    }

    /// Gives up replicas that stand for one of the model that has least, where that is
    /// worth it. Tells whether it did.
    fn exchange(&mut self) -> bool {
        let least = self.least_supply();
        let Some(model) = self.by_need().first().copied().cloned() else {
            return false;
        };
        let narrow = self.shares.iter().filter(|(_, share)| share.is_narrow);
        let exchanges = narrow.filter_map(|(domain, share)| {
            let sizes = &self.domains[domain].fabric_sizes;
            let counts = in_place_of_others(self.profiles, sizes, &share.counts, &model)?;
            let after = self.least_supply_with(domain, &counts);
            let is_worth_it = after > 0.0 && after >= least * WORTH_AN_EXCHANGE;
            is_worth_it.then(|| (after, domain.clone(), counts))
        });
        let best = exchanges.max_by(|a, b| a.0.total_cmp(&b.0));
        self.take(best.map(|(_, domain, counts)| (domain, counts)))
    }

    fn least_supply(&self) -> f64 {
        let supplies = self.profiles.keys().map(|model| self.supply_of(model));
        supplies.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// The least supply once a domain has these counts.
    fn least_supply_with(&self, domain: &FailureDomain, counts: &ReplicaCounts) -> f64 {
        let mut shares = self.shares.clone();
        if let Some(share) = shares.get_mut(domain) {
            share.counts.clone_from(counts);
        }
        let changed = Division { shares, ..*self };
        changed.least_supply()
    }

    fn take(&mut self, change: Option<(FailureDomain, ReplicaCounts)>) -> bool {
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

fn one_more(counts: &ReplicaCounts, model: &ModelName) -> ReplicaCounts {
    let mut more = counts.clone();
    *more.entry(model.clone()).or_default() += 1;
    more
}

/// The counts with one more replica of the model, for which others give up as many as
/// needed.
fn in_place_of_others(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    fabric_sizes: &[usize],
    counts: &ReplicaCounts,
    model: &ModelName,
) -> Option<ReplicaCounts> {
    let mut more = one_more(counts, model);
    while !fit(profiles, &more, fabric_sizes) {
        let others = more
            .iter()
            .filter(|(other, count)| *other != model && **count > 0);
        let giver = most_spared(profiles, &more, others.map(|(other, _)| other))?;
        *more.entry(giver).or_default() -= 1;
    }
    Some(more)
}
