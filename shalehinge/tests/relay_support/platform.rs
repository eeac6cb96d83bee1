//! A simulated platform that keeps all changes of its host list and can limit the rate of reads.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shalehinge::core::daemon::TICK;
use shalehinge::core::engine::{EngineLoad, EnginePhase, EngineStatus, HeldModel};
use shalehinge::core::evacuations::{EvacuationChanges, Evacuations};
use shalehinge::core::fleet_state::ObjectUpdate;
use shalehinge::core::objects::{
    FleetConfig, HostChanges, HostList, HostRecord, HostState, LeaseRecord, Object, ObjectKey,
    Versioned,
};
use shalehinge::core::platform::{EraScope, Freshness, PlatformCall, PlatformReply, Scope};
use shalehinge::core::types::{
    FabricDomain, FailureDomain, FleetVersion, GroupNumber, HostId, ModelVersion, ServiceName,
    StoreEra, Version,
};

use super::DOMAINS;
use super::configuration::{fleet_config, model};
use super::held_writes::{HeldWrites, StoredName, summary};

/// Number of hosts listed at the start, each an instance of a plain service.
const HOSTS: u16 = 30;

fn record(port: u16, state: HostState) -> HostRecord {
    HostRecord {
        address: ([10, 0, 9, 1], port).into(),
        failure_domain: FailureDomain::new(&format!("d{}", port % DOMAINS)),
        fabric_domain: FabricDomain::new("f"),
        accelerators: 1,
        state,
        service: Some(ServiceName::new("plain")),
        slots: Some(4),
        staged: Vec::new(),
        status: None,
        started: None,
        warm_up_ms: 0,
    }
}

/// The record of the host with rank 0 of a serving group.
fn open_group(port: u16) -> HostRecord {
    let number = GroupNumber(u64::from(port));
    let status = EngineStatus {
        host: HostId::new(&format!("h{port}")),
        phase: EnginePhase::Serving,
        group: Some(number),
        held: Some(HeldModel {
            model: model(),
            version: ModelVersion::new("1"),
        }),
        members_present: 1,
        member_count: 1,
        members_age_ms: 0,
        load: EngineLoad::default(),
        started: None,
    };
    HostRecord {
        service: Some(ServiceName::new("engines")),
        status: Some(status),
        ..record(port, HostState::Live)
    }
}

/// A backup of the platform's store.
struct Backup {
    revision: u64,
    changes: Vec<(u64, HostId, HostRecord)>,
    configuration: Versioned<FleetConfig>,
    evacuations: Vec<(u64, FailureDomain, bool)>,
    objects: BTreeMap<StoredName, Versioned<Object>>,
}

/// A simulated platform. Watches wait for a change.
pub struct Platform {
    era: u32,
    revision: u64,
    /// The backup that [`Self::restore`] restores.
    backup: Option<Backup>,
    /// Generation of the last configuration written, even if a restore has lost it.
    generation: u64,
    /// All changes of the host list, each with its revision.
    changes: Vec<(u64, HostId, HostRecord)>,
    configuration: Versioned<FleetConfig>,
    /// All changes of evacuations, each with its revision and whether the evacuation lasts.
    evacuations: Vec<(u64, FailureDomain, bool)>,
    objects: BTreeMap<StoredName, Versioned<Object>>,
    /// Number of host lists read.
    pub lists: usize,
    /// Number of calls, including those that were refused.
    pub calls: usize,
    /// Number of writes that were answered.
    pub writes: usize,
    /// Number of pages of the host list, which are read one after the other.
    pub pages: u32,
    /// Maximum rate of exact reads per second; reads above it are refused. `None` for no limit.
    pub reads_per_second: Option<f64>,
    /// Exact reads that the rate limit allows now.
    reads_left: f64,
    /// Number of exact reads that were refused.
    pub reads_refused: usize,
    /// Whether the platform answers nobody.
    pub is_away: bool,
    /// Writes that are carried out late. `None` applies or refuses each write when it arrives, and
    /// counts revisions per object.
    pub late_writes: Option<HeldWrites>,
}

/// Round-trip time of one page of a list.
const PAGE_ROUND_TRIP: Duration = Duration::from_millis(10);

impl Platform {
    /// A platform with a configuration and `HOSTS` live hosts.
    pub fn new() -> Self {
        let mut platform = Self {
            era: 1,
            revision: 1,
            backup: None,
            generation: 0,
            changes: Vec::new(),
            configuration: Versioned {
                version: Version::new(StoreEra::new(1), 1),
                value: fleet_config(0),
            },
            evacuations: Vec::new(),
            objects: BTreeMap::new(),
            lists: 0,
            calls: 0,
            writes: 0,
            pages: 1,
            reads_per_second: None,
            reads_left: 0.0,
            reads_refused: 0,
            is_away: false,
            late_writes: None,
        };
        for port in 0..HOSTS {
            platform.change(port, HostState::Live);
        }
        platform
    }

    /// Writes the record of the host at `port`.
    pub fn change(&mut self, port: u16, state: HostState) {
        self.revision += 1;
        let host = HostId::new(&format!("h{port}"));
        self.changes
            .push((self.revision, host, record(port, state)));
    }

    /// Lists `count` serving groups of one host each, with numbers and ports from 100 on.
    pub fn open_groups(&mut self, count: u16) {
        for port in 100..100 + count {
            self.revision += 1;
            let host = HostId::new(&format!("h{port}"));
            self.changes.push((self.revision, host, open_group(port)));
        }
    }

    /// Replaces the record of a serving group's host with one that states a warm-up.
    pub fn begin_warm_up(&mut self, port: u16, warm_up: Duration) {
        self.revision += 1;
        let host = HostId::new(&format!("h{port}"));
        let record = HostRecord {
            warm_up_ms: warm_up.as_millis() as u64,
            ..open_group(port)
        };
        self.changes.push((self.revision, host, record));
    }

    /// Begins or ends the evacuation of a failure domain.
    pub fn set_evacuated(&mut self, domain: &str, is_evacuated: bool) {
        self.revision += 1;
        let domain = FailureDomain::new(domain);
        self.evacuations.push((self.revision, domain, is_evacuated));
    }

    fn evacuation_changes(&self, after: u64) -> EvacuationChanges {
        let mut changes = EvacuationChanges::default();
        for (_, domain, is_evacuated) in self.evacuations.iter().filter(|(at, ..)| *at > after) {
            let (kept, dropped) = if *is_evacuated {
                (&mut changes.begun, &mut changes.ended)
            } else {
                (&mut changes.ended, &mut changes.begun)
            };
            dropped.remove(domain);
            kept.insert(domain.clone());
        }
        changes
    }

    /// Revision of the newest host list.
    pub fn hosts_version(&self) -> u64 {
        self.changes.last().map_or(1, |(revision, _, _)| *revision)
    }

    /// The version with this number in the current era.
    fn version(&self, number: u64) -> Version {
        Version::new(StoreEra::new(self.era), number)
    }

    /// Writes a configuration with the next generation, and returns its version.
    pub fn configure(&mut self, value: FleetConfig) -> FleetVersion {
        self.revision += 1;
        self.generation += 1;
        let value = FleetConfig {
            generation: self.generation,
            ..value
        };
        let version = self.version(self.revision);
        self.configuration = Versioned { version, value };
        self.configuration.fleet_version()
    }

    /// Takes a backup of the store.
    pub fn take_backup(&mut self) {
        self.backup = Some(Backup {
            revision: self.revision,
            changes: self.changes.clone(),
            configuration: self.configuration.clone(),
            evacuations: self.evacuations.clone(),
            objects: self.objects.clone(),
        });
    }

    /// Restores the store from the backup in a new era: later writes are lost, and their revisions
    /// are assigned again.
    pub fn restore(&mut self) {
        let backup = self.backup.take().expect("backed up before");
        self.era += 1;
        self.revision = backup.revision;
        self.changes = backup.changes;
        self.configuration = backup.configuration;
        self.configuration.version = self.version(self.configuration.version.number);
        self.evacuations = backup.evacuations;
        self.objects = backup.objects;
    }

    fn configuration(&self) -> ObjectUpdate {
        ObjectUpdate {
            key: ObjectKey::Fleet,
            version: self.configuration.version,
            object: Object::Fleet(self.configuration.value.clone()),
        }
    }

    /// Whether a waiting watch has a change to report.
    pub fn has_news_for(&self, request: &PlatformCall) -> bool {
        match request {
            PlatformCall::Watch { after, .. } if after.number > self.revision => true,
            PlatformCall::Watch {
                scope: Scope::Hosts,
                after,
                ..
            } => after.number < self.hosts_version(),
            PlatformCall::Watch {
                scope: Scope::Evacuations,
                after,
                ..
            } => self.evacuations.iter().any(|(at, ..)| *at > after.number),
            PlatformCall::Watch { after, .. } => after.number < self.configuration.version.number,
            _ => false,
        }
    }

    /// The control lease of a failure domain that daemons go by: that of the store's era, if there
    /// is one.
    pub fn lease(&self, domain: &FailureDomain) -> Option<Versioned<LeaseRecord>> {
        let key = ObjectKey::Lease(domain.clone());
        let scopes = [EraScope::Single(self.era()), EraScope::Shared];
        let mut names = scopes.into_iter().map(|scope| StoredName {
            key: key.clone(),
            scope,
        });
        let object = names.find_map(|name| self.objects.get(&name));
        object.cloned()?.into_lease()
    }

    /// The leases that all eras share.
    fn shared_leases(&self) -> Vec<ObjectUpdate> {
        let is_shared_lease = |name: &StoredName| {
            matches!(name.key, ObjectKey::Lease(_)) && name.scope == EraScope::Shared
        };
        let leases = self.objects.iter();
        let leases = leases.filter(|(name, _)| is_shared_lease(name));
        leases
            .map(|(name, lease)| update(name.key.clone(), lease.version, lease.value.clone()))
            .collect()
    }

    /// The store's era.
    pub fn era(&self) -> StoreEra {
        StoreEra::new(self.era)
    }

    fn put(&mut self, name: StoredName, expect: Version, object: &Object) -> PlatformReply {
        self.writes += 1;
        let era = StoreEra::new(self.era);
        let known = self
            .objects
            .get(&name)
            .map_or(0, |known| known.version.number);
        if known != expect.number {
            return PlatformReply::Conflict(era);
        }
        let version = self.next_version(&name.key, known);
        let value = object.clone();
        self.objects.insert(name, Versioned { version, value });
        PlatformReply::Written(version)
    }

    /// The version of the object that is written now. Late writes need the one counter that the
    /// users' store has for all objects.
    fn next_version(&mut self, key: &ObjectKey, known: u64) -> Version {
        let revision = self.version(self.revision);
        let Some(late_writes) = &mut self.late_writes else {
            return self.version(known + 1);
        };
        self.revision = late_writes.next_revision(key, revision);
        self.version(self.revision)
    }

    /// Whether the platform holds a write that arrives now and leaves it without an answer.
    pub fn holds(&mut self, sender: &str, request: &PlatformCall) -> bool {
        let PlatformCall::Put {
            key,
            scope,
            expect,
            object,
        } = request
        else {
            return false;
        };
        let Some(late_writes) = &mut self.late_writes else {
            return false;
        };
        if !late_writes.holds_next() {
            return false;
        }
        let name = StoredName {
            key: key.clone(),
            scope: *scope,
        };
        late_writes.hold(sender, &name, *expect, object);
        true
    }

    /// Carries out held writes that are due, unless the platform is away.
    pub fn carry_out_late_writes(&mut self, now: Duration) {
        let Some(late_writes) = &mut self.late_writes else {
            return;
        };
        late_writes.set_now(now);
        if self.is_away {
            return;
        }
        for write in late_writes.take_due() {
            let reply = self.put(write.name.clone(), write.expect, &write.object);
            let written = match reply {
                PlatformReply::Written(version) => Some(version),
                _ => None,
            };
            if let Some(late_writes) = &mut self.late_writes {
                late_writes.record(&write, written);
            }
        }
    }

    /// Adds a write to the trace of late writes.
    pub fn trace_write(&mut self, sender: &str, request: &PlatformCall, reply: &PlatformReply) {
        let (
            Some(late_writes),
            PlatformCall::Put {
                key,
                object,
                expect,
                ..
            },
        ) = (&mut self.late_writes, request)
        else {
            return;
        };
        let text = summary(object);
        late_writes.note(&format!(
            "{sender} writes {key:?} at {expect}: {text}: {reply:?}"
        ));
    }

    /// Time until the call is answered if nothing changes.
    pub fn wait(&self, request: &PlatformCall) -> Duration {
        match request {
            PlatformCall::Watch { wait, .. } => *wait,
            PlatformCall::List {
                scope: Scope::Hosts,
                ..
            } => TICK.max(PAGE_ROUND_TRIP * self.pages),
            _ => TICK,
        }
    }

    /// Refills the rate limit of exact reads after `time` has passed.
    pub fn refill(&mut self, time: Duration) {
        if let Some(rate) = self.reads_per_second {
            let refilled = self.reads_left + rate * time.as_secs_f64();
            self.reads_left = refilled.min(rate);
        }
    }

    /// Whether the rate limit of exact reads refuses this call. The call counts against the limit
    /// in either case.
    pub fn refuses(&mut self, request: &PlatformCall) -> bool {
        let (freshness, pages) = match request {
            PlatformCall::List {
                scope: Scope::Hosts,
                freshness,
            } => (*freshness, self.pages),
            PlatformCall::List { freshness, .. }
            | PlatformCall::Get { freshness, .. }
            | PlatformCall::Watch { freshness, .. } => (*freshness, 1),
            PlatformCall::Put { .. } | PlatformCall::Delete { .. } => return false,
        };
        if self.reads_per_second.is_none() || freshness == Freshness::MayBeStale {
            return false;
        }
        let is_refused = self.reads_left < f64::from(pages);
        self.reads_left = (self.reads_left - f64::from(pages)).max(0.0);
        self.reads_refused += usize::from(is_refused);
        is_refused
    }

    /// Answers a call with the current objects.
    pub fn answer(&mut self, request: &PlatformCall) -> PlatformReply {
        self.calls += 1;
        let revision = self.version(self.revision);
        let updates = match request {
            PlatformCall::List {
                scope: Scope::Hosts,
                ..
            } => {
                self.lists += 1;
                let hosts = self.changes.iter().cloned();
                let hosts = hosts.map(|(_, host, record)| (host, record)).collect();
                vec![update(
                    ObjectKey::Hosts,
                    revision,
                    Object::Hosts(HostList { hosts }),
                )]
            }
            PlatformCall::List {
                scope: Scope::Evacuations,
                ..
            } => {
                let domains = self.evacuation_changes(0).begun;
                let object = Object::Evacuations(Evacuations { domains });
                vec![update(ObjectKey::Evacuations, revision, object)]
            }
            PlatformCall::List {
                scope: Scope::SharedLeases,
                ..
            } => self.shared_leases(),
            PlatformCall::List { .. } => vec![self.configuration()],
            PlatformCall::Watch { after, .. } if after.number > self.revision => {
                return PlatformReply::HistoryGone(StoreEra::new(self.era));
            }
            PlatformCall::Watch {
                scope: Scope::Hosts,
                after,
                ..
            } => {
                let newer = self.changes.iter().filter(|(at, _, _)| *at > after.number);
                let changed = newer.map(|(_, host, record)| (host.clone(), record.clone()));
                let changes = Object::HostChanges(HostChanges {
                    changed: changed.collect(),
                    removed: BTreeSet::new(),
                });
                vec![update(ObjectKey::Hosts, revision, changes)]
            }
            PlatformCall::Watch {
                scope: Scope::Evacuations,
                after,
                ..
            } => {
                let changes = self.evacuation_changes(after.number);
                if changes == EvacuationChanges::default() {
                    Vec::new()
                } else {
                    let object = Object::EvacuationChanges(changes);
                    vec![update(ObjectKey::Evacuations, revision, object)]
                }
            }
            PlatformCall::Watch { .. } if self.has_news_for(request) => {
                vec![self.configuration()]
            }
            PlatformCall::Watch { .. } => Vec::new(),
            PlatformCall::Get { key, scope, .. } => {
                let name = StoredName {
                    key: key.clone(),
                    scope: *scope,
                };
                let Some(object) = self.objects.get(&name).cloned() else {
                    return PlatformReply::Missing(StoreEra::new(self.era));
                };
                let version = self.version(object.version.number);
                return PlatformReply::Object(Box::new(Versioned { version, ..object }));
            }
            PlatformCall::Put {
                key,
                scope,
                expect,
                object,
            } => {
                let name = StoredName {
                    key: key.clone(),
                    scope: *scope,
                };
                return self.put(name, *expect, object);
            }
            PlatformCall::Delete { key, scope } => {
                let name = StoredName {
                    key: key.clone(),
                    scope: *scope,
                };
                self.objects.remove(&name);
                return PlatformReply::Deleted(StoreEra::new(self.era));
            }
        };
        PlatformReply::Objects { revision, updates }
    }
}

fn update(key: ObjectKey, revision: Version, object: Object) -> ObjectUpdate {
    ObjectUpdate {
        key,
        version: revision,
        object,
    }
}

/// Size of a platform reply in bytes; 0 for replies without a list of objects.
pub fn platform_bytes(reply: &PlatformReply) -> usize {
    let PlatformReply::Objects { updates, .. } = reply else {
        return 0;
    };
    json_bytes(updates)
}

/// Size in bytes in the platform's encoding, JSON, which names members where the encoding between
/// peers sends them by position.
pub fn json_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).expect("encodes").len()
}

/// The hosts that the platform lists at the start.
pub fn listed_hosts() -> HostList {
    let host = |port: u16| {
        (
            HostId::new(&format!("h{port}")),
            record(port, HostState::Live),
        )
    };
    HostList {
        hosts: (0..HOSTS).map(host).collect(),
    }
}
