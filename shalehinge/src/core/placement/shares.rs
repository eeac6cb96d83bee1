//! How many replicas of each model a failure domain should have, from the models'
//! parts of the work.
//!
//! Replicas go one by one to the model that lacks most against its part. Once that
//! model finds no room, the hosts that remain are spares for what is lost later.

use std::collections::BTreeMap;

use crate::core::objects::ModelProfile;
use crate::core::types::ModelName;

/// Replicas by model.
pub type ReplicaCounts = BTreeMap<ModelName, u32>;

/// Divides the hosts of fabric domains of these sizes among the models.
pub fn replicas_by_share(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    fabric_sizes: &[usize],
) -> ReplicaCounts {
    let mut counts: ReplicaCounts = profiles.keys().map(|model| (model.clone(), 0)).collect();
    while let Some(model) = neediest(profiles, &counts) {
        let mut more = counts.clone();
        *more.entry(model).or_default() += 1;
        if !fits(profiles, &more, fabric_sizes) {
            break;
        }
        counts = more;
    }
    counts
}

/// The model with the least capacity against its part of the work.
fn neediest(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    counts: &ReplicaCounts,
) -> Option<ModelName> {
    const LEAST_SHARE: f64 = 1e-3;
    let supply = |model: &ModelName, profile: &ModelProfile| {
        let capacity = f64::from(counts[model]) / profile.pace.max(LEAST_SHARE);
        capacity / profile.work_share.max(LEAST_SHARE)
    };
    profiles
        .iter()
        .min_by(|a, b| {
            let by_supply = supply(a.0, a.1).total_cmp(&supply(b.0, b.1));
            by_supply.then(b.1.hosts_per_replica.cmp(&a.1.hosts_per_replica))
        })
        .map(|(model, _)| model.clone())
}

/// Whether so many replicas find room, the large ones placed first.
fn fits(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    counts: &ReplicaCounts,
    fabric_sizes: &[usize],
) -> bool {
    let mut sizes: Vec<usize> = Vec::new();
    for (model, count) in counts {
        let size = profiles[model].hosts_per_replica as usize;
        sizes.extend(std::iter::repeat_n(size, *count as usize));
    }
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    let mut free = fabric_sizes.to_vec();
    for size in sizes {
        let tightest = free
            .iter_mut()
            .filter(|left| **left >= size)
            .min_by_key(|left| **left);
        match tightest {
            Some(left) => *left -= size,
            None => return false,
        }
    }
    true
}
