//! Tests of the distribution of models over failure domains by their work shares.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalehinge::core::objects::ModelProfile;
use shalehinge::core::placement::fleet_shares::{
    DomainHosts, FleetShares, fleet_shares, models_without_room,
};
use shalehinge::core::types::{FailureDomain, ModelName, ServiceName};

type Profiles = BTreeMap<ModelName, ModelProfile>;
type Domains = BTreeMap<FailureDomain, DomainHosts>;

fn profiles(models: &[(&str, u32)]) -> Profiles {
    let profile = |size: u32| ModelProfile {
        service: ServiceName::new("s"),
        hosts_per_replica: size,
        work_share: 1.0 / models.len() as f64,
        pace: 1.0,
        slots: 8,
        times: None,
        load_seconds: None,
    };
    models
        .iter()
        .map(|(name, size)| (ModelName::new(name), profile(*size)))
        .collect()
}

/// Failure domains `d0`, `d1` and so on, with fabric domains of these sizes.
fn domains(fabrics: &[&[usize]]) -> Domains {
    let hosts = |sizes: &[usize]| DomainHosts {
        fabric_sizes: sizes.to_vec(),
        existing: BTreeMap::new(),
    };
    let named = fabrics.iter().enumerate();
    named
        .map(|(index, sizes)| (FailureDomain::new(&format!("d{index}")), hosts(sizes)))
        .collect()
}

fn replicas(shares: &FleetShares, model: &str) -> u32 {
    let counts = shares
        .values()
        .map(|share| share.counts[&ModelName::new(model)]);
    counts.sum()
}

fn domains_with(shares: &FleetShares, model: &str) -> Vec<String> {
    let with = shares
        .iter()
        .filter(|(_, share)| share.counts[&ModelName::new(model)] > 0);
    with.map(|(domain, _)| domain.to_string()).collect()
}

#[test]
fn domains_too_small_for_every_model_hold_different_ones() {
    let profiles = profiles(&[("large", 8), ("small", 4)]);
    let shares = fleet_shares(&profiles, &domains(&[&[10][..]; 5]), 0.0);
    assert_eq!(
        (replicas(&shares, "large"), replicas(&shares, "small")),
        (2, 6)
    );
}

#[test]
fn a_domain_that_holds_every_model_keeps_its_own_counts() {
    let profiles = profiles(&[("large", 16), ("small", 8)]);
    let shares = fleet_shares(&profiles, &domains(&[&[37; 5], &[37; 5], &[21]]), 0.0);
    let count = |domain: &str, model: &str| {
        shares[&FailureDomain::new(domain)].counts[&ModelName::new(model)]
    };
    assert_eq!((count("d0", "large"), count("d0", "small")), (5, 10));
    assert!(shares[&FailureDomain::new("d2")].is_undersized);
    assert!(!shares[&FailureDomain::new("d0")].is_undersized);
}

#[test]
fn a_large_replica_goes_to_the_only_domain_that_fits_it() {
    let profiles = profiles(&[("large", 16), ("small", 8)]);
    let shares = fleet_shares(&profiles, &domains(&[&[10], &[21], &[15]]), 0.0);
    assert_eq!(domains_with(&shares, "large"), ["d1"]);
    assert_eq!(domains_with(&shares, "small"), ["d0", "d2"]);
}

#[test]
fn a_model_that_fits_no_domain_is_reported() {
    let profiles = profiles(&[("large", 8), ("small", 4)]);
    let shares = fleet_shares(&profiles, &domains(&[&[7][..]; 3]), 0.0);
    assert_eq!(
        models_without_room(&profiles, &shares),
        [ModelName::new("large")]
    );
    assert_eq!(replicas(&shares, "small"), 3);
}

#[test]
fn hosts_added_to_other_domains_move_no_serving_replica() {
    let profiles = profiles(&[("large", 8), ("small", 4)]);
    let mut domain_hosts = domains(&[&[10][..]; 5]);
    for domain in ["d3", "d4"] {
        let hosts = domain_hosts
            .get_mut(&FailureDomain::new(domain))
            .expect("known");
        hosts.existing.insert(ModelName::new("large"), 1);
    }
    for other in ["d0", "d1"] {
        let hosts = domain_hosts
            .get_mut(&FailureDomain::new(other))
            .expect("known");
        hosts.fabric_sizes = vec![11];
    }
    let shares = fleet_shares(&profiles, &domain_hosts, 0.0);
    assert_eq!(domains_with(&shares, "large"), ["d3", "d4"]);
}

#[test]
fn existing_replicas_are_given_up_only_for_an_unserved_model() {
    let profiles = profiles(&[("large", 8), ("small", 4)]);
    let mut domain_hosts = domains(&[&[10], &[10], &[10]]);
    for hosts in domain_hosts.values_mut() {
        hosts.existing.insert(ModelName::new("small"), 2);
    }
    let shares = fleet_shares(&profiles, &domain_hosts, 0.0);
    assert_eq!(
        (replicas(&shares, "large"), replicas(&shares, "small")),
        (1, 4)
    );
    let hosts = domain_hosts
        .get_mut(&FailureDomain::new("d1"))
        .expect("known");
    hosts.existing = BTreeMap::from([(ModelName::new("large"), 1)]);
    let shares = fleet_shares(&profiles, &domain_hosts, 0.0);
    assert_eq!(domains_with(&shares, "large"), ["d1"]);
}

#[test]
fn other_domains_compensate_for_a_lost_domain() {
    let profiles = profiles(&[("large", 8), ("small", 4)]);
    let mut domain_hosts = domains(&[&[10][..]; 5]);
    let before = domains_with(&fleet_shares(&profiles, &domain_hosts, 0.0), "large");
    domain_hosts.remove(&FailureDomain::new(&before[0]));
    let after = fleet_shares(&profiles, &domain_hosts, 0.0);
    assert_eq!(replicas(&after, "large"), 2);
}

/// Property test: every failure domain can hold a replica of each model, and there are at least
/// as many failure domains as models, so every model must get a replica.
#[test]
fn every_model_gets_a_replica_where_domains_can_hold_it() {
    const RUNS: u64 = 2_000;
    for seed in 0..RUNS {
        let mut rng = StdRng::seed_from_u64(seed);
        let sizes: Vec<u32> = (0..2).map(|_| rng.random_range(1..=16)).collect();
        let profiles = profiles(&[("a", sizes[0]), ("b", sizes[1])]);
        let largest = sizes.iter().max().copied().unwrap_or(1) as usize;
        let count = rng.random_range(2..=6);
        let fabrics: Vec<Vec<usize>> = (0..count)
            .map(|_| vec![rng.random_range(largest..=largest * 3)])
            .collect();
        let fabrics: Vec<&[usize]> = fabrics.iter().map(Vec::as_slice).collect();
        let shares = fleet_shares(&profiles, &domains(&fabrics), 0.0);
        let without = models_without_room(&profiles, &shares);
        assert_eq!(without, [], "seed {seed}: {sizes:?} on {fabrics:?}");
    }
}
