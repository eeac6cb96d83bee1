//! The work that callers ask of each model, measured by every daemon.
//!
//! A daemon counts what arrives at it, whether it is served or refused, and sends its
//! counts and those of a few others with the messages that daemons exchange anyway. Whoever
//! holds control adds up those that it heard lately: callers are spread over the daemons, so
//! that the part it heard of is a fair sample. Counts decay, so that they follow the last
//! seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use super::types::{DaemonId, ModelName, Timestamp};

/// Time in which a count decays to a third. A burst of two or three seconds moves
/// no replicas, which take 2 to 16 s to form, and a lasting change does.
const MEMORY: Duration = Duration::from_secs(8);
/// A peer's counts are forgotten after so long; they have decayed to a twentieth by then.
const FORGET_AFTER: Duration = Duration::from_secs(24);

/// Other daemons whose counts go into one message. At two messages a second a daemon
/// knows most of a fleet of a hundred after four seconds, for some two kilobytes each.
const FORWARDED: usize = 16;

/// Part of a count that is left after this time.
fn decay(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp()
}

/// Work for one model: a count, or an amount a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// Requests.
    pub requests: f64,
    /// Tokens of their prompts.
    pub prompt_tokens: f64,
    /// Requests that were answered whole.
    pub answers: f64,
    /// Outputs of these answers: tokens, or events of several tokens each.
    pub outputs: f64,
}

impl ModelWork {
    fn scaled(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            prompt_tokens: self.prompt_tokens * factor,
            answers: self.answers * factor,
            outputs: self.outputs * factor,
        }
    }

    /// Outputs of all requests, if those not answered yet bring as many as the others.
    pub fn expected_outputs(&self) -> f64 {
        if self.answers <= 0.0 {
            return 0.0;
        }
        self.requests * self.outputs / self.answers
    }

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.answers += other.answers;
        self.outputs += other.outputs;
    }
}

/// Work by model.
pub type WorkByModel = BTreeMap<ModelName, ModelWork>;

/// What arrived at one daemon: decayed counts, and the time in which they were counted,
/// decayed in the same way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonWork {
    /// Seconds.
    pub seconds: f64,
    /// Counts by model.
    pub counts: WorkByModel,
}

impl DaemonWork {
    fn scaled(&self, factor: f64) -> Self {
        let counts = self.counts.iter();
        Self {
            seconds: self.seconds * factor,
            counts: counts
                .map(|(model, work)| (model.clone(), work.scaled(factor)))
                .collect(),
        }
    }

    fn add(&mut self, other: Self) {
        self.seconds += other.seconds;
        for (model, work) in other.counts {
            self.counts.entry(model).or_default().add(work);
        }
    }
}

/// The work that arrives at the whole fleet, as far as one daemon heard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetWork {
    /// Work a second.
    pub per_second: WorkByModel,
    /// Requests in the sample that it was reckoned from.
    pub sampled_requests: f64,
}

/// What arrived at this daemon, and what peers said arrived at them.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    own: DaemonWork,
    /// When the counts were last brought up to date; none before the first request.
    counted_at: Option<Timestamp>,
    peers: BTreeMap<DaemonId, PeerWork>,
}

/// What arrived at a daemon until some time ago.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkReport {
    /// The daemon.
    pub daemon: DaemonId,
    /// How long ago it was counted, in milliseconds.
    pub ms_ago: u64,
    /// What was counted.
    pub work: DaemonWork,
}

#[derive(Clone, Debug)]
struct PeerWork {
    work: DaemonWork,
    counted_at: Timestamp,
}

impl Demand {
    /// A request for a model arrived, with a prompt of so many tokens.
    pub fn record_request(&mut self, now: Timestamp, model: &ModelName, prompt_tokens: u32) {
        let work = ModelWork {
            requests: 1.0,
            prompt_tokens: f64::from(prompt_tokens),
            ..ModelWork::default()
        };
        self.add(now, model, work);
    }

    /// A request for a model was answered whole, with so many outputs.
    pub fn record_answer(&mut self, now: Timestamp, model: &ModelName, outputs: u32) {
        let work = ModelWork {
            answers: 1.0,
            outputs: f64::from(outputs),
            ..ModelWork::default()
        };
        self.add(now, model, work);
    }

    fn add(&mut self, now: Timestamp, model: &ModelName, work: ModelWork) {
        self.own = self.own(now);
        self.counted_at = Some(now);
        self.own.counts.entry(model.clone()).or_default().add(work);
    }

    /// What arrived at this daemon.
    fn own(&self, now: Timestamp) -> DaemonWork {
        let Some(counted_at) = self.counted_at else {
            return DaemonWork::default();
        };
        let left = decay(now.since(counted_at));
        let mut work = self.own.scaled(left);
        work.seconds += MEMORY.as_secs_f64() * (1.0 - left);
        work
    }

    /// What a message of this daemon, `me`, tells: its own counts, and those of others.
    pub fn reports(
        &self,
        now: Timestamp,
        me: &DaemonId,
        rng: &mut impl rand::Rng,
    ) -> Vec<WorkReport> {
        let own = WorkReport {
            daemon: me.clone(),
            ms_ago: 0,
            work: self.own(now),
        };
        let others = self.peers.iter().choose_multiple(rng, FORWARDED);
        let others = others.into_iter().map(|(daemon, peer)| WorkReport {
            daemon: daemon.clone(),
            ms_ago: now.since(peer.counted_at).as_millis() as u64,
            work: peer.work.clone(),
        });
        let has_counted = self.counted_at.is_some();
        has_counted
            .then_some(own)
            .into_iter()
            .chain(others)
            .collect()
    }

    /// A peer sent what it knows; what is older than what is known changes nothing.
    pub fn merge(&mut self, now: Timestamp, me: &DaemonId, reports: Vec<WorkReport>) {
        for WorkReport {
            daemon,
            ms_ago,
            work,
        } in reports
        {
            let age = Duration::from_millis(ms_ago);
            if daemon == *me || age >= FORGET_AFTER.min(now.as_duration()) {
                continue;
            }
            let counted_at = now.minus(age);
            let known = self.peers.get(&daemon);
            if known.is_none_or(|known| known.counted_at < counted_at) {
                self.peers.insert(daemon, PeerWork { work, counted_at });
            }
        }
        self.peers
            .retain(|_, peer| now.since(peer.counted_at) < FORGET_AFTER);
    }

    /// The work of a fleet of so many daemons. What peers sent longer ago counts for less.
    pub fn of_fleet(&self, now: Timestamp, daemons: usize) -> FleetWork {
        let mut sample = self.own(now);
        for peer in self.peers.values() {
            sample.add(peer.work.scaled(decay(now.since(peer.counted_at))));
        }
        if sample.seconds <= 0.0 {
            return FleetWork::default();
        }
        let sampled_requests = sample.counts.values().map(|work| work.requests).sum();
        let fleet = sample.scaled(daemons as f64 / sample.seconds);
        FleetWork {
            per_second: fleet.counts,
            sampled_requests,
        }
    }
}
