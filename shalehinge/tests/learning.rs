//! Feeds of objects from the platform and how fresh they are, the route table, and the replica
//! counts that follow from a configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shalehinge::core::feed::{Confirmation, Feed};
use shalehinge::core::fleet_state::{ApplyResult, FleetState, ObjectUpdate};
use shalehinge::core::objects::{
    CustomerConfig, FleetConfig, HostChanges, HostList, HostRecord, HostState, ModelProfile,
    Object, ObjectKey, RequestKind, RouteConfig, WeightedService,
};
use shalehinge::core::placement::shares::{replicas_by_share, replicas_that_fit};
use shalehinge::core::platform::{Freshness, NoAnswer, PlatformCall, PlatformReply, Scope};
use shalehinge::core::routes::{RouteQuery, RouteRefusal, RouteTable};
use shalehinge::core::types::{
    Customer, FabricDomain, FailureDomain, FleetVersion, HostId, ModelName, ServiceName, StoreEra,
    Timestamp, Version,
};

const WAIT: Duration = Duration::from_secs(1);
const EXACT: Option<Freshness> = Some(Freshness::Exact);
const STALE: Option<Freshness> = Some(Freshness::MayBeStale);
const SPACING: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn exact_list() -> PlatformCall {
    PlatformCall::List {
        scope: Scope::Hosts,
        freshness: Freshness::Exact,
    }
}

fn objects(revision: u64) -> PlatformReply {
    PlatformReply::Objects {
        revision: Version::without_era(revision),
        updates: Vec::new(),
    }
}

#[test]
fn a_feed_lists_once_then_watches_from_that_revision() {
    let mut feed = Feed::new(Scope::Hosts);
    let list = exact_list();
    assert_eq!(feed.next_call(at(10), EXACT, WAIT), Some(list));
    assert_eq!(
        feed.next_call(at(11), EXACT, WAIT),
        None,
        "one open call at a time"
    );
    feed.on_answer(at(20), &Ok(objects(7)), SPACING, PAUSE, None);
    assert_eq!(
        feed.next_call(at(21), EXACT, WAIT),
        None,
        "the spacing has not passed"
    );
    let watch = PlatformCall::Watch {
        scope: Scope::Hosts,
        after: Version::without_era(7),
        wait: WAIT,
        freshness: Freshness::Exact,
    };
    assert_eq!(feed.next_call(at(310), EXACT, WAIT), Some(watch));
}

#[test]
fn a_reply_is_only_as_fresh_as_its_call() {
    let mut feed = Feed::new(Scope::Configuration);
    feed.next_call(at(10), EXACT, WAIT);
    feed.on_answer(at(900), &Ok(objects(7)), SPACING, PAUSE, None);
    assert_eq!(feed.as_of(), Some(at(10)));
    feed.next_call(at(1_000), EXACT, WAIT);
    feed.on_answer(at(3_000), &Err(NoAnswer), SPACING, PAUSE, None);
    assert_eq!(
        feed.as_of(),
        Some(at(10)),
        "a call without an answer proves nothing"
    );
}

/// A feed that listed revision 7 and whose watch was then answered by a stale reply of `revision`,
/// while `confirmed` was the newest known confirmation.
fn feed_with_stale_reply(revision: u64, confirmed: Confirmation) -> Feed {
    let mut feed = Feed::new(Scope::Hosts);
    feed.next_call(at(10), EXACT, WAIT);
    feed.on_answer(at(20), &Ok(objects(7)), SPACING, PAUSE, None);
    feed.next_call(at(2_000), STALE, WAIT);
    let answer = Ok(objects(revision));
    feed.on_answer(at(2_500), &answer, SPACING, PAUSE, Some(confirmed));
    feed
}

fn confirmed(revision: u64, millis: u64) -> Confirmation {
    Confirmation {
        revision: Version::without_era(revision),
        at: at(millis),
    }
}

#[test]
fn a_stale_reply_proves_what_an_exact_reply_confirmed() {
    let feed = feed_with_stale_reply(9, confirmed(8, 1_700));
    assert_eq!(feed.as_of(), Some(at(1_700)));
}

#[test]
fn a_feed_that_lags_behind_makes_an_exact_call_at_once() {
    let mut feed = feed_with_stale_reply(8, confirmed(9, 1_700));
    assert_eq!(feed.as_of(), Some(at(10)), "the list was exact");
    let watch = PlatformCall::Watch {
        scope: Scope::Hosts,
        after: Version::without_era(8),
        wait: WAIT,
        freshness: Freshness::Exact,
    };
    assert_eq!(feed.next_call(at(2_500), STALE, WAIT), Some(watch));
}

#[test]
fn a_change_after_the_call_is_not_a_lag() {
    let mut feed = feed_with_stale_reply(8, confirmed(9, 2_100));
    let watch = PlatformCall::Watch {
        scope: Scope::Hosts,
        after: Version::without_era(8),
        wait: WAIT,
        freshness: Freshness::MayBeStale,
    };
    assert_eq!(feed.next_call(at(2_500), STALE, WAIT), Some(watch));
}

#[test]
fn an_older_stale_reply_does_not_move_a_feed_back() {
    let mut feed = feed_with_stale_reply(5, confirmed(4, 1_000));
    let watch = PlatformCall::Watch {
        scope: Scope::Hosts,
        after: Version::without_era(7),
        wait: WAIT,
        freshness: Freshness::MayBeStale,
    };
    assert_eq!(feed.next_call(at(2_600), STALE, WAIT), Some(watch));
}

#[test]
fn a_feed_lists_again_when_history_is_discarded() {
    let mut feed = Feed::new(Scope::Hosts);
    feed.next_call(at(10), EXACT, WAIT);
    feed.on_answer(at(20), &Ok(objects(7)), SPACING, PAUSE, None);
    feed.next_call(at(400), EXACT, WAIT);
    feed.on_answer(
        at(410),
        &Ok(PlatformReply::HistoryGone(StoreEra::UNREPORTED)),
        SPACING,
        PAUSE,
        None,
    );
    let list = exact_list();
    assert_eq!(feed.next_call(at(410), EXACT, WAIT), Some(list));
}

fn record(port: u16) -> HostRecord {
    HostRecord {
        address: ([10, 0, 0, 1], port).into(),
        failure_domain: FailureDomain::new("d"),
        fabric_domain: FabricDomain::new("f"),
        accelerators: 1,
        state: HostState::Live,
        service: None,
        slots: None,
        staged: Vec::new(),
        status: None,
        started: None,
        warm_up_ms: 0,
    }
}

fn update(version: u64, object: Object) -> ObjectUpdate {
    ObjectUpdate {
        key: ObjectKey::Hosts,
        version: Version::without_era(version),
        object,
    }
}

#[test]
fn host_changes_are_applied_to_the_list_and_older_ones_are_ignored() {
    let (a, b) = (HostId::new("a"), HostId::new("b"));
    let mut state = FleetState::default();
    let change = |version, changed: &HostId, removed: Option<&HostId>| {
        update(
            version,
            Object::HostChanges(HostChanges {
                changed: BTreeMap::from([(changed.clone(), record(2))]),
                removed: removed.into_iter().cloned().collect::<BTreeSet<_>>(),
            }),
        )
    };
    assert_eq!(
        state.apply(change(3, &b, None)),
        ApplyResult::Unchanged,
        "no list to apply it to"
    );
    let hosts = BTreeMap::from([(a.clone(), record(1))]);
    assert_ne!(
        state.apply(update(5, Object::Hosts(HostList { hosts }))),
        ApplyResult::Unchanged
    );
    assert_eq!(
        state.apply(change(4, &b, None)),
        ApplyResult::Unchanged,
        "older than the list"
    );
    assert_ne!(state.apply(change(6, &b, Some(&a))), ApplyResult::Unchanged);
    let known: Vec<HostId> = state
        .hosts()
        .expect("known")
        .value
        .hosts
        .keys()
        .cloned()
        .collect();
    assert_eq!(known, [b]);
}

fn route(host: &str, prefix: &str, service: &str) -> RouteConfig {
    RouteConfig {
        name: prefix.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RequestKind::Repeatable,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        rank: 2,
        max_attempts: 2,
        is_anonymous: false,
        is_resumable: false,
        backends: vec![WeightedService {
            service: ServiceName::new(service),
            weight: 1,
        }],
    }
}

fn fleet(routes: Vec<RouteConfig>) -> FleetConfig {
    let customer = CustomerConfig {
        key_sha256: vec!["good".into()],
        share: 1,
        rank: Some(0),
    };
    FleetConfig {
        routes,
        customers: BTreeMap::from([(Customer::new("one"), customer)]),
        ..FleetConfig::default()
    }
}

fn query<'a>(host: &'a str, path: &'a str, key: Option<&'a str>) -> RouteQuery<'a> {
    RouteQuery {
        host,
        path,
        key_sha256: key,
        split_key: 0,
    }
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let routes = vec![
        route("h", "/a/", "short"),
        route("h", "/a/b/", "long"),
        route("other", "/a/b/c/", "other"),
    ];
    let table = RouteTable::new(FleetVersion::NONE, &fleet(routes));
    let service = |path| {
        let routed = table.find(query("h", path, Some("good")));
        routed.map(|routed| routed.service.to_string())
    };
    assert_eq!(service("/a/b/c/d"), Ok("long".into()));
    assert_eq!(service("/a/bc"), Ok("short".into()));
    assert_eq!(service("/b/"), Err(RouteRefusal::UnknownRoute));
}

#[test]
fn an_empty_list_of_customers_admits_anonymous_requests_only() {
    let mut open = route("h", "/open/", "s");
    open.is_anonymous = true;
    let config = FleetConfig {
        customers: BTreeMap::new(),
        admits_no_customer: true,
        ..fleet(vec![route("h", "/a/", "s"), open])
    };
    let message = rmp_serde::to_vec(&config).expect("encodes");
    let received: FleetConfig = rmp_serde::from_slice(&message).expect("decodes");
    assert_eq!(received, config);
    for config in [config, received] {
        let table = RouteTable::new(FleetVersion::NONE, &config);
        let refused = Err(RouteRefusal::UnknownKey);
        assert_eq!(table.find(query("h", "/a/x", None)), refused);
        assert_eq!(table.find(query("h", "/a/x", Some("good"))), refused);
        assert!(table.find(query("h", "/open/x", None)).is_ok());
    }
}

#[test]
fn messages_with_customers_have_the_form_of_earlier_versions() {
    let config = fleet(vec![route("h", "/a/", "s")]);
    let with_marker = FleetConfig {
        admits_no_customer: true,
        ..config.clone()
    };
    let length = |config: &FleetConfig| rmp_serde::to_vec(config).expect("encodes").len();
    assert_eq!(length(&with_marker), length(&config) + 1);
}

#[test]
fn a_key_is_required_unless_the_route_is_anonymous_and_its_rank_takes_precedence() {
    let mut open = route("h", "/open/", "s");
    open.is_anonymous = true;
    let table = RouteTable::new(
        FleetVersion::NONE,
        &fleet(vec![route("h", "/a/", "s"), open]),
    );
    let refused = Err(RouteRefusal::UnknownKey);
    assert_eq!(table.find(query("h", "/a/x", None)), refused);
    assert_eq!(table.find(query("h", "/a/x", Some("bad"))), refused);
    let routed = table
        .find(query("h", "/a/x", Some("good")))
        .expect("routed");
    assert_eq!(routed.rank(), 0);
    let routed = table.find(query("h", "/open/x", None)).expect("routed");
    assert_eq!((routed.rank(), routed.holder.is_none()), (2, true));
}

#[test]
fn services_receive_requests_by_weight() {
    let mut split = route("h", "/a/", "x");
    split.backends = vec![
        WeightedService {
            service: ServiceName::new("x"),
            weight: 90,
        },
        WeightedService {
            service: ServiceName::new("y"),
            weight: 10,
        },
    ];
    let table = RouteTable::new(FleetVersion::NONE, &fleet(vec![split]));
    let to_y = (0..1_000).filter(|spread| {
        let query = RouteQuery {
            split_key: *spread,
            ..query("h", "/a/", Some("good"))
        };
        table.find(query).expect("routed").service.as_str() == "y"
    });
    assert_eq!(to_y.count(), 100);
}

fn profile(hosts_per_replica: u32, work_share: f64) -> ModelProfile {
    ModelProfile {
        service: ServiceName::new("s"),
        hosts_per_replica,
        work_share,
        pace: 1.0,
        slots: 8,
        times: None,
        load_seconds: None,
    }
}

#[test]
fn replicas_follow_the_shares_and_remaining_hosts_go_to_small_replicas() {
    let (large, small) = (ModelName::new("large"), ModelName::new("small"));
    let profiles = BTreeMap::from([
        (large.clone(), profile(4, 0.67)),
        (small.clone(), profile(2, 0.33)),
    ]);
    let counts = replicas_by_share(&profiles, &[8, 8], 0.0);
    assert_eq!((counts[&large], counts[&small]), (2, 4));
    let fitting = replicas_that_fit(&profiles, &[8, 7], counts.clone());
    assert_eq!((fitting[&large], fitting[&small]), (2, 3));
    let fitting = replicas_that_fit(&profiles, &[3], counts);
    assert_eq!((fitting[&large], fitting[&small]), (0, 1));
}

#[test]
fn each_model_gets_a_replica_where_hosts_allow_it() {
    let (busy, idle) = (ModelName::new("busy"), ModelName::new("idle"));
    let profiles = BTreeMap::from([
        (busy.clone(), profile(2, 1.0)),
        (idle.clone(), profile(2, 0.0)),
    ]);
    let counts = replicas_by_share(&profiles, &[6], 0.0);
    assert!(counts[&idle] >= 1 && counts[&busy] >= 1, "{counts:?}");
}
