//! Tests of operators' plans and confirms: which step follows which reply of the platform.

use std::time::Duration;

use shalehinge::core::change::{Change, Configuration};
use shalehinge::core::fleet_state::{FleetState, ObjectUpdate};
use shalehinge::core::objects::{
    CustomerConfig, FleetConfig, HostList, HostRecord, HostState, Object, ObjectKey,
};
use shalehinge::core::operator::{
    Confirm, OperatorAnswer, OperatorCall, OperatorCallId, OperatorCalls, OperatorStep, Plan,
};
use shalehinge::core::platform::{
    Freshness, NoAnswer, PlatformCall, PlatformReply, PlatformResult, Scope,
};
use shalehinge::core::types::{
    Customer, FabricDomain, FailureDomain, HostId, ModelName, ModelVersion, OperationId, Timestamp,
    Version,
};

const CALL_ID: OperatorCallId = OperatorCallId(1);
const OPERATION: OperationId = OperationId(77);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn list_reply() -> PlatformResult {
    Ok(PlatformReply::Objects {
        revision: Version::without_era(1),
        updates: Vec::new(),
    })
}

/// A fleet with `hosts` hosts and one customer, whose configuration has `version`.
fn fleet_with_hosts(hosts: u16, version: u64) -> FleetState {
    let mut state = FleetState::default();
    let mut fleet = FleetConfig::default();
    let customer = CustomerConfig {
        key_sha256: Vec::new(),
        share: 1,
        rank: None,
    };
    fleet.customers.insert(Customer::new("c"), customer);
    apply_update(&mut state, ObjectKey::Fleet, version, Object::Fleet(fleet));
    add_hosts(&mut state, hosts, 1);
    state
}

fn add_hosts(state: &mut FleetState, hosts: u16, version: u64) {
    let mut list = HostList::default();
    for number in 0..hosts {
        let record = HostRecord {
            address: ([10, 0, 0, 1], number).into(),
            failure_domain: FailureDomain::new("d"),
            fabric_domain: FabricDomain::new("f"),
            accelerators: 8,
            state: HostState::Live,
            service: None,
            slots: None,
            staged: Vec::new(),
            status: None,
            started: None,
            warm_up_ms: 0,
        };
        list.hosts
            .insert(HostId::new(&format!("h{number}")), record);
    }
    apply_update(state, ObjectKey::Hosts, version, Object::Hosts(list));
}

fn apply_update(state: &mut FleetState, key: ObjectKey, version: u64, object: Object) {
    let version = Version::without_era(version);
    state.apply(ObjectUpdate {
        key,
        version,
        object,
    });
}

fn intent() -> Change {
    Change::Intent {
        model: ModelName::new("m"),
        version: ModelVersion::new("v1"),
        replicas: 1,
        hosts_per_replica: 4,
        owner: Customer::new("c"),
    }
}

fn plan(state: &FleetState) -> Plan {
    let mut operators = OperatorCalls::default();
    operators.begin(at(0), CALL_ID, OperatorCall::Plan(intent()));
    match operators.on_platform(at(0), CALL_ID, &list_reply(), state) {
        Some(OperatorStep::Answer(OperatorAnswer::Planned(plan))) => *plan,
        other => panic!("expected a plan, got {other:?}"),
    }
}

fn confirm(plan: Plan) -> OperatorCall {
    OperatorCall::Confirm(Confirm {
        change: plan.change,
        base: plan.base,
        digest: plan.digest,
        operation: OPERATION,
    })
}

fn is_expected_write(step: Option<&OperatorStep>) -> bool {
    let base = Version::without_era(3);
    matches!(
        step,
        Some(OperatorStep::Platform(PlatformCall::Put { expect, .. })) if *expect == base
    )
}

/// A confirm whose write was sent but not answered, so that a read-back has begun.
fn calls_with_unclear_write(state: &FleetState) -> OperatorCalls {
    let mut operators = OperatorCalls::default();
    operators.begin(at(0), CALL_ID, confirm(plan(state)));
    let step = operators.on_platform(at(0), CALL_ID, &list_reply(), state);
    assert!(is_expected_write(step.as_ref()), "{step:?}");
    let step = operators.on_platform(at(1), CALL_ID, &Err(NoAnswer), state);
    assert_eq!(
        step,
        Some(OperatorStep::Platform(PlatformCall::List {
            scope: Scope::Shared,
            freshness: Freshness::Exact,
        }))
    );
    operators
}

#[test]
fn an_unclear_write_that_may_still_take_effect_is_sent_again() {
    let mut state = fleet_with_hosts(4, 3);
    let mut operators = calls_with_unclear_write(&state);
    // With the new hosts the plan would differ, but the write may still take effect: answering
    // 'out of date' could then be wrong.
    add_hosts(&mut state, 9, 2);
    let step = operators.on_platform(at(2), CALL_ID, &list_reply(), &state);
    assert!(is_expected_write(step.as_ref()), "{step:?}");
}

#[test]
fn an_unclear_write_that_took_effect_is_answered_as_confirmed() {
    let mut state = fleet_with_hosts(4, 3);
    let mut operators = calls_with_unclear_write(&state);
    let mut fleet = state
        .fleet()
        .expect("a configuration is known")
        .value
        .clone();
    fleet.operations.record(OPERATION);
    apply_update(&mut state, ObjectKey::Fleet, 4, Object::Fleet(fleet));
    let step = operators.on_platform(at(2), CALL_ID, &list_reply(), &state);
    let version = Version::without_era(4);
    let answer = OperatorAnswer::Confirmed { version };
    assert_eq!(step, Some(OperatorStep::Answer(answer)));
}

#[test]
fn an_unclear_write_that_lost_to_another_write_is_answered_as_out_of_date() {
    let mut state = fleet_with_hosts(4, 3);
    let mut operators = calls_with_unclear_write(&state);
    let fleet = state
        .fleet()
        .expect("a configuration is known")
        .value
        .clone();
    apply_update(&mut state, ObjectKey::Fleet, 4, Object::Fleet(fleet));
    let step = operators.on_platform(at(2), CALL_ID, &list_reply(), &state);
    let is_out_of_date = matches!(
        step,
        Some(OperatorStep::Answer(OperatorAnswer::OutOfDate { version, .. })) if version == Version::without_era(4)
    );
    assert!(is_out_of_date);
}

#[test]
fn a_write_that_stays_unclear_until_the_timeout_is_answered_as_unclear() {
    let state = fleet_with_hosts(4, 3);
    let mut operators = calls_with_unclear_write(&state);
    let later = at(0) + Duration::from_secs(60);
    let step = operators.on_platform(later, CALL_ID, &Err(NoAnswer), &state);
    assert_eq!(step, Some(OperatorStep::Answer(OperatorAnswer::Unclear)));
}

#[test]
fn a_confirm_is_out_of_date_without_a_write_if_the_plan_has_changed() {
    let mut state = fleet_with_hosts(4, 3);
    let call = confirm(plan(&state));
    add_hosts(&mut state, 9, 2);
    let mut operators = OperatorCalls::default();
    operators.begin(at(0), CALL_ID, call);
    let step = operators.on_platform(at(0), CALL_ID, &list_reply(), &state);
    let is_out_of_date = matches!(
        step,
        Some(OperatorStep::Answer(OperatorAnswer::OutOfDate {
            plan: Some(_),
            ..
        }))
    );
    assert!(is_out_of_date);
}

// Guards against a raw key, given in place of its hash, that error messages and logs repeat.
#[test]
fn an_invalid_key_hash_is_not_repeated_in_the_error() {
    const RAW_KEY: &str = "a-raw-key";
    let mut configuration = Configuration::default();
    let customer = CustomerConfig {
        key_sha256: vec![RAW_KEY.into()],
        share: 1,
        rank: None,
    };
    configuration.customers.insert(Customer::new("c"), customer);
    let change = Change::Configure(Box::new(configuration));
    let applied = change.apply(&FleetConfig::default(), &HostList::default());
    let error = applied.expect_err("the hash is invalid").to_string();
    assert!(!error.contains(RAW_KEY), "{error}");
    assert!(
        error.contains("entry 1 of key_sha256 of customer c"),
        "{error}"
    );
}
