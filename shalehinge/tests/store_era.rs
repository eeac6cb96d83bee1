//! Eras of the platform's store at one daemon: the order of versions, who may hold the lease, and
//! which hosts, configurations and claims are kept after a restore.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shalehinge::core::claim_witnesses::WitnessedClaim;
use shalehinge::core::claims::{ClaimResult, ClaimStep, ClaimTracker};
use shalehinge::core::fleet_state::{FleetState, ObjectUpdate};
use shalehinge::core::lease::{ControlLease, LeaseStep};
use shalehinge::core::objects::{
    ClaimPartition, FleetConfig, HostChanges, HostList, HostRecord, HostState, KeyHash,
    LeaseRecord, Object, ObjectKey, Versioned,
};
use shalehinge::core::types::{
    DaemonId, EngineStart, Epoch, FabricDomain, FailureDomain, FleetVersion, HostId, Incarnation,
    OperationId, RequestId, StoreEra, Timestamp, Version,
};
use shalehinge::settings::claims::ClaimSettings;
use shalehinge::settings::lease::LeaseSettings;

const FIRST: StoreEra = StoreEra::new(1);
const SECOND: StoreEra = StoreEra::new(2);
const TERM: Duration = Duration::from_secs(4);
const MARGIN: Duration = Duration::from_millis(700);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_version_of_a_later_era_is_newer_whatever_its_number() {
    let known = Version::new(FIRST, 314);
    assert!(Version::new(SECOND, 297) > known);
    assert!(Version::new(FIRST, 315) > known);
    assert!(Version::without_era(1_000) < known);
    assert!(Version::absent(SECOND) > known);
    assert!(Version::new(StoreEra::new(4), 1) > Version::new(SECOND, 900));
}

#[test]
fn only_a_decimal_number_is_an_era() {
    assert_eq!(StoreEra::parse("7"), Some(StoreEra::new(7)));
    for text in [
        "",
        "x",
        "-1",
        "+1",
        "1.0",
        " 1",
        "0x2",
        "4294967296",
        "1, 2",
        "٣",
    ] {
        assert_eq!(StoreEra::parse(text), None, "{text:?}");
    }
}

#[test]
fn the_same_configuration_in_another_era_supersedes_nothing() {
    let of = |generation, stored| FleetVersion { generation, stored };
    let known = of(28, Version::new(FIRST, 314));
    assert!(!of(28, Version::new(SECOND, 290)).supersedes(known));
    assert!(!of(26, Version::new(SECOND, 300)).supersedes(known));
    assert!(of(28, Version::new(FIRST, 315)).supersedes(known));
    assert!(of(30, Version::new(SECOND, 290)).supersedes(known));
}

fn lease() -> ControlLease {
    let settings = LeaseSettings {
        term: TERM,
        margin: MARGIN,
        interval: Duration::from_millis(1_400),
    };
    ControlLease::new(settings, DaemonId::new("me"), Incarnation(1))
}

fn record(holder: &str, epoch: Epoch, is_released: bool) -> LeaseRecord {
    LeaseRecord {
        operation: OperationId(1),
        holder: DaemonId::new(holder),
        incarnation: Incarnation(1),
        epoch,
        term_ms: TERM.as_millis() as u64,
        released: is_released,
    }
}

fn stored(version: Version, value: LeaseRecord) -> Option<Versioned<LeaseRecord>> {
    Some(Versioned { version, value })
}

fn step(lease: &mut ControlLease, millis: u64) -> Option<LeaseStep> {
    lease.step(at(millis), true, OperationId(millis))
}

/// A lease held in the first era by a write sent at 1,400 ms.
fn holder() -> ControlLease {
    let mut lease = lease();
    lease.note_era(at(0), FIRST, true);
    step(&mut lease, 0);
    lease.on_read(at(10), None);
    step(&mut lease, 1_400);
    lease.on_written(at(1_410), Version::new(FIRST, 5));
    assert!(lease.held(at(1_500)).is_some());
    lease
}

/// The time in milliseconds of the first write of the lease from `from` on, when each read returns
/// `value`.
fn written_at(lease: &mut ControlLease, from: u64, value: Option<Versioned<LeaseRecord>>) -> u64 {
    for millis in (from..from + 20_000).step_by(50) {
        match step(lease, millis) {
            Some(LeaseStep::Write { .. }) => return millis,
            Some(LeaseStep::Read(_)) => lease.on_read(at(millis + 10), value.clone()),
            None => {}
        }
    }
    panic!("lease not written within 20 s");
}

#[test]
fn a_holder_stops_in_a_new_era_and_reacquires_the_lease_within_its_term() {
    let mut lease = holder();
    let token = lease.held(at(1_500)).expect("held");
    lease.note_era(at(2_000), SECOND, true);
    assert_eq!(lease.held(at(2_000)), None);
    let restored = stored(Version::new(SECOND, 3), record("other", Epoch(1), true));
    let millis = written_at(&mut lease, 2_000, restored);
    assert!(millis < 2_200, "{millis}");
    lease.on_written(at(millis + 10), Version::new(SECOND, 4));
    let new_token = lease.held(at(millis + 20)).expect("held again");
    assert!(new_token > token);
    assert!(!new_token.is_before(SECOND));
}

#[test]
fn a_holder_whose_term_has_ended_waits_like_any_other_daemon() {
    let mut lease = holder();
    lease.note_era(at(6_000), SECOND, true);
    let restored = stored(Version::new(SECOND, 3), record("other", Epoch(1), true));
    assert!(written_at(&mut lease, 6_000, restored) >= 10_000);
}

#[test]
fn a_lease_released_in_a_backup_is_not_acquired_until_the_last_holder_has_stopped() {
    let mut lease = lease();
    lease.note_era(at(0), SECOND, false);
    let restored = stored(Version::new(SECOND, 3), record("other", Epoch(1), true));
    assert!(written_at(&mut lease, 0, restored) >= TERM.as_millis() as u64);
}

#[test]
fn a_lease_missing_in_a_backup_is_not_acquired_until_the_last_holder_has_stopped() {
    let mut lease = lease();
    lease.note_era(at(0), SECOND, false);
    assert!(written_at(&mut lease, 0, None) >= TERM.as_millis() as u64);
}

#[test]
fn a_fleet_that_starts_for_the_first_time_does_not_wait_for_a_term() {
    let mut lease = lease();
    lease.note_era(at(0), SECOND, true);
    assert!(written_at(&mut lease, 0, None) < 2_000);
    let mut lease = self::lease();
    lease.note_era(at(0), StoreEra::UNREPORTED, false);
    assert!(
        written_at(&mut lease, 0, None) < 2_000,
        "a store without eras is not restored from backups"
    );
}

#[test]
fn a_lease_released_in_a_known_era_is_acquired_at_once() {
    let mut lease = lease();
    lease.note_era(at(0), FIRST, false);
    step(&mut lease, 0);
    let held = stored(Version::new(FIRST, 3), record("other", Epoch(1), false));
    lease.on_read(at(10), held);
    let released = stored(Version::new(FIRST, 4), record("other", Epoch(1), true));
    let millis = written_at(&mut lease, 5_000, released);
    assert!(millis < 7_000, "{millis}");
}

#[test]
fn a_fencing_token_rises_across_eras_without_knowledge_of_the_previous_era() {
    let last_of_first = Epoch::first_of(FIRST).next_in(FIRST);
    assert!(Epoch(0).next_in(SECOND) > last_of_first);
    assert!(last_of_first.is_before(SECOND));
    assert!(!Epoch(0).next_in(SECOND).is_before(SECOND));
    assert_eq!(Epoch(0).next_in(StoreEra::UNREPORTED), Epoch(1));
    const EXACT_IN_JSON: u64 = 1 << 53;
    assert!(Epoch::first_of(StoreEra::LAST).0 < EXACT_IN_JSON);
}

const HOST: &str = "h";
const OTHER: &str = "other";

fn host(state: HostState, started: u64) -> HostRecord {
    HostRecord {
        address: ([10, 0, 0, 1], 80).into(),
        failure_domain: FailureDomain::new("d"),
        fabric_domain: FabricDomain::new("f"),
        accelerators: 1,
        state,
        service: None,
        slots: None,
        staged: Vec::new(),
        status: None,
        started: Some(EngineStart(started)),
        warm_up_ms: 0,
    }
}

fn list(hosts: &[(&str, HostRecord)]) -> Object {
    let hosts = hosts.iter();
    let hosts = hosts.map(|(id, record)| (HostId::new(id), record.clone()));
    Object::Hosts(HostList {
        hosts: hosts.collect(),
    })
}

fn apply(state: &mut FleetState, version: Version, object: Object) {
    state.apply(ObjectUpdate {
        key: ObjectKey::Hosts,
        version,
        object,
    });
}

fn changed(id: &str, record: HostRecord) -> Object {
    Object::HostChanges(HostChanges {
        changed: BTreeMap::from([(HostId::new(id), record)]),
        removed: BTreeSet::new(),
    })
}

fn removed(id: &str) -> Object {
    Object::HostChanges(HostChanges {
        changed: BTreeMap::new(),
        removed: BTreeSet::from([HostId::new(id)]),
    })
}

fn routed(state: &FleetState, id: &str) -> Option<HostState> {
    let hosts = state.routed_hosts()?;
    hosts.hosts.get(&HostId::new(id)).map(|record| record.state)
}

const LIVE: Option<HostState> = Some(HostState::Live);
const LEAVING: Option<HostState> = Some(HostState::Leaving);

/// The state after a host list of the first era, these changes, and the host list of a backup in
/// the second era.
fn after_restore(first: Object, changes: Vec<Object>, backup: Object) -> FleetState {
    let mut state = FleetState::default();
    apply(&mut state, Version::new(FIRST, 300), first);
    for (change, number) in changes.into_iter().zip(301..) {
        apply(&mut state, Version::new(FIRST, number), change);
    }
    apply(&mut state, Version::new(SECOND, 290), backup);
    state
}

#[test]
fn leaving_earlier_hosts_do_not_return_with_a_backup() {
    let live = list(&[(HOST, host(HostState::Live, 1))]);
    let leaves = vec![changed(HOST, host(HostState::Leaving, 1))];
    let mut state = after_restore(live.clone(), leaves, live.clone());
    assert_eq!(routed(&state, HOST), LEAVING);
    let leaves = changed(HOST, host(HostState::Leaving, 1));
    apply(&mut state, Version::new(SECOND, 291), leaves);
    assert_eq!(routed(&state, HOST), LEAVING);

    let state = after_restore(live.clone(), vec![removed(HOST)], live);
    assert_eq!(routed(&state, HOST), None, "removed before the restore");
}

#[test]
fn earlier_hosts_absent_from_a_backup_are_kept_until_hosts_have_rewritten_their_records() {
    let live = list(&[(HOST, host(HostState::Live, 1))]);
    let mut state = after_restore(live, Vec::new(), list(&[]));
    assert_eq!(routed(&state, HOST), LIVE);
    assert!(state.has_earlier_hosts());
    state.discard_earlier_hosts();
    assert_eq!(routed(&state, HOST), None);
}

#[test]
fn a_host_reported_in_the_new_era_has_the_state_of_that_report() {
    let live = list(&[
        (HOST, host(HostState::Live, 1)),
        (OTHER, host(HostState::Live, 1)),
    ]);
    let mut state = after_restore(live.clone(), Vec::new(), live);
    let leaves = changed(HOST, host(HostState::Leaving, 1));
    apply(&mut state, Version::new(SECOND, 291), leaves);
    assert_eq!(routed(&state, HOST), LEAVING);
    apply(&mut state, Version::new(SECOND, 292), removed(HOST));
    assert_eq!(routed(&state, HOST), None);
    assert_eq!(routed(&state, OTHER), LIVE);
    let again = changed(HOST, host(HostState::Live, 2));
    apply(&mut state, Version::new(SECOND, 293), again);
    assert_eq!(routed(&state, HOST), LIVE, "a new start of the engine");
}

#[test]
fn a_host_listed_as_leaving_at_the_start_of_an_era_is_leaving() {
    let live = list(&[(HOST, host(HostState::Live, 1))]);
    let leaving = list(&[(HOST, host(HostState::Leaving, 1))]);
    let state = after_restore(live, Vec::new(), leaving);
    assert_eq!(routed(&state, HOST), LEAVING);
}

#[test]
fn changes_of_another_era_are_not_applied_to_a_list() {
    let mut state = FleetState::default();
    let live = list(&[(HOST, host(HostState::Live, 1))]);
    apply(&mut state, Version::new(FIRST, 300), live);
    let change = changed(OTHER, host(HostState::Live, 1));
    apply(&mut state, Version::new(SECOND, 310), change);
    assert_eq!(state.hosts_version(), Version::new(FIRST, 300));
    assert_eq!(routed(&state, OTHER), None);
}

#[test]
fn host_states_survive_two_backups_in_a_row() {
    let live = list(&[(HOST, host(HostState::Live, 1))]);
    let leaves = vec![changed(HOST, host(HostState::Leaving, 1))];
    let mut state = after_restore(live.clone(), leaves, live.clone());
    apply(&mut state, Version::new(StoreEra::new(4), 280), live);
    assert_eq!(routed(&state, HOST), LEAVING);
}

fn configured(generation: u64, version: Version) -> ObjectUpdate {
    ObjectUpdate {
        key: ObjectKey::Fleet,
        version,
        object: Object::Fleet(FleetConfig {
            generation,
            ..FleetConfig::default()
        }),
    }
}

#[test]
fn configurations_are_ordered_by_generation_across_eras() {
    let mut state = FleetState::default();
    state.apply(configured(28, Version::new(FIRST, 314)));
    state.apply(configured(26, Version::new(SECOND, 290)));
    assert_eq!(
        state.fleet_version().generation,
        28,
        "not replaced by an older one"
    );
    assert!(state.is_fleet_lost());
    assert_eq!(state.stored_fleet_version(), Version::new(SECOND, 290));
    state.apply(configured(30, Version::new(SECOND, 295)));
    assert_eq!(state.fleet_version().generation, 30);
    assert!(!state.is_fleet_lost());
    state.apply(configured(29, Version::new(FIRST, 400)));
    assert_eq!(
        state.fleet_version().generation,
        30,
        "update of a peer in an earlier era"
    );
}

const KEY: KeyHash = KeyHash(1);
const OTHER_KEY: KeyHash = KeyHash(2);
const WALL: u64 = 1_000_000;

fn book() -> ClaimTracker {
    ClaimTracker::new(ClaimSettings {
        partitions: 1,
        ..ClaimSettings::default()
    })
}

fn nothing(era: StoreEra) -> Option<Versioned<ClaimPartition>> {
    Some(Versioned {
        version: Version::absent(era),
        value: ClaimPartition::default(),
    })
}

#[test]
fn a_claim_that_the_store_lost_is_rewritten_before_any_key_is_granted() {
    let mut book = book();
    book.remember(at(1_000), WitnessedClaim::new(KEY, OperationId(7), WALL));
    book.on_new_era(at(2_000));
    book.claim(at(2_000), RequestId(2), OTHER_KEY, OperationId(8));
    assert_eq!(book.poll(at(2_000), WALL).0, [ClaimStep::Read(0)]);
    book.on_read(0, nothing(SECOND));
    let (steps, _) = book.poll(at(2_100), WALL);
    let Some(ClaimStep::Write { value, .. }) = steps.first() else {
        panic!("claim not rewritten: {steps:?}");
    };
    assert_eq!(value.claims.keys().collect::<Vec<_>>(), [&KEY]);
    let granted = book.on_written(0, Version::new(SECOND, 1));
    assert_eq!(granted, [], "rewritten claims grant no request");
    assert_eq!(book.poll(at(3_000), WALL).0, []);
    let (steps, results) = book.poll(at(4_000), WALL);
    assert_eq!(
        results,
        [(RequestId(2), ClaimResult::Unavailable)],
        "refused, as the key may have been claimed"
    );
    assert_eq!(steps, [ClaimStep::Read(0)]);
    book.on_read(0, nothing(SECOND));
    book.claim(at(5_000), RequestId(3), OTHER_KEY, OperationId(9));
    let (steps, _) = book.poll(at(5_000), WALL);
    assert!(
        matches!(steps.first(), Some(ClaimStep::Write { .. })),
        "claims are granted again: {steps:?}"
    );
}

#[test]
fn a_withdrawn_claim_is_not_rewritten() {
    let mut book = book();
    book.remember(at(1_000), WitnessedClaim::new(KEY, OperationId(7), WALL));
    book.withdraw(KEY, OperationId(7));
    book.poll(at(1_100), WALL);
    book.on_read(0, nothing(FIRST));
    book.poll(at(1_200), WALL);
    book.on_read(0, nothing(FIRST));
    book.on_new_era(at(2_000));
    let (steps, _) = book.poll(at(2_100), WALL);
    assert!(
        !matches!(steps.first(), Some(ClaimStep::Write { .. })),
        "withdrawn claim rewritten: {steps:?}"
    );
}
