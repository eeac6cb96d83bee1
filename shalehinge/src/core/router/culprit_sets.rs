//! Sets of suspects of which at least one crashes upstreams.
//!
//! An upstream that crashes during a trial shows that the request on trial holds a culprit, but not
//! which of its suspects that is. Each such crash therefore yields a set. A request that holds a
//! whole set crashes upstreams. One that holds only a part of each set may be sound, so it is tried
//! in turn, which either clears the suspects that it holds or yields a smaller set. This is adaptive
//! group testing in which callers decide which groups can be tested.

use std::collections::BTreeMap;

use crate::core::fingerprint::Fingerprint;
use crate::core::types::Timestamp;

/// Number of sets in which a suspect occurs from which it counts as a culprit by itself. It bounds
/// the crashes that one culprit can cause, whatever suspects accompany it.
const MAX_SETS_PER_SUSPECT: usize = 5;
/// Maximum number of sets to remember.
const MAX_SETS: usize = 16;

/// Suspects that a request held when its trial crashed an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CulpritSet {
    /// The suspects, in ascending order.
    pub subjects: Vec<Fingerprint>,
    /// When the first of the losses that led to the trial occurred.
    pub first_lost_at: Timestamp,
    /// When the upstream of the trial was lost.
    pub last_lost_at: Timestamp,
}

impl CulpritSet {
    fn contains(&self, subject: Fingerprint) -> bool {
        self.subjects.binary_search(&subject).is_ok()
    }

    fn intersection(&self, other: &Self) -> Self {
        let subjects = self.subjects.iter().copied();
        Self {
            subjects: subjects
                .filter(|subject| other.contains(*subject))
                .collect(),
            first_lost_at: self.first_lost_at.min(other.first_lost_at),
            last_lost_at: self.last_lost_at.max(other.last_lost_at),
        }
    }
}

/// The sets of all trials that crashed an upstream, each with two suspects or more. A set with a
/// single suspect proves it and is kept as its quarantine.
#[derive(Clone, Debug, Default)]
pub struct CulpritSets {
    sets: Vec<CulpritSet>,
    /// Sets that follow from several others together.
    derived: Vec<CulpritSet>,
}

impl CulpritSets {
    /// Adds a set. Returns whether it is new.
    pub fn insert(&mut self, set: CulpritSet) -> bool {
        if self.sets.iter().any(|known| known.subjects == set.subjects) {
            return false;
        }
        if self.sets.len() >= MAX_SETS {
            self.sets.remove(0);
        }
        self.sets.push(set);
        self.update_derived();
        true
    }

    /// Removes a suspect from the sets for which `is_refuted` holds, given the time of their first
    /// loss. Returns the sets of which a single suspect remains, which is the culprit; `None` if the
    /// suspect is in none of the sets.
    pub fn clear(
        &mut self,
        subject: Fingerprint,
        is_refuted: impl Fn(Timestamp) -> bool,
    ) -> Option<Vec<CulpritSet>> {
        let is_cleared = |set: &CulpritSet| set.contains(subject) && is_refuted(set.first_lost_at);
        if !self.sets.iter().any(is_cleared) {
            return None;
        }
        for set in self.sets.iter_mut().filter(|set| is_cleared(set)) {
            set.subjects.retain(|known| *known != subject);
        }
        let (solved, open) = std::mem::take(&mut self.sets)
            .into_iter()
            .partition(|set| set.subjects.len() < 2);
        self.sets = open;
        self.update_derived();
        Some(solved)
    }

    /// Removes the sets whose last loss was before this time.
    pub fn remove_before(&mut self, time: Timestamp) {
        let count = self.sets.len();
        self.sets.retain(|set| set.last_lost_at >= time);
        if self.sets.len() != count {
            self.update_derived();
        }
    }

    /// A set that a request with these subjects holds as a whole, if there is one.
    pub fn held_by(&self, subjects: &[Fingerprint]) -> Option<&CulpritSet> {
        let mut sets = self.sets.iter().chain(&self.derived);
        sets.find(|set| {
            set.subjects
                .iter()
                .all(|subject| subjects.contains(subject))
        })
    }

    /// The latest set that contains this subject.
    pub fn latest_with(&self, subject: Fingerprint) -> Option<&CulpritSet> {
        let sets = self.sets.iter().filter(|set| set.contains(subject));
        sets.max_by_key(|set| set.last_lost_at)
    }

    /// All sets, smallest first.
    pub fn by_size(&self) -> Vec<&CulpritSet> {
        let mut sets: Vec<&CulpritSet> = self.sets.iter().collect();
        sets.sort_by_key(|set| set.subjects.len());
        sets
    }

    /// Whether there is no set.
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }

    fn update_derived(&mut self) {
        let mut derived = Vec::new();
        for (set, other, third) in self.triples() {
            let common = set.intersection(other).intersection(third);
            if !common.subjects.is_empty() {
                derived.push(common);
            }
        }
        derived.extend(self.frequent_suspects());
        self.derived = derived;
    }

    /// All sets in threes. What only two have in common may be sound parts that came beside two
    /// culprits at the same time.
    fn triples(&self) -> impl Iterator<Item = (&CulpritSet, &CulpritSet, &CulpritSet)> {
        let sets = &self.sets;
        (0..sets.len()).flat_map(move |third| {
            (0..third).flat_map(move |second| {
                (0..second).map(move |first| (&sets[first], &sets[second], &sets[third]))
            })
        })
    }

    /// Suspects that occur in so many sets that each counts as a culprit by itself.
    fn frequent_suspects(&self) -> Vec<CulpritSet> {
        let mut counts: BTreeMap<Fingerprint, usize> = BTreeMap::new();
        for subject in self.sets.iter().flat_map(|set| &set.subjects) {
            *counts.entry(*subject).or_default() += 1;
        }
        let frequent = counts
            .into_iter()
            .filter(|(_, count)| *count >= MAX_SETS_PER_SUSPECT);
        let latest = frequent.filter_map(|(subject, _)| {
            let latest = self.latest_with(subject)?;
            let subjects = vec![subject];
            Some(CulpritSet {
                subjects,
                ..*latest
            })
        });
        latest.collect()
    }
}
