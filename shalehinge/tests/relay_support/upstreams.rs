//! Callers of a fleet in simulated time, and the upstreams that run what it sends.

use std::time::Duration;

use shalehinge::core::advertised_limit::AdvertisedLimit;
use shalehinge::core::daemon::TICK;
use shalehinge::core::event::Event;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::router::request::{Attempt, AttemptEnd, RequestMeta, Target};
use shalehinge::core::signal::{LeavingMark, RequestedCooldown, UpstreamSignal};
use shalehinge::core::types::{Customer, GroupNumber, RequestId, Timestamp};

use super::Fleet;
use super::configuration::model;

/// Time that callers give a stream.
const STREAM_DEADLINE: Duration = Duration::from_secs(6);

/// An attempt that reached the upstream of a group.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub daemon: usize,
    pub group: GroupNumber,
}

/// An attempt that an upstream turned away, with a cooldown.
#[derive(Clone, Copy, Debug)]
pub struct TurnedAway {
    /// When the daemon was answered.
    pub at: Duration,
    pub daemon: usize,
    pub group: GroupNumber,
    pub cooldown: Duration,
}

/// How long a request that ends whole runs.
const RUN_TIME: Duration = Duration::from_millis(300);

impl Fleet {
    /// Callers send a daemon so many streams, each of which stops after its first output.
    pub fn streams_that_stand_still(&mut self, index: usize, count: u64) {
        for _ in 0..count {
            self.next_event += 1;
            let request = RequestId(self.next_event);
            let meta = stream(Timestamp::from_duration(self.now + STREAM_DEADLINE));
            self.handle(index, Event::Request { request, meta });
        }
    }

    /// A caller sends a daemon a stream that ends whole.
    pub fn whole_stream(&mut self, index: usize) {
        self.next_event += 1;
        let request = RequestId(self.next_event);
        self.finishing.insert(request);
        let meta = RequestMeta {
            fingerprint: Fingerprint(self.next_event),
            ..stream(Timestamp::from_duration(self.now + STREAM_DEADLINE))
        };
        self.handle(index, Event::Request { request, meta });
    }

    /// The request of [`Self::crashing_stream`], once no upstream crashes under it any more.
    pub fn same_stream_that_ends_whole(&mut self, index: usize) {
        self.next_event += 1;
        let request = RequestId(self.next_event);
        self.finishing.insert(request);
        let meta = stream(Timestamp::from_duration(self.now + STREAM_DEADLINE));
        self.handle(index, Event::Request { request, meta });
    }

    /// An attempt reaches its upstream.
    pub(super) fn run_attempt(&mut self, index: usize, sent: &Attempt) {
        if self.finishing.contains(&sent.request) {
            self.run_whole(index, sent);
            return;
        }
        let (request, attempt) = (sent.request, sent.id);
        if self.crashing.contains(&request) {
            self.crashes += 1;
            let end = AttemptEnd::Lost;
            let event = Event::AttemptEnded {
                request,
                attempt,
                end,
            };
            self.later(TICK, index, event);
            return;
        }
        self.later(TICK, index, Event::FirstOutput { request, attempt });
    }

    /// The upstream runs an attempt, and says in the head of its answer what it takes.
    fn run_whole(&mut self, index: usize, sent: &Attempt) {
        let (request, attempt) = (sent.request, sent.id);
        let Some(group) = sent.group else {
            return;
        };
        let daemon = index;
        let at = self.now;
        self.arrivals.push(Arrival { at, daemon, group });
        if let Some(cooldown) = self.cooldowns.get(&group).copied() {
            self.turn_away(index, sent, group, cooldown);
            return;
        }
        let limit = self.limits.get(&group).copied();
        let limit = limit.map_or(AdvertisedLimit::None, AdvertisedLimit::Rate);
        let signal = UpstreamSignal {
            limit,
            leaving: self.mark_of(group),
            ..UpstreamSignal::status_only(200)
        };
        let named = Event::Signal {
            request,
            attempt,
            signal,
        };
        self.later(TICK, index, named);
        self.later(TICK, index, Event::FirstOutput { request, attempt });
        let end = AttemptEnd::Completed { output_tokens: 20 };
        let ended = Event::AttemptEnded {
            request,
            attempt,
            end,
        };
        self.later(RUN_TIME, index, ended);
    }

    fn mark_of(&self, group: GroupNumber) -> LeavingMark {
        if self.leaving.contains(&group) {
            LeavingMark::Leaving
        } else {
            LeavingMark::Absent
        }
    }

    /// The upstream does not run an attempt, and asks for a cooldown.
    fn turn_away(&mut self, daemon: usize, sent: &Attempt, group: GroupNumber, cooldown: Duration) {
        let (request, attempt) = (sent.request, sent.id);
        self.turned_away.push(TurnedAway {
            at: self.now + TICK,
            daemon,
            group,
            cooldown,
        });
        let signal = UpstreamSignal {
            cooldown: RequestedCooldown::For(cooldown),
            leaving: self.mark_of(group),
            ..UpstreamSignal::status_only(503)
        };
        let head = Event::Signal {
            request,
            attempt,
            signal,
        };
        self.later(TICK, daemon, head);
        let ended = Event::AttemptEnded {
            request,
            attempt,
            end: AttemptEnd::Refused,
        };
        self.later(TICK, daemon, ended);
    }

    /// A caller sends a daemon the one request that crashes whoever runs it.
    pub fn crashing_stream(&mut self, index: usize) {
        self.next_event += 1;
        let request = RequestId(self.next_event);
        self.crashing.insert(request);
        let meta = stream(Timestamp::from_duration(self.now + STREAM_DEADLINE));
        self.handle(index, Event::Request { request, meta });
    }
}

/// A stream that may not be repeated.
fn stream(deadline: Timestamp) -> RequestMeta {
    RequestMeta {
        customer: Customer::new("one"),
        fingerprint: Fingerprint(1),
        target: Target::Model(model()),
        prompt_tokens: 100,
        max_output_tokens: 100,
        deadline,
        first_output_within: None,
        priority: 5,
        key: None,
        repeatable: false,
        prefix: Vec::new(),
        max_attempts: Some(1),
        is_resumable: false,
        credential: None,
    }
}
