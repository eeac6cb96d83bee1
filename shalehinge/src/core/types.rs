//! Identifiers and monotonic time, used throughout the core.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};

use super::bounds;
pub use super::version::{AssignmentVersion, FleetVersion, StoreEra, Version};

/// Reads a name from a message, which must not be longer than [`bounds::MAX_COMBINED_NAME_BYTES`].
fn name_in_message<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<str>, D::Error> {
    let name = Arc::<str>::deserialize(deserializer)?;
    if name.len() > bounds::MAX_COMBINED_NAME_BYTES {
        return Err(D::Error::custom(format_args!(
            "a name of {} bytes is too long",
            name.len()
        )));
    }
    Ok(name)
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                Ok(Self(name_in_message(deserializer)?))
            }
        }

        impl $name {
            /// Wraps a name without validating or normalizing it.
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
    /// A part of the fleet that fails, or becomes unreachable, as a whole.
    FailureDomain
);
name_type!(
    /// A set of hosts connected by one network fabric; a replica never spans two of them.
    FabricDomain
);
name_type!(
    /// A customer: one of those who share the fleet.
    Customer
);
name_type!(
    /// The name under which callers request a model.
    ModelName
);
name_type!(
    /// A version of a model in the weight store.
    ModelVersion
);
name_type!(
    /// A plain service that the fleet runs besides model engines.
    ServiceName
);
name_type!(
    /// A daemon, by the name in its settings file.
    DaemonId
);

/// Identifies one run of a daemon process; chosen at random at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies one write to the platform, so that a read-back shows which write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(pub u64);

/// Epoch of a control lease; each new lease holder gets a higher one. Engines use it as a fencing
/// token, so it must also increase from one store era to the next, even if the lease itself was
/// among the writes that the store lost.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Number of epochs reserved for each era. With a new lease holder every second they last
    /// 12 days.
    const PER_ERA: u64 = 1 << 20;

    /// The first epoch of an era; it is higher than all epochs of earlier eras.
    pub const fn first_of(era: StoreEra) -> Self {
        Self(era.max_predecessors() * Self::PER_ERA)
    }

    /// The next epoch; at least the first one of `era`.
    pub fn next_in(self, era: StoreEra) -> Self {
        Self(self.0.saturating_add(1)).max(Self::first_of(era))
    }

    /// The epoch after `count` further ones, but no later than the middle of those of `era`, so
    /// that the ones after it belong to the same era.
    pub fn raised_by(self, count: u64, era: StoreEra) -> Self {
        let middle = Self::first_of(era).0 + Self::PER_ERA / 2;
        Self(self.0.saturating_add(count).min(middle))
    }

    /// Whether the epoch was assigned before `era`.
    pub fn is_before(self, era: StoreEra) -> bool {
        self < Self::first_of(era)
    }
}

/// Number of a host group within its failure domain; never reused. 0 never names a group of an
/// assignment: see [`GroupNumber::PRIMING`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupNumber(pub u64);

impl GroupNumber {
    /// Number of group numbers reserved for each era.
    const PER_ERA: u64 = 1 << 24;

    /// A pseudo-group that a free host joins on its own to preload a model's weights into memory.
    /// It never takes requests, and every group of an assignment counts as newer.
    pub const PRIMING: Self = Self(0);
    /// The lowest number of a group in an assignment.
    pub const FIRST: Self = Self(1);

    /// The first number of an era; it is higher than all numbers of earlier eras. A fleet that
    /// starts for the first time begins below it.
    pub const fn first_of(era: StoreEra) -> Self {
        Self(era.max_predecessors() * Self::PER_ERA)
    }
}

/// Identifies a host group fleet-wide, and thereby the replica that it forms.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The failure domain of all its members.
    pub failure_domain: FailureDomain,
    /// The group number within that failure domain.
    pub number: GroupNumber,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.failure_domain, self.number.0)
    }
}

/// A request accepted by this daemon; unique within one run of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// One attempt to run a request at one upstream; unique across daemons and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The run of the daemon that made the attempt.
    pub incarnation: Incarnation,
    /// Sequence number of the attempt within that run.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation.0, self.sequence)
    }
}

/// When a host's engine started, in Unix milliseconds by the host's own clock. The value
/// identifies one run of the engine. Two different values mean two runs, but don't show which
/// came first, as that clock may jump; the version of the host list shows which run is later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineStart(pub u64);

impl EngineStart {
    /// Whether both start times are known and belong to different runs.
    pub fn differ(one: Option<Self>, other: Option<Self>) -> bool {
        matches!((one, other), (Some(one), Some(other)) if one != other)
    }
}

/// Monotonic time since the daemon's start. Timestamps of two daemons are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// The time at which the daemon started.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// The time `since_start` after the daemon's start.
    pub const fn from_duration(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// The time `millis` milliseconds after the daemon's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Milliseconds elapsed since `earlier`, rounded up, so that a reported age is never too low.
    pub fn millis_since(self, earlier: Self) -> u64 {
        let millis = u64::try_from(self.since(earlier).as_millis());
        millis.unwrap_or(u64::MAX).saturating_add(1)
    }

    /// Time since the daemon's start.
    pub const fn as_duration(self) -> Duration {
        self.0
    }

    /// The time `duration` earlier, but not before the daemon's start.
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

/// Network address of a process; always an IP address and port, never a host name.
pub type Address = SocketAddr;
