//! Membership of daemons by gossip.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::load::DaemonLoad;
use shalehinge::core::membership::{Gossip, Heartbeat, Membership};
use shalehinge::core::types::{
    Address, DaemonId, FailureDomain, FleetVersion, Incarnation, Timestamp,
};
use shalehinge::settings::membership::MembershipSettings;

fn address(port: u16) -> Address {
    ([10, 0, 0, 1], port).into()
}

fn heartbeat(port: u16, domain: &str, counter: u64, holds_control: bool) -> Heartbeat {
    Heartbeat {
        daemon: DaemonId::new(&format!("daemon-{port}")),
        address: address(port),
        failure_domain: FailureDomain::new(domain),
        incarnation: Incarnation(1),
        counter,
        revision: counter,
        leaving: false,
        isolated: false,
        fleet: FleetVersion::NONE,
        holds_control,
        load: DaemonLoad::default(),
    }
}

/// A message with the heartbeats of these members; the last one is the sender.
fn gossip(mut members: Vec<Heartbeat>) -> Gossip {
    Gossip {
        sender: members.pop().expect("at least one member"),
        members,
        brief: Vec::new(),
    }
}

fn member_of_d() -> Membership {
    let settings = MembershipSettings::default();
    Membership::new(settings, heartbeat(1, "d", 0, false), Vec::new())
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_duration(Duration::from_secs(seconds))
}

#[test]
fn holders_of_control_are_known_by_failure_domain() {
    let mut membership = member_of_d();
    let peers = (2..20).map(|port| heartbeat(port, "d", 1, port == 7));
    membership.merge(at(1), gossip(peers.collect()));
    membership.merge(at(1), gossip(vec![heartbeat(30, "other", 1, true)]));
    let domain = FailureDomain::new("d");
    assert_eq!(
        membership.lease_holder_addresses(at(1), &domain),
        [address(7)]
    );
}

#[test]
fn a_holder_that_released_control_is_no_longer_listed() {
    let mut membership = member_of_d();
    membership.merge(at(1), gossip(vec![heartbeat(7, "d", 1, true)]));
    membership.merge(at(2), gossip(vec![heartbeat(7, "d", 2, false)]));
    let domain = FailureDomain::new("d");
    assert_eq!(membership.lease_holder_addresses(at(2), &domain), []);
}

#[test]
fn reports_of_a_dead_daemon_are_ignored() {
    let mut membership = member_of_d();
    membership.merge(at(1), gossip(vec![heartbeat(7, "d", 1, true)]));
    let domain = FailureDomain::new("d");
    let later = at(1) + MembershipSettings::default().dead_after;
    assert_eq!(membership.lease_holder_addresses(later, &domain), []);
}

/// Simulated daemons that each pull from one peer per second, in lock step.
struct Fleet {
    members: Vec<Membership>,
    rng: SmallRng,
    second: u64,
}

impl Fleet {
    /// Creates daemons that are assigned to the failure domains in turn; the first three are
    /// seeds.
    fn new(daemons: u16, domains: u16) -> Self {
        let seeds: Vec<Address> = (0..3).map(address).collect();
        let member = |port: u16| {
            let domain = format!("d{}", port % domains);
            let me = heartbeat(port, &domain, 0, false);
            Membership::new(MembershipSettings::default(), me, seeds.clone())
        };
        Self {
            members: (0..daemons).map(member).collect(),
            rng: SmallRng::seed_from_u64(7),
            second: 0,
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.second += 1;
            for index in 0..self.members.len() {
                self.pull(index);
            }
        }
    }

    fn now(&self) -> Timestamp {
        at(self.second)
    }

    fn pull(&mut self, index: usize) {
        let now = self.now();
        let Some(to) = self.members[index].pull_target(now, &mut self.rng) else {
            return;
        };
        let peer = to.port() as usize;
        let request = self.members[index].gossip(now, None, &mut self.rng);
        let reply = self.members[peer].gossip(now, Some(&request), &mut self.rng);
        self.members[peer].merge(now, request);
        self.members[index].merge(now, reply);
    }

    fn responsible(&self, duty: &str, count: usize) -> usize {
        let now = self.now();
        let members = self.members.iter();
        members
            .filter(|member| member.is_responsible(now, duty, count))
            .count()
    }
}

#[test]
fn duties_of_a_large_fleet_are_divided_as_those_of_a_small_one() {
    for (daemons, domains) in [(9, 3), (60, 3), (295, 5)] {
        let mut fleet = Fleet::new(daemons, domains);
        fleet.run(20);
        let responsible = fleet.responsible("watch", 2);
        assert_eq!(responsible, 2 * domains as usize, "{daemons} daemons");
    }
}

#[test]
fn shares_of_a_fleet_wide_total_never_exceed_it() {
    let mut fleet = Fleet::new(295, 5);
    fleet.run(20);
    let now = fleet.now();
    let shares = fleet
        .members
        .iter()
        .map(|member| 1.0 / member.fleet_size(now) as f64);
    let total: f64 = shares.sum();
    assert!(total <= 1.001, "shares add up to {total}");
}

#[test]
fn a_message_grows_with_the_failure_domain_and_not_with_the_fleet() {
    let mut bytes = Vec::new();
    for domains in [3, 9] {
        let mut fleet = Fleet::new(40 * domains, domains);
        fleet.run(20);
        let now = fleet.now();
        let message = fleet.members[5].gossip(now, None, &mut fleet.rng);
        bytes.push(
            rmp_serde::to_vec(&message)
                .expect("gossip is encoded")
                .len(),
        );
    }
    assert!(bytes[1] < bytes[0] * 5 / 4, "{bytes:?}");
}

#[test]
fn a_newer_revision_is_accepted_with_an_older_counter() {
    let mut membership = member_of_d();
    let mut peer = heartbeat(7, "d", 9, false);
    peer.revision = 1;
    membership.merge(at(1), gossip(vec![peer.clone()]));
    let late = Heartbeat {
        counter: 5,
        revision: 2,
        holds_control: true,
        ..peer
    };
    membership.merge(at(1), gossip(vec![late]));
    let domain = FailureDomain::new("d");
    assert_eq!(
        membership.lease_holder_addresses(at(1), &domain),
        [address(7)]
    );
}
