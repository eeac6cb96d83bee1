//! Metrics: sent over UDP in the statsd format by cadence, and kept as totals for a text page.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Mutex;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, MetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

use crate::core::admission::counted_event::CountedEvent;
use crate::utils::memory_budget::MemoryUsage;

/// Name of the gauge of bytes that are held for callers and upstreams.
const MEMORY_GAUGE: &str = "memory.bytes_held";
/// Prefix of all metric names.
const PREFIX: &str = "shalehinge";
/// Upper bounds of the histogram buckets on the page, in milliseconds. A further bucket counts
/// what is above the last one.
const BUCKET_BOUNDS_MS: [u64; 8] = [1, 5, 20, 100, 500, 2_000, 10_000, 60_000];

/// A counter metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Requests received from callers.
    Requests,
    /// Requests that got a complete response.
    Completed,
    /// Requests that failed at the upstream.
    Failed,
    /// Requests that were not run.
    NotRun,
    /// Requests that were not run because the same request had crashed upstreams before.
    Quarantined,
    /// Requests whose outcome is unknown.
    Unknown,
    /// Attempts sent to upstreams.
    Attempts,
    /// Attempts whose connection ended before a complete answer.
    AttemptsLost,
    /// Responses of upstreams, the platform, hosts and peers that exceeded a bound.
    ResponsesOverBound,
    /// Attempts sent beside one at a silent upstream.
    Hedges,
    /// Requests that were deprioritized.
    PutLast,
    /// Preferred requests whose first output was late.
    PreferredLate,
    /// Preferred requests whose first output was on time.
    PreferredOnTime,
    /// Requests handed to peers.
    Forwards,
    /// Requests that peers handed to this daemon.
    ForwardsReceived,
    /// Reads from the platform.
    PlatformReads,
    /// Writes to the platform.
    PlatformWrites,
    /// Watches started at the platform.
    PlatformWatches,
    /// Calls to the platform that got no valid response.
    PlatformNoAnswer,
    /// Watches from a revision whose history the platform no longer has.
    PlatformHistoryGone,
    /// Objects of other programs in the platform's store that could not be used, counted at each
    /// read.
    PlatformEntriesRejected,
    /// Orders sent to engines.
    Orders,
    /// Status requests sent to engines.
    Statuses,
    /// Gossip pulls sent to peers.
    Pulls,
    /// Gossip pulls that got no response.
    PullsUnanswered,
    /// Bytes received in responses to gossip pulls.
    PullBytes,
    /// Notices sent to peers.
    Notices,
    /// Calls and attempts whose task panicked.
    TaskPanics,
    /// Bodies and parts of responses that had to wait for memory.
    MemoryWaits,
    /// Bodies that were refused for lack of memory.
    MemoryRefusals,
}

impl Counter {
    /// The counter of an event of the order among requests.
    pub fn of(event: CountedEvent) -> Self {
        match event {
            CountedEvent::Deprioritized => Self::PutLast,
            CountedEvent::PreferredLate => Self::PreferredLate,
            CountedEvent::PreferredOnTime => Self::PreferredOnTime,
        }
    }

    /// Returns the name of the metric, without the prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Completed => "requests.completed",
            Self::Failed => "requests.failed",
            Self::NotRun => "requests.not_run",
            Self::Quarantined => "requests.quarantined",
            Self::Unknown => "requests.unknown",
            Self::Attempts => "attempts",
            Self::AttemptsLost => "attempts.lost",
            Self::ResponsesOverBound => "responses.over_bound",
            Self::Hedges => "attempts.hedges",
            Self::PutLast => "route.put_last",
            Self::PreferredLate => "route.preferred_late",
            Self::PreferredOnTime => "route.preferred_on_time",
            Self::Forwards => "forwards",
            Self::ForwardsReceived => "forwards.received",
            Self::PlatformReads => "platform.reads",
            Self::PlatformWrites => "platform.writes",
            Self::PlatformWatches => "platform.watches",
            Self::PlatformNoAnswer => "platform.no_answer",
            Self::PlatformHistoryGone => "platform.history_gone",
            Self::PlatformEntriesRejected => "platform.entries_rejected",
            Self::Orders => "engine.orders",
            Self::Statuses => "engine.statuses",
            Self::Pulls => "peer.pulls",
            Self::PullsUnanswered => "peer.pulls.unanswered",
            Self::PullBytes => "peer.pulls.bytes",
            Self::Notices => "peer.notices",
            Self::TaskPanics => "process.task_panics",
            Self::MemoryWaits => "memory.waits",
            Self::MemoryRefusals => "memory.refusals",
        }
    }
}

#[derive(Debug, Default)]
struct Totals {
    counters: BTreeMap<Counter, u64>,
    memory: MemoryUsage,
    first_output_buckets: [u64; BUCKET_BOUNDS_MS.len() + 1],
    tick_lateness_buckets: [u64; BUCKET_BOUNDS_MS.len() + 1],
}

/// The metrics of one daemon.
pub struct Metrics {
    client: StatsdClient,
    totals: Mutex<Totals>,
}

impl Metrics {
    /// Creates the metrics, sent to the address `statsd` if there is one. If no UDP socket can be
    /// opened, metrics are only kept for the page.
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = match statsd.and_then(udp_sink) {
            Some(sink) => StatsdClient::from_sink(PREFIX, sink),
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Self {
            client,
            totals: Mutex::new(Totals::default()),
        }
    }

    /// Increments a counter by one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Increments a counter by `count`.
    pub fn add(&self, counter: Counter, count: u64) {
        // A metric that can't be sent is dropped, so that serving is not affected.
        let _ = self.client.count(counter.name(), count as i64);
        if let Ok(mut totals) = self.totals.lock() {
            *totals.counters.entry(counter).or_default() += count;
        }
    }

    /// Records the totals of the memory budget.
    pub fn record_memory(&self, usage: MemoryUsage) {
        let before = match self.totals.lock() {
            Ok(mut totals) => std::mem::replace(&mut totals.memory, usage),
            Err(_) => return,
        };
        if usage.bytes_held != before.bytes_held {
            let _ = self.client.gauge(MEMORY_GAUGE, usage.bytes_held);
        }
        let waits = usage.waits - before.waits;
        let refusals = usage.refusals - before.refusals;
        for (counter, count) in [
            (Counter::MemoryWaits, waits),
            (Counter::MemoryRefusals, refusals),
        ] {
            if count > 0 {
                self.add(counter, count);
            }
        }
    }

    /// Records by how much a timer tick was late.
    pub fn record_tick_lateness(&self, time: Duration) {
        let millis = time.as_millis() as u64;
        let _ = self.client.time("tick.late", millis);
        let bucket = BUCKET_BOUNDS_MS.partition_point(|bound| *bound < millis);
        if let Ok(mut totals) = self.totals.lock() {
            totals.tick_lateness_buckets[bucket] += 1;
        }
    }

    /// Records the time from the arrival of a request to its first output.
    pub fn record_first_output(&self, time: Duration) {
        let millis = time.as_millis() as u64;
        let _ = self.client.time("first_output", millis);
        let bucket = BUCKET_BOUNDS_MS.partition_point(|bound| *bound < millis);
        if let Ok(mut totals) = self.totals.lock() {
            totals.first_output_buckets[bucket] += 1;
        }
    }

    /// Renders all totals as text, one line per metric with name and value.
    pub fn render(&self) -> String {
        let Ok(totals) = self.totals.lock() else {
            return String::new();
        };
        let mut page = String::new();
        for (counter, value) in &totals.counters {
            page.push_str(&format!("{PREFIX}.{} {value}\n", counter.name()));
        }
        let held = totals.memory.bytes_held;
        page.push_str(&format!("{PREFIX}.{MEMORY_GAUGE} {held}\n"));
        write_histogram(&mut page, "first_output", &totals.first_output_buckets);
        write_histogram(&mut page, "tick.late", &totals.tick_lateness_buckets);
        page
    }
}

fn write_histogram(page: &mut String, name: &str, counts: &[u64]) {
    for (index, value) in counts.iter().enumerate() {
        let bound = BUCKET_BOUNDS_MS.get(index);
        let bound = bound.map_or("more".to_owned(), |bound| format!("{bound}ms"));
        page.push_str(&format!("{PREFIX}.{name}.up_to_{bound} {value}\n"));
    }
}

fn udp_sink(address: SocketAddr) -> Option<impl MetricSink> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = BufferedUdpMetricSink::from(address, socket).ok()?;
    Some(QueuingMetricSink::from(sink))
}
