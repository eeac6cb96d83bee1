//! The objects stored in the platform, and the host list.
//!
//! All state that daemons must agree on, or that must be durable, is in one of these objects. Each
//! is changed only by conditional updates.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::engine::EngineStatus;
use super::evacuations::{EvacuationChanges, Evacuations, KnownEvacuations};
use super::fingerprint::StoredFingerprint;
use super::routable_hosts::RoutableChanges;
pub use super::route_config::{
    CallerLimits, EngineTimes, LoadRate, ModelProfile, RequestKind, RouteConfig, WarmUpLimit,
    WeightedService,
};
use super::types::{
    Address, AssignmentVersion, Customer, DaemonId, EngineStart, Epoch, FabricDomain,
    FailureDomain, FleetVersion, GroupNumber, HostId, Incarnation, ModelName, ModelVersion,
    OperationId, ServiceName, Version,
};

/// Number of operation ids that an object keeps for read-backs after unclear writes.
pub const MAX_RECENT_OPERATIONS: usize = 32;

/// Key of an object in the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObjectKey {
    /// The configuration of the whole fleet.
    Fleet,
    /// The list of hosts; written by the platform only.
    Hosts,
    /// The host groups of a failure domain.
    Assignment(FailureDomain),
    /// The control lease of a failure domain.
    Lease(FailureDomain),
    /// One partition of the claimed idempotency keys.
    Claims(u16),
    /// The evacuated failure domains; written by operators through the platform only.
    Evacuations,
}

impl ObjectKey {
    /// Whether only daemons write the object, so that a value that can't be decoded may be
    /// overwritten.
    pub fn is_written_by_daemons(&self) -> bool {
        matches!(self, Self::Assignment(_) | Self::Lease(_) | Self::Claims(_))
    }
}

/// The value of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Object {
    /// The configuration; see [`FleetConfig`].
    Fleet(FleetConfig),
    /// The full host list; see [`HostList`].
    Hosts(HostList),
    /// Changes to the host list; see [`HostChanges`].
    HostChanges(HostChanges),
    /// The subset of the host list that routing needs.
    RoutableHosts(HostList),
    /// Changes to that subset; see [`RoutableChanges`].
    RoutableChanges(RoutableChanges),
    /// The host groups of a failure domain; see [`Assignment`].
    Assignment(Assignment),
    /// A control lease; see [`LeaseRecord`].
    Lease(LeaseRecord),
    /// A partition of claims; see [`ClaimPartition`].
    Claims(ClaimPartition),
    /// All evacuated failure domains; see [`Evacuations`].
    Evacuations(Evacuations),
    /// Changes to them; see [`EvacuationChanges`].
    EvacuationChanges(EvacuationChanges),
    /// What a peer knows of them; see [`KnownEvacuations`].
    KnownEvacuations(KnownEvacuations),
}

/// An object with the version at which it was read or written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Version assigned by the platform's store.
    pub version: Version,
    /// The value.
    pub value: T,
}

impl Versioned<FleetConfig> {
    /// Version of the configuration, including the writer's generation.
    pub fn fleet_version(&self) -> FleetVersion {
        FleetVersion {
            generation: self.value.generation,
            stored: self.version,
        }
    }
}

impl Versioned<Assignment> {
    /// Version of the assignment, including the epoch it was written under.
    pub fn assignment_version(&self) -> AssignmentVersion {
        AssignmentVersion {
            epoch: self.value.epoch,
            number: self.version.number,
        }
    }
}

impl Versioned<Object> {
    /// The object as a lease; `None` if it is of another kind.
    pub fn into_lease(self) -> Option<Versioned<LeaseRecord>> {
        let version = self.version;
        match self.value {
            Object::Lease(value) => Some(Versioned { version, value }),
            _ => None,
        }
    }

    /// The object as an assignment; `None` if it is of another kind.
    pub fn into_assignment(self) -> Option<Versioned<Assignment>> {
        let version = self.version;
        match self.value {
            Object::Assignment(value) => Some(Versioned { version, value }),
            _ => None,
        }
    }

    /// The object as a partition of claims; `None` if it is of another kind.
    pub fn into_claims(self) -> Option<Versioned<ClaimPartition>> {
        let version = self.version;
        match self.value {
            Object::Claims(value) => Some(Versioned { version, value }),
            _ => None,
        }
    }
}

/// Ids of the last operations that changed an object, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecentOperations(Vec<OperationId>);

impl RecentOperations {
    /// Adds an operation and drops the oldest one beyond [`MAX_RECENT_OPERATIONS`].
    pub fn record(&mut self, operation: OperationId) {
        self.0.push(operation);
        if self.0.len() > MAX_RECENT_OPERATIONS {
            self.0.remove(0);
        }
    }

    /// The newest operation.
    pub fn last(&self) -> Option<OperationId> {
        self.0.last().copied()
    }

    /// Whether the operation is among those kept.
    pub fn contains(&self, operation: OperationId) -> bool {
        self.0.contains(&operation)
    }
}

/// The accepted configuration: customers, services, models and how many replicas of each.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Increases with each configuration that is written, independently of the store's versions.
    #[serde(default)]
    pub generation: u64,
    /// The last operations that changed the configuration, for read-backs after unclear writes.
    #[serde(default)]
    pub operations: RecentOperations,
    /// Customers by name.
    #[serde(default)]
    pub customers: BTreeMap<Customer, CustomerConfig>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<ModelName, ModelIntent>,
    /// Hosts that operators are draining.
    #[serde(default)]
    pub draining: BTreeSet<HostId>,
    /// Failure domains that operators have evacuated.
    #[serde(default)]
    pub evacuated: BTreeSet<FailureDomain>,
    /// Weights of the placement objectives.
    #[serde(default)]
    pub weights: PlacementWeights,
    /// Routes of requests that are relayed unchanged.
    #[serde(default)]
    pub routes: Vec<RouteConfig>,
    /// Models whose number of replicas follows from their share of the load.
    #[serde(default)]
    pub profiles: BTreeMap<ModelName, ModelProfile>,
    /// Limits on relayed requests; without them those of the daemon's settings apply.
    #[serde(default)]
    pub caller_limits: Option<CallerLimits>,
    /// Limit on the rate of weight loads, over all failure domains.
    #[serde(default)]
    pub load_rate: Option<LoadRate>,
    /// Limits on requests to upstreams that have just started, by service.
    #[serde(default)]
    pub warm_ups: BTreeMap<ServiceName, WarmUpLimit>,
    /// Whether relayed requests need an API key although no customer is listed. It is only written
    /// where it is set: daemons of earlier versions reject messages with a field more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub admits_no_customer: bool,
}

/// A customer's API keys, share and priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerConfig {
    /// SHA-256 of each API key of the customer, in hexadecimal.
    pub key_sha256: Vec<String>,
    /// Weight of the customer relative to the others, at least 1.
    pub share: u32,
    /// Priority rank of its requests, 0 is served first; the route's rank applies without one.
    #[serde(default)]
    pub rank: Option<u8>,
}

/// A plain service: its instances and which calls must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Requests whose path starts with this go to the service.
    pub path_prefix: String,
    /// Configured instances of the service.
    pub upstreams: Vec<ServiceUpstream>,
    /// Calls that must not be sent more than once.
    #[serde(default)]
    pub not_repeatable: Vec<CallPattern>,
    /// Whether its instances come from the host list instead of `upstreams`.
    #[serde(default)]
    pub is_listed: bool,
}

/// An instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUpstream {
    /// Host that the instance runs on.
    pub host: HostId,
    /// Address at which it listens.
    pub address: Address,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
}

/// Matches calls by method and path prefix; the path is compared as the caller sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallPattern {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the path.
    pub path_prefix: String,
}

/// The state that operators want for one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelIntent {
    /// Customer whose share of the accelerators the model's hosts count against.
    pub owner: Customer,
    /// Version that all replicas should run eventually.
    pub version: ModelVersion,
    /// Number of hosts per replica; 4 to 32 in production.
    pub hosts_per_replica: u32,
    /// Wanted number of replicas in each failure domain, as the plan divided the total.
    pub replicas: BTreeMap<FailureDomain, u32>,
}

impl ModelIntent {
    /// Wanted number of replicas over all failure domains.
    pub fn total_replicas(&self) -> u32 {
        let replicas = self.replicas.values();
        replicas.fold(0, |total, count| total.saturating_add(*count))
    }
}

/// Cost weights of the placement objectives.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementWeights {
    /// Cost of one hour of downtime of a group.
    pub group_downtime: f64,
    /// Cost of one hour of one stranded accelerator, which no group can use.
    pub stranded_accelerators: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            group_downtime: 1.0,
            stranded_accelerators: 1.0,
        }
    }
}

/// The platform's list of hosts. It lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts by name.
    pub hosts: BTreeMap<HostId, HostRecord>,
}

/// A host as reported by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Address at which its engine listens.
    pub address: Address,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Fabric domain of the host.
    pub fabric_domain: FabricDomain,
    /// Number of accelerators of the host.
    pub accelerators: u32,
    /// Whether the host is in service, as reported by the platform.
    pub state: HostState,
    /// Service that the host belongs to, if the list states one.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Number of requests that the host runs concurrently, if the list states it.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Models whose weights are stored on the host, most recent first.
    #[serde(default)]
    pub staged: Vec<ModelName>,
    /// Status that the engine last reported to the list.
    #[serde(default)]
    pub status: Option<EngineStatus>,
    /// Start time of the engine, if the list states it.
    #[serde(default)]
    pub started: Option<EngineStart>,
    /// Remaining time of the host's warm-up in milliseconds, as of when it reported this.
    #[serde(default)]
    pub warm_up_ms: u64,
}

impl HostRecord {
    /// The group for which this host takes requests as rank 0, and the group's model; `None` if
    /// the list shows no such group.
    pub fn open_group(&self) -> Option<(GroupNumber, &ModelName)> {
        let status = self.status.as_ref()?;
        let (number, model) = self.intact_group()?;
        status.shows_open(number).then_some((number, model))
    }

    /// The group that this host has joined, and the group's model; `None` if the list shows no
    /// such group or reports it as broken.
    pub fn intact_group(&self) -> Option<(GroupNumber, &ModelName)> {
        let status = self.status.as_ref()?;
        let number = status.group.filter(|number| status.shows_member(*number))?;
        let held = status.held.as_ref()?;
        (number != GroupNumber::PRIMING).then_some((number, &held.model))
    }
}

/// Changes to the host list since an earlier version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostChanges {
    /// Added and changed hosts with their current records.
    pub changed: BTreeMap<HostId, HostRecord>,
    /// Hosts that are no longer listed.
    pub removed: BTreeSet<HostId>,
}

/// State of a host as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// Will be removed soon; must get no new work.
    Leaving,
}

/// The host groups of one failure domain.
///
/// A host is in at most one group, or in `releasing`; [`Assignment::check`] verifies this. As all
/// groups are in one object, a single conditional update can move a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The write that stored this value.
    pub operation: Option<OperationId>,
    /// Epoch of the lease under which the value was written.
    pub epoch: Epoch,
    /// Number that the next group will get.
    pub next_group: GroupNumber,
    /// Groups by number.
    pub groups: BTreeMap<GroupNumber, Group>,
    /// Hosts that were removed from a group and have not acknowledged the release yet.
    pub releasing: BTreeMap<HostId, GroupNumber>,
    /// Rank 0 of each group in `releasing`. While that host may still serve requests, the members
    /// of the group must not join another group.
    #[serde(default)]
    pub heads: BTreeMap<GroupNumber, HostId>,
    /// Wanted number of replicas of each model whose replicas follow from its share of the load:
    /// the highest number that the listed hosts have ever allowed.
    #[serde(default)]
    pub wanted: BTreeMap<ModelName, u32>,
    /// The model that each free host last held in memory, where engines join groups by order.
    /// Such a host can join a group of that model immediately. The host list doesn't report it.
    #[serde(default)]
    pub held_by_free: BTreeMap<HostId, ModelName>,
    /// What is known to crash upstreams, for daemons that start: sets of fingerprints of which a
    /// request must hold all.
    #[serde(default)]
    pub culprits: Vec<Vec<StoredFingerprint>>,
    /// Number of consecutive crashes of engines by the model that they were loading, so that a
    /// new lease holder goes on counting.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub load_crashes: BTreeMap<ModelName, u32>,
}

/// The hosts that form one replica. Members are immutable; a change of members makes a new group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Model that the group serves.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Members in order of rank; rank 0 takes the requests.
    pub members: Vec<Member>,
    /// Current phase.
    pub phase: GroupPhase,
    /// Number of further members whose hosts are not known, as the group was adopted while they
    /// were missing from the host list.
    #[serde(default)]
    pub unknown_members: u32,
}

/// A member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Address at which its engine listens.
    pub address: Address,
}

/// Phase of a group's life cycle. It only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GroupPhase {
    /// Members are ordered to load the model.
    Forming,
    /// All members have reported ready.
    Serving,
    /// The group gets no new work; members finish running requests and are then released.
    Retiring,
}

/// Why an assignment is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// A host is in more than one group, or both in a group and in `releasing`.
    #[error("host {0} is in more than one group or release")]
    DuplicateHost(HostId),
    /// A group number is not below `next_group`.
    #[error("group number {0:?} is not below the next group number")]
    GroupNumberTooHigh(GroupNumber),
}

impl Default for Assignment {
    /// An assignment in which no group has been formed yet.
    fn default() -> Self {
        Self {
            operation: None,
            epoch: Epoch::default(),
            next_group: GroupNumber::FIRST,
            groups: BTreeMap::new(),
            releasing: BTreeMap::new(),
            heads: BTreeMap::new(),
            wanted: BTreeMap::new(),
            held_by_free: BTreeMap::new(),
            load_crashes: BTreeMap::new(),
            culprits: Vec::new(),
        }
    }
}

impl Assignment {
    /// Checks that no host is listed twice and that all group numbers are below `next_group`.
    ///
    /// Returns the first violation found.
    pub fn check(&self) -> Result<(), AssignmentError> {
        let mut seen = BTreeSet::new();
        for (number, group) in &self.groups {
            if *number >= self.next_group {
                return Err(AssignmentError::GroupNumberTooHigh(*number));
            }
            for member in &group.members {
                if !seen.insert(&member.host) {
                    return Err(AssignmentError::DuplicateHost(member.host.clone()));
                }
            }
        }
        for host in self.releasing.keys() {
            if !seen.insert(host) {
                return Err(AssignmentError::DuplicateHost(host.clone()));
            }
        }
        Ok(())
    }

    /// Whether the host is in a group or is being released from one.
    pub fn is_in_use(&self, host: &HostId) -> bool {
        self.releasing.contains_key(host) || self.groups.values().any(|group| group.contains(host))
    }

    /// Hosts that are in a group or are being released from one.
    pub fn used_hosts(&self) -> BTreeSet<&HostId> {
        let members = self.groups.values().flat_map(|group| &group.members);
        members
            .map(|member| &member.host)
            .chain(self.releasing.keys())
            .collect()
    }

    /// Adds a group in phase [`GroupPhase::Forming`] and returns its number.
    pub fn add_group(
        &mut self,
        model: ModelName,
        version: ModelVersion,
        members: Vec<Member>,
    ) -> GroupNumber {
        let number = self.next_group;
        self.next_group = GroupNumber(number.0.saturating_add(1));
        let group = Group {
            model,
            version,
            members,
            unknown_members: 0,
            phase: GroupPhase::Forming,
        };
        self.groups.insert(number, group);
        number
    }

    /// Removes a group. Its hosts stay in `releasing` until each has acknowledged the release.
    pub fn dissolve(&mut self, number: GroupNumber) {
        let Some(group) = self.groups.remove(&number) else {
            return;
        };
        if let Some(head) = group.members.first() {
            self.heads.insert(number, head.host.clone());
        }
        for member in group.members {
            self.releasing.insert(member.host, number);
        }
    }
}

impl Group {
    /// Number of hosts of the group, including those that are not known.
    pub fn size(&self) -> usize {
        self.members.len() + self.unknown_members as usize
    }

    /// Whether the host is a known member of the group.
    pub fn contains(&self, host: &HostId) -> bool {
        self.members.iter().any(|member| member.host == *host)
    }
}

/// The control lease of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The write that stored this value.
    pub operation: OperationId,
    /// The lease holder.
    pub holder: DaemonId,
    /// The run of the lease holder.
    pub incarnation: Incarnation,
    /// Increases with each new lease holder; see [`Epoch`].
    pub epoch: Epoch,
    /// How long a successor must wait after the last change of the record, in milliseconds.
    pub term_ms: u64,
    /// Whether the lease holder released the lease on a planned stop, so that a successor need not
    /// wait.
    pub released: bool,
}

/// Claimed idempotency keys of requests that may run at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimPartition {
    /// Claims by hash of customer and key.
    pub claims: BTreeMap<KeyHash, Claim>,
}

/// Hash of a customer and an idempotency key; serialized as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u128);

impl Serialize for KeyHash {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{:032x}", self.0))
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

/// A claim of an idempotency key, with the state of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The operation that claimed the key; unique to one request of one run of a daemon.
    pub claimant: OperationId,
    /// Wall-clock time of the claim in Unix seconds, by the claimant's clock; only used to expire
    /// old claims.
    pub claimed_at: u64,
    /// State of the request.
    pub state: ClaimState,
}

/// State of the request behind a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// The request may have been sent to an upstream, or may still be.
    Claimed,
    /// The request ran to completion.
    Completed,
}
