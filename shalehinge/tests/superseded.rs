//! Tests of daemons whose configuration is out of date, or was confirmed too long ago.

use std::collections::BTreeMap;
use std::time::Duration;

use shalehinge::core::claim_witnesses::ClaimsNotice;
use shalehinge::core::daemon::{Daemon, Identity};
use shalehinge::core::event::{
    Action, Event, LimitsNotice, Notice, PullReply, PullTopic, QuarantineReport,
};
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::fleet_state::{ObjectUpdate, VersionDigest};
use shalehinge::core::load::DaemonLoad;
use shalehinge::core::membership::{Gossip, Heartbeat};
use shalehinge::core::object_fetch::{Locality, ObjectFetch};
use shalehinge::core::objects::{
    FleetConfig, Object, ObjectKey, RequestKind, RouteConfig, ServiceConfig, WeightedService,
};
use shalehinge::core::router::request::{NotRunReason, Outcome, RequestMeta, Target};
use shalehinge::core::routes::{RouteQuery, RouteRefusal};
use shalehinge::core::types::{
    Address, Customer, DaemonId, FailureDomain, FleetVersion, Incarnation, RequestId, ServiceName,
    Timestamp, Version,
};
use shalehinge::settings::core::CoreSettings;
use shalehinge::settings::learning::{FeedLayout, LearningSettings};

const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
const REVOKE_WITHIN: Duration = Duration::from_secs(5);

fn address(port: u16) -> Address {
    ([10, 0, 0, 1], port).into()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn daemon() -> Daemon {
    let settings = CoreSettings {
        learning: LearningSettings {
            feeds: FeedLayout::Split,
            relays: true,
            strict_revocation: true,
            revoke_within: Some(REVOKE_WITHIN),
            in_force_within: Some(IN_FORCE_WITHIN),
            ..LearningSettings::default()
        },
        ..CoreSettings::default()
    };
    let identity = Identity {
        daemon: DaemonId::new("one"),
        failure_domain: FailureDomain::new("d"),
        address: address(1),
        incarnation: Incarnation(1),
        seeds: vec![address(2)],
        is_first_start: false,
        wall_seconds: 0,
    };
    Daemon::new(settings, identity, 1)
}

fn gossip(port: u16) -> Gossip {
    Gossip {
        sender: Heartbeat {
            daemon: DaemonId::new(&format!("peer-{port}")),
            address: address(port),
            failure_domain: FailureDomain::new("d"),
            incarnation: Incarnation(1),
            counter: 1,
            revision: 0,
            leaving: false,
            isolated: false,
            fleet: FleetVersion::NONE,
            holds_control: false,
            load: DaemonLoad::default(),
        },
        members: Vec::new(),
        brief: Vec::new(),
    }
}

fn digest(fleet: u64) -> VersionDigest {
    VersionDigest {
        fleet: FleetVersion::without_generation(Version::without_era(fleet)),
        ..VersionDigest::default()
    }
}

fn configuration(version: u64) -> ObjectUpdate {
    let service_name = ServiceName::new("plain");
    let service = ServiceConfig {
        path_prefix: String::new(),
        upstreams: Vec::new(),
        not_repeatable: Vec::new(),
        is_listed: true,
    };
    let route = RouteConfig {
        name: "all".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RequestKind::Repeatable,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        rank: 2,
        max_attempts: 2,
        is_anonymous: false,
        is_resumable: false,
        backends: vec![WeightedService {
            service: service_name.clone(),
            weight: 1,
        }],
    };
    ObjectUpdate {
        key: ObjectKey::Fleet,
        version: Version::without_era(version),
        object: Object::Fleet(FleetConfig {
            services: BTreeMap::from([(service_name, service)]),
            routes: vec![route],
            ..FleetConfig::default()
        }),
    }
}

/// A peer's reply: `version` is in force there, and was confirmed `confirmed_ms_ago` ago.
fn pull_reply(version: u64, confirmed_ms_ago: u64) -> PullReply {
    PullReply {
        gossip: gossip(2),
        digest: digest(version),
        updates: Vec::new(),
        confirmed_ms_ago: Some(confirmed_ms_ago),
        hosts_ms_ago: None,
        reached: None,
        work: Vec::new(),
        moving: Vec::new(),
        quarantine: QuarantineReport::default(),
    }
}

/// A reply that contains the configuration itself.
fn whole_reply(asked_at: Timestamp, version: u64, confirmed_ms_ago: u64) -> Event {
    Event::PullAnswered {
        topic: PullTopic::WholeObjects,
        asked_at,
        reply: Some(PullReply {
            updates: vec![configuration(version)],
            ..pull_reply(version, confirmed_ms_ago)
        }),
    }
}

/// A reply that contains versions only.
fn versions_reply(asked_at: Timestamp, version: u64, confirmed_ms_ago: u64) -> Event {
    Event::PullAnswered {
        topic: PullTopic::All,
        asked_at,
        reply: Some(pull_reply(version, confirmed_ms_ago)),
    }
}

fn notice_event(port: u16, version: u64) -> Event {
    Event::NoticeReceived(Notice {
        from: address(port),
        digest: digest(version),
        lost: Vec::new(),
        quarantine: QuarantineReport::default(),
        limits: LimitsNotice::default(),
        claims: ClaimsNotice::default(),
        silent: Vec::new(),
    })
}

fn handle(daemon: &mut Daemon, now: Timestamp, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    daemon.handle(now, event, &mut actions);
    actions
}

fn is_routed(daemon: &Daemon, now: Timestamp) -> bool {
    let query = RouteQuery {
        host: "h",
        path: "/x",
        key_sha256: None,
        split_key: 0,
    };
    match daemon.route(now, query) {
        Ok(_) => true,
        Err(refusal) => {
            assert_eq!(refusal, RouteRefusal::NotReady);
            false
        }
    }
}

/// Number of pulls of whole objects among the actions.
fn count_whole_fetches(actions: &[Action]) -> usize {
    let is_whole_fetch = |action: &&Action| matches!(action, Action::Pull { pull, .. } if pull.topic == PullTopic::WholeObjects);
    actions.iter().filter(is_whole_fetch).count()
}

/// Guards against revoked keys that stay usable: a daemon behind a congested link accepted them
/// for 6 s more, although its peers had reported a newer configuration long before.
#[test]
fn an_outdated_configuration_stops_being_used_within_the_limit() {
    let mut daemon = daemon();
    handle(&mut daemon, at(900), whole_reply(at(800), 5, 100));
    handle(&mut daemon, at(1_000), notice_event(2, 7));
    assert!(
        is_routed(&daemon, at(1_500)),
        "the newer version may still be in transfer"
    );
    handle(&mut daemon, at(2_000), notice_event(3, 9));
    assert!(!is_routed(&daemon, at(3_000)));
    handle(&mut daemon, at(3_100), whole_reply(at(1_000), 7, 50));
    assert!(
        is_routed(&daemon, at(3_200)),
        "version 9 has been known since 2.0 s"
    );
    handle(&mut daemon, at(3_500), notice_event(4, 9));
    assert!(!is_routed(&daemon, at(4_000)));
    handle(&mut daemon, at(4_100), whole_reply(at(4_050), 9, 50));
    assert!(is_routed(&daemon, at(60_000)));
}

/// Guards against needless traffic between failure domains, which is charged: two thirds of
/// 0.3 GB a day crossed them.
#[test]
fn whole_objects_are_fetched_from_the_own_failure_domain_first() {
    let (near, far) = (address(2), address(3));
    let mut fetch = ObjectFetch::default();
    fetch.note_newer_version(at(1_000), far, Locality::Remote);
    assert_eq!(
        fetch.begin(at(1_100)),
        None,
        "near peers take precedence at first"
    );
    fetch.note_newer_version(at(1_200), near, Locality::Local);
    assert_eq!(fetch.begin(at(1_200)), Some(near));
    fetch.end();
    fetch.note_newer_version(at(2_000), far, Locality::Remote);
    fetch.note_newer_version(at(2_300), far, Locality::Remote);
    assert_eq!(
        fetch.begin(at(2_400)),
        Some(far),
        "no near peer has the object"
    );
}

/// Guards against an outage of a failure domain that is cut off just after it received a notice
/// of a newer configuration: it must continue to serve with the configuration it has.
#[test]
fn a_daemon_cut_off_from_its_peers_keeps_its_configuration() {
    let mut daemon = daemon();
    handle(&mut daemon, at(900), whole_reply(at(800), 5, 100));
    handle(&mut daemon, at(1_000), notice_event(2, 7));
    handle(&mut daemon, at(2_000), notice_event(2, 7));
    assert!(!is_routed(&daemon, at(3_000)));
    assert!(
        is_routed(&daemon, at(4_000)),
        "no peer reports a newer version any more"
    );
}

#[test]
fn whole_objects_are_fetched_from_one_peer_at_a_time() {
    let mut daemon = daemon();
    let mut asked = 0;
    for port in 2..8 {
        asked += count_whole_fetches(&handle(&mut daemon, at(1_000), notice_event(port, 7)));
    }
    assert_eq!(asked, 1);
    let unanswered = Event::PullAnswered {
        topic: PullTopic::WholeObjects,
        asked_at: at(1_000),
        reply: None,
    };
    let actions = handle(&mut daemon, at(2_000), unanswered);
    assert_eq!(
        count_whole_fetches(&actions),
        1,
        "the next peer that reported it"
    );
}

/// Sends a request with a key at `now` and returns why it was not run.
fn not_run_reason_with_key(daemon: &mut Daemon, now: Timestamp) -> NotRunReason {
    handle(daemon, now, Event::Tick);
    let meta = RequestMeta {
        customer: Customer::new("one"),
        fingerprint: Fingerprint(1),
        target: Target::Service(ServiceName::new("plain")),
        prompt_tokens: 0,
        max_output_tokens: 0,
        deadline: at(60_000),
        first_output_within: None,
        priority: 5,
        key: None,
        repeatable: true,
        prefix: Vec::new(),
        prompt_parts: Vec::new(),
        max_attempts: Some(1),
        is_resumable: false,
        credential: Some("a-hash".into()),
    };
    let request = RequestId(now.as_duration().as_millis() as u64);
    let actions = handle(daemon, now, Event::Request { request, meta });
    let reason = actions.iter().find_map(|action| match action {
        Action::Answer {
            outcome: Outcome::NotRun { reason, .. },
            ..
        } => Some(*reason),
        _ => None,
    });
    reason.expect("the request must not run, as the service has no instance")
}

/// A key may be used for 4 s after the platform confirmed the configuration. A daemon that starts
/// during an outage receives a configuration confirmed 3.8 s before; its own start must not count
/// as a confirmation.
#[test]
fn the_age_of_a_confirmation_includes_time_before_the_start() {
    let mut daemon = daemon();
    handle(&mut daemon, at(250), whole_reply(at(200), 5, 3_800));
    let reason = not_run_reason_with_key(&mut daemon, at(300));
    assert_eq!(
        reason,
        NotRunReason::NoUpstream,
        "the key is valid until 0.4 s after the start"
    );
    let reason = not_run_reason_with_key(&mut daemon, at(450));
    assert_eq!(reason, NotRunReason::OutOfDate);
}

/// The age that a peer reports for its configuration must not confirm an older configuration.
#[test]
fn a_peer_with_a_newer_configuration_does_not_confirm_an_older_one() {
    let mut daemon = daemon();
    handle(&mut daemon, at(900), whole_reply(at(800), 5, 100));
    handle(&mut daemon, at(4_000), versions_reply(at(3_990), 5, 10));
    let reason = not_run_reason_with_key(&mut daemon, at(5_000));
    assert_eq!(reason, NotRunReason::NoUpstream, "confirmed at 3.98 s");
    handle(&mut daemon, at(7_000), versions_reply(at(6_990), 7, 10));
    let reason = not_run_reason_with_key(&mut daemon, at(8_500));
    assert_eq!(reason, NotRunReason::OutOfDate);
}
