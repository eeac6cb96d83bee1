//! Requests that crash the upstreams that run them: how losses are counted, how quarantines are
//! decided, and what daemons tell each other.

mod relay_support;

use std::collections::BTreeMap;
use std::time::Duration;

use relay_support::Fleet;
use shalehinge::core::fingerprint::{Fingerprint, StoredFingerprint};
use shalehinge::core::objects::Assignment;
use shalehinge::core::router::quarantine::{Completion, Loss, Quarantine};
use shalehinge::core::router::request::{Target, UpstreamId};
use shalehinge::core::trials::{TrialOwner, TrialRequest};
use shalehinge::core::types::{
    Customer, FailureDomain, GroupNumber, ModelName, ReplicaId, Timestamp,
};
use shalehinge::settings::router::RouterSettings;

const FINGERPRINT: Fingerprint = Fingerprint(7);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn loss(upstream: u64, seconds: u64) -> Loss {
    let replica = ReplicaId {
        failure_domain: FailureDomain::new("d"),
        number: GroupNumber(upstream),
    };
    Loss {
        fingerprint: FINGERPRINT,
        upstream: UpstreamId::Replica(replica),
        at: at(seconds),
    }
}

fn completion(seconds: u64) -> Completion {
    Completion {
        fingerprint: FINGERPRINT,
        at: at(seconds),
    }
}

/// The quarantine state of one daemon, with default settings.
#[derive(Default)]
struct DaemonState {
    quarantine: Quarantine,
    settings: RouterSettings,
}

impl DaemonState {
    fn lose(&mut self, upstream: u64, seconds: u64) -> bool {
        let loss = loss(upstream, seconds);
        self.quarantine.record_loss(loss, &self.settings)
    }

    fn is_quarantined(&self, seconds: u64) -> bool {
        self.quarantine
            .time_left(at(seconds), FINGERPRINT, &self.settings)
            .is_some()
    }
}

#[test]
fn a_request_lost_at_two_upstreams_is_quarantined_until_the_quarantine_expires() {
    let mut daemon = DaemonState::default();
    assert!(
        !daemon.lose(1, 10),
        "a single loss may be the upstream's fault"
    );
    assert!(!daemon.is_quarantined(11));
    assert!(daemon.lose(2, 20));
    assert!(daemon.is_quarantined(21));
    let time = daemon.settings.quarantine_for.as_secs();
    assert!(daemon.is_quarantined(20 + time - 1));
    assert!(!daemon.is_quarantined(20 + time));
}

#[test]
fn a_crash_reported_by_several_daemons_counts_once() {
    let mut daemon = DaemonState::default();
    daemon.lose(1, 10);
    let is_quarantined_now = daemon
        .quarantine
        .apply_remote_loss(loss(1, 10), &daemon.settings);
    assert!(!is_quarantined_now);
    assert!(!daemon.is_quarantined(11));
    // An instance that returned under the same name and crashed again.
    let again = daemon
        .quarantine
        .apply_remote_loss(loss(1, 15), &daemon.settings);
    assert!(again);
}

#[test]
fn losses_far_apart_are_not_combined() {
    let mut daemon = DaemonState::default();
    daemon.lose(1, 10);
    assert!(!daemon.lose(2, 10 + 301));
    assert!(daemon.lose(3, 10 + 400));
}

#[test]
fn a_completion_resets_the_count_of_losses() {
    let mut daemon = DaemonState::default();
    daemon.lose(1, 10);
    daemon.quarantine.record_completion(completion(11));
    assert!(!daemon.lose(2, 12));
    assert!(daemon.lose(3, 13));
    assert!(
        daemon.quarantine.record_completion(completion(14)),
        "the quarantine must end"
    );
    assert!(!daemon.is_quarantined(15));
}

#[test]
fn a_daemon_with_an_answer_since_the_first_loss_objects_to_a_quarantine() {
    let mut witness = DaemonState::default();
    let mut objecting = DaemonState::default();
    objecting.quarantine.record_completion(completion(15));
    witness.lose(1, 10);
    witness.lose(2, 20);
    let update = witness.quarantine.take_update();
    assert!(
        !objecting
            .quarantine
            .apply_remote_quarantine(update.quarantined[0])
    );
    assert!(!objecting.is_quarantined(21));
    let objection = objecting.quarantine.take_update().completions;
    assert_eq!(objection, [completion(15)]);
    assert!(witness.quarantine.apply_remote_completion(objection[0]));
    assert!(!witness.is_quarantined(21));
}

#[test]
fn an_answer_from_before_the_losses_is_no_objection() {
    let mut daemon = DaemonState::default();
    daemon.quarantine.record_completion(completion(9));
    let mut witness = DaemonState::default();
    witness.lose(1, 10);
    witness.lose(2, 20);
    let update = witness.quarantine.take_update();
    assert!(
        daemon
            .quarantine
            .apply_remote_quarantine(update.quarantined[0])
    );
    assert!(daemon.is_quarantined(21));
}

#[test]
fn nothing_is_quarantined_if_quarantine_is_disabled() {
    let mut daemon = DaemonState::default();
    daemon.settings.quarantine_after = 0;
    for upstream in 1..10 {
        assert!(!daemon.lose(upstream, upstream));
    }
    assert!(daemon.quarantine.take_update().is_empty());
}

#[test]
fn records_of_losses_are_bounded() {
    let mut daemon = DaemonState::default();
    for number in 0..10_000 {
        let loss = Loss {
            fingerprint: Fingerprint(number),
            ..loss(1, number)
        };
        daemon.quarantine.record_loss(loss, &daemon.settings);
        daemon.quarantine.take_update();
    }
    let last = Loss {
        fingerprint: Fingerprint(9_999),
        ..loss(2, 10_000)
    };
    assert!(daemon.quarantine.record_loss(last, &daemon.settings));
}

// Guards against a culprit that is forgotten for the parts that were lost with it.
#[test]
fn a_culprit_is_remembered_among_thousands_of_lost_parts() {
    const LOST_WITH_IT: u64 = 10_000;
    let mut daemon = DaemonState::default();
    for crash in 1..4 {
        for number in 0..LOST_WITH_IT {
            let loss = Loss {
                fingerprint: Fingerprint(crash * LOST_WITH_IT + number),
                ..loss(crash, crash)
            };
            daemon.quarantine.record_loss(loss, &daemon.settings);
        }
        daemon.lose(crash, crash);
    }
    for number in 4 * LOST_WITH_IT..8 * LOST_WITH_IT {
        let loss = Loss {
            fingerprint: Fingerprint(number),
            ..loss(4, 4)
        };
        daemon.quarantine.record_loss(loss, &daemon.settings);
    }
    assert!(daemon.is_quarantined(5));
}

// Guards against an assignment that peers can't decode, as members of it are left out.
#[test]
fn what_is_stored_with_an_assignment_reaches_peers_whether_or_not_there_were_crashes() {
    let stored = StoredFingerprint::from(FINGERPRINT);
    let model = ModelName::new("m");
    for culprits in [Vec::new(), vec![vec![stored]]] {
        for load_crashes in [BTreeMap::new(), BTreeMap::from([(model.clone(), 2)])] {
            let assignment = Assignment {
                culprits: culprits.clone(),
                load_crashes,
                ..Assignment::default()
            };
            let bytes = rmp_serde::to_vec(&assignment).expect("encodes");
            let decoded: Assignment = rmp_serde::from_slice(&bytes).expect("decodes");
            assert_eq!(decoded, assignment);
        }
    }
}

#[test]
fn the_fingerprint_covers_customer_method_path_and_body() {
    let of = |customer: &str, method: &str, path: &str, body: &[u8]| {
        Fingerprint::of(&Customer::new(customer), method, path, body)
    };
    let one = of("one", "POST", "h/a", b"body");
    assert_eq!(one, of("one", "POST", "h/a", b"body"));
    assert_ne!(one, of("two", "POST", "h/a", b"body"));
    assert_ne!(one, of("one", "PUT", "h/a", b"body"));
    assert_ne!(one, of("one", "POST", "h/b", b"body"));
    assert_ne!(one, of("one", "POST", "h/ab", b"ody"));
    let mut large = vec![0; 1_000_000];
    let before = of("one", "POST", "h/a", &large);
    large[999_999] = 1;
    assert_ne!(before, of("one", "POST", "h/a", &large));
    large.pop();
    assert_ne!(before, of("one", "POST", "h/a", &large));
}

/// A fleet of daemons that route to 60 groups of a model.
fn fleet(daemons: u16) -> Fleet {
    let mut fleet = Fleet::new(daemons);
    fleet.platform.open_groups(60);
    fleet.run(Duration::from_secs(10));
    fleet
}

#[test]
fn a_request_sent_to_one_daemon_after_another_crashes_few_upstreams() {
    let mut fleet = fleet(90);
    for index in 0..90 {
        fleet.send_crashing_stream(index);
        fleet.run(Duration::from_millis(100));
    }
    assert!(fleet.crashes >= 2, "the request must have been sent");
    assert!(fleet.crashes <= 4, "{} upstreams crashed", fleet.crashes);
}

#[test]
fn a_daemon_that_missed_the_update_gets_it_from_its_peers() {
    let mut fleet = fleet(9);
    fleet.dead.insert(8);
    fleet.send_crashing_stream(0);
    fleet.send_crashing_stream(1);
    fleet.run(Duration::from_secs(2));
    // The trial that proves that the request crashes upstreams.
    fleet.send_crashing_stream(2);
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.crashes, 3, "a trial must have run");
    fleet.dead.remove(&8);
    fleet.run(Duration::from_secs(3));
    let crashes = fleet.crashes;
    fleet.send_crashing_stream(8);
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.crashes, crashes);
}

#[test]
fn repeated_gossip_does_not_extend_a_quarantine() {
    let mut fleet = fleet(3);
    fleet.send_crashing_stream(0);
    fleet.send_crashing_stream(1);
    fleet.run(Duration::from_secs(5));
    let quarantines = |fleet: &Fleet| {
        let now = Timestamp::from_duration(fleet.now);
        let routers = fleet.daemons.iter().map(|daemon| daemon.router());
        routers.map(|r| r.quarantined(now).count()).sum::<usize>()
    };
    assert_eq!(
        quarantines(&fleet),
        3,
        "every daemon must know of the quarantine"
    );
    fleet.run(RouterSettings::default().quarantine_for);
    assert_eq!(quarantines(&fleet), 0);
}

#[test]
fn a_suspect_is_tried_by_one_daemon_at_a_time() {
    let mut fleet = fleet(90);
    fleet.send_crashing_stream(0);
    fleet.send_crashing_stream(1);
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.crashes, 2);
    for index in 0..90 {
        fleet.send_crashing_stream(index);
    }
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.crashes, 3, "90 daemons got the request at once");
}

#[test]
fn a_request_cleared_by_its_trial_is_served_by_all_daemons() {
    let mut fleet = fleet(9);
    fleet.send_crashing_stream(0);
    fleet.send_crashing_stream(1);
    fleet.run(Duration::from_secs(2));
    // A request with the same fingerprint that no longer crashes its upstream.
    fleet.send_crashing_stream_that_completes(2);
    fleet.run(Duration::from_secs(1));
    let sent = fleet.arrivals.len();
    assert_eq!(sent, 1, "only the trial may have been sent");
    for index in 0..9 {
        fleet.send_crashing_stream_that_completes(index);
    }
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.arrivals.len(), sent + 9);
}

#[test]
fn two_suspects_are_not_tried_at_one_upstream_together() {
    let mut owner = TrialOwner::default();
    let upstream = loss(1, 0).upstream;
    let other = loss(2, 0).upstream;
    let ask = |fingerprint, candidates: &[&UpstreamId]| TrialRequest {
        fingerprint: Fingerprint(fingerprint),
        target: Target::Model(ModelName::new("m")),
        candidates: candidates.iter().map(|c| (*c).clone()).collect(),
        suspects: vec![Fingerprint(fingerprint)],
    };
    let first = owner.try_grant(at(1), &ask(1, &[&upstream]));
    assert_eq!(first.map(|grant| grant.upstream), Some(upstream.clone()));
    assert_eq!(
        owner.try_grant(at(1), &ask(1, &[&other])),
        None,
        "only one trial of a request at a time"
    );
    assert_eq!(owner.try_grant(at(1), &ask(2, &[&upstream])), None);
    let second = owner.try_grant(at(1), &ask(2, &[&upstream, &other]));
    assert_eq!(second.map(|grant| grant.upstream), Some(other));
    owner.end(Fingerprint(1));
    assert!(owner.try_grant(at(2), &ask(3, &[&upstream])).is_some());
    // A trial whose result was never reported, and which has expired.
    assert!(owner.try_grant(at(9), &ask(2, &[&upstream])).is_some());
}

// Guards against a quarantine that ends early after crashes_reported_by_peers_out_of_order.
#[test]
fn a_quarantine_counts_from_the_latest_crash_in_whichever_order_crashes_are_reported() {
    let mut state = DaemonState::default();
    state.lose(1, 100);
    state.lose(2, 40);
    let quarantined = state
        .quarantine
        .active(at(101), FINGERPRINT, &state.settings)
        .expect("two upstreams crashed");
    assert_eq!(quarantined.last_lost_at, at(100));
}
