//! The requests in progress at each daemon, as daemons tell each other in heartbeats.
//!
//! Capacity that all daemons share is divided by these loads, as a load balancer may send most
//! callers to a few daemons.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::hash;
use super::router::request::Target;

/// Seed of the hashes of targets.
const TARGET_HASH_SEED: &str = "load";

/// Hash of a target in four bytes. On a collision the loads of two targets are added up, which
/// divides their capacity less precisely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetHash(u32);

impl TargetHash {
    /// The hash of a target.
    pub fn of(target: &Target) -> Self {
        Self(hash::rendezvous_weight(&TARGET_HASH_SEED, target) as u32)
    }
}

/// Number of requests to one target that a daemon queues or runs at upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetHash,
    /// Number of requests.
    pub requests: u32,
}

/// The load of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonLoad {
    /// Heartbeat counter of the daemon at the time of this load.
    pub counter: u64,
    /// Targets with requests in progress.
    pub targets: Vec<TargetLoad>,
}

/// The load of a sample of the other daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Number of daemons in the sample.
    daemons: usize,
    /// Sum of their requests in progress, by target.
    requests: BTreeMap<TargetHash, u64>,
}

impl PeerLoad {
    /// Adds the load of one daemon to the sample.
    pub fn add(&mut self, load: &DaemonLoad) {
        self.daemons += 1;
        for known in &load.targets {
            *self.requests.entry(known.target).or_default() += u64::from(known.requests);
        }
    }

    /// Estimated number of requests to the target in progress at `peers` daemons; `None` if the load
    /// of none is known.
    pub fn requests_to(&self, target: TargetHash, peers: usize) -> Option<f64> {
        let requests = self.requests.get(&target).copied().unwrap_or_default();
        self.scaled(requests, peers)
    }

    /// Like [`Self::requests_to`], for all targets together.
    pub fn all_requests(&self, peers: usize) -> Option<f64> {
        self.scaled(self.requests.values().sum(), peers)
    }

    fn scaled(&self, requests: u64, peers: usize) -> Option<f64> {
        let is_known = self.daemons > 0;
        is_known.then(|| requests as f64 * peers as f64 / self.daemons as f64)
    }
}
