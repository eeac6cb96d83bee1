//! Measures the load that callers request of each model.
//!
//! Every daemon counts the requests that arrive at it, whether they are served or refused, and
//! sends its counts and those of a few other daemons with the messages that daemons exchange
//! anyway. The lease holder of a failure domain adds up the counts that it received recently.
//! Callers are spread over the daemons, so that the counts received are a representative sample.
//! Counts decay exponentially, so that they follow the load of the last seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use super::types::{DaemonId, ModelName, Timestamp};

/// Time constant of the exponential decay: a count falls to 1/e in this time. A burst of two or
/// three seconds does not change the placement, as replicas take 2 to 16 s to form; a lasting
/// change does.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Age at which a peer's counts are discarded; they have decayed to a twentieth by then.
const PEER_EXPIRY: Duration = Duration::from_secs(24);

/// Number of other daemons whose counts are included in one message. At two messages a second, a
/// daemon knows most of a fleet of a hundred daemons after four seconds. Each message grows by
/// about two kilobytes.
const MAX_FORWARDED_REPORTS: usize = 16;

/// Fraction of a count that remains after this time.
fn decay_factor(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// Load on one model: a decayed count or a rate per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// Number of requests.
    pub requests: f64,
    /// Prompt tokens of these requests.
    pub prompt_tokens: f64,
    /// Requests that were answered completely.
    pub answers: f64,
    /// Outputs of the complete answers: tokens, or events of several tokens each.
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

    /// Estimated outputs of all requests, assuming that requests without an answer yet produce as
    /// many outputs on average as the answered ones.
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

/// Load by model.
pub type WorkByModel = BTreeMap<ModelName, ModelWork>;

/// Load on one daemon: decayed counts, and the time over which they were counted, decayed in the
/// same way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonWork {
    /// Decayed counting time in seconds.
    pub seconds: f64,
    /// Decayed counts by model.
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

/// Estimated load on the whole fleet, from the counts that one daemon knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetWork {
    /// Load per second.
    pub per_second: WorkByModel,
    /// Decayed number of requests in the sample behind the estimate.
    pub sampled_requests: f64,
}

/// Load on this daemon and, as reported by peers, on other daemons.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    own_counts: DaemonWork,
    /// When the own counts were last decayed; `None` before the first request.
    counted_at: Option<Timestamp>,
    peers: BTreeMap<DaemonId, PeerWork>,
}

/// Load on a daemon, as of some time ago.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkReport {
    /// The daemon that counted.
    pub daemon: DaemonId,
    /// Age of the counts in milliseconds.
    pub ms_ago: u64,
    /// The counts.
    pub work: DaemonWork,
}

#[derive(Clone, Debug)]
struct PeerWork {
    work: DaemonWork,
    counted_at: Timestamp,
}

impl Demand {
    /// Counts a request that arrived for a model, with its number of prompt tokens.
    pub fn record_request(&mut self, now: Timestamp, model: &ModelName, prompt_tokens: u32) {
        let work = ModelWork {
            requests: 1.0,
            prompt_tokens: f64::from(prompt_tokens),
            ..ModelWork::default()
        };
        self.add(now, model, work);
    }

    /// Counts a request for a model that was answered completely, with its number of outputs.
    pub fn record_answer(&mut self, now: Timestamp, model: &ModelName, outputs: u32) {
        let work = ModelWork {
            answers: 1.0,
            outputs: f64::from(outputs),
            ..ModelWork::default()
        };
        self.add(now, model, work);
    }

    fn add(&mut self, now: Timestamp, model: &ModelName, work: ModelWork) {
        self.own_counts = self.own_work(now);
        self.counted_at = Some(now);
        self.own_counts
            .counts
            .entry(model.clone())
            .or_default()
            .add(work);
    }

    /// The load on this daemon, decayed to `now`.
    fn own_work(&self, now: Timestamp) -> DaemonWork {
        let Some(counted_at) = self.counted_at else {
            return DaemonWork::default();
        };
        let remaining = decay_factor(now.since(counted_at));
        let mut work = self.own_counts.scaled(remaining);
        work.seconds += DECAY_TIME.as_secs_f64() * (1.0 - remaining);
        work
    }

    /// The reports for one message of this daemon, `own_id`: its own counts, if it has any, and
    /// those of a random sample of peers.
    pub fn reports(
        &self,
        now: Timestamp,
        own_id: &DaemonId,
        rng: &mut impl rand::Rng,
    ) -> Vec<WorkReport> {
        let own = WorkReport {
            daemon: own_id.clone(),
            ms_ago: 0,
            work: self.own_work(now),
        };
        let others = self
            .peers
            .iter()
            .choose_multiple(rng, MAX_FORWARDED_REPORTS);
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

    /// Merges the reports of a peer. Reports on this daemon, expired reports and those that are
    /// not newer than the known ones are ignored.
    pub fn merge(&mut self, now: Timestamp, own_id: &DaemonId, reports: Vec<WorkReport>) {
        for WorkReport {
            daemon,
            ms_ago,
            work,
        } in reports
        {
            let age = Duration::from_millis(ms_ago);
            if daemon == *own_id || age >= PEER_EXPIRY.min(now.as_duration()) {
                continue;
            }
            let counted_at = now.minus(age);
            let known = self.peers.get(&daemon);
            if known.is_none_or(|known| known.counted_at < counted_at) {
                self.peers.insert(daemon, PeerWork { work, counted_at });
            }
        }
        self.peers
            .retain(|_, peer| now.since(peer.counted_at) < PEER_EXPIRY);
    }

    /// Estimates the load on a fleet of `daemons` daemons from the known counts. Older reports of
    /// peers have a lower weight.
    pub fn fleet_work(&self, now: Timestamp, daemons: usize) -> FleetWork {
        let mut sample = self.own_work(now);
        for peer in self.peers.values() {
            sample.add(peer.work.scaled(decay_factor(now.since(peer.counted_at))));
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
