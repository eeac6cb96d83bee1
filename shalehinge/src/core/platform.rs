//! Calls to the platform and their answers, as values.

use std::time::Duration;

use super::fleet_state::ObjectUpdate;
use super::objects::{Object, ObjectKey, Versioned};
use super::types::{StoreEra, Version};

/// Identifies a call, so that its answer finds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformCall {
    /// Read one object.
    Get {
        /// Which object.
        key: ObjectKey,
        /// How new the answer must be.
        freshness: Freshness,
    },
    /// Write one object if it still has this version.
    Put {
        /// Which object.
        key: ObjectKey,
        /// Version that it must have.
        expect: Version,
        /// The new value.
        object: Box<Object>,
    },
    /// Read the objects of a scope.
    List {
        /// Which objects.
        scope: Scope,
        /// How new the answer must be.
        freshness: Freshness,
    },
    /// Wait for changes of a scope after a revision.
    Watch {
        /// What to wait for.
        scope: Scope,
        /// The last revision seen.
        after: Version,
        /// How long to wait at the most.
        wait: Duration,
        /// How new the answer must be.
        freshness: Freshness,
    },
}

/// How new an answer must be. Platforms may charge less for older ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It holds all changes up to the question.
    Exact,
    /// Changes of the last seconds may be missing; it proves nothing by itself.
    MayBeStale,
}

/// Objects that are listed and watched together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// Configuration, host list and assignments.
    Shared,
    /// The configuration alone.
    Configuration,
    /// The host list alone.
    Hosts,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformReply {
    /// The object.
    Object(Box<Versioned<Object>>),
    /// The object does not exist.
    Missing(StoreEra),
    /// The object exists at this version, in a form that is not ours: another writer left it.
    Foreign(Version),
    /// The write took effect.
    Written(Version),
    /// The object had another version.
    Conflict(StoreEra),
    /// Objects as of a revision; for a watch only the changed ones.
    Objects {
        /// The revision.
        revision: Version,
        /// The objects.
        updates: Vec<ObjectUpdate>,
    },
    /// The platform does not know what changed since that revision.
    HistoryGone(StoreEra),
}

impl PlatformReply {
    /// The era of the store that gave the answer.
    pub fn era(&self) -> StoreEra {
        match self {
            Self::Object(object) => object.version.era,
            Self::Foreign(version) | Self::Written(version) => version.era,
            Self::Objects { revision, .. } => revision.era,
            Self::Missing(era) | Self::Conflict(era) | Self::HistoryGone(era) => *era,
        }
    }
}

impl PlatformCall {
    /// The era on whose versions the answer rests; none for a call that names no version.
    pub fn base_era(&self) -> Option<StoreEra> {
        match self {
            Self::Put { expect, .. } => Some(expect.era),
            Self::Watch { after, .. } => Some(after.era),
            Self::Get { .. } | Self::List { .. } => None,
        }
    }
}

/// No answer: a write may have taken effect, or may still do so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the platform did not answer")]
pub struct NoAnswer;

/// What became of a call.
pub type PlatformResult = Result<PlatformReply, NoAnswer>;
