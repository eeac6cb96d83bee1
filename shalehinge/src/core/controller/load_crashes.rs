//! Models whose loading crashes engines.
//!
//! An engine that restarts after it was ordered to load a model may have crashed because of the
//! model. One such crash has no effect, since engines also lose power. After two consecutive
//! crashes only one engine at a time may load the model, and from the third crash on each attempt
//! waits longer than the one before. A successful load resets the state. Other models are not
//! affected. The counts are stored in the assignment, so that they outlast the lease holder.
//!
//! Without this limit an engine crashed 1,081 times in five minutes while one group of the model
//! was to form, and 16 engines crashed 5,984 times each while all groups were to form
//! (`tests/crashing_models.rs`).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::types::{HostId, ModelName, Timestamp};

/// Engine restarts within this time count as one crash. The engines of a group are ordered to
/// load within a shorter time, and hosts that lose power together are listed again within a
/// shorter time.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Number of consecutive crashes from which on only one engine at a time loads the model.
const SERIALIZE_AFTER: u32 = 2;
/// Number of consecutive crashes from which on loads of the model wait.
const BACKOFF_AFTER: u32 = 3;
/// First wait, doubled with each further crash. Most loads take longer than that.
const MIN_BACKOFF: Duration = Duration::from_secs(10);
/// Longest wait. It limits the cost to about twelve crashes per hour, and after the model is
/// fixed it is loaded again within five minutes.
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// How long an attempt prevents other engines from loading the model if its result is not
/// observed. Twice the longest load of the models so far.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(40);

#[derive(Clone, Debug)]
struct CrashRecord {
    /// Number of crashes without a successful load in between.
    crashes: u32,
    /// Time at which the last crash was first observed.
    crashed_at: Timestamp,
    next_load_at: Timestamp,
    attempt: Option<(HostId, Timestamp)>,
}

/// Consecutive crashes by the model that was being loaded.
#[derive(Clone, Debug, Default)]
pub struct LoadCrashes {
    models: BTreeMap<ModelName, CrashRecord>,
}

impl LoadCrashes {
    /// Records that an engine restarted after it was ordered to load the model. Returns the
    /// number of consecutive crashes and how long loads of the model wait, or `None` if the
    /// restart belongs to a crash that was already recorded.
    pub fn record_crash(&mut self, now: Timestamp, model: &ModelName) -> Option<(u32, Duration)> {
        let record = self.models.entry(model.clone()).or_insert(CrashRecord {
            crashes: 0,
            crashed_at: Timestamp::ZERO,
            next_load_at: Timestamp::ZERO,
            attempt: None,
        });
        record.attempt = None;
        let is_same_crash = record.crashes > 0 && now.since(record.crashed_at) < CRASH_WINDOW;
        if is_same_crash {
            return None;
        }
        record.crashes = record.crashes.saturating_add(1);
        record.crashed_at = now;
        let wait = backoff_after(record.crashes);
        record.next_load_at = now + wait;
        Some((record.crashes, wait))
    }

    /// The number of consecutive crashes by model.
    pub fn counts(&self) -> BTreeMap<ModelName, u32> {
        let models = self.models.iter();
        models
            .map(|(model, record)| (model.clone(), record.crashes))
            .collect()
    }

    /// Continues the counts of a previous lease holder. As it is not known when the last crash
    /// was, the model waits from now on.
    pub fn resume(&mut self, now: Timestamp, counts: &BTreeMap<ModelName, u32>) {
        for (model, crashes) in counts {
            let known = self.models.get(model).map_or(0, |record| record.crashes);
            if known >= *crashes {
                continue;
            }
            let record = CrashRecord {
                crashes: *crashes,
                crashed_at: now,
                next_load_at: now + backoff_after(*crashes),
                attempt: None,
            };
            self.models.insert(model.clone(), record);
        }
    }

    /// Records that an engine loaded the model successfully.
    pub fn record_loaded(&mut self, model: &ModelName) {
        self.models.remove(model);
    }

    /// Whether the engine of a host may be ordered to load the model.
    pub fn may_load(&self, now: Timestamp, model: &ModelName, host: &HostId) -> bool {
        let Some(record) = self.models.get(model) else {
            return true;
        };
        if record.crashes < SERIALIZE_AFTER {
            return true;
        }
        let is_attempted_elsewhere = record.attempt.as_ref().is_some_and(|(attempting, since)| {
            attempting != host && now.since(*since) < ATTEMPT_TIMEOUT
        });
        now >= record.next_load_at && !is_attempted_elsewhere
    }

    /// Records that the engine of a host is ordered to load the model.
    pub fn record_attempt(&mut self, now: Timestamp, model: &ModelName, host: &HostId) {
        if let Some(record) = self.models.get_mut(model) {
            record.attempt = Some((host.clone(), now));
        }
    }
}

fn backoff_after(crashes: u32) -> Duration {
    /// Sufficient to reach the longest wait.
    const MAX_DOUBLINGS: u32 = 10;
    let Some(doublings) = crashes.checked_sub(BACKOFF_AFTER) else {
        return Duration::ZERO;
    };
    let wait = MIN_BACKOFF * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
    wait.min(MAX_BACKOFF)
}
