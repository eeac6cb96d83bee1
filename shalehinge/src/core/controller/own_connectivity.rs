//! Whether a missing answer is evidence against the host, or against this daemon.
//!
//! A daemon whose own link is saturated or cut gets no timely answer from any host, and would
//! consider all hosts lost. A missing answer therefore counts only while other hosts answer:
//! together with the first probe of a suspected group, some hosts of each fabric domain are
//! probed as well, and in at least one fabric domain three of four recently probed hosts must
//! have answered. If a whole fabric domain fails, the others still answer; if none answers,
//! dissolving groups would gain nothing, because no host could be ordered into new ones.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Controller;
use crate::core::types::{FabricDomain, HostId, Timestamp};

/// How long a probe result is considered. Two probes of a silent host, which prove its loss, take
/// 300 to 500 ms.
const RESULT_LIFETIME: Duration = Duration::from_millis(600);
/// Age from which a result is refreshed, so that a long silence is always judged by recent ones.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);
/// Number of additional hosts that are probed in each fabric domain. One in four may be lost
/// without casting doubt on the others.
const CONTROL_PROBES: usize = 4;
/// Number of further hosts that are probed for each silent one, as three of four must answer.
const PROBES_PER_SILENT_HOST: usize = 3;

/// Result of the last probe of a host.
#[derive(Clone, Debug)]
struct ProbeResult {
    fabric_domain: FabricDomain,
    ended_at: Timestamp,
    is_answered: bool,
}

/// Number of recently probed hosts, and how many of them answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ProbeCounts {
    pub(super) answered: usize,
    pub(super) probed: usize,
}

impl ProbeCounts {
    /// Whether at least three in four hosts answered.
    fn is_reliable(self) -> bool {
        self.answered * 4 >= self.probed * 3
    }
}

/// The last probes that this daemon sent to hosts of its failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnConnectivity {
    results: BTreeMap<HostId, ProbeResult>,
    /// Time since which recent probes show that this daemon reaches hosts.
    reachable_since: Option<Timestamp>,
    /// Whether a missing answer was already reported as not trusted since then.
    is_distrust_logged: bool,
}

impl OwnConnectivity {
    /// Records the result of a probe.
    fn record(
        &mut self,
        now: Timestamp,
        host: HostId,
        fabric_domain: FabricDomain,
        answered: bool,
    ) {
        let result = ProbeResult {
            fabric_domain,
            ended_at: now,
            is_answered: answered,
        };
        self.results
            .retain(|_, result| now.since(result.ended_at) < RESULT_LIFETIME);
        self.results.insert(host, result);
        let is_reliable = self.counts().values().any(|counts| counts.is_reliable());
        self.reachable_since = match self.reachable_since {
            _ if !is_reliable => None,
            Some(since) => Some(since),
            None => Some(now),
        };
        self.is_distrust_logged &= !is_reliable;
    }

    fn counts(&self) -> BTreeMap<&FabricDomain, ProbeCounts> {
        let mut counts: BTreeMap<&FabricDomain, ProbeCounts> = BTreeMap::new();
        for result in self.results.values() {
            let counts = counts.entry(&result.fabric_domain).or_default();
            counts.probed += 1;
            counts.answered += usize::from(result.is_answered);
        }
        counts
    }

    /// Recent probes of all fabric domains.
    pub(super) fn total(&self) -> ProbeCounts {
        let mut total = ProbeCounts::default();
        for counts in self.counts().into_values() {
            total.answered += counts.answered;
            total.probed += counts.probed;
        }
        total
    }

    /// Whether a probe that was sent at this time and not answered is evidence against the host.
    pub(super) fn trusts_silence(&self, asked_at: Timestamp) -> bool {
        self.reachable_since.is_some_and(|since| asked_at >= since)
    }

    /// Time since which recent probes show that this daemon reaches hosts.
    pub(super) fn reachable_since(&self) -> Option<Timestamp> {
        self.reachable_since
    }

    /// Log line for a missing answer that is not trusted. Returned once, until hosts answer
    /// again.
    pub(super) fn distrust_message(&mut self) -> Option<String> {
        let is_logged = std::mem::replace(&mut self.is_distrust_logged, true);
        let ProbeCounts { answered, probed } = self.total();
        (!is_logged).then(|| {
            format!(
                "no group is lost by silence: {answered} of {probed} recently probed hosts answered"
            )
        })
    }

    fn was_recently_probed(&self, now: Timestamp, host: &HostId) -> bool {
        let result = self.results.get(host);
        result.is_some_and(|result| now.since(result.ended_at) < REFRESH_INTERVAL)
    }
}

impl Controller {
    /// Records the result of a probe.
    pub(super) fn record_probe(&mut self, now: Timestamp, host: &HostId, answered: bool) {
        if let Some(listed) = self.listed.get(host) {
            let fabric_domain = listed.record.fabric_domain.clone();
            self.own_connectivity
                .record(now, host.clone(), fabric_domain, answered);
        }
    }

    /// Number of additional hosts to probe in each fabric domain.
    fn control_probes(&self, now: Timestamp) -> BTreeMap<&FabricDomain, usize> {
        let mut wanted: BTreeMap<&FabricDomain, usize> = BTreeMap::new();
        for (host, listed) in &self.listed {
            let fabric_domain = &listed.record.fabric_domain;
            let wanted = wanted.entry(fabric_domain).or_insert(CONTROL_PROBES);
            if self.silences.contains(now, host) {
                *wanted += PROBES_PER_SILENT_HOST;
            }
        }
        wanted
    }

    /// Probes some hosts of each fabric domain in addition to those of suspected groups. Silent
    /// hosts are probed anyway.
    pub(super) fn probe_control_hosts(&mut self, now: Timestamp) {
        let mut wanted = self.control_probes(now);
        let mut hosts = Vec::new();
        for (host, listed) in &self.listed {
            if !self.is_live(host) || self.silences.contains(now, host) {
                continue;
            }
            let wanted = wanted.entry(&listed.record.fabric_domain).or_default();
            if *wanted > 0 {
                *wanted -= 1;
                if !self.own_connectivity.was_recently_probed(now, host) {
                    hosts.push(host.clone());
                }
            }
        }
        for host in hosts {
            self.schedule_probe(now, &host);
        }
    }
}
