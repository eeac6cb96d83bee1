//! Models whose loading crashes engines.
//!
//! An engine that restarts after it was ordered to load a model may have crashed because of the
//! model. One such crash has no effect, since engines also lose power. After two consecutive
//! crashes only one engine at a time may load the model, and from the third crash on each attempt
//! waits longer than the one before. A successful load resets the state. Other models are not
//! affected.
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
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Number of consecutive crashes from which on only one engine at a time loads the model.
const ONE_AT_A_TIME_AFTER: u32 = 2;
/// Number of consecutive crashes from which on loads of the model wait.
const WAIT_AFTER: u32 = 3;
/// First wait, doubled with each further crash. Most loads take longer than that.
const FIRST_WAIT: Duration = Duration::from_secs(10);
/// Longest wait. It limits the cost to about twelve crashes per hour, and after the model is
/// fixed it is loaded again within five minutes.
const LONGEST_WAIT: Duration = Duration::from_secs(300);
/// How long an attempt prevents other engines from loading the model if its result is not
/// observed. Twice the longest load of the models so far.
const TRIAL_TIME: Duration = Duration::from_secs(40);

#[derive(Clone, Debug)]
struct Record {
    /// Number of crashes without a successful load in between.
    crashes: u32,
    /// Time at which the last crash was first observed.
    crashed_at: Timestamp,
    next_load_at: Timestamp,
    trial: Option<(HostId, Timestamp)>,
}

/// Consecutive crashes by the model that was being loaded.
#[derive(Clone, Debug, Default)]
pub struct LoadCrashes {
    models: BTreeMap<ModelName, Record>,
}

impl LoadCrashes {
    /// Records that an engine restarted after it was ordered to load the model. Returns the
    /// number of consecutive crashes and how long loads of the model wait, or `None` if the
    /// restart belongs to a crash that was already recorded.
    pub fn note_crash(&mut self, now: Timestamp, model: &ModelName) -> Option<(u32, Duration)> {
        let record = self.models.entry(model.clone()).or_insert(Record {
            crashes: 0,
            crashed_at: Timestamp::ZERO,
            next_load_at: Timestamp::ZERO,
            trial: None,
        });
        record.trial = None;
        let is_same = record.crashes > 0 && now.since(record.crashed_at) < SAME_CRASH;
        if is_same {
            return None;
        }
        record.crashes += 1;
        record.crashed_at = now;
        let wait = wait_after(record.crashes);
        record.next_load_at = now + wait;
        Some((record.crashes, wait))
    }

    /// Records that an engine loaded the model successfully.
    pub fn note_loaded(&mut self, model: &ModelName) {
        self.models.remove(model);
    }

    /// Whether the engine of a host may be ordered to load the model.
    pub fn may_load(&self, now: Timestamp, model: &ModelName, host: &HostId) -> bool {
        let Some(record) = self.models.get(model) else {
            return true;
        };
        if record.crashes < ONE_AT_A_TIME_AFTER {
            return true;
        }
        let is_others = record
            .trial
            .as_ref()
            .is_some_and(|(trying, since)| trying != host && now.since(*since) < TRIAL_TIME);
        now >= record.next_load_at && !is_others
    }

    /// Records that the engine of a host is ordered to load the model.
    pub fn note_order(&mut self, now: Timestamp, model: &ModelName, host: &HostId) {
        if let Some(record) = self.models.get_mut(model) {
            record.trial = Some((host.clone(), now));
        }
    }
}

fn wait_after(crashes: u32) -> Duration {
    /// Sufficient to reach the longest wait.
    const MOST_DOUBLINGS: u32 = 10;
    let Some(doublings) = crashes.checked_sub(WAIT_AFTER) else {
        return Duration::ZERO;
    };
    let wait = FIRST_WAIT * 2_u32.pow(doublings.min(MOST_DOUBLINGS));
    wait.min(LONGEST_WAIT)
}
