//! Routing to upstreams of a host list: streams move away from stalled replicas, attempts stay
//! within the route's limit, and API keys are valid only while the configuration is confirmed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::load::{DaemonLoad, PeerLoad, TargetHash, TargetLoad};
use shalehinge::core::router::request::{
    Attempt, AttemptEnd, NotRunReason, Outcome, RequestMeta, Target, UnknownReason, UpstreamId,
};
use shalehinge::core::router::topology::Topology;
use shalehinge::core::router::upstream::{Evidence, UpstreamSpec};
use shalehinge::core::router::{Router, RouterAction};
use shalehinge::core::types::{
    Customer, FailureDomain, GroupNumber, HostId, Incarnation, ModelName, ReplicaId, RequestId,
    Timestamp,
};
use shalehinge::settings::router::RouterSettings;

struct Harness {
    router: Router,
    now: Timestamp,
    rng: SmallRng,
    sent: BTreeMap<u64, Vec<Attempt>>,
    answers: BTreeMap<u64, Outcome>,
    abandoned: usize,
    log: Vec<String>,
}

fn target() -> Target {
    Target::Model(ModelName::new("s/m"))
}

fn spec(number: u64) -> UpstreamSpec {
    UpstreamSpec {
        id: UpstreamId::Replica(ReplicaId {
            failure_domain: FailureDomain::new("d"),
            number: GroupNumber(number),
        }),
        address: ([10, 0, 0, 1], number as u16).into(),
        group: Some(GroupNumber(number)),
        failure_domain: FailureDomain::new("d"),
        remote: false,
        accepts_new: true,
        host: Some(HostId::new("host")),
        evidence: Evidence::Listed,
        slots: Some(8),
        started: None,
        warm_up: None,
    }
}

fn stream() -> RequestMeta {
    RequestMeta {
        customer: Customer::new("one"),
        fingerprint: Fingerprint(1),
        target: target(),
        prompt_tokens: 100,
        max_output_tokens: 50,
        deadline: Timestamp::from_millis(60_000),
        first_output_within: None,
        priority: 5,
        key: None,
        repeatable: true,
        prefix: Vec::new(),
        prompt_parts: Vec::new(),
        max_attempts: Some(2),
        is_resumable: true,
        credential: None,
    }
}

fn stream_with_key() -> RequestMeta {
    RequestMeta {
        credential: Some("a-hash".into()),
        ..stream()
    }
}

impl Harness {
    fn with_replicas(count: u64) -> Self {
        Self::with_settings(count, RouterSettings::default())
    }

    fn with_settings(count: u64, settings: RouterSettings) -> Self {
        let settings = RouterSettings {
            max_attempts: 5,
            retry_burst: 50.0,
            ..settings
        };
        let mut router = Router::new(settings, Incarnation(1));
        let specs = (0..count).map(spec).collect();
        router.set_topology(
            Timestamp::from_millis(1_000),
            Topology::from([(target(), specs)]),
        );
        let mut harness = Self {
            router,
            now: Timestamp::from_millis(1_000),
            rng: SmallRng::seed_from_u64(1),
            sent: BTreeMap::new(),
            answers: BTreeMap::new(),
            abandoned: 0,
            log: Vec::new(),
        };
        harness.advance(Duration::from_millis(200));
        harness
    }

    fn lose(&mut self, upstream: &UpstreamId) {
        let UpstreamId::Replica(replica) = upstream else {
            panic!("not a replica: {upstream:?}");
        };
        let mut out = Vec::new();
        self.router
            .on_replica_lost(self.now, replica, &mut self.rng, &mut out);
        self.handle_actions(out);
    }

    fn submit(&mut self, request: u64, meta: RequestMeta) {
        let mut out = Vec::new();
        let id = RequestId(request);
        let meta = RequestMeta {
            fingerprint: Fingerprint(request),
            ..meta
        };
        self.router
            .submit(self.now, id, meta, 1, &mut self.rng, &mut out);
        self.handle_actions(out);
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(50);
            let mut out = Vec::new();
            self.router.tick(self.now, &mut self.rng, &mut out);
            self.handle_actions(out);
        }
    }

    fn last(&self, request: u64) -> Attempt {
        let attempts = self.sent.get(&request).expect("sent");
        attempts.last().expect("sent").clone()
    }

    fn attempts(&self, request: u64) -> usize {
        self.sent.get(&request).map_or(0, Vec::len)
    }

    fn output(&mut self, request: u64) {
        let attempt = self.last(request).id;
        let mut actions = Vec::new();
        self.router
            .on_output(self.now, RequestId(request), attempt, &mut actions);
        self.handle_actions(actions);
    }

    fn progress(&mut self, request: u64) {
        let attempt = self.last(request).id;
        let mut actions = Vec::new();
        self.router
            .on_progress(self.now, RequestId(request), attempt, &mut actions);
        self.handle_actions(actions);
    }

    fn end(&mut self, request: u64, end: AttemptEnd) {
        let attempt = self.last(request).id;
        let mut out = Vec::new();
        let id = RequestId(request);
        self.router
            .on_ended(self.now, id, attempt, end, &mut self.rng, &mut out);
        self.handle_actions(out);
    }

    fn handle_actions(&mut self, out: Vec<RouterAction>) {
        for action in out {
            match action {
                RouterAction::Send(attempt) => {
                    let sent = self.sent.entry(attempt.request.0).or_default();
                    sent.push(attempt);
                }
                RouterAction::Answer { request, outcome } => {
                    let earlier = self.answers.insert(request.0, outcome);
                    assert_eq!(earlier, None, "a request is answered once");
                }
                RouterAction::Abandon(_) => self.abandoned += 1,
                RouterAction::Log(line) => self.log.push(line),
                RouterAction::CheckUpstream { upstream, .. } => {
                    let mut out = Vec::new();
                    let (now, is_gone) = (self.now, false);
                    self.router.on_upstream_checked(
                        now,
                        &upstream,
                        is_gone,
                        &mut self.rng,
                        &mut out,
                    );
                    self.handle_actions(out);
                }
                RouterAction::RequestTrial(_)
                | RouterAction::Forward(_)
                | RouterAction::ProbeUpstream { .. }
                | RouterAction::ReportLimit(_)
                | RouterAction::RequestPermits { .. }
                | RouterAction::Count(_) => {}
            }
        }
    }
}

#[test]
fn a_stream_moves_away_from_a_stalled_replica() {
    let mut harness = Harness::with_replicas(2);
    harness.submit(1, stream());
    let first = harness.last(1).upstream;
    harness.output(1);
    harness.advance(Duration::from_millis(700));
    assert_eq!(harness.attempts(1), 1, "a short pause is not a stall");
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.attempts(1), 2);
    assert_ne!(harness.last(1).upstream, first);
    assert_eq!(harness.abandoned, 0, "the first connection is kept");
    harness.output(1);
    assert_eq!(harness.abandoned, 1, "the first connection is closed");
}

#[test]
fn output_of_any_stream_shows_that_a_replica_makes_progress() {
    let mut harness = Harness::with_replicas(1);
    harness.submit(1, stream());
    harness.submit(2, stream());
    harness.output(1);
    harness.output(2);
    for _ in 0..20 {
        harness.advance(Duration::from_millis(200));
        harness.progress(1);
    }
    assert_eq!((harness.attempts(2), harness.abandoned), (1, 0));
}

#[test]
fn a_daemon_that_was_paused_does_not_treat_all_replicas_as_stalled() {
    let mut harness = Harness::with_replicas(2);
    harness.submit(1, stream());
    harness.output(1);
    harness.now = harness.now + Duration::from_secs(5);
    harness.advance(Duration::from_millis(50));
    assert_eq!((harness.attempts(1), harness.abandoned), (1, 0));
}

#[test]
fn a_stalled_replica_is_a_suspect_to_report_to_the_lease_holder() {
    let mut harness = Harness::with_replicas(2);
    harness.submit(1, stream());
    harness.output(1);
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.router.suspects(harness.now).len(), 1);
}

#[test]
fn a_stalled_replica_becomes_a_suspect_before_requests_are_moved() {
    let settings = RouterSettings {
        suspect_after: Duration::from_millis(200),
        ..RouterSettings::default()
    };
    let mut harness = Harness::with_settings(2, settings);
    harness.submit(1, stream());
    harness.output(1);
    harness.advance(Duration::from_millis(300));
    assert_eq!(harness.router.suspects(harness.now).len(), 1);
    assert_eq!(harness.attempts(1), 1, "it may be a short pause");
    harness.progress(1);
    assert_eq!(harness.router.suspects(harness.now).len(), 0);
}

#[test]
fn the_log_says_how_long_a_stalled_replica_was_silent() {
    let mut harness = Harness::with_replicas(2);
    harness.submit(1, stream());
    harness.output(1);
    harness.advance(Duration::from_secs(1));
    let id = &harness.sent[&1][0].upstream;
    let line = format!("{id} is stalled: no output for 800 ms, 1 requests run there");
    assert!(harness.log.contains(&line), "{:?}", harness.log);
}

#[test]
fn a_replica_that_lost_a_member_gets_no_more_requests_and_its_streams_move_at_once() {
    let mut harness = Harness::with_replicas(2);
    harness.submit(1, stream());
    harness.output(1);
    let lost = harness.last(1).upstream;
    harness.lose(&lost);
    assert_eq!(harness.attempts(1), 2);
    assert_ne!(harness.last(1).upstream, lost);
    assert_eq!(harness.abandoned, 0, "the first connection is kept");
    harness.output(1);
    for request in 2..6 {
        harness.submit(request, stream());
        assert_ne!(harness.last(request).upstream, lost);
    }
    harness.lose(&lost);
    assert_eq!(
        harness.abandoned, 1,
        "a second notice of the same loss moves nothing"
    );
}

#[test]
fn a_stream_runs_on_no_more_upstreams_than_its_route_allows() {
    let mut harness = Harness::with_replicas(4);
    harness.submit(1, stream());
    harness.output(1);
    harness.end(1, AttemptEnd::Lost);
    harness.output(1);
    harness.end(1, AttemptEnd::Lost);
    assert_eq!(harness.attempts(1), 2);
    let reason = UnknownReason::Lost;
    assert_eq!(harness.answers[&1], Outcome::Unknown { reason });
}

#[test]
fn refused_attempts_do_not_count_against_the_attempt_limit() {
    let mut harness = Harness::with_replicas(4);
    harness.submit(1, stream());
    harness.end(1, AttemptEnd::Refused);
    harness.end(1, AttemptEnd::Refused);
    harness.end(1, AttemptEnd::Refused);
    assert_eq!(harness.attempts(1), 4);
    let used: BTreeSet<UpstreamId> = harness.sent[&1]
        .iter()
        .map(|a| a.upstream.clone())
        .collect();
    assert_eq!(used.len(), 4, "each attempt on a different upstream");
}

#[test]
fn a_stream_with_output_that_finds_no_other_upstream_is_not_reported_as_not_run() {
    let mut harness = Harness::with_replicas(1);
    harness.submit(1, stream());
    harness.output(1);
    harness.end(1, AttemptEnd::Lost);
    harness.router.set_topology(harness.now, Topology::new());
    harness.advance(Duration::from_secs(2));
    let reason = UnknownReason::Lost;
    assert_eq!(harness.answers[&1], Outcome::Unknown { reason });
}

#[test]
fn a_key_is_valid_only_while_the_configuration_is_confirmed() {
    let mut harness = Harness::with_replicas(1);
    let until = harness.now + Duration::from_secs(1);
    harness.router.set_keys_valid_until(Some(until));
    harness.submit(1, stream_with_key());
    assert_eq!(
        harness.last(1).valid_until,
        until,
        "the attempt must not be sent later"
    );
    harness.now = until;
    harness.submit(2, stream_with_key());
    assert!(matches!(
        harness.answers[&2],
        Outcome::NotRun {
            reason: NotRunReason::OutOfDate,
            ..
        }
    ));
    harness.submit(3, stream());
    assert_eq!(
        harness.attempts(3),
        1,
        "requests without a key are still sent"
    );
}

#[test]
fn a_queued_request_whose_key_is_revoked_never_runs() {
    let mut harness = Harness::with_replicas(1);
    for request in 1..=60 {
        harness.submit(request, stream_with_key());
    }
    let waiting = (1..=60)
        .filter(|request| harness.attempts(*request) == 0 && !harness.answers.contains_key(request))
        .collect::<Vec<u64>>();
    assert!(!waiting.is_empty());
    let mut out = Vec::new();
    harness.router.recheck_keys(|_| false, &mut out);
    harness.handle_actions(out);
    for request in waiting {
        assert!(matches!(
            harness.answers[&request],
            Outcome::NotRun {
                reason: NotRunReason::KeyTakenAway,
                ..
            }
        ));
        assert_eq!(harness.attempts(request), 0);
    }
}

#[test]
fn estimates_from_a_slow_period_do_not_refuse_requests_that_could_correct_them() {
    let mut harness = Harness::with_replicas(2);
    harness.submit(1, stream());
    harness.output(1);
    for _ in 0..200 {
        harness.advance(Duration::from_millis(200));
        harness.progress(1);
    }
    harness.end(1, AttemptEnd::Completed { output_tokens: 2 });
    let urgent = RequestMeta {
        deadline: harness.now + Duration::from_secs(8),
        ..stream()
    };
    harness.submit(2, urgent);
    assert_eq!(harness.attempts(2), 1);
}

#[test]
fn equal_upstreams_get_similar_numbers_of_requests() {
    let mut harness = Harness::with_replicas(4);
    for request in 0..400 {
        harness.submit(request, stream());
        harness.output(request);
        harness.end(request, AttemptEnd::Completed { output_tokens: 5 });
    }
    let mut counts: BTreeMap<UpstreamId, usize> = BTreeMap::new();
    for attempts in harness.sent.values() {
        *counts.entry(attempts[0].upstream.clone()).or_default() += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|count| *count > 50), "{counts:?}");
}

#[test]
fn a_shared_retry_burst_is_divided_and_a_new_daemon_starts_with_few_retries() {
    let settings = RouterSettings {
        retry_burst: 90.0,
        retry_burst_is_shared: true,
        retry_ratio: 0.1,
        max_attempts: 1_000,
        ..RouterSettings::default()
    };
    let mut harness = Harness::with_replicas(8);
    harness.router = Router::new(settings, Incarnation(2));
    let specs = (0..8).map(spec).collect();
    harness
        .router
        .set_topology(harness.now, Topology::from([(target(), specs)]));
    harness
        .router
        .set_fleet_load(harness.now, 9, &PeerLoad::default());
    let without_attempt_limit = RequestMeta {
        max_attempts: None,
        ..stream()
    };
    harness.submit(1, without_attempt_limit);
    while !harness.answers.contains_key(&1) {
        harness.end(1, AttemptEnd::Refused);
        harness.advance(Duration::from_millis(50));
    }
    assert!(
        harness.attempts(1) <= 4,
        "3 retries from the burst, none earned"
    );
}

/// A stream whose first output should come within 300 ms.
fn stream_with_latency_target() -> RequestMeta {
    RequestMeta {
        first_output_within: Some(Duration::from_millis(300)),
        ..stream()
    }
}

/// One replica with room for one request, which has answered one request after 100 ms.
fn harness_with_one_slot() -> Harness {
    let settings = RouterSettings {
        engine_backlog: 0.0,
        uneven_share: 0.125,
        ..RouterSettings::default()
    };
    let mut harness = Harness::with_settings(1, settings);
    harness.submit(1, stream_with_latency_target());
    harness.advance(Duration::from_millis(100));
    harness.output(1);
    harness.end(1, AttemptEnd::Completed { output_tokens: 5 });
    harness
}

#[test]
fn a_request_that_can_still_be_on_time_is_sent_before_one_that_is_late() {
    let mut harness = harness_with_one_slot();
    harness.submit(2, stream_with_latency_target());
    harness.submit(3, stream_with_latency_target());
    harness.advance(Duration::from_millis(400));
    harness.submit(4, stream_with_latency_target());
    harness.end(2, AttemptEnd::Completed { output_tokens: 5 });
    assert!(harness.sent.contains_key(&4), "can still be on time");
    assert!(!harness.sent.contains_key(&3), "already late");
    harness.end(4, AttemptEnd::Completed { output_tokens: 5 });
    assert!(
        harness.sent.contains_key(&3),
        "served with the remaining capacity"
    );
}

#[test]
fn a_late_request_without_capacity_is_refused_well_before_its_deadline() {
    let mut harness = harness_with_one_slot();
    harness.submit(2, stream_with_latency_target());
    harness.submit(3, stream_with_latency_target());
    harness.advance(Duration::from_millis(2_600));
    let refused = harness.answers.get(&3);
    assert!(
        matches!(refused, Some(Outcome::NotRun { .. })),
        "{refused:?}"
    );
}

/// Guards against refusals of requests that were never sent, while the retry budget is empty.
#[test]
fn an_attempt_that_was_not_sent_costs_no_retry() {
    let settings = RouterSettings {
        retry_burst: 0.0,
        retry_ratio: 0.0,
        ..RouterSettings::default()
    };
    let mut harness = Harness::with_replicas(8);
    harness.router = Router::new(settings, Incarnation(2));
    let specs = (0..8).map(spec).collect();
    harness
        .router
        .set_topology(harness.now, Topology::from([(target(), specs)]));
    harness.submit(1, stream());
    harness.end(1, AttemptEnd::NotSent);
    harness.end(1, AttemptEnd::NotSent);
    assert!(harness.answers.is_empty(), "{:?}", harness.answers);
    harness.end(1, AttemptEnd::Completed { output_tokens: 1 });
    assert_eq!(harness.answers[&1], Outcome::Completed);
    harness.submit(2, stream());
    harness.end(2, AttemptEnd::Refused);
    assert!(matches!(harness.answers[&2], Outcome::NotRun { .. }));
}

/// Guards against requests that leave their failure domain without need where there are many.
#[test]
fn an_idle_daemon_sends_requests_to_its_own_failure_domain() {
    const DOMAINS: u64 = 5;
    const REPLICAS: u64 = 100;
    const REQUESTS: u64 = 500;
    let mut harness = Harness::with_replicas(1);
    let in_domain = |number: u64| UpstreamSpec {
        remote: !number.is_multiple_of(DOMAINS),
        ..spec(number)
    };
    let specs = (0..REPLICAS).map(in_domain).collect();
    harness
        .router
        .set_topology(harness.now, Topology::from([(target(), specs)]));
    let is_local = |attempt: &Attempt| {
        let number = attempt.group.map_or(0, |group| group.0);
        number.is_multiple_of(DOMAINS)
    };
    let mut local = 0;
    for request in 0..REQUESTS {
        harness.submit(request, stream());
        local += u64::from(is_local(&harness.last(request)));
        harness.end(request, AttemptEnd::Completed { output_tokens: 1 });
    }
    assert!(
        local * 100 >= REQUESTS * 95,
        "{local} of {REQUESTS} sent to the own domain"
    );
}

/// Guards against requests that spend all attempts on failure domains that can't be reached.
#[test]
fn after_an_attempt_that_was_not_sent_the_next_goes_to_the_own_failure_domain() {
    let mut harness = Harness::with_replicas(1);
    let remote = |number: u64| UpstreamSpec {
        remote: true,
        ..spec(number)
    };
    let specs = std::iter::once(spec(0)).chain((1..20).map(remote));
    harness
        .router
        .set_topology(harness.now, Topology::from([(target(), specs.collect())]));
    harness.submit(1, stream());
    harness.submit(2, stream());
    assert_ne!(harness.last(2).group, Some(GroupNumber(0)));
    harness.end(2, AttemptEnd::NotSent);
    assert_eq!(harness.last(2).group, Some(GroupNumber(0)));
}

/// Number of retries that one of nine daemons may make at once with this load at the others.
fn saved_up_retries(peer_requests: u32) -> usize {
    const REQUESTS: u64 = 60;
    let settings = RouterSettings {
        retry_burst: 90.0,
        retry_burst_is_shared: true,
        retry_ratio: 0.5,
        ..RouterSettings::default()
    };
    let mut harness = Harness::with_settings(8, settings);
    harness.router = Router::new(settings, Incarnation(2));
    let specs = (0..8).map(spec).collect();
    harness
        .router
        .set_topology(harness.now, Topology::from([(target(), specs)]));
    let targets = vec![TargetLoad {
        target: TargetHash::of(&target()),
        requests: peer_requests,
    }];
    let mut peer_load = PeerLoad::default();
    peer_load.add(&DaemonLoad {
        counter: 1,
        targets,
    });
    for request in 0..REQUESTS {
        harness.submit(request, stream());
        harness.router.set_fleet_load(harness.now, 9, &peer_load);
        harness.advance(Duration::from_millis(100));
    }
    let sent: Vec<u64> = harness.sent.keys().copied().collect();
    for request in &sent {
        harness.end(*request, AttemptEnd::Refused);
    }
    let attempts = sent.iter().map(|request| harness.attempts(*request));
    attempts.sum::<usize>() - sent.len()
}

#[test]
fn a_daemon_with_most_of_the_requests_has_most_of_the_shared_retry_burst() {
    let (most, few) = (saved_up_retries(0), saved_up_retries(60));
    println!("{most} retries with most of the requests, {few} with few of them");
    assert!(most >= 2 * few, "{most}, {few}");
}
