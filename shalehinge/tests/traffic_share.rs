//! Shares of what all daemons may use together, by the requests in progress at each.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::load::{DaemonLoad, PeerLoad, TargetHash, TargetLoad};
use shalehinge::core::membership::{BriefHeartbeat, Gossip, Heartbeat, Membership};
use shalehinge::core::router::request::Target;
use shalehinge::core::router::traffic_share::traffic_share;
use shalehinge::core::types::{
    Address, DaemonId, FailureDomain, FleetVersion, Incarnation, ModelName, Timestamp,
};
use shalehinge::settings::membership::MembershipSettings;

/// Heartbeats after which a load is out of date.
const TOO_OLD: u64 = 5;

fn target() -> Target {
    Target::Model(ModelName::new("s/m"))
}

fn load(counter: u64, requests: u32) -> DaemonLoad {
    let target = TargetHash::of(&target());
    DaemonLoad {
        counter,
        targets: vec![TargetLoad { target, requests }],
    }
}

fn heartbeat(port: u16, counter: u64, load: DaemonLoad) -> Heartbeat {
    let address: Address = ([10, 0, 0, 1], port).into();
    Heartbeat {
        daemon: DaemonId::new(&format!("daemon-{port}")),
        address,
        failure_domain: FailureDomain::new("d"),
        incarnation: Incarnation(1),
        counter,
        revision: 1,
        leaving: false,
        isolated: false,
        fleet: FleetVersion::NONE,
        holds_control: false,
        load,
    }
}

fn gossip(sender: Heartbeat) -> Gossip {
    Gossip {
        sender,
        members: Vec::new(),
        brief: Vec::new(),
    }
}

fn membership() -> Membership {
    let own = heartbeat(1, 1, DaemonLoad::default());
    Membership::new(MembershipSettings::default(), own, Vec::new())
}

/// Requests to the target that a membership knows of, at `peers` daemons.
fn known(membership: &Membership, now: Timestamp, peers: usize) -> Option<f64> {
    let sample = membership.peer_load(now);
    sample.requests_to(TargetHash::of(&target()), peers)
}

#[test]
fn shares_add_up_to_one_however_the_load_is_spread() {
    for loads in [[3.0, 3.0, 3.0], [9.0, 0.0, 0.0], [0.0, 0.0, 1.0]] {
        let all: f64 = loads.iter().sum();
        let shares = loads.map(|own| traffic_share(3, own, Some(all - own)));
        let sum: f64 = shares.iter().sum();
        assert!((sum - 1.0).abs() < 1e-9, "{shares:?}");
    }
}

#[test]
fn a_daemon_that_knows_no_loads_has_an_equal_share() {
    assert_eq!(traffic_share(4, 100.0, None), 0.25);
    assert_eq!(traffic_share(4, 0.0, Some(0.0)), 0.25);
}

#[test]
fn the_load_of_unknown_peers_is_estimated_from_known_ones() {
    let mut sample = PeerLoad::default();
    sample.add(&load(1, 2));
    sample.add(&DaemonLoad::default());
    assert_eq!(
        sample.requests_to(TargetHash::of(&target()), 10),
        Some(10.0)
    );
    assert_eq!(sample.all_requests(10), Some(10.0));
    assert_eq!(PeerLoad::default().all_requests(10), None);
}

#[test]
fn an_older_load_does_not_replace_a_newer_one() {
    let mut membership = membership();
    let now = Timestamp::from_millis(1_000);
    membership.merge(now, gossip(heartbeat(2, 10, load(10, 5))));
    membership.merge(now, gossip(heartbeat(2, 11, load(9, 80))));
    assert_eq!(known(&membership, now, 1), Some(5.0));
    membership.merge(now, gossip(heartbeat(2, 12, load(12, 7))));
    assert_eq!(known(&membership, now, 1), Some(7.0));
}

#[test]
fn a_load_that_was_measured_several_heartbeats_ago_is_not_used() {
    let mut membership = membership();
    let now = Timestamp::from_millis(1_000);
    let sender = heartbeat(2, 10, load(10, 5));
    let run = {
        let mut peer = Membership::new(
            MembershipSettings::default(),
            heartbeat(3, 1, DaemonLoad::default()),
            Vec::new(),
        );
        peer.merge(now, gossip(sender.clone()));
        let sent = peer.gossip(now, None, &mut SmallRng::seed_from_u64(1));
        sent.brief[0]
    };
    membership.merge(now, gossip(sender));
    let later = now + Duration::from_secs(TOO_OLD);
    let counter = 10 + TOO_OLD;
    let message = Gossip {
        brief: vec![BriefHeartbeat { counter, ..run }],
        ..gossip(heartbeat(3, 1, DaemonLoad::default()))
    };
    membership.merge(later, message);
    assert_eq!(known(&membership, later, 1), None);
}
