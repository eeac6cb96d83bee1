//! What many runs of a fleet have shown.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::fleet_play::{FleetPlay, Kind};
use crate::relay_support::held_writes::HeldWriteCounts;

/// Sums over runs.
#[derive(Debug, Default)]
pub struct Summary {
    runs: usize,
    restores: usize,
    /// What happened to late writes.
    pub counts: HeldWriteCounts,
    /// Runs in which each invariant was broken.
    broken: BTreeMap<Kind, usize>,
    waits: Vec<Duration>,
    without_control: Duration,
}

impl Summary {
    /// Sums up runs.
    pub fn of(plays: &[FleetPlay]) -> Self {
        let mut summary = Self::default();
        for play in plays {
            summary.add(play);
        }
        summary.waits.sort();
        summary
    }

    fn add(&mut self, play: &FleetPlay) {
        self.runs += 1;
        self.restores += play.restores;
        let counts = &mut self.counts;
        counts.held += play.counts.held;
        counts.met += play.counts.met;
        counts.in_their_era += play.counts.in_their_era;
        counts.across_eras += play.counts.across_eras;
        counts.leases_across_eras += play.counts.leases_across_eras;
        counts.assignments_across_eras += play.counts.assignments_across_eras;
        counts.refused += play.counts.refused;
        for kind in Kind::ALL {
            let is_broken = play.first(kind).is_some();
            *self.broken.entry(kind).or_default() += usize::from(is_broken);
        }
        self.waits.extend(&play.waits);
        self.without_control += play.without_control.iter().sum::<Duration>();
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} runs, {} restores, {:?}, broken {:?}, {} waits after a restore: {:?} median, {:?} \
             most; {:?} without control in all",
            self.runs,
            self.restores,
            self.counts,
            self.broken,
            self.waits.len(),
            self.waits.get(self.waits.len() / 2),
            self.waits.last(),
            self.without_control,
        )
    }
}
