//! Simulated callers of a fleet, and the upstreams that run its requests.

use std::time::Duration;

use shalehinge::core::advertised_limit::AdvertisedLimit;
use shalehinge::core::daemon::TICK;
use shalehinge::core::event::Event;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::router::request::{Attempt, AttemptEnd, RequestMeta, Target};
use shalehinge::core::signal::{LeavingMark, RequestedCooldown, UpstreamSignal};
use shalehinge::core::types::{Customer, GroupNumber, RequestId, Timestamp};
use shalehinge::utils::http::ATTEMPT_CONNECT_TIMEOUT;

use super::configuration::model;
use super::prompt_parts::Crash;
use super::{DOMAINS, Fleet};

/// Time from a stream's start to its deadline.
pub(super) const STREAM_DEADLINE: Duration = Duration::from_secs(6);

/// An attempt of a request that completes, as it reached the upstream of a group.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it reached the upstream.
    pub at: Duration,
    /// Index of the daemon that sent it.
    pub daemon: usize,
    /// The group that it was sent to.
    pub group: GroupNumber,
}

/// An attempt that an upstream refused and answered with a cooldown.
#[derive(Clone, Copy, Debug)]
pub struct RefusedAttempt {
    /// When the daemon received the response.
    pub at: Duration,
    /// Index of the daemon that sent it.
    pub daemon: usize,
    /// The group that refused it.
    pub group: GroupNumber,
    /// The cooldown that the upstream asked for.
    pub cooldown: Duration,
}

/// How the connections of a daemon that reaches no upstream fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamCut {
    /// Open connections and new ones get no reply.
    Silent,
    /// Open connections live on, new ones are refused.
    Refused,
    /// Open connections are reset, new ones are refused.
    Reset,
}

impl UpstreamCut {
    /// Whether a new connection is refused, rather than left without a reply.
    pub fn refuses_connections(self) -> bool {
        self != Self::Silent
    }
}

/// Run time of a request that completes.
pub const RUN_TIME: Duration = Duration::from_millis(300);

impl Fleet {
    /// Sends a daemon `count` streams, each of which stalls after its first output.
    pub fn send_stalling_streams(&mut self, index: usize, count: u64) {
        for _ in 0..count {
            self.next_event += 1;
            let request = RequestId(self.next_event);
            let meta = stream(Timestamp::from_duration(self.now + STREAM_DEADLINE));
            self.handle(index, Event::Request { request, meta });
        }
    }

    /// Sends a daemon a stream that completes.
    pub fn send_completing_stream(&mut self, index: usize) {
        self.next_event += 1;
        let request = RequestId(self.next_event);
        self.completing.insert(request, self.now);
        let meta = RequestMeta {
            fingerprint: Fingerprint(self.next_event),
            ..stream(Timestamp::from_duration(self.now + STREAM_DEADLINE))
        };
        self.handle(index, Event::Request { request, meta });
    }

    /// Sends a daemon the request of [`Self::send_crashing_stream`] again, which now completes.
    pub fn send_crashing_stream_that_completes(&mut self, index: usize) {
        self.next_event += 1;
        let request = RequestId(self.next_event);
        self.completing.insert(request, self.now);
        let meta = stream(Timestamp::from_duration(self.now + STREAM_DEADLINE));
        self.handle(index, Event::Request { request, meta });
    }

    /// Runs an attempt on its upstream.
    pub(super) fn run_attempt(&mut self, index: usize, sent: &Attempt) {
        if self.run_stream_attempt(sent) {
            return;
        }
        if self.completing.contains_key(&sent.request) || self.is_forward(sent.request) {
            self.run_completing_attempt(index, sent);
            return;
        }
        let (request, attempt) = (sent.request, sent.id);
        if self.crashing.contains(&request) {
            self.crashes += 1;
            self.crash_log.push(Crash {
                at: self.now,
                request,
            });
            let end = AttemptEnd::Lost;
            let event = Event::AttemptEnded {
                request,
                attempt,
                end,
            };
            self.schedule(TICK, index, event);
            return;
        }
        self.schedule(TICK, index, Event::FirstOutput { request, attempt });
    }

    /// Cuts daemons off from all upstreams, while peers and the platform still reach them.
    pub fn cut_from_upstreams(&mut self, daemons: &[usize], cut: UpstreamCut) {
        self.cut_from_upstreams
            .extend(daemons.iter().map(|index| (*index, cut)));
        let events = std::mem::take(&mut self.events);
        for ((at, number), (index, event)) in events {
            let event = if daemons.contains(&index) {
                event_after_cut(event, cut)
            } else {
                Some(event)
            };
            if let Some(event) = event {
                self.events.insert((at, number), (index, event));
            }
        }
    }

    /// Lets all daemons reach the upstreams again.
    pub fn restore_upstreams(&mut self) {
        self.cut_from_upstreams.clear();
    }

    /// Whether a daemon can't connect to the upstream of a group, as one of them is in the failure
    /// domain that is cut off and the other isn't.
    fn is_cut_off(&self, index: usize, group: GroupNumber) -> bool {
        let domains = u64::from(DOMAINS);
        let is_cut = |number: u64| self.cut_domain == Some(number % domains);
        is_cut(index as u64) != is_cut(group.0)
    }

    /// Runs an attempt that completes, with the upstream's limit and leaving mark in the head of
    /// the response, unless the group refuses it with a cooldown.
    fn run_completing_attempt(&mut self, index: usize, sent: &Attempt) {
        let (request, attempt) = (sent.request, sent.id);
        let Some(group) = sent.group else {
            return;
        };
        let cut = self.cut_from_upstreams.get(&index).copied();
        if cut.is_some() || self.is_cut_off(index, group) {
            let is_refused = cut.is_some_and(UpstreamCut::refuses_connections);
            let fails_after = if is_refused {
                TICK
            } else {
                ATTEMPT_CONNECT_TIMEOUT
            };
            let end = AttemptEnd::NotSent;
            let event = Event::AttemptEnded {
                request,
                attempt,
                end,
            };
            self.schedule(fails_after, index, event);
            return;
        }
        let daemon = index;
        let at = self.now;
        self.arrivals.push(Arrival { at, daemon, group });
        if let Some(cooldown) = self.cooldowns.get(&group).copied() {
            self.refuse_attempt(index, sent, group, cooldown);
            return;
        }
        let limit = self.limits.get(&group).copied();
        let limit = limit.map_or(AdvertisedLimit::None, AdvertisedLimit::Rate);
        let signal = UpstreamSignal {
            limit,
            leaving: self.leaving_mark(group),
            ..UpstreamSignal::status_only(200)
        };
        let named = Event::Signal {
            request,
            attempt,
            signal,
        };
        self.schedule(TICK, index, named);
        self.schedule(TICK, index, Event::FirstOutput { request, attempt });
        let end = AttemptEnd::Completed { output_tokens: 20 };
        let ended = Event::AttemptEnded {
            request,
            attempt,
            end,
        };
        self.schedule(RUN_TIME, index, ended);
    }

    /// The leaving mark in the responses of a group's upstreams.
    fn leaving_mark(&self, group: GroupNumber) -> LeavingMark {
        if self.leaving.contains(&group) {
            LeavingMark::Leaving
        } else {
            LeavingMark::Absent
        }
    }

    /// Refuses an attempt without running it, and asks for a cooldown.
    fn refuse_attempt(
        &mut self,
        daemon: usize,
        sent: &Attempt,
        group: GroupNumber,
        cooldown: Duration,
    ) {
        let (request, attempt) = (sent.request, sent.id);
        self.refused_attempts.push(RefusedAttempt {
            at: self.now + TICK,
            daemon,
            group,
            cooldown,
        });
        let signal = UpstreamSignal {
            cooldown: RequestedCooldown::For(cooldown),
            leaving: self.leaving_mark(group),
            ..UpstreamSignal::status_only(503)
        };
        let head = Event::Signal {
            request,
            attempt,
            signal,
        };
        self.schedule(TICK, daemon, head);
        let ended = Event::AttemptEnded {
            request,
            attempt,
            end: AttemptEnd::Refused,
        };
        self.schedule(TICK, daemon, ended);
    }

    /// Sends a daemon the request that crashes each upstream that runs it.
    pub fn send_crashing_stream(&mut self, index: usize) {
        self.next_event += 1;
        let request = RequestId(self.next_event);
        self.crashing.insert(request);
        let meta = stream(Timestamp::from_duration(self.now + STREAM_DEADLINE));
        self.handle(index, Event::Request { request, meta });
    }
}

/// What becomes of an event of an open connection to an upstream when the connection is cut.
fn event_after_cut(event: Event, cut: UpstreamCut) -> Option<Event> {
    match (event, cut) {
        (
            Event::AttemptEnded {
                request, attempt, ..
            },
            UpstreamCut::Reset,
        ) => Some(Event::AttemptEnded {
            request,
            attempt,
            end: AttemptEnd::Lost,
        }),
        (
            Event::AttemptEnded { .. }
            | Event::FirstOutput { .. }
            | Event::Progress { .. }
            | Event::Signal { .. },
            UpstreamCut::Silent | UpstreamCut::Reset,
        ) => None,
        (event, _) => Some(event),
    }
}

/// A request for a stream that must not be repeated.
pub(super) fn stream(deadline: Timestamp) -> RequestMeta {
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
        prompt_parts: Vec::new(),
        max_attempts: Some(1),
        is_resumable: false,
        credential: None,
    }
}
