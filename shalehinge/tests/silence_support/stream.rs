//! One simulated stream: its attempts at replicas that may pause, and what its caller receives.

use std::time::Duration;

use shalehinge::core::router::request::{
    Attempt, NotRunReason, Outcome, UnknownReason, UpstreamId,
};
use shalehinge::core::types::{AttemptId, Timestamp};

/// Ticks until a replica produces the first event of an attempt.
const TICKS_TO_FIRST_EVENT: u32 = 2;
/// Maximum number of attempts of a stream, as its route sets it.
pub const MAX_ATTEMPTS: usize = 2;
/// Maximum number of attempts of a stream at any moment.
const MAX_RUNNING: usize = 2;

/// One attempt at a replica.
#[derive(Clone, Debug)]
pub struct SimulatedAttempt {
    pub id: AttemptId,
    pub upstream: UpstreamId,
    pub sent_at: Timestamp,
    pub output_at: Option<Timestamp>,
    pub is_running: bool,
    /// Whether its replica stated that it did not run it.
    is_refused: bool,
    preparing: u32,
    position: u32,
}

/// What a replica produced for an attempt in one tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Produced {
    pub attempt: AttemptId,
    pub is_first: bool,
    pub is_last: bool,
}

/// One stream and what was measured of it.
#[derive(Debug)]
pub struct SimulatedStream {
    pub attempts: Vec<SimulatedAttempt>,
    pub outcome: Option<Outcome>,
    /// Number of events that the caller received.
    pub received: u32,
    pub longest_pause: Duration,
    pub abandoned: usize,
    /// Attempts abandoned although no other one had gone on and the request was not over.
    pub abandoned_too_early: usize,
    /// When the last of these was abandoned, and how many were then.
    abandoned_last: (Timestamp, usize),
    events: u32,
    received_at: Timestamp,
    deadline: Timestamp,
    answered_at: Option<Timestamp>,
}

impl SimulatedStream {
    /// A stream of `events` events.
    pub fn new(now: Timestamp, events: u32, deadline: Timestamp) -> Self {
        Self {
            attempts: Vec::new(),
            outcome: None,
            received: 0,
            longest_pause: Duration::ZERO,
            abandoned: 0,
            abandoned_too_early: 0,
            abandoned_last: (now, 0),
            events,
            received_at: now,
            deadline,
            answered_at: None,
        }
    }

    /// Whether the caller received each event and the end of the stream.
    pub fn is_whole(&self) -> bool {
        self.received == self.events && self.outcome == Some(Outcome::Completed)
    }

    /// Whether the daemon answered otherwise before the deadline.
    pub fn is_ended_early(&self) -> bool {
        let is_early = self.answered_at.is_some_and(|at| at < self.deadline);
        is_early && self.outcome != Some(Outcome::Completed)
    }

    /// Whether the daemon refused the request without any attempt.
    pub fn is_refused(&self) -> bool {
        self.attempts.is_empty() && self.refusal().is_some()
    }

    /// Why the request was refused, if it was.
    pub fn refusal(&self) -> Option<NotRunReason> {
        match self.outcome {
            Some(Outcome::NotRun { reason, .. }) => Some(reason),
            _ => None,
        }
    }

    /// Begins an attempt, which continues after what the caller has received.
    pub fn send(&mut self, now: Timestamp, attempt: &Attempt) {
        assert_eq!(self.outcome, None, "an answered request is not sent");
        self.attempts.push(SimulatedAttempt {
            id: attempt.id,
            upstream: attempt.upstream.clone(),
            sent_at: now,
            output_at: None,
            is_running: true,
            is_refused: false,
            preparing: TICKS_TO_FIRST_EVENT,
            position: self.received,
        });
        self.check_limits();
    }

    /// Produces the next event of a running attempt, if it has one in this tick.
    pub fn produce(&mut self, now: Timestamp, index: usize) -> Option<Produced> {
        let attempt = &mut self.attempts[index];
        if !attempt.is_running || self.outcome.is_some() {
            return None;
        }
        if attempt.preparing > 0 {
            attempt.preparing -= 1;
            return None;
        }
        let is_first = attempt.output_at.replace(now).is_none();
        attempt.position += 1;
        let position = attempt.position;
        if position > self.received {
            self.received = position;
            self.longest_pause = self.longest_pause.max(now.since(self.received_at));
            self.received_at = now;
        }
        Some(Produced {
            attempt: attempt.id,
            is_first,
            is_last: position == self.events,
        })
    }

    /// Ends an attempt at its replica; returns whether it still ran.
    pub fn end(&mut self, id: AttemptId) -> bool {
        let mut attempts = self.attempts.iter_mut();
        let attempt = attempts.find(|attempt| attempt.id == id);
        attempt.is_some_and(|attempt| std::mem::take(&mut attempt.is_running))
    }

    /// Ends an attempt that its replica did not run.
    pub fn refuse(&mut self, id: AttemptId) {
        self.end(id);
        let mut attempts = self.attempts.iter_mut();
        if let Some(attempt) = attempts.find(|attempt| attempt.id == id) {
            attempt.is_refused = true;
        }
    }

    /// Records the answer to the caller.
    pub fn answer(&mut self, now: Timestamp, outcome: Outcome) {
        assert_eq!(self.outcome, None, "a request is answered once");
        self.outcome = Some(outcome);
        self.answered_at = Some(now);
        let (at, count) = self.abandoned_last;
        if at == now && ends_attempts(outcome) {
            self.abandoned_too_early -= count;
        }
    }

    /// Whether an attempt runs although the request is answered.
    pub fn has_leaked(&self) -> bool {
        let mut attempts = self.attempts.iter();
        self.outcome.is_some() && attempts.any(|attempt| attempt.is_running)
    }

    /// Records that the daemon cancelled an attempt.
    pub fn abandon(&mut self, now: Timestamp, id: AttemptId) {
        let Some(sent_at) = self.attempt(id).map(|attempt| attempt.sent_at) else {
            return;
        };
        self.abandoned += 1;
        self.end(id);
        let mut others = self.attempts.iter().filter(|attempt| attempt.id != id);
        let another_went_on = others.any(|other| {
            let both_ran_at = other.sent_at.max(sent_at);
            other.output_at.is_some_and(|at| at >= both_ran_at)
        });
        if another_went_on || self.outcome.is_some_and(ends_attempts) {
            return;
        }
        self.abandoned_too_early += 1;
        let (at, count) = self.abandoned_last;
        let earlier = if at == now { count } else { 0 };
        self.abandoned_last = (now, earlier + 1);
    }

    fn attempt(&self, id: AttemptId) -> Option<&SimulatedAttempt> {
        self.attempts.iter().find(|attempt| attempt.id == id)
    }

    fn check_limits(&self) {
        let attempts = &self.attempts;
        let counted = attempts.iter().filter(|attempt| !attempt.is_refused);
        assert!(counted.count() <= MAX_ATTEMPTS, "{attempts:?}");
        let running = attempts.iter().filter(|attempt| attempt.is_running);
        let upstreams: Vec<&UpstreamId> = running.map(|attempt| &attempt.upstream).collect();
        assert!(upstreams.len() <= MAX_RUNNING, "{attempts:?}");
        if let [first, second] = upstreams[..] {
            assert_ne!(first, second);
        }
    }
}

/// Whether a daemon that answers so may cancel attempts. One that answers that the request was lost
/// or did not run may not, as the attempt would show it.
fn ends_attempts(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Completed | Outcome::Failed { .. } => true,
        Outcome::Unknown { reason } => reason != UnknownReason::Lost,
        Outcome::NotRun { .. } => false,
    }
}

/// The figures of some streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamFigures {
    pub all: usize,
    pub whole: usize,
    pub ended_early: usize,
    pub refused: usize,
    pub moved: usize,
    pub attempts: usize,
    pub abandoned: usize,
    pub abandoned_too_early: usize,
    pub longest_pause: Duration,
}

impl StreamFigures {
    /// Adds up the figures of these streams.
    pub fn of<'a>(streams: impl IntoIterator<Item = &'a SimulatedStream>) -> Self {
        let mut figures = Self::default();
        for stream in streams {
            figures.all += 1;
            figures.whole += usize::from(stream.is_whole());
            figures.ended_early += usize::from(stream.is_ended_early());
            figures.refused += usize::from(stream.is_refused());
            figures.moved += usize::from(stream.attempts.len() > 1);
            figures.attempts += stream.attempts.len();
            figures.abandoned += stream.abandoned;
            figures.abandoned_too_early += stream.abandoned_too_early;
            figures.longest_pause = figures.longest_pause.max(stream.longest_pause);
        }
        figures
    }
}

impl std::fmt::Display for StreamFigures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            all,
            whole,
            ended_early,
            refused,
            moved,
            attempts,
            abandoned,
            abandoned_too_early,
            longest_pause,
        } = self;
        write!(
            f,
            "{whole} of {all} whole, {ended_early} ended early, {refused} of them refused unsent, \
             {moved} moved, {attempts} attempts, {abandoned} abandoned, {abandoned_too_early} of \
             them too early, longest pause {longest_pause:?}"
        )
    }
}
