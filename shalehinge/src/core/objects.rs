//! The objects that are kept in the platform, and the host list.
//!
//! Everything that must be agreed or must last is in one of these. Each is
//! changed by conditional update only.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::engine::EngineStatus;
use super::routable_hosts::RoutableChanges;
pub use super::route_config::{
    CallerLimits, EngineTimes, LoadRate, ModelProfile, RequestKind, RouteConfig, WeightedService,
};
use super::types::{
    Address, AssignmentVersion, Customer, DaemonId, EngineStart, Epoch, FabricDomain,
    FailureDomain, FleetVersion, GroupNumber, HostId, Incarnation, ModelName, ModelVersion,
    OperationId, ServiceName, Version,
};

/// How many past operation ids an object remembers for read-backs.
pub const MAX_RECENT_OPERATIONS: usize = 32;

/// Names an object in the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObjectKey {
    /// The configuration of the whole fleet.
    Fleet,
    /// The list of hosts; written by the platform alone.
    Hosts,
    /// The host groups of a failure domain.
    Assignment(FailureDomain),
    /// The control lease of a failure domain.
    Lease(FailureDomain),
    /// One partition of the claimed request keys.
    Claims(u16),
}

impl ObjectKey {
    /// Whether only daemons write it, so that one in another form may be overwritten.
    pub fn is_written_by_daemons(&self) -> bool {
        matches!(self, Self::Assignment(_) | Self::Lease(_) | Self::Claims(_))
    }
}

/// The value of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Object {
    /// See [`FleetConfig`].
    Fleet(FleetConfig),
    /// See [`HostList`].
    Hosts(HostList),
    /// See [`HostChanges`].
    HostChanges(HostChanges),
    /// The part of a host list that routing needs.
    RoutableHosts(HostList),
    /// See [`RoutableChanges`].
    RoutableChanges(RoutableChanges),
    /// See [`Assignment`].
    Assignment(Assignment),
    /// See [`LeaseRecord`].
    Lease(LeaseRecord),
    /// See [`ClaimPartition`].
    Claims(ClaimPartition),
}

/// An object with the version at which it was read or written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The platform's version.
    pub version: Version,
    /// The value.
    pub value: T,
}

impl Versioned<FleetConfig> {
    /// Which configuration it is.
    pub fn fleet_version(&self) -> FleetVersion {
        FleetVersion {
            generation: self.value.generation,
            stored: self.version,
        }
    }
}

impl Versioned<Assignment> {
    /// Which assignment it is.
    pub fn assignment_version(&self) -> AssignmentVersion {
        AssignmentVersion {
            epoch: self.value.epoch,
            number: self.version.number,
        }
    }
}

impl Versioned<Object> {
    /// The object as a lease, if it is one.
    pub fn into_lease(self) -> Option<Versioned<LeaseRecord>> {
        let version = self.version;
        match self.value {
            Object::Lease(value) => Some(Versioned { version, value }),
            _ => None,
        }
    }

    /// The object as an assignment, if it is one.
    pub fn into_assignment(self) -> Option<Versioned<Assignment>> {
        let version = self.version;
        match self.value {
            Object::Assignment(value) => Some(Versioned { version, value }),
            _ => None,
        }
    }

    /// The object as a partition of claims, if it is one.
    pub fn into_claims(self) -> Option<Versioned<ClaimPartition>> {
        let version = self.version;
        match self.value {
            Object::Claims(value) => Some(Versioned { version, value }),
            _ => None,
        }
    }
}

/// The newest operation ids that changed an object, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecentOperations(Vec<OperationId>);

impl RecentOperations {
    /// Notes an operation and forgets the oldest beyond [`MAX_RECENT_OPERATIONS`].
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

    /// Whether the operation is among the newest.
    pub fn contains(&self, operation: OperationId) -> bool {
        self.0.contains(&operation)
    }
}

/// The accepted configuration: who may call, what is served, and how much of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Rises with each configuration that is written, whatever becomes of the store's versions.
    #[serde(default)]
    pub generation: u64,
    /// Operations that led here, for read-backs after an unclear write.
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
    /// What the fleet weighs in placement.
    #[serde(default)]
    pub weights: PlacementWeights,
    /// Routes of requests that are relayed as they are.
    #[serde(default)]
    pub routes: Vec<RouteConfig>,
    /// Models whose replicas are divided by their share of the work.
    #[serde(default)]
    pub profiles: BTreeMap<ModelName, ModelProfile>,
    /// Bounds for relayed requests; those of the settings without.
    #[serde(default)]
    pub caller_limits: Option<CallerLimits>,
    /// How fast weights may be loaded, over all failure domains.
    #[serde(default)]
    pub load_rate: Option<LoadRate>,
}

/// A customer: its keys and its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerConfig {
    /// SHA-256 of each key that the customer may present, in hexadecimal.
    pub key_sha256: Vec<String>,
    /// Weight of the customer against the others, from 1.
    pub share: u32,
    /// Rank of its requests, 0 first; that of the route without.
    #[serde(default)]
    pub rank: Option<u8>,
}

/// A plain service: where it is and which calls may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Requests whose path starts with this go to the service.
    pub path_prefix: String,
    /// Its instances.
    pub upstreams: Vec<ServiceUpstream>,
    /// Calls that may not be repeated.
    #[serde(default)]
    pub not_repeatable: Vec<CallPattern>,
    /// Whether its instances are those that the host list names.
    #[serde(default)]
    pub is_listed: bool,
}

/// An instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUpstream {
    /// The host it runs on.
    pub host: HostId,
    /// Where it listens.
    pub address: Address,
    /// Where the host is.
    pub failure_domain: FailureDomain,
}

/// Calls by method and start of the path, as the caller wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallPattern {
    /// HTTP method in capitals.
    pub method: String,
    /// Start of the path.
    pub path_prefix: String,
}

/// What operators want of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelIntent {
    /// Whose share of the accelerators its hosts count against.
    pub owner: Customer,
    /// Version that all replicas should come to run.
    pub version: ModelVersion,
    /// Hosts that form one replica, 4 to 32 in production.
    pub hosts_per_replica: u32,
    /// Replicas wanted in each failure domain, as the plan divided them.
    pub replicas: BTreeMap<FailureDomain, u32>,
}

impl ModelIntent {
    /// Replicas wanted over all failure domains.
    pub fn total_replicas(&self) -> u32 {
        self.replicas.values().sum()
    }
}

/// How much each measure counts for this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementWeights {
    /// Weight of an hour of group downtime.
    pub group_downtime: f64,
    /// Weight of an hour of one stranded accelerator.
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

/// The platform's list of hosts. It lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts by name.
    pub hosts: BTreeMap<HostId, HostRecord>,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Where its engine listens.
    pub address: Address,
    /// Which failure domain it is in.
    pub failure_domain: FailureDomain,
    /// Which fabric connects it.
    pub fabric_domain: FabricDomain,
    /// Accelerators on the host.
    pub accelerators: u32,
    /// What the platform says of it.
    pub state: HostState,
    /// Service that it belongs to, where the list tells.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Requests that it runs at once, where the list tells.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Models whose weights lie on the host, the newest first.
    #[serde(default)]
    pub staged: Vec<ModelName>,
    /// What its engine told the list.
    #[serde(default)]
    pub status: Option<EngineStatus>,
    /// When its engine started, where the list tells.
    #[serde(default)]
    pub started: Option<EngineStart>,
}

impl HostRecord {
    /// The group whose requests this host takes as its rank 0, and its model, where the
    /// list tells.
    pub fn open_group(&self) -> Option<(GroupNumber, &ModelName)> {
        let status = self.status.as_ref()?;
        let (number, model) = self.intact_group()?;
        status.shows_open(number).then_some((number, model))
    }

    /// The group that this host joined, and its model, where the list tells and the group
    /// is not broken.
    pub fn intact_group(&self) -> Option<(GroupNumber, &ModelName)> {
        let status = self.status.as_ref()?;
        let number = status.group.filter(|number| status.shows_member(*number))?;
        let held = status.held.as_ref()?;
        (number != GroupNumber::PRIMING).then_some((number, &held.model))
    }
}

/// Hosts that changed since an earlier list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostChanges {
    /// Hosts as they are now.
    pub changed: BTreeMap<HostId, HostRecord>,
    /// Hosts that are gone.
    pub removed: BTreeSet<HostId>,
}

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// Will go soon: no new work.
    Leaving,
}

/// The host groups of one failure domain.
///
/// A host is in at most one group or in `releasing`, which [`Assignment::check`]
/// verifies. As it is one object, one conditional update moves a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The write that made this value.
    pub operation: Option<OperationId>,
    /// Epoch of the lease under which it was written.
    pub epoch: Epoch,
    /// Number of the next group.
    pub next_group: GroupNumber,
    /// Groups by number.
    pub groups: BTreeMap<GroupNumber, Group>,
    /// Hosts that left a group and have not yet acknowledged the release of it.
    pub releasing: BTreeMap<HostId, GroupNumber>,
    /// Rank 0 of each group that `releasing` names: while it may still serve, its
    /// members may not join another group.
    #[serde(default)]
    pub heads: BTreeMap<GroupNumber, HostId>,
    /// Replicas that should stand, of models whose replicas follow from their shares:
    /// the most that the listed hosts ever allowed.
    #[serde(default)]
    pub wanted: BTreeMap<ModelName, u32>,
    /// The model that each free host last held in memory, where engines join by order:
    /// a host joins a group of that model at once, and the host list does not tell it.
    #[serde(default)]
    pub held_by_free: BTreeMap<HostId, ModelName>,
}

/// The hosts that form one replica. Members never change; a change makes a new group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Model it serves.
    pub model: ModelName,
    /// Version it serves.
    pub version: ModelVersion,
    /// Members by rank; rank 0 takes the requests.
    pub members: Vec<Member>,
    /// How far it is.
    pub phase: GroupPhase,
}

/// A member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Where its engine listens.
    pub address: Address,
}

/// How far a group is. It only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GroupPhase {
    /// Members are being ordered to load.
    Forming,
    /// All members were seen ready.
    Serving,
    /// No new work; members finish what runs and are then released.
    Retiring,
}

/// Why an assignment is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// A host stands in two places.
    #[error("host {0} is in two groups")]
    DuplicateHost(HostId),
    /// A group number is not below the next one.
    #[error("group {0:?} is not below the next group number")]
    GroupNumberTooHigh(GroupNumber),
}

impl Default for Assignment {
    /// No groups, none ever formed.
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
        }
    }
}

impl Assignment {
    /// Checks that no host is in two groups and that numbers are below the next.
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

    /// Whether the host is in a group or still leaving one.
    pub fn is_in_use(&self, host: &HostId) -> bool {
        self.releasing.contains_key(host) || self.groups.values().any(|group| group.contains(host))
    }

    /// Hosts that are in a group or still leaving one.
    pub fn used_hosts(&self) -> BTreeSet<&HostId> {
        let members = self.groups.values().flat_map(|group| &group.members);
        members
            .map(|member| &member.host)
            .chain(self.releasing.keys())
            .collect()
    }

    /// Adds a forming group and returns its number.
    pub fn add_group(
        &mut self,
        model: ModelName,
        version: ModelVersion,
        members: Vec<Member>,
    ) -> GroupNumber {
        let number = self.next_group;
        self.next_group = GroupNumber(number.0 + 1);
        let group = Group {
            model,
            version,
            members,
            phase: GroupPhase::Forming,
        };
        self.groups.insert(number, group);
        number
    }

    /// Takes a group out; its hosts stay in `releasing` until each acknowledges.
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
    /// Whether the host is a member.
    pub fn contains(&self, host: &HostId) -> bool {
        self.members.iter().any(|member| member.host == *host)
    }
}

/// The control lease of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The write that made this value.
    pub operation: OperationId,
    /// Who holds it.
    pub holder: DaemonId,
    /// Which run of the holder.
    pub incarnation: Incarnation,
    /// Rises by one with each new holder.
    pub epoch: Epoch,
    /// How long after the last change a successor must wait, in milliseconds.
    pub term_ms: u64,
    /// Given back on a planned stop; a successor need not wait.
    pub released: bool,
}

/// Keys of requests that may run at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimPartition {
    /// Claims by the hash of customer and key.
    pub claims: BTreeMap<KeyHash, Claim>,
}

/// Hash of a customer with the key that it gave its request.
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

/// Who claimed a key, and what is known of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The operation that claimed it: unique to one request of one daemon run.
    pub claimant: OperationId,
    /// Wall clock of the claimant, seconds since 1970; only for dropping old claims.
    pub claimed_at: u64,
    /// What is known of the run.
    pub state: ClaimState,
}

/// What is known of the run behind a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// It may have been sent, or may still be.
    Claimed,
    /// It ran to its end.
    Completed,
}
