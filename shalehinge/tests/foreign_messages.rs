//! Messages of peers and engines with values that are impossible: each is an error of that message,
//! and reaches the core no more.

use std::collections::BTreeMap;

use shalehinge::core::bounds::{CheckBounds, MAX_COMBINED_NAME_BYTES, OutOfBounds};
use shalehinge::core::demand::{DaemonWork, ModelWork, WorkReport};
use shalehinge::core::engine::EngineStatus;
use shalehinge::core::event::{PullReply, QuarantineReport};
use shalehinge::core::fleet_state::{ObjectUpdate, VersionDigest};
use shalehinge::core::load::DaemonLoad;
use shalehinge::core::membership::{Gossip, Heartbeat};
use shalehinge::core::objects::{HostList, HostRecord, HostState, Object, ObjectKey};
use shalehinge::core::types::{
    DaemonId, FabricDomain, FailureDomain, FleetVersion, HostId, Incarnation, ModelName,
    ServiceName, Version,
};
use shalehinge::peer::decode_message;
use shalehinge::upstream::engine::decode;

#[test]
fn impossible_values_of_an_engine_are_an_error_of_that_response() {
    let status = |field: &str, value: &str| {
        let mut load = r#""running": 1, "waiting": 0, "slots": 8, "kv_used": 0, "kv_total": 9"#
            .replace(&format!("\"{field}\": "), "\"unused\": ");
        load.push_str(&format!(", \"{field}\": {value}"));
        format!(
            r#"{{"host": "h", "phase": "ready", "group": 1, "held": null, "members_present": 1,
                "member_count": 1, "load": {{{load}}}}}"#
        )
    };
    let decode = |text: String| decode::<EngineStatus>(text.as_bytes());
    let valid = decode(status("running", "2"));
    assert!(valid.is_ok(), "{valid:?}");
    for (field, value) in [
        ("slots", "1000001"),
        ("slots", "-1"),
        ("slots", "NaN"),
        ("running", "4294967295"),
        ("kv_total", "18446744073709551615"),
    ] {
        let error = decode(status(field, value)).expect_err(field).to_string();
        assert!(!error.is_empty());
    }
    let long = "h".repeat(MAX_COMBINED_NAME_BYTES + 1);
    let text = status("running", "1").replace("\"h\"", &format!("{long:?}"));
    assert!(decode(text).is_err(), "the name is too long");
}

#[test]
fn a_work_report_of_a_peer_with_impossible_counts_is_rejected() {
    for value in [-1.0, f64::NAN, f64::INFINITY, 1e300] {
        let work = ModelWork {
            requests: value,
            ..ModelWork::default()
        };
        let report = WorkReport {
            daemon: DaemonId::new("d"),
            ms_ago: 0,
            work: DaemonWork {
                seconds: 1.0,
                counts: BTreeMap::from([(ModelName::new("m"), work)]),
            },
        };
        assert_eq!(report.check_bounds(), Err(OutOfBounds("requests")));
    }
}

/// A reply of a peer with one host of this record.
fn reply_with(record: HostRecord) -> PullReply {
    let heartbeat = Heartbeat {
        daemon: DaemonId::new("d"),
        address: ([10, 0, 0, 2], 1).into(),
        failure_domain: FailureDomain::new("d"),
        incarnation: Incarnation(1),
        counter: 1,
        revision: 1,
        leaving: false,
        isolated: false,
        fleet: FleetVersion::NONE,
        holds_control: false,
        load: DaemonLoad::default(),
    };
    let hosts = BTreeMap::from([(HostId::new("h"), record)]);
    PullReply {
        gossip: Gossip {
            sender: heartbeat,
            members: Vec::new(),
            brief: Vec::new(),
        },
        digest: VersionDigest::default(),
        updates: vec![ObjectUpdate {
            key: ObjectKey::Hosts,
            version: Version::without_era(1),
            object: Object::Hosts(HostList { hosts }),
        }],
        confirmed_ms_ago: Some(u64::MAX),
        hosts_ms_ago: None,
        reached: None,
        work: Vec::new(),
        moving: Vec::new(),
        quarantine: QuarantineReport::default(),
    }
}

/// A peer of an earlier version passes on an entry that it accepted.
#[test]
fn a_reply_of_a_peer_with_an_impossible_record_is_rejected() {
    let record = |slots: u32, warm_up_ms: u64| HostRecord {
        address: ([10, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new("d"),
        fabric_domain: FabricDomain::new("f"),
        accelerators: 1,
        state: HostState::Live,
        service: Some(ServiceName::new("s")),
        slots: Some(slots),
        staged: Vec::new(),
        status: None,
        started: None,
        warm_up_ms,
    };
    let decode = |record: HostRecord| {
        let message = rmp_serde::to_vec(&reply_with(record)).expect("the reply is encoded");
        let decoded = decode_message::<PullReply>(&message);
        decoded.map(drop).map_err(|error| error.to_string())
    };
    assert_eq!(decode(record(1, 0)), Ok(()));
    assert_eq!(decode(record(0, 0)), Err("slots is out of range".into()));
    assert_eq!(
        decode(record(1_000_001, 0)),
        Err("slots is out of range".into())
    );
    let error = decode(record(1, 3_600_001));
    assert_eq!(error, Err("warm_up_ms is out of range".into()));
}
