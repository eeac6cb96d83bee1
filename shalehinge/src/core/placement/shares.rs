//! Number of replicas of each model in a failure domain, derived from the models' shares of the
//! work.
//!
//! A model receives the same share of the hosts as it has of the work. Hosts that remain
//! afterwards go to the models with the smallest replicas, because these are preempted first when
//! a larger replica loses a member.

use std::collections::BTreeMap;

use crate::core::objects::ModelProfile;
use crate::core::types::ModelName;

/// Number of replicas by model.
pub type ReplicaCounts = BTreeMap<ModelName, u32>;

/// Counts the replicas of each model; `models` yields the model of each replica.
pub fn count_models<'a>(models: impl Iterator<Item = &'a ModelName>) -> ReplicaCounts {
    let mut counts = ReplicaCounts::new();
    for model in models {
        *counts.entry(model.clone()).or_default() += 1;
    }
    counts
}

/// Divides the hosts of fabric domains with these sizes among the models. `spare_share` is the
/// fraction of the hosts, 0 to 1, that stays free once each model has its share.
pub fn replicas_by_share(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    fabric_sizes: &[usize],
    spare_share: f64,
) -> ReplicaCounts {
    let hosts: usize = fabric_sizes.iter().sum();
    let usable = usable_hosts(fabric_sizes, spare_share);
    let total: f64 = profiles.values().map(|profile| profile.work_share).sum();
    let mut counts: ReplicaCounts = profiles
        .iter()
        .map(|(model, profile)| {
            let host_share = hosts as f64 * profile.work_share / total.max(f64::EPSILON);
            let replicas = (host_share / hosts_of_replica(profile) as f64).floor();
            // More than the number of hosts never fit, whatever the shares are.
            let replicas = replicas.min(hosts as f64);
            (model.clone(), (replicas as u32).max(1))
        })
        .collect();
    counts = replicas_that_fit(profiles, fabric_sizes, counts);
    fill(profiles, fabric_sizes, usable, counts)
}

/// Number of hosts that may be used once each model has its share.
pub fn usable_hosts(fabric_sizes: &[usize], spare_share: f64) -> usize {
    let hosts: usize = fabric_sizes.iter().sum();
    (hosts as f64 * (1.0 - spare_share)).floor() as usize
}

/// Adds replicas, smallest first, as long as they fit and the replicas use at most `usable` hosts
/// in total.
pub fn fill(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    fabric_sizes: &[usize],
    usable: usize,
    mut counts: ReplicaCounts,
) -> ReplicaCounts {
    let mut by_size: Vec<_> = profiles.iter().collect();
    by_size.sort_by_key(|(_, profile)| profile.hosts_per_replica);
    for (model, _) in by_size {
        loop {
            let mut increased = counts.clone();
            *increased.entry(model.clone()).or_default() += 1;
            let has_spares = total_hosts(profiles, &increased) <= usable;
            if !has_spares || !fit(profiles, &increased, fabric_sizes) {
                break;
            }
            counts = increased;
        }
    }
    counts
}

/// Reduces `wanted` to replicas that fit. The model with the highest supply is reduced first, but
/// loses its last replica only when no model has more than one. Space that remains is then filled
/// up to the wanted counts.
pub fn replicas_that_fit(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    fabric_sizes: &[usize],
    wanted: ReplicaCounts,
) -> ReplicaCounts {
    let mut counts = wanted.clone();
    while !fit(profiles, &counts, fabric_sizes) {
        let donor = best_supplied_above(profiles, &counts, 1)
            .or_else(|| best_supplied_above(profiles, &counts, 0));
        let Some(model) = donor else {
            break;
        };
        *counts.entry(model).or_default() -= 1;
    }
    for (model, wanted_count) in &wanted {
        while counts[model] < *wanted_count {
            let mut increased = counts.clone();
            *increased.entry(model.clone()).or_default() += 1;
            if !fit(profiles, &increased, fabric_sizes) {
                break;
            }
            counts = increased;
        }
    }
    counts
}

/// The model with the highest supply among those with more than `min_replicas` replicas.
fn best_supplied_above(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    counts: &ReplicaCounts,
    min_replicas: u32,
) -> Option<ModelName> {
    let models = profiles
        .keys()
        .filter(|model| counts[*model] > min_replicas);
    best_supplied(profiles, counts, models)
}

/// The model with the highest supply among `models`.
pub(super) fn best_supplied<'a>(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    counts: &ReplicaCounts,
    models: impl Iterator<Item = &'a ModelName>,
) -> Option<ModelName> {
    let supply_of = |model: &ModelName| supply(counts[model], &profiles[model]);
    models
        .max_by(|a, b| supply_of(a).total_cmp(&supply_of(b)))
        .cloned()
}

/// Supply of a model: the ratio of the hosts of these replicas to the model's share of the work.
pub(super) fn supply(replicas: u32, profile: &ModelProfile) -> f64 {
    const MIN_WORK_SHARE: f64 = 1e-3;
    let hosts = f64::from(replicas) * f64::from(profile.hosts_per_replica);
    hosts / profile.work_share.max(MIN_WORK_SHARE)
}

/// Number of hosts of a replica; at least 1, as replicas without hosts would fit without end.
fn hosts_of_replica(profile: &ModelProfile) -> usize {
    profile.hosts_per_replica.max(1) as usize
}

fn total_hosts(profiles: &BTreeMap<ModelName, ModelProfile>, counts: &ReplicaCounts) -> usize {
    let hosts = |(model, count): (&ModelName, &u32)| {
        hosts_of_replica(&profiles[model]).saturating_mul(*count as usize)
    };
    counts.iter().map(hosts).fold(0, usize::saturating_add)
}

/// Whether these replicas fit into the fabric domains, placing large ones first.
pub(super) fn fit(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    counts: &ReplicaCounts,
    fabric_sizes: &[usize],
) -> bool {
    let mut sizes: Vec<usize> = Vec::new();
    for (model, count) in counts {
        let size = hosts_of_replica(&profiles[model]);
        sizes.extend(std::iter::repeat_n(size, *count as usize));
    }
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    let mut free = fabric_sizes.to_vec();
    for size in sizes {
        let tightest = free
            .iter_mut()
            .filter(|available| **available >= size)
            .min_by_key(|available| **available);
        match tightest {
            Some(available) => *available -= size,
            None => return false,
        }
    }
    true
}
