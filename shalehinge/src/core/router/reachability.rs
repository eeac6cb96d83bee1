//! Failure domains whose upstreams can't be connected to, most likely because of a network
//! partition.
//!
//! A request avoids the upstreams of such a domain while others can take it. Otherwise each
//! attempt there would cost the time-out of a connection before the next one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::types::{FailureDomain, Timestamp};

use super::request::UpstreamId;

/// Number of upstreams of a failure domain that must fail before the domain is avoided.
const MIN_FAILED_UPSTREAMS: usize = 2;
/// How long a failure counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(5);
/// How long a domain is avoided at first; each further failure doubles it.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(1);
/// Longest time for which a domain is avoided without a new attempt.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// Recent failures in one domain, none of them followed by a success.
#[derive(Clone, Debug, Default)]
struct DomainFailures {
    upstreams: BTreeMap<UpstreamId, Timestamp>,
    avoidance: Duration,
    avoided_until: Timestamp,
}

/// Reachability of the other failure domains, as seen by this daemon.
#[derive(Clone, Debug, Default)]
pub struct DomainReachability {
    failures: BTreeMap<FailureDomain, DomainFailures>,
}

impl DomainReachability {
    /// Records that no connection to an upstream could be established. Returns whether the domain
    /// is avoided from now on.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        domain: &FailureDomain,
        upstream: &UpstreamId,
    ) -> bool {
        let failures = self.failures.entry(domain.clone()).or_default();
        failures
            .upstreams
            .retain(|_, at| now.since(*at) < FAILURE_LIFETIME);
        failures.upstreams.insert(upstream.clone(), now);
        let is_avoided = now < failures.avoided_until;
        if is_avoided || failures.upstreams.len() < MIN_FAILED_UPSTREAMS {
            return false;
        }
        failures.avoidance = (failures.avoidance * 2).clamp(FIRST_AVOIDANCE, MAX_AVOIDANCE);
        failures.avoided_until = now + failures.avoidance;
        true
    }

    /// Records a response of an upstream, which shows that its domain can be reached.
    pub fn record_response(&mut self, domain: &FailureDomain) {
        self.failures.remove(domain);
    }

    /// The domains to avoid.
    pub fn avoided(&self, now: Timestamp) -> BTreeSet<FailureDomain> {
        let avoided = self.failures.iter();
        let avoided = avoided.filter(|(_, failures)| now < failures.avoided_until);
        avoided.map(|(domain, _)| domain.clone()).collect()
    }
}
