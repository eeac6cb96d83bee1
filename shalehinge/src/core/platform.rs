//! Calls to the platform and their replies.

use std::time::Duration;

use super::fleet_state::ObjectUpdate;
use super::objects::{Object, ObjectKey, Versioned};
use super::types::{StoreEra, Version};

/// Identifies a call, to match its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformCall {
    /// Reads one object.
    Get {
        /// Key of the object.
        key: ObjectKey,
        /// Which of the objects with this key to read.
        scope: EraScope,
        /// How recent the reply must be.
        freshness: Freshness,
    },
    /// Writes one object if its current version is `expect`.
    Put {
        /// Key of the object.
        key: ObjectKey,
        /// Which of the objects with this key to write.
        scope: EraScope,
        /// Version that the stored object must have.
        expect: Version,
        /// The new value.
        object: Box<Object>,
    },
    /// Deletes one object, whatever its version.
    Delete {
        /// Key of the object.
        key: ObjectKey,
        /// Which of the objects with this key to delete.
        scope: EraScope,
    },
    /// Reads all objects of a scope.
    List {
        /// The objects to read.
        scope: Scope,
        /// How recent the reply must be.
        freshness: Freshness,
    },
    /// Waits for changes to a scope after a revision (long poll).
    Watch {
        /// The objects to watch.
        scope: Scope,
        /// The last revision that the caller has seen.
        after: Version,
        /// Longest time to wait for a change.
        wait: Duration,
        /// How recent the reply must be.
        freshness: Freshness,
    },
}

/// Which of the objects with the same key a call refers to.
///
/// A conditional write of an earlier era may still be carried out in a later one, where the number
/// that it expects may stand for another value. It can't reach an object of a later era's scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EraScope {
    /// The one object that all eras share.
    Shared,
    /// The object of this era alone.
    Single(StoreEra),
}

impl EraScope {
    /// The scope that was in use before this one, if there may be one: that of the previous era,
    /// and before the first era the shared one.
    pub fn predecessor(self) -> Option<Self> {
        let Self::Single(era) = self else {
            return None;
        };
        Some(era.previous().map_or(Self::Shared, Self::Single))
    }
}

/// How recent a reply must be. Platforms may charge less for stale reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The reply includes all changes made before the call.
    Exact,
    /// Changes of the last few seconds may be missing, so the reply alone proves nothing about
    /// the current state.
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
    /// The evacuated failure domains alone.
    Evacuations,
    /// The control leases that all eras share; see [`EraScope::Shared`].
    SharedLeases,
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformReply {
    /// The object that was read.
    Object(Box<Versioned<Object>>),
    /// The object does not exist.
    Missing(StoreEra),
    /// The object exists at this version but can't be decoded, as a foreign writer wrote it.
    Foreign(Version),
    /// The write took effect; the object now has this version.
    Written(Version),
    /// The write was rejected, as the object had another version.
    Conflict(StoreEra),
    /// The object does not exist any more.
    Deleted(StoreEra),
    /// Objects as of a revision; for a watch, only those that changed.
    Objects {
        /// The revision.
        revision: Version,
        /// The objects.
        updates: Vec<ObjectUpdate>,
    },
    /// The platform no longer has the history since the watched revision; list again.
    HistoryGone(StoreEra),
}

impl PlatformReply {
    /// The store era in which the reply was given.
    pub fn era(&self) -> StoreEra {
        match self {
            Self::Object(object) => object.version.era,
            Self::Foreign(version) | Self::Written(version) => version.era,
            Self::Objects { revision, .. } => revision.era,
            Self::Missing(era)
            | Self::Conflict(era)
            | Self::Deleted(era)
            | Self::HistoryGone(era) => *era,
        }
    }
}

impl PlatformCall {
    /// The store era of the version that the call refers to; `None` for a call that names no
    /// version.
    pub fn base_era(&self) -> Option<StoreEra> {
        match self {
            Self::Put { expect, .. } => Some(expect.era),
            Self::Watch { after, .. } => Some(after.era),
            Self::Get { .. } | Self::List { .. } | Self::Delete { .. } => None,
        }
    }
}

/// The platform did not answer. A write may have taken effect, or may still do so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the platform did not answer")]
pub struct NoAnswer;

/// The result of a call.
pub type PlatformResult = Result<PlatformReply, NoAnswer>;
