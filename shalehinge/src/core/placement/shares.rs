//! How many replicas of each model a failure domain should have, from the models'
//! parts of the work.
//!
//! A model's part of the work is its part of the busy hosts. Replicas go one by one
//! to the model that lacks most against its part, until it finds no room or too few
//! spares would be left for what is lost later.

use std::collections::BTreeMap;

use crate::core::objects::ModelProfile;
use crate::core::types::ModelName;

/// Replicas by model.
pub type ReplicaCounts = BTreeMap<ModelName, u32>;

/// Divides the hosts of fabric domains of these sizes among the models; `spare_share`
/// is the part of the hosts that stays free once each model has a replica.
pub fn replicas_by_share(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    fabric_sizes: &[usize],
    spare_share: f64,
) -> ReplicaCounts {
    let hosts: usize = fabric_sizes.iter().sum();
    let usable = (hosts as f64 * (1.0 - spare_share)).floor() as usize;
    let mut counts: ReplicaCounts = profiles.keys().map(|model| (model.clone(), 0)).collect();
    while let Some(model) = neediest(profiles, &counts) {
        let is_first = counts[&model] == 0;
        let mut more = counts.clone();
        *more.entry(model).or_default() += 1;
        let has_spares = is_first || hosts_of(profiles, &more) <= usable;
        if !has_spares || !fits(profiles, &more, fabric_sizes) {
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
        let hosts = f64::from(counts[model] * profile.hosts_per_replica);
        hosts / profile.work_share.max(LEAST_SHARE)
    };
    profiles
        .iter()
        .min_by(|a, b| {
            let by_supply = supply(a.0, a.1).total_cmp(&supply(b.0, b.1));
            by_supply.then(b.1.hosts_per_replica.cmp(&a.1.hosts_per_replica))
        })
        .map(|(model, _)| model.clone())
}

fn hosts_of(profiles: &BTreeMap<ModelName, ModelProfile>, counts: &ReplicaCounts) -> usize {
    let hosts = |(model, count): (&ModelName, &u32)| profiles[model].hosts_per_replica * count;
    counts.iter().map(hosts).sum::<u32>() as usize
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
