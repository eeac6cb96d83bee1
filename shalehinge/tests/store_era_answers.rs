//! Which replies of the platform's store a daemon accepts, by their eras.

use std::collections::BTreeMap;
use std::time::Duration;

use shalehinge::core::daemon::{Daemon, Identity, TICK};
use shalehinge::core::event::{Action, Event};
use shalehinge::core::fleet_state::ObjectUpdate;
use shalehinge::core::objects::{FleetConfig, HostList, Object, ObjectKey};
use shalehinge::core::platform::{
    CallId, NoAnswer, PlatformCall, PlatformReply, PlatformResult, Scope,
};
use shalehinge::core::types::{DaemonId, FailureDomain, Incarnation, StoreEra, Timestamp, Version};
use shalehinge::settings::core::CoreSettings;
use shalehinge::settings::learning::{FeedLayout, LearningSettings};

const FIRST: StoreEra = StoreEra::new(1);
const SECOND: StoreEra = StoreEra::new(2);

/// DaemonHarness daemon whose platform calls are answered by the test.
struct DaemonHarness {
    daemon: Daemon,
    now: Timestamp,
    open: BTreeMap<CallId, PlatformCall>,
    logs: Vec<String>,
}

impl DaemonHarness {
    fn new() -> Self {
        let settings = CoreSettings {
            learning: LearningSettings {
                feeds: FeedLayout::Split,
                ..LearningSettings::default()
            },
            ..CoreSettings::default()
        };
        let identity = Identity {
            daemon: DaemonId::new("one"),
            failure_domain: FailureDomain::new("d"),
            address: ([10, 0, 0, 1], 1).into(),
            incarnation: Incarnation(1),
            seeds: Vec::new(),
            is_first_start: true,
            wall_seconds: 0,
        };
        let mut harness = Self {
            daemon: Daemon::new(settings, identity, 1),
            now: Timestamp::from_millis(10),
            open: BTreeMap::new(),
            logs: Vec::new(),
        };
        harness.run(Duration::from_millis(100));
        harness
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.daemon.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Platform { call, request } => {
                    self.open.insert(call, request);
                }
                Action::Log(line) => self.logs.push(line.text),
                _ => {}
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            self.handle(Event::Tick);
        }
    }

    /// Answers the first open call that `fits`. Returns whether there was harness.
    fn answer(&mut self, fits: impl Fn(&PlatformCall) -> bool, result: PlatformResult) -> bool {
        let call = self.open.iter().find(|(_, request)| fits(request));
        let Some(call) = call.map(|(call, _)| *call) else {
            return false;
        };
        self.open.remove(&call);
        self.handle(Event::Platform { call, result });
        self.run(TICK);
        true
    }

    /// Generation of the configuration in force.
    fn generation_in_force(&self) -> u64 {
        self.daemon.state().fleet_version().generation
    }
}

fn lists_configuration(call: &PlatformCall) -> bool {
    let scope = Scope::Configuration;
    matches!(call, PlatformCall::List { scope: listed, .. } if *listed == scope)
}

fn watches_configuration(call: &PlatformCall) -> bool {
    let scope = Scope::Configuration;
    matches!(call, PlatformCall::Watch { scope: watched, .. } if *watched == scope)
}

fn watches_hosts(call: &PlatformCall) -> bool {
    matches!(
        call,
        PlatformCall::Watch {
            scope: Scope::Hosts,
            ..
        }
    )
}

fn lists_hosts(call: &PlatformCall) -> bool {
    matches!(
        call,
        PlatformCall::List {
            scope: Scope::Hosts,
            ..
        }
    )
}

fn writes_lease(call: &PlatformCall) -> bool {
    matches!(
        call,
        PlatformCall::Put {
            key: ObjectKey::Lease(_),
            ..
        }
    )
}

fn reads_lease(call: &PlatformCall) -> bool {
    matches!(
        call,
        PlatformCall::Get {
            key: ObjectKey::Lease(_),
            ..
        }
    )
}

fn configuration(revision: Version, generation: u64) -> PlatformResult {
    let object = Object::Fleet(FleetConfig {
        generation,
        ..FleetConfig::default()
    });
    Ok(PlatformReply::Objects {
        revision,
        updates: vec![ObjectUpdate {
            key: ObjectKey::Fleet,
            version: revision,
            object,
        }],
    })
}

fn hosts(revision: Version) -> PlatformResult {
    Ok(PlatformReply::Objects {
        revision,
        updates: vec![ObjectUpdate {
            key: ObjectKey::Hosts,
            version: revision,
            object: Object::Hosts(HostList::default()),
        }],
    })
}

/// A daemon that knows the configuration of generation 28 and the host list of the first era.
fn serving() -> DaemonHarness {
    let mut harness = DaemonHarness::new();
    assert!(harness.answer(
        lists_configuration,
        configuration(Version::new(FIRST, 314), 28)
    ));
    assert!(harness.answer(lists_hosts, hosts(Version::new(FIRST, 314))));
    harness.run(Duration::from_secs(1));
    harness
}

#[test]
fn a_watch_that_is_answered_across_eras_causes_a_new_list() {
    let mut harness = serving();
    // The revision has passed 314 again in the new era. Writes of the new era up to 314 would be
    // missed if this reply were applied.
    assert!(harness.answer(
        watches_configuration,
        configuration(Version::new(SECOND, 320), 30)
    ));
    assert_eq!(
        harness.generation_in_force(),
        28,
        "a watch across eras is not applied"
    );
    assert!(harness.answer(
        lists_configuration,
        configuration(Version::new(SECOND, 320), 30)
    ));
    assert_eq!(harness.generation_in_force(), 30);
    assert_eq!(harness.daemon.store_era(), Some(SECOND));
}

#[test]
fn discarded_history_in_a_new_era_causes_new_lists_of_all_feeds() {
    let mut harness = serving();
    assert!(harness.answer(
        watches_configuration,
        Ok(PlatformReply::HistoryGone(SECOND))
    ));
    assert!(harness.open.values().any(lists_configuration));
    assert!(harness.answer(watches_hosts, Err(NoAnswer)));
    assert!(
        harness.open.values().any(lists_hosts),
        "listed at once, not after the retry delay"
    );
    let line = harness
        .logs
        .iter()
        .find(|line| line.contains("restored from a backup: era"));
    assert!(
        line.is_some_and(|line| line.contains("era 1 to 2")),
        "{line:?}"
    );
}

#[test]
fn a_late_reply_of_an_earlier_era_changes_nothing() {
    let mut harness = serving();
    assert!(harness.answer(watches_hosts, Ok(PlatformReply::HistoryGone(SECOND))));
    assert!(harness.answer(lists_hosts, hosts(Version::new(SECOND, 290))));
    assert!(harness.answer(
        watches_configuration,
        configuration(Version::new(FIRST, 330), 40)
    ));
    assert_eq!(harness.generation_in_force(), 28);
    assert_eq!(harness.daemon.store_era(), Some(SECOND));
    assert_eq!(
        harness.daemon.state().hosts_version(),
        Version::new(SECOND, 290)
    );
}

#[test]
fn a_reply_without_an_era_is_ignored_once_an_era_is_known() {
    let mut harness = serving();
    assert!(harness.answer(
        watches_configuration,
        configuration(Version::without_era(900), 40)
    ));
    assert_eq!(harness.generation_in_force(), 28);
    assert_eq!(harness.daemon.store_era(), Some(FIRST));
}

#[test]
fn objects_of_a_store_without_eras_are_applied() {
    let mut harness = DaemonHarness::new();
    assert!(harness.answer(
        lists_configuration,
        configuration(Version::without_era(10), 3)
    ));
    assert!(harness.answer(
        watches_configuration,
        configuration(Version::without_era(11), 4)
    ));
    assert_eq!(harness.generation_in_force(), 4);
}

#[test]
fn skipping_an_era_counts_as_one_change() {
    let mut harness = serving();
    let third = StoreEra::new(3);
    assert!(harness.answer(watches_configuration, Ok(PlatformReply::HistoryGone(third))));
    assert!(harness.answer(
        lists_configuration,
        configuration(Version::new(third, 280), 30)
    ));
    assert_eq!(harness.generation_in_force(), 30);
    let changes = harness
        .logs
        .iter()
        .filter(|line| line.contains("restored from a backup: era"));
    assert_eq!(changes.count(), 1);
}

#[test]
fn two_restores_within_a_second_are_followed() {
    let mut harness = serving();
    assert!(harness.answer(
        watches_configuration,
        Ok(PlatformReply::HistoryGone(SECOND))
    ));
    let third = StoreEra::new(3);
    assert!(harness.answer(
        lists_configuration,
        configuration(Version::new(third, 285), 26)
    ));
    assert_eq!(harness.generation_in_force(), 28);
    assert!(harness.answer(
        lists_configuration,
        configuration(Version::new(third, 286), 30)
    ));
    assert_eq!(harness.generation_in_force(), 30);
}

#[test]
fn a_write_that_took_effect_on_the_same_number_of_another_era_grants_no_lease() {
    let mut harness = serving();
    harness.answer(reads_lease, Ok(PlatformReply::Missing(FIRST)));
    harness.run(Duration::from_secs(3));
    assert!(harness.answer(
        writes_lease,
        Ok(PlatformReply::Written(Version::new(FIRST, 5)))
    ));
    assert!(harness.daemon.lease().held(harness.now).is_some());
    harness.run(Duration::from_millis(2_500));
    assert!(harness.answer(
        writes_lease,
        Ok(PlatformReply::Written(Version::new(SECOND, 6)))
    ));
    assert!(harness.daemon.lease().held(harness.now).is_none());
    assert!(
        harness.open.values().any(reads_lease),
        "the lease is read before it is written again"
    );
}

// Guards against writes that a store loses without a new era, which nothing reported.
#[test]
fn a_lower_exact_revision_within_an_era_is_reported_once() {
    let mut harness = serving();
    let reports = |harness: &DaemonHarness| {
        let text = "revision 290 of era 1 after 314 of era 1";
        let lines = harness.logs.iter().filter(|line| line.contains(text));
        lines.count()
    };
    for _ in 0..3 {
        let lower = configuration(Version::new(FIRST, 290), 27);
        assert!(harness.answer(watches_configuration, lower));
        harness.run(Duration::from_secs(1));
    }
    assert_eq!(reports(&harness), 1, "{:?}", harness.logs);
    assert_eq!(harness.daemon.lower_revisions(), 3);
    assert_eq!(harness.generation_in_force(), 28);
}

#[test]
fn equal_and_higher_revisions_within_an_era_are_not_reported_as_lower() {
    let mut harness = serving();
    for number in [314, 314, 315] {
        let answer = configuration(Version::new(FIRST, number), 28);
        assert!(harness.answer(watches_configuration, answer));
        harness.run(Duration::from_secs(1));
    }
    assert_eq!(harness.daemon.lower_revisions(), 0);
}
