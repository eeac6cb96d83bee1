//! The log line and the metrics on pulls from peers.

use std::time::Duration;

use shalehinge::core::event::PullTopic;
use shalehinge::core::types::Timestamp;
use shalehinge::process::peer_traffic::PeerTraffic;
use shalehinge::telemetry::metrics::Metrics;

const ON_TIME: Duration = Duration::ZERO;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn small_replies_are_not_logged() {
    let (traffic, metrics) = (PeerTraffic::default(), Metrics::new(None));
    traffic.record_sent(PullTopic::All, &metrics);
    traffic.record_end(PullTopic::All, Some(4_000), &metrics);
    assert_eq!(traffic.tick(at(1_000), ON_TIME), None);
}

#[test]
fn a_saturated_link_is_distinguished_from_a_slow_process() {
    let (traffic, metrics) = (PeerTraffic::default(), Metrics::new(None));
    for _ in 0..3 {
        traffic.record_sent(PullTopic::All, &metrics);
    }
    traffic.record_sent(PullTopic::WholeObjects, &metrics);
    traffic.record_end(PullTopic::All, None, &metrics);
    assert_eq!(traffic.tick(at(500), Duration::from_millis(7)), None);
    let line = traffic
        .tick(at(1_000), ON_TIME)
        .expect("an unanswered pull is logged");
    assert!(
        line.starts_with("all: 0 answered with 0 bytes, 1 unanswered, 2 open;"),
        "{line}"
    );
    assert!(
        line.contains("whole objects: 0 answered with 0 bytes, 0 unanswered, 1 open"),
        "{line}"
    );
    assert!(line.ends_with("ticks late by 7 ms at most"), "{line}");
}

#[test]
fn open_pulls_are_carried_over_and_other_counts_reset() {
    let (traffic, metrics) = (PeerTraffic::default(), Metrics::new(None));
    traffic.record_sent(PullTopic::Objects, &metrics);
    traffic.record_sent(PullTopic::Objects, &metrics);
    traffic.record_end(PullTopic::Objects, Some(300_000), &metrics);
    assert!(traffic.tick(at(1_000), ON_TIME).is_some());
    assert_eq!(
        traffic.tick(at(1_500), ON_TIME),
        None,
        "at most one line per second"
    );
    traffic.record_end(PullTopic::Objects, None, &metrics);
    let line = traffic
        .tick(at(2_000), ON_TIME)
        .expect("an unanswered pull is logged");
    let objects = "objects: 0 answered with 0 bytes, 1 unanswered, 0 open";
    assert!(line.contains(objects), "{line}");
    let page = metrics.render();
    for metric in [
        "peer.pulls 2",
        "peer.pulls.unanswered 1",
        "peer.pulls.bytes 300000",
    ] {
        assert!(page.contains(metric), "{metric} in {page}");
    }
}
