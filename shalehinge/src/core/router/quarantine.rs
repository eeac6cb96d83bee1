//! Requests that crash the upstreams that run them.
//!
//! A caller that sends such a request again gives it a new id, mostly at another daemon, so
//! that limits on the attempts of one request don't hold it. Daemons count lost attempts by
//! what was asked. Once it was lost at several upstreams and completed at none, it is a suspect,
//! as are others that ran there: it is tried alone, which clears it or proves that it crashes
//! upstreams. What is proven is refused and sent to no upstream for a while. This guards against
//! one caller's request that ends one replica after the other.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::core::fingerprint::Fingerprint;
use crate::core::types::Timestamp;
use crate::settings::router::RouterSettings;

use super::request::UpstreamId;

/// How long a lost attempt counts. What comes less often does little harm, and the
/// longer it counts, the likelier are two losses that have nothing to do with each other.
const LOSS_MEMORY: Duration = Duration::from_secs(300);
/// Losses of one request at one upstream within this time are one crash, told by several
/// daemons. Well above the time between the daemons' notice of it (under 0.1 s), and
/// below the time that a crashed upstream takes to be back (seconds).
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Requests with losses that are remembered; a crash adds as many as ran there.
const MOST_RECORDS: usize = 4_096;
/// Completed requests that are remembered. At a hundred a second it is the last ten seconds,
/// and what is asked more often than that is always among them.
const MOST_COMPLETIONS: usize = 1_024;

/// An attempt that broke off at an upstream, without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// What was asked.
    pub fingerprint: Fingerprint,
    /// Where it ran, or might have.
    pub upstream: UpstreamId,
    /// When it broke off.
    pub at: Timestamp,
}

/// A request that is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// What is asked.
    pub fingerprint: Fingerprint,
    /// The first of the losses that decided it.
    pub first_lost_at: Timestamp,
    /// The last of them.
    pub last_lost_at: Timestamp,
    /// What is known of it.
    pub evidence: Evidence,
}

/// What names a request that is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// It ran at several upstreams as they crashed, as others may have. A trial tells.
    Suspected,
    /// An upstream crashed while it was tried there alone.
    Proven,
}

/// A request that an upstream answered, so that it crashes not each that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// What was asked.
    pub fingerprint: Fingerprint,
    /// When the answer was whole.
    pub at: Timestamp,
}

/// What other daemons should know.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineNews {
    /// For those who count losses of all daemons.
    pub losses: Vec<Loss>,
    /// For all daemons.
    pub quarantined: Vec<Quarantined>,
    /// For all daemons: what is no longer in quarantine, or must not be.
    pub completions: Vec<Completion>,
}

impl QuarantineNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.quarantined.is_empty() && self.completions.is_empty()
    }
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Crashes since it last completed, the earliest first.
    crashes: Vec<(UpstreamId, Timestamp)>,
    completed_at: Option<Timestamp>,
    quarantined: Option<Quarantined>,
}

impl Record {
    fn last_at(&self) -> Timestamp {
        let crashed_at = self.crashes.last().map(|(_, at)| *at);
        let held_at = self.quarantined.map(|held| held.last_lost_at);
        crashed_at
            .max(held_at)
            .max(self.completed_at)
            .unwrap_or_default()
    }
}

/// Lost attempts by what was asked, and what is quarantined for them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, Record>,
    completions: VecDeque<Completion>,
    news: QuarantineNews,
}

impl Quarantine {
    /// How long a request is still refused, if it is quarantined.
    pub fn time_left(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
        settings: &RouterSettings,
    ) -> Option<Duration> {
        let quarantined = self.records.get(&fingerprint)?.quarantined?;
        let until = quarantined.last_lost_at + settings.quarantine_for;
        (now < until).then(|| until.since(now))
    }

    /// Crashes that count against a request.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.records
            .get(&fingerprint)
            .map_or(0, |record| record.crashes.len())
    }

    /// All that is quarantined.
    pub fn all(
        &self,
        now: Timestamp,
        settings: &RouterSettings,
    ) -> impl Iterator<Item = Quarantined> {
        let time = settings.quarantine_for;
        self.records
            .values()
            .filter_map(|record| record.quarantined)
            .filter(move |quarantined| now < quarantined.last_lost_at + time)
    }

    /// An attempt of this daemon broke off. Returns whether that puts it in quarantine.
    pub fn note_loss(&mut self, loss: Loss, settings: &RouterSettings) -> bool {
        if settings.quarantine_after == 0 {
            return false;
        }
        self.news.losses.push(loss.clone());
        self.count(loss, settings)
    }

    /// An attempt of another daemon broke off. Returns whether that puts it in quarantine.
    pub fn learn_loss(&mut self, loss: Loss, settings: &RouterSettings) -> bool {
        let later = self.completed_since(loss.fingerprint, loss.at);
        if settings.quarantine_after == 0 || later.is_some() {
            return false;
        }
        self.count(loss, settings)
    }

    fn count(&mut self, loss: Loss, settings: &RouterSettings) -> bool {
        let Loss {
            fingerprint,
            upstream,
            at,
        } = loss;
        self.make_room();
        let record = self.records.entry(fingerprint).or_default();
        if record.completed_at.is_some_and(|completed| completed >= at) {
            return false;
        }
        record
            .crashes
            .retain(|(_, crashed_at)| at.since(*crashed_at) < LOSS_MEMORY);
        let is_known = record.crashes.iter().any(|(known, crashed_at)| {
            *known == upstream && at.since(*crashed_at).max(crashed_at.since(at)) < SAME_CRASH
        });
        if is_known {
            return false;
        }
        record.crashes.push((upstream, at));
        if record.crashes.len() < settings.quarantine_after as usize {
            return false;
        }
        let first = record.crashes.iter().map(|(_, at)| *at).min();
        let was_quarantined = record.quarantined.is_some();
        let quarantined = Quarantined {
            fingerprint,
            first_lost_at: first.unwrap_or(at),
            last_lost_at: at,
            evidence: record
                .quarantined
                .map_or(Evidence::Suspected, |held| held.evidence),
        };
        record.quarantined = Some(quarantined);
        self.news.quarantined.push(quarantined);
        !was_quarantined
    }

    /// An upstream crashed while this request was tried there alone.
    pub fn prove(&mut self, loss: &Loss) {
        let record = self.records.entry(loss.fingerprint).or_default();
        let first_lost_at = record
            .quarantined
            .map_or(loss.at, |held| held.first_lost_at);
        let quarantined = Quarantined {
            fingerprint: loss.fingerprint,
            first_lost_at,
            last_lost_at: loss.at,
            evidence: Evidence::Proven,
        };
        record.quarantined = Some(quarantined);
        self.news.quarantined.push(quarantined);
    }

    /// What is known of a request that is held now.
    pub fn held(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
        settings: &RouterSettings,
    ) -> Option<Quarantined> {
        self.time_left(now, fingerprint, settings)?;
        self.records.get(&fingerprint)?.quarantined
    }

    /// An upstream gave this daemon a whole answer. Returns whether that ends a quarantine.
    pub fn note_completion(&mut self, completion: Completion) -> bool {
        if self.completions.len() >= MOST_COMPLETIONS {
            self.completions.pop_front();
        }
        self.completions.push_back(completion);
        let ends = self.clear(completion);
        if ends {
            self.news.completions.push(completion);
        }
        ends
    }

    /// Another daemon had a whole answer. Returns whether that ends a quarantine.
    pub fn learn_completion(&mut self, completion: Completion) -> bool {
        self.clear(completion)
    }

    fn clear(&mut self, completion: Completion) -> bool {
        let Some(record) = self.records.get_mut(&completion.fingerprint) else {
            return false;
        };
        record.completed_at = record.completed_at.max(Some(completion.at));
        record.crashes.retain(|(_, at)| *at > completion.at);
        let ends = record
            .quarantined
            .is_some_and(|quarantined| quarantined.first_lost_at <= completion.at);
        if ends {
            record.quarantined = None;
        }
        ends
    }

    /// Another daemon decided on a quarantine. Returns whether it is new here. Where this
    /// daemon had a whole answer since the first loss, all are told that instead.
    pub fn learn_quarantined(&mut self, quarantined: Quarantined) -> bool {
        let fingerprint = quarantined.fingerprint;
        if let Some(completion) = self.completed_since(fingerprint, quarantined.first_lost_at) {
            self.news.completions.push(completion);
            return false;
        }
        self.make_room();
        let record = self.records.entry(fingerprint).or_default();
        let known = record.quarantined;
        let is_news = known.is_none_or(|known| quarantined.evidence > known.evidence);
        let later = known.is_none_or(|known| quarantined.last_lost_at > known.last_lost_at);
        let is_weaker = known.is_some_and(|known| quarantined.evidence < known.evidence);
        if is_news || (later && !is_weaker) {
            record.quarantined = Some(quarantined);
        }
        is_news
    }

    /// The last whole answer since then that is known of here.
    fn completed_since(&self, fingerprint: Fingerprint, since: Timestamp) -> Option<Completion> {
        let record = self.records.get(&fingerprint);
        let told = record.and_then(|record| record.completed_at);
        let own = self
            .completions
            .iter()
            .rev()
            .find(|completion| completion.fingerprint == fingerprint)
            .map(|completion| completion.at);
        let at = told.max(own)?;
        (at >= since).then_some(Completion { fingerprint, at })
    }

    /// Forgets the request whose losses are the oldest, once there are too many.
    fn make_room(&mut self) {
        if self.records.len() < MOST_RECORDS {
            return;
        }
        let oldest = self.records.iter().min_by_key(|(_, r)| r.last_at());
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// Forgets what counts no longer.
    pub fn forget_old(&mut self, now: Timestamp, settings: &RouterSettings) {
        let memory = settings.quarantine_for.max(LOSS_MEMORY);
        self.records
            .retain(|_, record| now < record.last_at() + memory);
    }

    /// What other daemons should be told, once.
    pub fn take_news(&mut self) -> QuarantineNews {
        std::mem::take(&mut self.news)
    }
}
