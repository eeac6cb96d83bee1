//! A platform that remembers all changes of its host list, with limits on reads.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shalehinge::core::daemon::TICK;
use shalehinge::core::engine::{EngineLoad, EnginePhase, EngineStatus, HeldModel};
use shalehinge::core::fleet_state::ObjectUpdate;
use shalehinge::core::objects::{
    FleetConfig, HostChanges, HostList, HostRecord, HostState, Object, ObjectKey, Versioned,
};
use shalehinge::core::platform::{Freshness, PlatformCall, PlatformReply, Scope};
use shalehinge::core::types::{
    FabricDomain, FailureDomain, FleetVersion, GroupNumber, HostId, ModelVersion, ServiceName,
    StoreEra, Version,
};

use super::DOMAINS;
use super::configuration::{fleet_config, model};

/// Hosts of the list: instances of a plain service, each a target of requests.
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
    }
}

/// Rank 0 of an open group.
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

/// What a copy of the platform holds.
struct Copy {
    revision: u64,
    changes: Vec<(u64, HostId, HostRecord)>,
    configuration: Versioned<FleetConfig>,
    objects: BTreeMap<ObjectKey, Versioned<Object>>,
}

/// A platform that remembers all changes; a watch waits for one.
pub struct Platform {
    era: u32,
    revision: u64,
    copy: Option<Copy>,
    /// Number of the last configuration that was written, whatever became of it.
    generation: u64,
    changes: Vec<(u64, HostId, HostRecord)>,
    configuration: Versioned<FleetConfig>,
    objects: BTreeMap<ObjectKey, Versioned<Object>>,
    pub lists: usize,
    pub calls: usize,
    /// Pages of the host list, each read after the one before it.
    pub pages: u32,
    /// Exact reads that are answered in a second; the others are refused.
    pub reads_per_second: Option<f64>,
    /// Exact reads that may be made now.
    reads_left: f64,
    /// Exact reads that were refused.
    pub reads_refused: usize,
}

/// Time of one page of a list, there and back.
const PAGE_TIME: Duration = Duration::from_millis(10);

impl Platform {
    pub fn new() -> Self {
        let mut platform = Self {
            era: 1,
            revision: 1,
            copy: None,
            generation: 0,
            changes: Vec::new(),
            configuration: Versioned {
                version: Version::new(StoreEra::new(1), 1),
                value: fleet_config(0),
            },
            objects: BTreeMap::new(),
            lists: 0,
            calls: 0,
            pages: 1,
            reads_per_second: None,
            reads_left: 0.0,
            reads_refused: 0,
        };
        for port in 0..HOSTS {
            platform.change(port, HostState::Live);
        }
        platform
    }

    pub fn change(&mut self, port: u16, state: HostState) {
        self.revision += 1;
        let host = HostId::new(&format!("h{port}"));
        self.changes
            .push((self.revision, host, record(port, state)));
    }

    /// Groups of one host each are listed as open, so many of them, from port 100 on.
    pub fn open_groups(&mut self, count: u16) {
        for port in 100..100 + count {
            self.revision += 1;
            let host = HostId::new(&format!("h{port}"));
            self.changes.push((self.revision, host, open_group(port)));
        }
    }

    /// Version of the newest host list.
    pub fn hosts_version(&self) -> u64 {
        self.changes.last().map_or(1, |(revision, _, _)| *revision)
    }

    /// A number that it tells now.
    fn version(&self, number: u64) -> Version {
        Version::new(StoreEra::new(self.era), number)
    }

    /// Takes a configuration, to which its writer gives the next number; returns its version.
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

    /// Copies all that is kept now.
    pub fn take_copy(&mut self) {
        self.copy = Some(Copy {
            revision: self.revision,
            changes: self.changes.clone(),
            configuration: self.configuration.clone(),
            objects: self.objects.clone(),
        });
    }

    /// Goes on from the copy: what was written since is lost, and revisions are given out anew.
    pub fn restore(&mut self) {
        let copy = self.copy.take().expect("copied before");
        self.era += 1;
        self.revision = copy.revision;
        self.changes = copy.changes;
        self.configuration = copy.configuration;
        self.configuration.version = self.version(self.configuration.version.number);
        self.objects = copy.objects;
    }

    fn configuration(&self) -> ObjectUpdate {
        ObjectUpdate {
            key: ObjectKey::Fleet,
            version: self.configuration.version,
            object: Object::Fleet(self.configuration.value.clone()),
        }
    }

    /// Whether a watch that waits has something to tell.
    pub fn has_news_for(&self, request: &PlatformCall) -> bool {
        match request {
            PlatformCall::Watch { after, .. } if after.number > self.revision => true,
            PlatformCall::Watch {
                scope: Scope::Hosts,
                after,
                ..
            } => after.number < self.hosts_version(),
            PlatformCall::Watch { after, .. } => after.number < self.configuration.version.number,
            _ => false,
        }
    }

    fn put(&mut self, key: &ObjectKey, expect: Version, object: &Object) -> PlatformReply {
        let era = StoreEra::new(self.era);
        let known = self
            .objects
            .get(key)
            .map_or(0, |known| known.version.number);
        if known != expect.number {
            return PlatformReply::Conflict(era);
        }
        let version = Version::new(era, known + 1);
        let value = object.clone();
        self.objects
            .insert(key.clone(), Versioned { version, value });
        PlatformReply::Written(version)
    }

    /// How long the call waits for a change.
    pub fn wait(&self, request: &PlatformCall) -> Duration {
        match request {
            PlatformCall::Watch { wait, .. } => *wait,
            PlatformCall::List {
                scope: Scope::Hosts,
                ..
            } => TICK.max(PAGE_TIME * self.pages),
            _ => TICK,
        }
    }

    /// Time passes, and reads may be made again.
    pub fn refill(&mut self, time: Duration) {
        if let Some(rate) = self.reads_per_second {
            let refilled = self.reads_left + rate * time.as_secs_f64();
            self.reads_left = refilled.min(rate);
        }
    }

    /// Whether the rate of exact reads leaves no room for this call; what it takes is gone in
    /// either case.
    pub fn refuses(&mut self, request: &PlatformCall) -> bool {
        let (freshness, pages) = match request {
            PlatformCall::List {
                scope: Scope::Hosts,
                freshness,
            } => (*freshness, self.pages),
            PlatformCall::List { freshness, .. }
            | PlatformCall::Get { freshness, .. }
            | PlatformCall::Watch { freshness, .. } => (*freshness, 1),
            PlatformCall::Put { .. } => return false,
        };
        if self.reads_per_second.is_none() || freshness == Freshness::MayBeStale {
            return false;
        }
        let is_refused = self.reads_left < f64::from(pages);
        self.reads_left = (self.reads_left - f64::from(pages)).max(0.0);
        self.reads_refused += usize::from(is_refused);
        is_refused
    }

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
            PlatformCall::Watch { .. } if self.has_news_for(request) => {
                vec![self.configuration()]
            }
            PlatformCall::Watch { .. } => Vec::new(),
            PlatformCall::Get { key, .. } => {
                let Some(object) = self.objects.get(key).cloned() else {
                    return PlatformReply::Missing(StoreEra::new(self.era));
                };
                let version = self.version(object.version.number);
                return PlatformReply::Object(Box::new(Versioned { version, ..object }));
            }
            PlatformCall::Put {
                key,
                expect,
                object,
            } => return self.put(key, *expect, object),
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

/// Bytes of an answer of the platform.
pub fn platform_bytes(reply: &PlatformReply) -> usize {
    let PlatformReply::Objects { updates, .. } = reply else {
        return 0;
    };
    json_bytes(updates)
}

/// Bytes in the form of the platform, which tells names where peers tell places.
pub fn json_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).expect("encodes").len()
}
