//! Statistics on pulls from peers: how many are open, answered and unanswered, and the size of
//! the replies.
//!
//! A daemon whose link is saturated by replies does not receive updates in time, and looks like
//! one with a slow processor or a slow platform. The log line of this module reports pulls
//! together with the delay of the ticks, which distinguishes these cases.

use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::core::event::PullTopic;
use crate::core::types::Timestamp;
use crate::telemetry::metrics::{Counter, Metrics};

/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes of replies in one interval from which a line is logged. The replies of an ordinary
/// interval amount to about 20 kB in a fleet of seventy daemons.
const LOG_THRESHOLD_BYTES: usize = 200_000;

/// Counts of the pulls of one topic.
#[derive(Clone, Copy, Debug, Default)]
struct TopicCounts {
    open: u32,
    answered: u32,
    unanswered: u32,
    bytes: usize,
}

impl fmt::Display for TopicCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            open,
            answered,
            unanswered,
            bytes,
        } = self;
        write!(
            f,
            "{answered} answered with {bytes} bytes, {unanswered} unanswered, {open} open"
        )
    }
}

#[derive(Debug, Default)]
/// Counts since the last log line.
struct Interval {
    started_at: Timestamp,
    all: TopicCounts,
    objects: TopicCounts,
    moving: TopicCounts,
    whole_objects: TopicCounts,
    max_tick_delay: Duration,
}

impl Interval {
    fn counts_of(&mut self, topic: PullTopic) -> &mut TopicCounts {
        match topic {
            PullTopic::All => &mut self.all,
            PullTopic::Objects => &mut self.objects,
            PullTopic::Moving => &mut self.moving,
            PullTopic::WholeObjects => &mut self.whole_objects,
        }
    }

    fn is_notable(&self) -> bool {
        let topics = [self.all, self.objects, self.moving, self.whole_objects];
        let bytes: usize = topics.iter().map(|topic| topic.bytes).sum();
        let unanswered: u32 = topics.iter().map(|topic| topic.unanswered).sum();
        unanswered > 0 || bytes >= LOG_THRESHOLD_BYTES
    }

    /// Starts a new interval; pulls that are still open stay counted as open.
    fn reset(&mut self, now: Timestamp) {
        self.started_at = now;
        self.max_tick_delay = Duration::ZERO;
        for topic in [
            PullTopic::All,
            PullTopic::Objects,
            PullTopic::Moving,
            PullTopic::WholeObjects,
        ] {
            let counts = self.counts_of(topic);
            *counts = TopicCounts {
                open: counts.open,
                ..TopicCounts::default()
            };
        }
    }
}

/// Counts the pulls of one daemon from its peers.
#[derive(Debug, Default)]
pub struct PeerTraffic(Mutex<Interval>);

impl PeerTraffic {
    /// Records that a pull was sent.
    pub fn record_sent(&self, topic: PullTopic, metrics: &Metrics) {
        metrics.count(Counter::Pulls);
        self.lock().counts_of(topic).open += 1;
    }

    /// Records that a pull ended. `bytes` is the size of the reply, `None` if no reply came.
    pub fn record_end(&self, topic: PullTopic, bytes: Option<usize>, metrics: &Metrics) {
        let mut interval = self.lock();
        let counts = interval.counts_of(topic);
        counts.open = counts.open.saturating_sub(1);
        match bytes {
            Some(bytes) => {
                counts.answered += 1;
                counts.bytes += bytes;
                metrics.add(Counter::PullBytes, bytes as u64);
            }
            None => {
                counts.unanswered += 1;
                metrics.count(Counter::PullsUnanswered);
            }
        }
    }

    /// Records a tick and the time by which it was late. Once per interval, returns a log line if
    /// pulls went unanswered or the replies were large.
    pub fn tick(&self, now: Timestamp, late_by: Duration) -> Option<String> {
        let mut interval = self.lock();
        interval.max_tick_delay = interval.max_tick_delay.max(late_by);
        if now.since(interval.started_at) < LOG_INTERVAL {
            return None;
        }
        let line = interval.is_notable().then(|| {
            format!(
                "all: {}; objects: {}; moving: {}; whole objects: {}; ticks late by {} ms at most",
                interval.all,
                interval.objects,
                interval.moving,
                interval.whole_objects,
                interval.max_tick_delay.as_millis()
            )
        });
        interval.reset(now);
        line
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Interval> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
