//! Evacuated failure domains: while an evacuation lasts, no request is sent to the domain's
//! upstreams and no group is formed there. Groups that serve stay, so that the domain can serve
//! again at once when the evacuation ends.

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
