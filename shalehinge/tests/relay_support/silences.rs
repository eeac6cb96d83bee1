//! Streams of a simulated fleet's callers at upstreams that pause: a silent group produces nothing,
//! and goes on afterwards where each of its streams is.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use shalehinge::core::event::Event;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::router::request::{
    Attempt, AttemptEnd, Outcome, RequestMeta, Target, UpstreamId,
};
use shalehinge::core::types::{AttemptId, Customer, GroupNumber, RequestId, Timestamp};

use super::Fleet;
use super::configuration::model;
use super::stream::{MAX_ATTEMPTS, SimulatedStream};

/// Time from a stream's start to its deadline.
const DEADLINE: Duration = Duration::from_secs(8);

/// A stream, and the daemon that received it.
pub struct CallerStream {
    /// Index of the daemon.
    pub daemon: usize,
    /// When the daemon received it.
    pub sent_at: Duration,
    /// Its attempts, and what its caller receives.
    pub stream: SimulatedStream,
}

/// Streams that produce events over time, and the silences of the groups that run them.
#[derive(Default)]
pub struct CallerStreams {
    /// All streams, also those that have ended.
    pub all: BTreeMap<RequestId, CallerStream>,
    silences: BTreeMap<GroupNumber, Vec<Range<Duration>>>,
}

impl CallerStreams {
    /// The stream of a request, if it is one of these.
    fn get_mut(&mut self, request: RequestId) -> Option<&mut SimulatedStream> {
        self.all.get_mut(&request).map(|known| &mut known.stream)
    }

    /// Whether an upstream is silent at `now`.
    fn is_silent(&self, now: Duration, upstream: &UpstreamId) -> bool {
        let UpstreamId::Replica(replica) = upstream else {
            return false;
        };
        let mut silences = self.silences.get(&replica.number).into_iter().flatten();
        silences.any(|range| range.contains(&now))
    }
}

impl Fleet {
    /// Pauses a group from `after` from now on, for `length`.
    pub fn silence_group(&mut self, group: GroupNumber, after: Duration, length: Duration) {
        let begin = self.now + after;
        let silences = self.streams.silences.entry(group).or_default();
        silences.push(begin..begin + length);
    }

    /// Sends a daemon a stream of `events` events, one a tick, that other upstreams can continue.
    pub fn send_resumable_stream(&mut self, daemon: usize, events: u32) {
        self.next_event += 1;
        let request = RequestId(self.next_event);
        let now = Timestamp::from_duration(self.now);
        let meta = resumable_stream(self.next_event, now + DEADLINE);
        let known = CallerStream {
            daemon,
            sent_at: self.now,
            stream: SimulatedStream::new(now, events, meta.deadline),
        };
        self.streams.all.insert(request, known);
        self.handle(daemon, Event::Request { request, meta });
    }

    /// Begins an attempt of a stream; returns whether the request is one.
    pub(super) fn run_stream_attempt(&mut self, sent: &Attempt) -> bool {
        let now = Timestamp::from_duration(self.now);
        let Some(stream) = self.streams.get_mut(sent.request) else {
            return false;
        };
        stream.send(now, sent);
        true
    }

    /// Ends an attempt that a daemon cancelled.
    pub(super) fn abandon_stream_attempt(&mut self, daemon: usize, attempt: AttemptId) {
        let now = Timestamp::from_duration(self.now);
        let of_daemon = |known: &&mut CallerStream| known.daemon == daemon;
        for known in self.streams.all.values_mut().filter(of_daemon) {
            known.stream.abandon(now, attempt);
        }
    }

    /// Records the answer to a stream.
    pub(super) fn answer_stream(&mut self, request: RequestId, outcome: Outcome) {
        let now = Timestamp::from_duration(self.now);
        if let Some(stream) = self.streams.get_mut(request) {
            stream.answer(now, outcome);
        }
    }

    /// Lets all groups that aren't silent produce one event of each stream.
    pub(super) fn produce_events(&mut self) {
        let is_open = |known: &CallerStream| known.stream.outcome.is_none();
        let all = self.streams.all.iter();
        let open = all.filter(|(_, known)| is_open(known));
        for request in open.map(|(request, _)| *request).collect::<Vec<_>>() {
            for index in 0..self.streams.all[&request].stream.attempts.len() {
                self.produce_event(request, index);
            }
        }
    }

    fn produce_event(&mut self, request: RequestId, index: usize) {
        let known = &self.streams.all[&request];
        let daemon = known.daemon;
        let upstream = &known.stream.attempts[index].upstream;
        if self.streams.is_silent(self.now, upstream) {
            return;
        }
        let now = Timestamp::from_duration(self.now);
        let Some(stream) = self.streams.get_mut(request) else {
            return;
        };
        let Some(produced) = stream.produce(now, index) else {
            return;
        };
        let attempt = produced.attempt;
        let event = if produced.is_first {
            Event::FirstOutput { request, attempt }
        } else {
            Event::Progress { request, attempt }
        };
        self.handle(daemon, event);
        if produced.is_last {
            self.end_stream_attempt(daemon, request, attempt);
        }
    }

    fn end_stream_attempt(&mut self, daemon: usize, request: RequestId, attempt: AttemptId) {
        let Some(stream) = self.streams.get_mut(request) else {
            return;
        };
        if !stream.end(attempt) {
            return;
        }
        let output_tokens = stream.received;
        let event = Event::AttemptEnded {
            request,
            attempt,
            end: AttemptEnd::Completed { output_tokens },
        };
        self.handle(daemon, event);
    }
}

fn resumable_stream(number: u64, deadline: Timestamp) -> RequestMeta {
    RequestMeta {
        customer: Customer::new("one"),
        fingerprint: Fingerprint(number),
        target: Target::Model(model()),
        prompt_tokens: 100,
        max_output_tokens: 100,
        deadline,
        first_output_within: None,
        priority: 5,
        key: None,
        repeatable: true,
        prefix: Vec::new(),
        prompt_parts: Vec::new(),
        max_attempts: Some(MAX_ATTEMPTS as u32),
        is_resumable: true,
        credential: None,
    }
}
