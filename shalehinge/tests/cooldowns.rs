//! Upstreams that turn requests away and ask each daemon for a cooldown.

mod relay_support;

use std::time::Duration;

use relay_support::scene::{Scene, group};
use relay_support::{Arrival, RefusedAttempt};
use shalehinge::core::router::request::Outcome;

/// What the upstreams ask for.
const COOLDOWN: Duration = Duration::from_secs(3);
/// What was under way when a daemon was asked is still allowed for so long.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests of one daemon that users allow in the rest of a cooldown.
const ALLOWED: usize = 2;

/// Most requests of one daemon to one upstream in the cooldown that it had asked it for.
fn most_in_cooldown(scene: &Scene) -> usize {
    let within = |turned: &RefusedAttempt, arrival: &&Arrival| {
        let is_same = (arrival.daemon, arrival.group) == (turned.daemon, turned.group);
        let from = turned.at + UNDER_WAY;
        is_same && arrival.at > from && arrival.at < turned.at + turned.cooldown
    };
    let counts = scene.fleet.refused_attempts.iter().map(|turned| {
        let arrivals = scene.fleet.arrivals.iter();
        arrivals.filter(|arrival| within(turned, arrival)).count()
    });
    counts.max().unwrap_or(0)
}

/// Longest wait for an upstream, by the settings.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

fn cool(scene: &mut Scene, groups: std::ops::Range<u64>, cooldown: Duration) {
    let asked = groups.map(|index| (group(index), cooldown));
    scene.fleet.cooldowns.extend(asked);
}

#[test]
fn requests_go_to_no_upstream_in_its_cooldown_at_nine_daemons() {
    let mut scene = Scene::small();
    scene.serve_seconds(2);
    cool(&mut scene, 0..6, COOLDOWN);
    scene.serve_seconds(8);
    let most = most_in_cooldown(&scene);
    assert!(most <= ALLOWED, "{most} requests, allowed {ALLOWED}");
    assert!(!scene.fleet.refused_attempts.is_empty());
}

#[test]
fn requests_go_to_no_upstream_in_its_cooldown_at_340_daemons() {
    let mut scene = Scene::new(340, 60, 5);
    cool(&mut scene, 0..20, COOLDOWN);
    scene.serve_seconds(8);
    let most = most_in_cooldown(&scene);
    assert!(most <= ALLOWED, "{most} requests, allowed {ALLOWED}");
}

/// Every upstream asks for this cooldown, and for no other one.
fn all_cool_once(cooldown: Duration) -> (Scene, Duration) {
    let mut scene = Scene::small();
    scene.serve_seconds(2);
    cool(&mut scene, 0..18, cooldown);
    scene.serve_seconds(1);
    scene.fleet.cooldowns.clear();
    scene.fleet.outcomes.clear();
    let asked = scene.fleet.refused_attempts.iter();
    let ends = asked.map(|turned| turned.at + turned.cooldown).min();
    (scene, ends.expect("asked"))
}

#[test]
fn callers_are_told_the_true_wait_where_every_upstream_cools_down() {
    let (mut scene, ends) = all_cool_once(2 * COOLDOWN);
    scene.serve(Duration::from_millis(500));
    let wait = ends - scene.fleet.now;
    let latest = wait + Duration::from_millis(600);
    for outcome in &scene.fleet.outcomes {
        let Outcome::NotRun { retry_after, .. } = outcome else {
            panic!("{outcome:?}");
        };
        assert!(
            (wait..=latest).contains(retry_after),
            "told {retry_after:?}, true {wait:?} at least"
        );
    }
    assert_eq!(
        scene.fleet.outcomes.len(),
        90,
        "none waits for its deadline"
    );
}

#[test]
fn callers_wait_for_the_end_of_a_cooldown_that_is_near() {
    let (mut scene, ends) = all_cool_once(COOLDOWN);
    let left = ends - scene.fleet.now;
    scene.serve(left - LONGEST_WAIT / 2);
    scene.fleet.outcomes.clear();
    scene.serve_seconds(4);
    let (whole, all) = scene.served();
    assert_eq!(whole, all);
}

#[test]
fn callers_are_served_again_once_a_cooldown_has_ended() {
    let mut scene = Scene::small();
    cool(&mut scene, 0..18, COOLDOWN);
    scene.serve_seconds(1);
    scene.fleet.cooldowns.clear();
    scene.serve_seconds(3);
    scene.fleet.outcomes.clear();
    let since = scene.fleet.now;
    scene.serve_seconds(4);
    let (whole, all) = scene.served();
    assert_eq!(whole, all);
    for index in 0..18 {
        assert!(
            scene.rate_since(index, since) > 5.0,
            "it has its share again"
        );
    }
}

#[test]
fn an_upstream_beside_one_that_cools_down_keeps_its_share() {
    let mut scene = Scene::small();
    cool(&mut scene, 0..1, COOLDOWN);
    let since = scene.fleet.now;
    scene.serve_seconds(8);
    let (whole, all) = scene.served();
    assert_eq!(whole, all, "the others run the rest");
    for index in 1..18 {
        assert!(scene.rate_since(index, since) > 5.0);
    }
}

#[test]
fn requests_go_to_no_upstream_that_said_it_is_leaving() {
    let mut scene = Scene::small();
    scene.serve_seconds(2);
    scene.fleet.leaving.extend((0..3).map(group));
    scene.serve_seconds(2);
    let since = scene.fleet.now;
    scene.serve_seconds(6);
    let late: usize = (0..3).map(|index| scene.times(index, since).len()).sum();
    assert_eq!(late, 0);
    let (whole, all) = scene.served();
    assert_eq!(whole, all, "the others run the rest");
}

/// Most requests in half a second from `since` on, at the busiest of these upstreams.
fn most_in_half_a_second(scene: &Scene, groups: std::ops::Range<u64>, since: Duration) -> usize {
    let busiest = |index| {
        let times = scene.times(index, since);
        let from = |start: &Duration| {
            let within = |at: &&Duration| **at >= *start && **at < *start + UNDER_WAY;
            times.iter().filter(within).count()
        };
        times.iter().map(from).max().unwrap_or(0)
    };
    groups.map(busiest).max().unwrap_or(0)
}

#[test]
#[ignore = "prints a table; run by hand with --nocapture"]
fn table_of_cooldowns() {
    for (daemons, groups, every, cooling) in [
        (9, 18, 1, 6),
        (9, 18, 1, 18),
        (90, 60, 4, 20),
        (340, 60, 5, 20),
        (340, 60, 5, 60),
    ] {
        let mut scene = Scene::new(daemons, groups, every);
        scene.serve_seconds(2);
        scene.fleet.outcomes.clear();
        let notices = scene.fleet.notices;
        cool(&mut scene, 0..cooling, COOLDOWN);
        scene.serve_seconds(9);
        let messages = scene.fleet.notices - notices;
        let turned_away = scene.fleet.refused_attempts.len();
        let (whole, all) = scene.served();
        let in_cooldown = most_in_cooldown(&scene);
        scene.fleet.cooldowns.clear();
        let end = scene.fleet.now;
        scene.serve_seconds(4);
        let burst = most_in_half_a_second(&scene, 0..cooling, end);
        println!(
            "{daemons} daemons, {cooling} of {groups} cool: {turned_away} turned away in 9 s, {whole} of {all} served, \
             {in_cooldown} at most in a cooldown, {burst} at most in half a second after, {messages} messages"
        );
    }
}
