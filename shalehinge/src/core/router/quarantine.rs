//! Quarantine of requests that crash the upstreams that run them.
//!
//! A caller that sends such a request again uses a new request id, usually at another daemon, so
//! limits on the attempts per request do not stop it. Daemons therefore count lost attempts by
//! request fingerprint. Once a request was lost at several upstreams and completed at none, it is
//! suspected, as are others that ran there at the time. A suspected request is run alone in a
//! trial, which either clears it or shows that it crashes upstreams. What is proven is refused
//! for a while and sent to no upstream. This prevents one caller's request from crashing one
//! replica after another.
//!
//! Parts of prompts are counted in the same way. A request on trial may hold several suspected
//! parts; [`super::culprit_sets`] keeps what its trial shows about them together.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::core::fingerprint::Fingerprint;
use crate::core::types::Timestamp;
use crate::settings::router::RouterSettings;

use super::culprit_sets::{CulpritSet, CulpritSets};
use super::request::{RequestMeta, UpstreamId};

/// How long a lost attempt counts. Less frequent requests do little harm, and the longer the
/// period, the more likely it is that two losses are unrelated.
const LOSS_RETENTION: Duration = Duration::from_secs(300);
/// Losses of one request at one upstream within this time are treated as one crash reported by
/// several daemons. It is well above the time within which all daemons notice a crash (under
/// 100 ms) and below the time that a crashed upstream takes to return (seconds).
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time by which a whole answer outlasts its end as evidence for the parts of its prompt. Parts that
/// most prompts share are answered all the time; without it, crashes in close succession would
/// make suspects of them.
const PART_ANSWER_VALIDITY: Duration = Duration::from_millis(1_500);
/// Maximum number of prompt parts in each of the two generations of whole answers.
const MAX_PART_ANSWERS: usize = 16_384;
/// Maximum number of requests and parts with losses to remember. A crash adds every request that was
/// running there, with hundreds of parts each.
const MAX_RECORDS: usize = 32_768;
/// Number of records that are discarded at once when there are too many.
const EVICTED_RECORDS: usize = MAX_RECORDS / 8;
/// Maximum number of completed requests to remember. At 100 requests per second this covers the
/// last ten seconds, and requests repeated more often than that are always included.
const MAX_COMPLETIONS: usize = 1_024;

/// An attempt that was lost at an upstream without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The upstream on which it ran or may have run.
    pub upstream: UpstreamId,
    /// When the attempt was lost.
    pub at: Timestamp,
}

/// A quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// When the first of the losses that led to the quarantine occurred.
    pub first_lost_at: Timestamp,
    /// When the last of them occurred.
    pub last_lost_at: Timestamp,
    /// How certain it is that the request crashes upstreams.
    pub evidence: Evidence,
}

/// How certain it is that a quarantined request crashes upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// It was running at several upstreams when they crashed, possibly along with others. A trial
    /// decides.
    Suspected,
    /// An upstream crashed while the request ran there in a trial.
    Proven,
}

/// A request that an upstream answered, so that it does not crash every upstream that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// When the complete answer was received.
    pub at: Timestamp,
}

/// Changes to report to other daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineUpdate {
    /// Losses, for the daemons that count the losses of all daemons.
    pub losses: Vec<Loss>,
    /// New or extended quarantines, for all daemons.
    pub quarantined: Vec<Quarantined>,
    /// New sets of suspects of which one crashes upstreams, for all daemons.
    pub culprit_sets: Vec<CulpritSet>,
    /// Completions, for all daemons; each ends or prevents a quarantine.
    pub completions: Vec<Completion>,
}

impl QuarantineUpdate {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
            && self.quarantined.is_empty()
            && self.culprit_sets.is_empty()
            && self.completions.is_empty()
    }
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Crashes since the request last completed, in order of arrival.
    crashes: Vec<(UpstreamId, Timestamp)>,
    /// When the last known complete answer was received.
    completed_at: Option<Timestamp>,
    /// The quarantine, which may have expired.
    quarantined: Option<Quarantined>,
}

impl Record {
    fn last_at(&self) -> Timestamp {
        let crashed_at = self.crashes.iter().map(|(_, at)| *at).max();
        let last_lost_at = self.quarantined.map(|known| known.last_lost_at);
        crashed_at
            .max(last_lost_at)
            .max(self.completed_at)
            .unwrap_or_default()
    }

    /// How suspicious the request is, from its quarantine and its crashes.
    fn rank(&self) -> (Option<Evidence>, usize, Timestamp) {
        let evidence = self.quarantined.map(|known| known.evidence);
        (evidence, self.crashes.len(), self.last_at())
    }
}

/// When prompt parts were last in a prompt that got a complete answer. When the newer generation is
/// full, it replaces the older one.
#[derive(Clone, Debug, Default)]
struct PartAnswers {
    newer: BTreeMap<Fingerprint, Timestamp>,
    older: BTreeMap<Fingerprint, Timestamp>,
}

impl PartAnswers {
    fn record(&mut self, completion: Completion) {
        self.newer.insert(completion.fingerprint, completion.at);
        if self.newer.len() >= MAX_PART_ANSWERS {
            self.older = std::mem::take(&mut self.newer);
        }
    }

    fn last(&self, part: Fingerprint) -> Option<Timestamp> {
        let known = self.newer.get(&part).or_else(|| self.older.get(&part));
        known.copied()
    }
}

/// Whether an answer that was complete at `completed_at` shows that a crash at `crashed_at` had
/// another cause.
fn refutes(fingerprint: Fingerprint, completed_at: Timestamp, crashed_at: Timestamp) -> bool {
    if fingerprint.is_prompt_part() {
        completed_at + PART_ANSWER_VALIDITY >= crashed_at
    } else {
        completed_at >= crashed_at
    }
}

/// Lost attempts by request fingerprint, and the quarantines that result from them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// What is known about each request.
    records: BTreeMap<Fingerprint, Record>,
    /// What crashes during trials have shown about several suspects together.
    culprit_sets: CulpritSets,
    /// Complete answers received by this daemon, oldest first.
    completions: VecDeque<Completion>,
    /// When this daemon last received a complete answer, by prompt part.
    part_answers: PartAnswers,
    /// Changes that have not been sent to other daemons yet.
    update: QuarantineUpdate,
}

impl Quarantine {
    /// How long a request remains quarantined; `None` if it is not.
    pub fn time_left(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
        settings: &RouterSettings,
    ) -> Option<Duration> {
        let quarantined = self.active(now, fingerprint, settings)?;
        let until = quarantined.last_lost_at + settings.quarantine_for;
        Some(until.since(now))
    }

    /// What is known to crash upstreams, as sets of which a request must hold all. A set of one is a
    /// subject that is proven by itself.
    pub fn culprits(&self, now: Timestamp, settings: &RouterSettings) -> Vec<Vec<Fingerprint>> {
        let all = self.all(now, settings);
        let proven = all.filter(|known| known.evidence == Evidence::Proven);
        let proven = proven.map(|known| vec![known.fingerprint]);
        let sets = self.culprit_sets.by_size().into_iter();
        proven.chain(sets.map(|set| set.subjects.clone())).collect()
    }

    /// The sets of suspects of which one crashes upstreams, smallest first.
    pub fn culprit_sets(&self) -> Vec<&CulpritSet> {
        self.culprit_sets.by_size()
    }

    /// Number of crashes that count against a request.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.records
            .get(&fingerprint)
            .map_or(0, |record| record.crashes.len())
    }

    /// All requests that are quarantined now.
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

    /// Records a lost attempt of this daemon. Returns whether it newly quarantines the request.
    pub fn record_loss(&mut self, loss: Loss, settings: &RouterSettings) -> bool {
        let is_refuted = loss.fingerprint.is_prompt_part()
            && self.completion_since(loss.fingerprint, loss.at).is_some();
        if settings.quarantine_after == 0 || is_refuted {
            return false;
        }
        self.update.losses.push(loss.clone());
        self.count_loss(loss, settings)
    }

    /// Applies a lost attempt of another daemon. Returns whether it newly quarantines the
    /// request.
    pub fn apply_remote_loss(&mut self, loss: Loss, settings: &RouterSettings) -> bool {
        let later = self.completion_since(loss.fingerprint, loss.at);
        if settings.quarantine_after == 0 || later.is_some() {
            return false;
        }
        self.count_loss(loss, settings)
    }

    fn count_loss(&mut self, loss: Loss, settings: &RouterSettings) -> bool {
        let Loss {
            fingerprint,
            upstream,
            at,
        } = loss;
        self.evict_if_full();
        let record = self.records.entry(fingerprint).or_default();
        let completed_at = record.completed_at;
        if completed_at.is_some_and(|completed_at| refutes(fingerprint, completed_at, at)) {
            return false;
        }
        record
            .crashes
            .retain(|(_, crashed_at)| at.since(*crashed_at) < LOSS_RETENTION);
        let is_known = record.crashes.iter().any(|(known, crashed_at)| {
            *known == upstream
                && at.since(*crashed_at).max(crashed_at.since(at)) < SAME_CRASH_WINDOW
        });
        if is_known {
            return false;
        }
        record.crashes.push((upstream, at));
        if record.crashes.len() < settings.quarantine_after as usize {
            return false;
        }
        let first = record.crashes.iter().map(|(_, at)| *at).min();
        // Peers report crashes out of order.
        let last = record.crashes.iter().map(|(_, at)| *at).max();
        let known_last = record.quarantined.map(|known| known.last_lost_at);
        let was_quarantined = record.quarantined.is_some();
        let quarantined = Quarantined {
            fingerprint,
            first_lost_at: first.unwrap_or(at),
            last_lost_at: last.max(known_last).unwrap_or(at),
            evidence: record
                .quarantined
                .map_or(Evidence::Suspected, |known| known.evidence),
        };
        record.quarantined = Some(quarantined);
        self.update.quarantined.push(quarantined);
        !was_quarantined
    }

    /// Records that an upstream crashed during the trial of a request with these subjects. Returns
    /// those that may be the cause.
    pub fn record_trial_crash(
        &mut self,
        subjects: &[Fingerprint],
        at: Timestamp,
        settings: &RouterSettings,
    ) -> CulpritSet {
        let suspects = subjects
            .iter()
            .filter_map(|subject| self.active(at, *subject, settings));
        let first_lost_at = suspects.map(|known| known.first_lost_at).max();
        let first_lost_at = first_lost_at.unwrap_or(at);
        // A part that crashes upstreams may be new, whereas the content as a whole differs from all
        // others unless it was suspected before.
        let may_be_cause = |subject: &Fingerprint| {
            let is_suspected = self.active(at, *subject, settings).is_some();
            let has_answer = self.completion_since(*subject, first_lost_at).is_some();
            is_suspected || subject.is_prompt_part() && !has_answer
        };
        let mut subjects: Vec<Fingerprint> =
            subjects.iter().copied().filter(may_be_cause).collect();
        subjects.sort_unstable();
        subjects.dedup();
        let set = CulpritSet {
            subjects,
            first_lost_at,
            last_lost_at: at,
        };
        match set.subjects[..] {
            [] => {}
            [subject] => {
                let proven = self.mark_proven(subject, &set);
                self.update.quarantined.push(proven);
            }
            _ => self.update.culprit_sets.push(set.clone()),
        }
        self.add_culprit_set(set.clone());
        set
    }

    /// Adds a set. Returns whether it is new.
    fn add_culprit_set(&mut self, set: CulpritSet) -> bool {
        if set.subjects.len() < 2 || !self.culprit_sets.insert(set.clone()) {
            return false;
        }
        self.drop_explained(&set);
        true
    }

    /// Records that a subject, the only one left of this set, crashes upstreams.
    fn mark_proven(&mut self, fingerprint: Fingerprint, set: &CulpritSet) -> Quarantined {
        let quarantined = Quarantined {
            fingerprint,
            first_lost_at: set.first_lost_at,
            last_lost_at: set.last_lost_at,
            evidence: Evidence::Proven,
        };
        self.records.entry(fingerprint).or_default().quarantined = Some(quarantined);
        self.drop_explained(&CulpritSet {
            subjects: vec![fingerprint],
            ..*set
        });
        quarantined
    }

    /// Drops suspicions that rest on crashes which a culprit in this set, a part of prompts,
    /// explains. A second cause among them is suspected again after further crashes.
    fn drop_explained(&mut self, set: &CulpritSet) {
        let mut subjects = set.subjects.iter();
        if !subjects.any(|subject| subject.is_prompt_part()) {
            return;
        }
        let from = set.first_lost_at.minus(SAME_CRASH_WINDOW);
        let until = set.last_lost_at + SAME_CRASH_WINDOW;
        for (fingerprint, record) in &mut self.records {
            let is_suspected = record
                .quarantined
                .is_some_and(|known| known.evidence == Evidence::Suspected);
            if set.subjects.binary_search(fingerprint).is_ok() {
                continue;
            }
            record.crashes.retain(|(_, at)| *at < from || *at > until);
            if is_suspected && record.crashes.is_empty() {
                record.quarantined = None;
            }
        }
    }

    /// The quarantine of a request, or of a part of prompts, if it is in force now.
    pub fn active(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
        settings: &RouterSettings,
    ) -> Option<Quarantined> {
        let record = self.records.get(&fingerprint);
        let own = record.and_then(|record| record.quarantined);
        let set = self.culprit_sets.latest_with(fingerprint);
        let of_set = set.map(|set| Quarantined {
            fingerprint,
            first_lost_at: set.first_lost_at,
            last_lost_at: set.last_lost_at,
            evidence: Evidence::Suspected,
        });
        let known = own.into_iter().chain(of_set);
        let active = known.filter(|known| now < known.last_lost_at + settings.quarantine_for);
        active.max_by_key(|known| (known.evidence, known.last_lost_at))
    }

    /// The quarantine that applies to a request: of its content as a whole, or of parts of its
    /// prompt. What is proven takes precedence, then a part, which explains more crashes.
    pub fn active_for(
        &self,
        now: Timestamp,
        meta: &RequestMeta,
        settings: &RouterSettings,
    ) -> Option<Quarantined> {
        if self.records.is_empty() && self.culprit_sets.is_empty() {
            return None;
        }
        let subjects = meta.subjects();
        let held = self.culprit_sets.held_by(&subjects);
        let by_set = held.map(|set| Quarantined {
            fingerprint: set.subjects[0],
            first_lost_at: set.first_lost_at,
            last_lost_at: set.last_lost_at,
            evidence: Evidence::Proven,
        });
        let by_set = by_set.filter(|known| now < known.last_lost_at + settings.quarantine_for);
        if by_set.is_some() {
            return by_set;
        }
        let subjects = subjects.into_iter();
        let active = subjects.filter_map(|subject| self.active(now, subject, settings));
        active.max_by_key(|known| (known.evidence, known.fingerprint.is_prompt_part()))
    }

    /// Records a complete answer received by this daemon. Returns whether it ends a quarantine.
    pub fn record_completion(&mut self, completion: Completion) -> bool {
        if completion.fingerprint.is_prompt_part() {
            self.part_answers.record(completion);
        } else {
            if self.completions.len() >= MAX_COMPLETIONS {
                self.completions.pop_front();
            }
            self.completions.push_back(completion);
        }
        let ends = self.apply_completion(completion);
        if ends {
            self.update.completions.push(completion);
        }
        ends
    }

    /// Applies a complete answer received by another daemon. Returns whether it ends a
    /// quarantine.
    pub fn apply_remote_completion(&mut self, completion: Completion) -> bool {
        self.apply_completion(completion)
    }

    fn apply_completion(&mut self, completion: Completion) -> bool {
        let ends_in_set = self.clear_in_sets(completion);
        self.apply_completion_to_record(completion) || ends_in_set
    }

    /// Removes the answered subject from the sets of suspects. Returns whether it was in one. Other
    /// daemons conclude the same from the answer.
    fn clear_in_sets(&mut self, completion: Completion) -> bool {
        let is_refuted = |at: Timestamp| refutes(completion.fingerprint, completion.at, at);
        let solved = self.culprit_sets.clear(completion.fingerprint, is_refuted);
        let is_in_set = solved.is_some();
        for set in solved.into_iter().flatten() {
            if let [culprit] = set.subjects[..] {
                self.mark_proven(culprit, &set);
            }
        }
        is_in_set
    }

    fn apply_completion_to_record(&mut self, completion: Completion) -> bool {
        let Some(record) = self.records.get_mut(&completion.fingerprint) else {
            return false;
        };
        record.completed_at = record.completed_at.max(Some(completion.at));
        let is_refuted = |at: Timestamp| refutes(completion.fingerprint, completion.at, at);
        record.crashes.retain(|(_, at)| !is_refuted(*at));
        let ends = record
            .quarantined
            .is_some_and(|quarantined| is_refuted(quarantined.first_lost_at));
        if ends {
            record.quarantined = None;
        }
        ends
    }

    /// Applies another daemon's quarantine. Returns whether it is new here or proven for the
    /// first time. If this daemon received a complete answer since the first loss, it reports
    /// that to all daemons instead.
    pub fn apply_remote_quarantine(&mut self, quarantined: Quarantined) -> bool {
        let fingerprint = quarantined.fingerprint;
        if let Some(completion) = self.completion_since(fingerprint, quarantined.first_lost_at) {
            self.update.completions.push(completion);
            return false;
        }
        self.evict_if_full();
        let record = self.records.entry(fingerprint).or_default();
        let known = record.quarantined;
        let is_new = known.is_none_or(|known| quarantined.evidence > known.evidence);
        let is_later = known.is_none_or(|known| quarantined.last_lost_at > known.last_lost_at);
        let is_weaker = known.is_some_and(|known| quarantined.evidence < known.evidence);
        if is_new || (is_later && !is_weaker) {
            record.quarantined = Some(quarantined);
        }
        if is_new && quarantined.evidence == Evidence::Proven {
            self.drop_explained(&CulpritSet {
                subjects: vec![fingerprint],
                first_lost_at: quarantined.first_lost_at,
                last_lost_at: quarantined.last_lost_at,
            });
        }
        is_new
    }

    /// Applies another daemon's set of suspects. Returns whether it is new here. If this daemon
    /// received a complete answer to some of them since the first loss, it reports these to all
    /// daemons instead.
    pub fn apply_remote_culprit_set(&mut self, mut set: CulpritSet) -> bool {
        let first_lost_at = set.first_lost_at;
        let answered = set.subjects.iter();
        let answered: Vec<Completion> = answered
            .filter_map(|subject| self.completion_since(*subject, first_lost_at))
            .collect();
        set.subjects.retain(|subject| {
            let mut answered = answered.iter();
            !answered.any(|completion| completion.fingerprint == *subject)
        });
        self.update.completions.extend(answered);
        match set.subjects[..] {
            [] => false,
            [fingerprint] => self.apply_remote_quarantine(Quarantined {
                fingerprint,
                first_lost_at,
                last_lost_at: set.last_lost_at,
                evidence: Evidence::Proven,
            }),
            _ => self.add_culprit_set(set),
        }
    }

    /// The latest complete answer known here, if it arrived at or after `since`.
    fn completion_since(&self, fingerprint: Fingerprint, since: Timestamp) -> Option<Completion> {
        let record = self.records.get(&fingerprint);
        let known_at = record.and_then(|record| record.completed_at);
        let own = if fingerprint.is_prompt_part() {
            self.part_answers.last(fingerprint)
        } else {
            let mut completions = self.completions.iter().rev();
            let known = completions.find(|completion| completion.fingerprint == fingerprint);
            known.map(|completion| completion.at)
        };
        let at = known_at.max(own)?;
        refutes(fingerprint, at, since).then_some(Completion { fingerprint, at })
    }

    /// Discards the least suspicious records if the maximum number is reached: those with the fewest
    /// crashes, and of these the oldest.
    fn evict_if_full(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let records = self.records.iter();
        let mut ranked: Vec<_> = records
            .map(|(fingerprint, record)| (record.rank(), *fingerprint))
            .collect();
        ranked.select_nth_unstable(EVICTED_RECORDS);
        for (_, fingerprint) in &ranked[..EVICTED_RECORDS] {
            self.records.remove(fingerprint);
        }
    }

    /// Discards records that have expired.
    pub fn remove_expired(&mut self, now: Timestamp, settings: &RouterSettings) {
        let retention = settings.quarantine_for.max(LOSS_RETENTION);
        self.records
            .retain(|_, record| now < record.last_at() + retention);
        self.culprit_sets
            .remove_before(now.minus(settings.quarantine_for));
    }

    /// Takes the changes to report to other daemons; each is returned once.
    pub fn take_update(&mut self) -> QuarantineUpdate {
        std::mem::take(&mut self.update)
    }
}
