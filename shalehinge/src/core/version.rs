//! Versions of objects in the platform, and the store eras in which they were assigned.
//!
//! A store that is restored from a backup loses its last writes and assigns their revision numbers
//! again. A number is therefore meaningful only together with its era, and versions are always
//! compared as a pair of both.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::types::Epoch;

/// How often the platform's store has been restored from a backup, by its own count. A store that
/// reports no era sorts before every store that reports one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(Option<u32>);

impl StoreEra {
    /// The era of a store that reports none.
    pub const UNREPORTED: Self = Self(None);
    /// The highest possible era.
    pub const LAST: Self = Self(Some(u32::MAX));

    /// The era with this number.
    pub const fn new(number: u32) -> Self {
        Self(Some(number))
    }

    /// The number, if the store reported one.
    pub const fn number(self) -> Option<u32> {
        self.0
    }

    /// The era before this one; `None` for the first one and for a store that reports none.
    pub fn previous(self) -> Option<Self> {
        let number = self.0?.checked_sub(1)?;
        Some(Self::new(number))
    }

    /// The highest number of eras that can precede this one.
    pub const fn max_predecessors(self) -> u64 {
        match self.0 {
            Some(number) => number as u64 + 1,
            None => 0,
        }
    }

    /// Parses an era as reported by a store. Only decimal digits are accepted; `None` otherwise.
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

/// Version of an object, or a revision of the store as a whole. Members are compared in the order
/// of their declaration: every version of a later era is newer than all of earlier eras.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The store era in which the version was reported.
    pub era: StoreEra,
    /// The store's revision number; 0 for an object that does not exist.
    pub number: u64,
}

impl Version {
    /// Lower than every other version.
    pub const NONE: Self = Self::absent(StoreEra::UNREPORTED);
    /// Higher than every other version.
    pub const MAX: Self = Self {
        era: StoreEra::LAST,
        number: u64::MAX,
    };

    /// The version `number`, reported by the store in `era`.
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// A version reported by a store that reports no era.
    pub const fn without_era(number: u64) -> Self {
        Self::new(StoreEra::UNREPORTED, number)
    }

    /// The version of an object that does not exist in `era`.
    pub const fn absent(era: StoreEra) -> Self {
        Self { era, number: 0 }
    }

    /// Whether this is the version of an object that does not exist.
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

/// Version of a configuration. The writer's generation is compared first, as it survives a restore
/// of the store: a daemon never replaces a configuration that the store lost by an older one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FleetVersion {
    /// Number assigned by the writer; 0 where writers assign none.
    pub generation: u64,
    /// Version assigned by the store.
    pub stored: Version,
}

impl FleetVersion {
    /// Lower than every other version.
    pub const NONE: Self = Self {
        generation: 0,
        stored: Version::NONE,
    };

    /// The version of a configuration whose writer assigned no generation.
    pub const fn without_generation(stored: Version) -> Self {
        Self {
            generation: 0,
            stored,
        }
    }

    /// Whether this is a later configuration than `other`, not the same one reported in another
    /// era.
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

/// Version of an assignment. All writes under one epoch happen in one store era, so their numbers
/// are comparable whichever era reported them last.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AssignmentVersion {
    /// Epoch of the lease under which it was written.
    pub epoch: Epoch,
    /// Revision number assigned by the store.
    pub number: u64,
}
