//! Models whose load ends the engines that try it.
//!
//! An engine that starts again under its name after it was ordered to load a model may have
//! crashed of it. One such crash changes nothing: engines also lose power. After the second in a
//! row one engine at a time tries the model, and from the third on each trial waits longer than
//! the one before. A load that succeeds ends all of it. Other models go on.
//!
//! Without it an engine ended 1,081 times in five minutes where one group of the model was to
//! form, and 16 engines 5,984 times each where all groups were (`tests/crashing_models.rs`).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::types::{HostId, ModelName, Timestamp};

/// Ends of engines within this time are one crash. The engines of a group are ordered to
/// load within less, and hosts that lose power together are listed anew within less.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Crashes in a row from which on a model is loaded by one engine at a time.
const ONE_AT_A_TIME_AFTER: u32 = 2;
/// Crashes in a row after which loads of the model wait.
const WAIT_AFTER: u32 = 3;
/// The first such wait, doubled each time. Most loads take longer than that.
const FIRST_WAIT: Duration = Duration::from_secs(10);
/// The longest one. An hour costs twelve engines at the most, and whoever mends the
/// model waits five minutes for it.
const LONGEST_WAIT: Duration = Duration::from_secs(300);
/// How long a trial keeps other engines from loading, where its end is not seen. Twice
/// the longest load of the models so far.
const TRIAL_TIME: Duration = Duration::from_secs(40);

#[derive(Clone, Debug)]
struct Record {
    /// In a row, with no load that succeeded between.
    crashes: u32,
    /// When the last of them was first seen.
    crashed_at: Timestamp,
    next_load_at: Timestamp,
    trial: Option<(HostId, Timestamp)>,
}

/// Crashes in a row, by the model that was to be loaded.
#[derive(Clone, Debug, Default)]
pub struct LoadCrashes {
    models: BTreeMap<ModelName, Record>,
}

impl LoadCrashes {
    /// An engine started again after it was ordered to load the model. Returns how many times
    /// in a row that happened and how long loads of the model wait, if it is another crash.
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

    /// An engine holds the model in memory since its last load.
    pub fn note_loaded(&mut self, model: &ModelName) {
        self.models.remove(model);
    }

    /// Whether an engine may be ordered to load the model.
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

    /// An engine is ordered to load the model.
    pub fn note_order(&mut self, now: Timestamp, model: &ModelName, host: &HostId) {
        if let Some(record) = self.models.get_mut(model) {
            record.trial = Some((host.clone(), now));
        }
    }
}

fn wait_after(crashes: u32) -> Duration {
    /// Enough to reach the longest wait.
    const MOST_DOUBLINGS: u32 = 10;
    let Some(doublings) = crashes.checked_sub(WAIT_AFTER) else {
        return Duration::ZERO;
    };
    let wait = FIRST_WAIT * 2_u32.pow(doublings.min(MOST_DOUBLINGS));
    wait.min(LONGEST_WAIT)
}
