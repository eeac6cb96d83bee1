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
const COUNTS_FOR: Duration = Duration::from_millis(600);
/// Number of additional hosts that are probed in each fabric domain. One in four may be lost
/// without casting doubt on the others.
const ASKED_BESIDE: usize = 4;

/// Result of the last probe of a host.
#[derive(Clone, Debug)]
struct Look {
    fabric_domain: FabricDomain,
    ended_at: Timestamp,
    is_answered: bool,
}

/// Number of recently probed hosts, and how many of them answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LookCounts {
    pub(super) answered: usize,
    pub(super) asked: usize,
}

impl LookCounts {
    /// Whether at least three in four hosts answered.
    fn is_sound(self) -> bool {
        self.answered * 4 >= self.asked * 3
    }
}

/// The last probes that this daemon sent to hosts of its failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnReach {
    looks: BTreeMap<HostId, Look>,
    /// Time since which recent probes show that this daemon reaches hosts.
    sound_since: Option<Timestamp>,
    /// Whether a missing answer was already reported as not trusted since then.
    is_doubt_told: bool,
}

impl OwnReach {
    /// Records the result of a probe.
    fn note(&mut self, now: Timestamp, host: HostId, fabric_domain: FabricDomain, answered: bool) {
        let look = Look {
            fabric_domain,
            ended_at: now,
            is_answered: answered,
        };
        self.looks
            .retain(|_, look| now.since(look.ended_at) < COUNTS_FOR);
        self.looks.insert(host, look);
        let is_sound = self.counts().values().any(|counts| counts.is_sound());
        self.sound_since = match self.sound_since {
            _ if !is_sound => None,
            Some(since) => Some(since),
            None => Some(now),
        };
        self.is_doubt_told &= !is_sound;
    }

    fn counts(&self) -> BTreeMap<&FabricDomain, LookCounts> {
        let mut counts: BTreeMap<&FabricDomain, LookCounts> = BTreeMap::new();
        for look in self.looks.values() {
            let counts = counts.entry(&look.fabric_domain).or_default();
            counts.asked += 1;
            counts.answered += usize::from(look.is_answered);
        }
        counts
    }

    /// Recent probes of all fabric domains.
    pub(super) fn all(&self) -> LookCounts {
        let mut all = LookCounts::default();
        for counts in self.counts().into_values() {
            all.answered += counts.answered;
            all.asked += counts.asked;
        }
        all
    }

    /// Whether a probe that was sent at this time and not answered is evidence against the host.
    pub(super) fn trusts_silence(&self, asked_at: Timestamp) -> bool {
        self.sound_since.is_some_and(|since| asked_at >= since)
    }

    /// Log line for a missing answer that is not trusted. Returned once, until hosts answer
    /// again.
    pub(super) fn doubt_line(&mut self) -> Option<String> {
        let is_told = std::mem::replace(&mut self.is_doubt_told, true);
        let LookCounts { answered, asked } = self.all();
        (!is_told).then(|| {
            format!(
                "no group is lost by silence: {answered} of {asked} recently probed hosts answered"
            )
        })
    }

    fn looked_at_lately(&self, now: Timestamp, host: &HostId) -> bool {
        let look = self.looks.get(host);
        look.is_some_and(|look| now.since(look.ended_at) < COUNTS_FOR)
    }
}

impl Controller {
    /// Records the result of a probe.
    pub(super) fn note_look(&mut self, now: Timestamp, host: &HostId, answered: bool) {
        if let Some(listed) = self.listed.get(host) {
            let fabric_domain = listed.record.fabric_domain.clone();
            self.own_reach
                .note(now, host.clone(), fabric_domain, answered);
        }
    }

    /// Probes some hosts of each fabric domain in addition to those of suspected groups.
    pub(super) fn ask_beside(&mut self, now: Timestamp) {
        let mut asked: BTreeMap<&FabricDomain, usize> = BTreeMap::new();
        let mut hosts = Vec::new();
        for (host, listed) in &self.listed {
            if !self.is_live(host) {
                continue;
            }
            let asked = asked.entry(&listed.record.fabric_domain).or_default();
            if *asked < ASKED_BESIDE {
                *asked += 1;
                if !self.own_reach.looked_at_lately(now, host) {
                    hosts.push(host.clone());
                }
            }
        }
        for host in hosts {
            self.doubt(now, &host);
        }
    }
}
