//! Versions of objects in the platform, and the era of the store that gave them out.
//!
//! A store that is restored from a copy loses its last writes and gives out their numbers anew. So
//! a number says something only together with its era, and versions compare as a whole.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::types::Epoch;

/// How often the platform's store was restored from a copy, by its own count. A store that reports no era
/// is before all that do.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(Option<u32>);

impl StoreEra {
    /// The era of a store that reports none.
    pub const UNREPORTED: Self = Self(None);
    /// The last one that there can be.
    pub const LAST: Self = Self(Some(u32::MAX));

    /// An era by its number.
    pub const fn new(number: u32) -> Self {
        Self(Some(number))
    }

    /// Its number, if the store reported one.
    pub const fn number(self) -> Option<u32> {
        self.0
    }

    /// How many eras may have been before it, at most.
    pub const fn max_predecessors(self) -> u64 {
        match self.0 {
            Some(number) => number as u64 + 1,
            None => 0,
        }
    }

    /// Reads an era as a store reports it: decimal digits alone.
    pub fn parse(text: &str) -> Option<Self> {
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
        text.parse().ok().filter(|_| is_decimal).map(Self::new)
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => write!(f, "{number}"),
            None => f.write_str("untold"),
        }
    }
}

/// Version of an object, or how far all changes of the store have come. Any version of a later
/// era is newer than all versions of the eras before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The era in which it was reported.
    pub era: StoreEra,
    /// The store's number; 0 for an object that does not exist.
    pub number: u64,
}

impl Version {
    /// Older than any other.
    pub const NONE: Self = Self::absent(StoreEra::UNREPORTED);
    /// Newer than any other.
    pub const MAX: Self = Self {
        era: StoreEra::LAST,
        number: u64::MAX,
    };

    /// A version that the store reported in an era.
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// A version of a store that reports no era.
    pub const fn without_era(number: u64) -> Self {
        Self::new(StoreEra::UNREPORTED, number)
    }

    /// That of an object that does not exist in an era.
    pub const fn absent(era: StoreEra) -> Self {
        Self { era, number: 0 }
    }

    /// Whether it is that of an object that does not exist.
    pub const fn is_absent(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era == StoreEra::UNREPORTED {
            write!(f, "{}", self.number)
        } else {
            write!(f, "{} of era {}", self.number, self.era)
        }
    }
}

/// Which configuration. The writer's own number goes first, as it outlasts the store: what the
/// store lost is not followed by an older configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FleetVersion {
    /// The number that its writer gave it; 0 where writers give none.
    pub generation: u64,
    /// The store's version of it.
    pub stored: Version,
}

impl FleetVersion {
    /// Older than any other.
    pub const NONE: Self = Self {
        generation: 0,
        stored: Version::NONE,
    };

    /// A configuration whose writer gave it no number.
    pub const fn without_generation(stored: Version) -> Self {
        Self {
            generation: 0,
            stored,
        }
    }

    /// Whether this is a later configuration, not the same one reported in another era.
    pub fn supersedes(self, other: Self) -> bool {
        let is_same_era = self.stored.era == other.stored.era;
        self > other && (self.generation > other.generation || is_same_era)
    }
}

impl fmt::Display for FleetVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (generation {})", self.stored, self.generation)
    }
}

/// Which assignment. All writes under one epoch are of one era, so that their numbers compare
/// whatever era reported them last.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AssignmentVersion {
    /// The epoch under which it was written.
    pub epoch: Epoch,
    /// The store's number of it.
    pub number: u64,
}
