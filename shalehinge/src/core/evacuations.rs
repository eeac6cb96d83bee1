//! Evacuated failure domains: while an evacuation lasts, no request is sent to the domain's
//! upstreams and no group is formed there. Groups that serve stay, so that the domain can serve
//! again at once when the evacuation ends.
//!
//! A store that is restored from a backup may have lost evacuations. Those of earlier eras stay in
//! force until the store lists and ends them in the current one, or until they are given up.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::types::FailureDomain;

/// The failure domains that the platform lists as evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Evacuations {
    /// The evacuated failure domains.
    pub domains: BTreeSet<FailureDomain>,
}

/// Evacuations that began or ended since an earlier version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChanges {
    /// Failure domains whose evacuation began.
    pub begun: BTreeSet<FailureDomain>,
    /// Failure domains whose evacuation ended.
    pub ended: BTreeSet<FailureDomain>,
}

impl Evacuations {
    /// Applies changes. They may be older than what is known in part: each names the latest state
    /// of its failure domain.
    pub fn apply(&mut self, changes: EvacuationChanges) {
        for domain in &changes.ended {
            self.domains.remove(domain);
        }
        self.domains.extend(changes.begun);
    }
}

/// The evacuations known in one era of the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownEvacuations {
    /// Those that the store lists.
    listed: Evacuations,
    /// Those of earlier eras that the store has not listed in this one.
    lost: BTreeSet<FailureDomain>,
    /// Failure domains whose evacuations of earlier eras no longer count.
    settled: BTreeSet<FailureDomain>,
}

impl KnownEvacuations {
    /// All evacuated failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.listed.domains.iter().chain(&self.lost)
    }

    /// Whether a failure domain is evacuated.
    pub fn contains(&self, domain: &FailureDomain) -> bool {
        self.listed.domains.contains(domain) || self.lost.contains(domain)
    }

    /// Those of earlier eras that the store has not listed in this one.
    pub fn lost(&self) -> &BTreeSet<FailureDomain> {
        &self.lost
    }

    /// What is known of them when a new era begins, in which nothing has been listed yet.
    pub fn into_next_era(self) -> Self {
        let mut lost = self.lost;
        lost.extend(self.listed.domains);
        Self {
            lost,
            ..Self::default()
        }
    }

    /// Replaces the list.
    pub fn set_list(&mut self, listed: Evacuations) {
        self.listed = listed;
        self.settle_listed();
    }

    /// Applies changes to the list.
    pub fn apply(&mut self, changes: EvacuationChanges) {
        self.settled.extend(changes.ended.iter().cloned());
        self.listed.apply(changes);
        self.settle_listed();
    }

    /// Takes over what a peer knows, whose list is newer. `takes_lost` states whether to go by what
    /// the peer knows of earlier eras.
    pub fn merge(&mut self, newer: Self, takes_lost: bool) {
        if takes_lost {
            self.lost.extend(newer.lost);
        }
        self.settled.extend(newer.settled);
        self.set_list(newer.listed);
    }

    /// Ends the evacuations that the store has not listed.
    pub fn give_up_lost(&mut self) {
        let lost = std::mem::take(&mut self.lost);
        self.settled.extend(lost);
    }

    fn settle_listed(&mut self) {
        self.settled.extend(self.listed.domains.iter().cloned());
        self.lost.retain(|domain| !self.settled.contains(domain));
    }
}
