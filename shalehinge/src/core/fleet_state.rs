//! The latest objects that this daemon has accepted. Versions never decrease.
//!
//! A store that is restored from a backup reports older objects under newer versions.
//! Configurations and assignments carry an order of their own, which decides. Host records have
//! none, so the records of the previous era are kept for a while ([`super::earlier_hosts`]).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::earlier_hosts::{DepartedHosts, EarlierHosts, changes_between};
use super::evacuations::KnownEvacuations;
use super::objects::{
    Assignment, FleetConfig, HostChanges, HostList, Object, ObjectKey, Versioned,
};
use super::routable_hosts::{
    ChangeLog, RoutableChanges, routable_changes, routable_difference, routable_hosts,
};
use super::types::{AssignmentVersion, FailureDomain, FleetVersion, StoreEra, Version};

/// An object reported by the platform or a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectUpdate {
    /// Key of the object.
    pub key: ObjectKey,
    /// Version of the object.
    pub version: Version,
    /// Value of the object at this version.
    pub object: Object,
}

impl ObjectUpdate {
    /// The configuration's version, if the object is a configuration.
    pub fn fleet_version(&self) -> Option<FleetVersion> {
        let Object::Fleet(value) = &self.object else {
            return None;
        };
        Some(FleetVersion {
            generation: value.generation,
            stored: self.version,
        })
    }
}

/// Versions of the objects that daemons exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDigest {
    /// Version of the configuration.
    pub fleet: FleetVersion,
    /// Version of the host list.
    pub hosts: Version,
    /// Versions of the assignments.
    pub assignments: Vec<(FailureDomain, AssignmentVersion)>,
    /// Version of the evacuations that the platform lists.
    #[serde(default)]
    pub evacuations: Version,
}

impl VersionDigest {
    fn assignment(&self, domain: &FailureDomain) -> AssignmentVersion {
        let mut assignments = self.assignments.iter();
        let known = assignments.find(|(known, _)| known == domain);
        known.map_or(AssignmentVersion::default(), |(_, version)| *version)
    }
}

/// How much of the host list is known, or sent to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostDetail {
    /// All hosts.
    #[default]
    Full,
    /// Only the hosts that requests are routed to.
    Routable,
}

/// Effect of applying an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// Nothing changed: the object was not newer, or does not follow the known version.
    Unchanged,
    /// A change that matters only to the controller of a failure domain.
    ControlOnly,
    /// A change that matters to routing or to peers.
    Changed,
}

/// The objects in force at this daemon.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    fleet: Option<Versioned<FleetConfig>>,
    /// Version of the configuration last reported by the store, which may be older than the one
    /// in force.
    stored_fleet: FleetVersion,
    hosts: Option<Versioned<HostList>>,
    departed_hosts: DepartedHosts,
    earlier_hosts: Option<EarlierHosts>,
    /// The host list combined with records of the previous era, while any of them apply.
    overlaid_hosts: Option<HostList>,
    /// How much of the host list is known here.
    known_detail: HostDetail,
    /// How much of the host list is sent to peers.
    sent_detail: HostDetail,
    host_changes: ChangeLog,
    assignments: BTreeMap<FailureDomain, Versioned<Assignment>>,
    /// The evacuations that the platform lists, besides those in the configuration.
    evacuations: Option<Versioned<KnownEvacuations>>,
    /// Whether this daemon knew the evacuations of an earlier era than theirs.
    knows_earlier_evacuations: bool,
}

impl FleetState {
    /// Creates an empty state that sends this much of the host list to peers.
    pub fn new(sent_detail: HostDetail) -> Self {
        Self {
            sent_detail,
            ..Self::default()
        }
    }

    /// The configuration in force; `None` before the first one was received.
    pub fn fleet(&self) -> Option<&Versioned<FleetConfig>> {
        self.fleet.as_ref()
    }

    /// Version of the configuration in force.
    pub fn fleet_version(&self) -> FleetVersion {
        let fleet = self.fleet.as_ref();
        fleet.map_or(FleetVersion::NONE, Versioned::fleet_version)
    }

    /// The store's version of the configuration, for conditional writes. The stored configuration
    /// may be older than the one in force.
    pub fn stored_fleet_version(&self) -> Version {
        self.stored_fleet.stored
    }

    /// Whether the store lost the configuration that is in force.
    pub fn is_fleet_lost(&self) -> bool {
        self.stored_fleet.generation < self.fleet_version().generation
    }

    /// Version of the known host list.
    pub fn hosts_version(&self) -> Version {
        self.hosts.as_ref().map_or(Version::NONE, |o| o.version)
    }

    /// The hosts that requests may be routed to: the known list, combined with records of the
    /// previous era for hosts that the current era has not reported yet.
    pub fn routed_hosts(&self) -> Option<&HostList> {
        let listed = self.hosts.as_ref().map(|hosts| &hosts.value);
        self.overlaid_hosts.as_ref().or(listed)
    }

    /// Whether records of a previous era of the store still apply.
    pub fn has_earlier_hosts(&self) -> bool {
        self.earlier_hosts.is_some()
    }

    /// Discards the records of the previous era, once hosts have had time to register again.
    pub fn discard_earlier_hosts(&mut self) {
        self.earlier_hosts = None;
        self.overlaid_hosts = None;
    }

    fn overlay_hosts(&mut self) {
        let hosts = self.hosts.as_ref();
        let earlier = self.earlier_hosts.as_ref();
        self.overlaid_hosts = earlier
            .zip(hosts)
            .map(|(earlier, hosts)| earlier.overlay(&hosts.value));
    }

    /// The known host list, which may be only the routable part.
    pub fn hosts(&self) -> Option<&Versioned<HostList>> {
        self.hosts.as_ref()
    }

    /// The known host list, if it is complete.
    pub fn full_hosts(&self) -> Option<&Versioned<HostList>> {
        let is_full = self.known_detail == HostDetail::Full;
        self.hosts.as_ref().filter(|_| is_full)
    }

    /// Discards the hosts that requests are not routed to. From now on changes come from peers,
    /// which send the routable part only.
    pub fn discard_unroutable_hosts(&mut self) {
        if self.known_detail == HostDetail::Full {
            self.known_detail = HostDetail::Routable;
            if let Some(hosts) = &mut self.hosts {
                hosts.value = routable_hosts(&hosts.value);
            }
        }
    }

    /// Whether the evacuations that the platform lists are known.
    pub fn knows_evacuations(&self) -> bool {
        self.evacuations.is_some()
    }

    /// Evacuations that the platform's store may have lost when it was restored from a backup.
    pub fn lost_evacuations(&self) -> BTreeSet<FailureDomain> {
        let known = self.evacuations.as_ref();
        known.map_or_else(BTreeSet::new, |known| known.value.lost().clone())
    }

    /// Ends the evacuations that the platform's store may have lost.
    pub fn give_up_lost_evacuations(&mut self) {
        if let Some(known) = &mut self.evacuations {
            known.value.give_up_lost();
        }
    }

    /// The evacuated failure domains: those in the configuration and those that the platform
    /// lists, or may have lost.
    pub fn evacuated(&self) -> BTreeSet<&FailureDomain> {
        let fleet = self.fleet.iter();
        let configured = fleet.flat_map(|fleet| &fleet.value.evacuated);
        let listed = self.evacuations.iter();
        let listed = listed.flat_map(|listed| listed.value.domains());
        configured.chain(listed).collect()
    }

    /// Whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        let is_configured = |fleet: &Versioned<FleetConfig>| fleet.value.evacuated.contains(domain);
        let is_listed = |listed: &Versioned<KnownEvacuations>| listed.value.contains(domain);
        self.fleet.as_ref().is_some_and(is_configured)
            || self.evacuations.as_ref().is_some_and(is_listed)
    }

    /// The assignments by failure domain.
    pub fn assignments(&self) -> &BTreeMap<FailureDomain, Versioned<Assignment>> {
        &self.assignments
    }

    /// Applies an object if it is newer than the known one. Assignments that fail their check are
    /// ignored.
    pub fn apply(&mut self, update: ObjectUpdate) -> ApplyResult {
        let version = update.version;
        let is_newer = match (update.key, update.object) {
            (ObjectKey::Fleet, Object::Fleet(value)) => self.apply_fleet(version, value),
            (ObjectKey::Hosts, object) => return self.apply_hosts(version, object),
            (ObjectKey::Assignment(domain), Object::Assignment(value)) => {
                if value.check().is_err() {
                    return ApplyResult::Unchanged;
                }
                self.apply_assignment(domain, Versioned { version, value })
            }
            (ObjectKey::Evacuations, object) => self.apply_evacuations(version, object),
            _ => false,
        };
        if is_newer {
            ApplyResult::Changed
        } else {
            ApplyResult::Unchanged
        }
    }

    fn apply_fleet(&mut self, version: Version, value: FleetConfig) -> bool {
        let update = Versioned { version, value };
        if version > self.stored_fleet.stored {
            self.stored_fleet = update.fleet_version();
        }
        let is_newer = update.fleet_version() > self.fleet_version();
        if is_newer {
            self.fleet = Some(update);
        }
        is_newer
    }

    fn apply_assignment(&mut self, domain: FailureDomain, update: Versioned<Assignment>) -> bool {
        let known = self.assignments.get(&domain);
        let is_newer =
            known.is_none_or(|known| update.assignment_version() > known.assignment_version());
        if is_newer {
            self.assignments.insert(domain, update);
        }
        is_newer
    }

    /// Applies a list of evacuations, or changes to a list of the same era.
    fn apply_evacuations(&mut self, version: Version, object: Object) -> bool {
        let known = self.evacuations.as_ref();
        let is_newer = known.is_none_or(|known| version > known.version);
        if !is_newer {
            return false;
        }
        let is_same_era = known.is_some_and(|known| known.version.era == version.era);
        // A daemon that was cut off may not have heard that an evacuation ended, so what it knows of
        // earlier eras counts only at daemons that know nothing of them.
        let has_new_era = known.is_some() && !is_same_era;
        let knows_earlier = self.knows_earlier_evacuations || has_new_era;
        let mut value = self.evacuations_in(version.era);
        match object {
            Object::Evacuations(list) => value.set_list(list),
            Object::EvacuationChanges(changes) if is_same_era => value.apply(changes),
            Object::KnownEvacuations(newer) => value.merge(newer, !knows_earlier),
            _ => return false,
        }
        self.knows_earlier_evacuations = knows_earlier;
        self.evacuations = Some(Versioned { version, value });
        true
    }

    /// The known evacuations as they count in this era.
    fn evacuations_in(&self, era: StoreEra) -> KnownEvacuations {
        let Some(known) = self.evacuations.clone() else {
            return KnownEvacuations::default();
        };
        let known_era = known.version.era;
        if known_era == era || known_era == StoreEra::UNREPORTED {
            known.value
        } else {
            known.value.into_next_era()
        }
    }

    fn apply_hosts(&mut self, version: Version, object: Object) -> ApplyResult {
        let is_newer = self
            .hosts
            .as_ref()
            .is_none_or(|known| version > known.version);
        let has_full_list = self.full_hosts().is_some();
        match object {
            // A complete list supersedes a partial one of the same version.
            Object::Hosts(list) if is_newer || !has_full_list && self.has_hosts_at(version) => {
                self.replace_hosts(version, list, HostDetail::Full)
            }
            Object::RoutableHosts(list) if is_newer && !has_full_list => {
                self.replace_hosts(version, list, HostDetail::Routable)
            }
            Object::HostChanges(changes)
                if is_newer && has_full_list && self.is_in_hosts_era(version) =>
            {
                self.apply_host_changes(version, changes)
            }
            Object::RoutableChanges(RoutableChanges { after, changes })
                if is_newer
                    && !has_full_list
                    && self.is_in_hosts_era(version)
                    && self.is_in_hosts_era(after)
                    && self.hosts_version() >= after =>
            {
                self.apply_host_changes(version, changes)
            }
            _ => ApplyResult::Unchanged,
        }
    }

    fn has_hosts_at(&self, version: Version) -> bool {
        self.hosts.is_some() && self.hosts_version() == version
    }

    /// Whether the known host list has the era of this version. Changes only apply to a list of
    /// their own era.
    fn is_in_hosts_era(&self, version: Version) -> bool {
        self.hosts_version().era == version.era
    }

    /// On a change of era, keeps the records of the previous era; otherwise discards those that
    /// the new list supersedes.
    fn track_hosts_era(&mut self, version: Version, list: &HostList) {
        let is_same_era = self.is_in_hosts_era(version);
        let Some(known) = &self.hosts else {
            return;
        };
        if is_same_era {
            let changes = changes_between(&known.value, list);
            self.departed_hosts
                .record_removed(&known.value, &changes.removed);
            if let Some(earlier) = &mut self.earlier_hosts {
                earlier.record_changes(&changes);
            }
            return;
        }
        let former_hosts = self.routed_hosts().cloned().unwrap_or_default();
        let departed = std::mem::take(&mut self.departed_hosts);
        self.earlier_hosts = Some(EarlierHosts::new(former_hosts, departed));
        // Peers may have sent changes of the previous era that this daemon has not seen.
        self.host_changes.restart(version);
    }

    fn replace_hosts(
        &mut self,
        version: Version,
        list: HostList,
        detail: HostDetail,
    ) -> ApplyResult {
        self.track_hosts_era(version, &list);
        let changes = match &self.hosts {
            Some(known) => routable_difference(&known.value, &list),
            None => {
                self.host_changes.restart(version);
                routable_difference(&HostList::default(), &list)
            }
        };
        let value = list;
        self.hosts = Some(Versioned { version, value });
        self.known_detail = detail;
        self.overlay_hosts();
        self.record_changes(version, changes)
    }

    /// Applies changes since the known list, or since an earlier one.
    fn apply_host_changes(&mut self, version: Version, changes: HostChanges) -> ApplyResult {
        let Some(known) = &mut self.hosts else {
            return ApplyResult::Unchanged;
        };
        let routable = routable_changes(&known.value, &changes);
        self.departed_hosts
            .record_removed(&known.value, &changes.removed);
        if let Some(earlier) = &mut self.earlier_hosts {
            earlier.record_changes(&changes);
        }
        known.version = version;
        known.value.hosts.extend(changes.changed);
        for host in &changes.removed {
            known.value.hosts.remove(host);
        }
        self.overlay_hosts();
        self.record_changes(version, routable)
    }

    fn record_changes(&mut self, version: Version, changes: HostChanges) -> ApplyResult {
        let is_unchanged = changes.changed.is_empty() && changes.removed.is_empty();
        self.host_changes.push(version, changes);
        if is_unchanged {
            ApplyResult::ControlOnly
        } else {
            ApplyResult::Changed
        }
    }

    fn evacuations_version(&self) -> Version {
        let known = self.evacuations.as_ref();
        known.map_or(Version::NONE, |known| known.version)
    }

    /// The versions known here, from which a peer sees what is missing.
    pub fn digest(&self) -> VersionDigest {
        VersionDigest {
            fleet: self.fleet_version(),
            hosts: self.hosts_version(),
            assignments: self
                .assignments
                .iter()
                .map(|(domain, object)| (domain.clone(), object.assignment_version()))
                .collect(),
            evacuations: self.evacuations_version(),
        }
    }

    /// The objects that are sent in full and are newer here than in the digest. Only these are
    /// copied, as most peers that ask are nearly up to date.
    pub fn full_objects_after(&self, digest: &VersionDigest) -> Vec<ObjectUpdate> {
        let mut updates = Vec::new();
        if let Some(object) = &self.fleet
            && object.fleet_version() > digest.fleet
        {
            updates.push(ObjectUpdate {
                key: ObjectKey::Fleet,
                version: object.version,
                object: Object::Fleet(object.value.clone()),
            });
        }
        if let Some(list) = self.full_hosts()
            && self.sent_detail == HostDetail::Full
            && list.version > digest.hosts
        {
            updates.push(ObjectUpdate {
                key: ObjectKey::Hosts,
                version: list.version,
                object: Object::Hosts(list.value.clone()),
            });
        }
        if let Some(object) = &self.evacuations
            && object.version > digest.evacuations
        {
            updates.push(ObjectUpdate {
                key: ObjectKey::Evacuations,
                version: object.version,
                object: Object::KnownEvacuations(object.value.clone()),
            });
        }
        for (domain, object) in &self.assignments {
            if object.assignment_version() > digest.assignment(domain) {
                updates.push(ObjectUpdate {
                    key: ObjectKey::Assignment(domain.clone()),
                    version: object.version,
                    object: Object::Assignment(object.value.clone()),
                });
            }
        }
        updates
    }

    /// The routable part of the host list, if only that part is sent to peers and it is newer
    /// here than in the digest: the changes since the digest if they are still logged, otherwise
    /// the whole part.
    pub fn routable_hosts_after(&self, digest: &VersionDigest) -> Option<ObjectUpdate> {
        let known = self.hosts.as_ref()?;
        if self.sent_detail == HostDetail::Full || known.version <= digest.hosts {
            return None;
        }
        let object = match self.host_changes.since(digest.hosts) {
            Some(changes) if digest.hosts > Version::NONE => Object::RoutableChanges(changes),
            _ => Object::RoutableHosts(routable_hosts(&known.value)),
        };
        Some(ObjectUpdate {
            key: ObjectKey::Hosts,
            version: known.version,
            object,
        })
    }

    /// Whether a peer with this digest has newer objects. A partial host list does not count, as
    /// it is requested at intervals and not as soon as a peer has a newer one.
    pub fn is_behind(&self, digest: &VersionDigest) -> bool {
        let own = self.digest();
        let newer_assignment = digest
            .assignments
            .iter()
            .any(|(domain, version)| *version > own.assignment(domain));
        let newer_hosts = self.sent_detail == HostDetail::Full && digest.hosts > own.hosts;
        let newer_evacuations = digest.evacuations > own.evacuations;
        digest.fleet > own.fleet || newer_hosts || newer_assignment || newer_evacuations
    }
}
