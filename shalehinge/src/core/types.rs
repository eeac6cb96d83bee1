//! Identifiers and monotonic time, used by every part of the core.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use super::version::{AssignmentVersion, FleetVersion, StoreEra, Version};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name as it stands.
            pub fn new(name: &str) -> Self {
                Self(name.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A machine that runs a model engine.
    HostId
);
name_type!(
    /// A part of the fleet that fails, or is cut off, as a whole.
    FailureDomain
);
name_type!(
    /// A set of hosts that one fabric connects; a replica never leaves it.
    FabricDomain
);
name_type!(
    /// One of those who share the fleet.
    Customer
);
name_type!(
    /// A model as callers name it.
    ModelName
);
name_type!(
    /// A version of a model in the weight store.
    ModelVersion
);
name_type!(
    /// A plain service beside the model engines.
    ServiceName
);
name_type!(
    /// A daemon, named in its settings.
    DaemonId
);

/// Which run of a daemon: a new random number at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies one write to the platform, so that a read-back can tell whose it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(pub u64);

/// Epoch of a control lease; each new holder has a higher one. Engines take it as a fencing token,
/// so that it rises over eras too, although a lease may be lost with the writes of one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Epochs of one era. A new holder each second takes twelve days to use them up.
    const PER_ERA: u64 = 1 << 20;

    /// The first of an era, above all of the eras before it.
    pub const fn first_of(era: StoreEra) -> Self {
        Self(era.max_predecessors() * Self::PER_ERA)
    }

    /// The next one, in this era.
    pub fn next_in(self, era: StoreEra) -> Self {
        Self(self.0 + 1).max(Self::first_of(era))
    }

    /// Whether it was given out before this era.
    pub fn is_before(self, era: StoreEra) -> bool {
        self < Self::first_of(era)
    }
}

/// Number of a host group within its failure domain; never used twice. 0 is no group
/// of an assignment: see [`GroupNumber::PRIMING`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupNumber(pub u64);

impl GroupNumber {
    /// A free host joins this group alone, to hold a model's weights in memory. It never
    /// opens, and any group of an assignment is newer.
    pub const PRIMING: Self = Self(0);
    /// The first number of a group of an assignment.
    pub const FIRST: Self = Self(1);
}

/// A host group of the whole fleet, and so the replica that it forms.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Where all its members are.
    pub failure_domain: FailureDomain,
    /// Its number there.
    pub number: GroupNumber,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.failure_domain, self.number.0)
    }
}

/// A request that this daemon took in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// One try of a request at one upstream; unique over daemons and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The daemon run that made it.
    pub incarnation: Incarnation,
    /// Counts the attempts of that run.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation.0, self.sequence)
    }
}

/// When a host's engine started, in Unix milliseconds by the host's own clock. It names one life
/// of the engine: another value is another life, whichever is the greater, as that clock may
/// jump; which life is the later one the version of the list tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineStart(pub u64);

impl EngineStart {
    /// Whether two lives are known not to be the same one.
    pub fn differ(one: Option<Self>, other: Option<Self>) -> bool {
        matches!((one, other), (Some(one), Some(other)) if one != other)
    }
}

/// Monotonic time since the daemon's start. Clocks of two daemons are never compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// The start of the daemon.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// A time so long after the start.
    pub const fn from_duration(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// A time so many milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Time passed since `earlier`; zero if that lies in the future.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Milliseconds passed since `earlier`, rounded up: what is told must never seem newer.
    pub fn millis_since(self, earlier: Self) -> u64 {
        self.since(earlier).as_millis() as u64 + 1
    }

    /// Time since the start.
    pub const fn as_duration(self) -> Duration {
        self.0
    }

    /// This time less `duration`, not before the start.
    pub fn minus(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

/// Address of a process, always by IP number.
pub type Address = SocketAddr;
