//! Estimate of how many replicas the workload of each model keeps busy, from the arriving
//! requests and the processing times that the engines publish.

use std::collections::BTreeMap;

use crate::core::demand::{FleetWork, ModelWork};
use crate::core::objects::{EngineTimes, ModelProfile};
use crate::core::types::ModelName;

/// Minimum number of sampled requests for an estimate. With 200 requests, the rate of a model
/// that receives a tenth of them is known to within a fifth; a less precise estimate does not
/// justify moving replicas.
const MIN_SAMPLED_REQUESTS: f64 = 200.0;
/// Lower bound on the busy replicas of a model: a model without recent requests may be requested
/// again.
const MIN_BUSY_REPLICAS: f64 = 0.05;
/// Weight of one output in prompt tokens, for engines that publish no processing times. One token
/// of a full batch takes about as long as ten prompt tokens.
const PROMPT_TOKENS_PER_OUTPUT: f64 = 10.0;
/// Assumed prompt throughput of a replica, in tokens per second, for engines that publish no
/// processing times.
const DEFAULT_PROMPT_TOKENS_PER_SECOND: f64 = 50_000.0;

/// Number of replicas, running full batches, that the workload of each model keeps busy.
pub type ReplicaDemand = BTreeMap<ModelName, f64>;

/// No estimate is available.
pub static UNKNOWN_DEMAND: ReplicaDemand = ReplicaDemand::new();

/// Factor by which an estimate must change before it is logged again.
const LOG_THRESHOLD_FACTOR: f64 = 1.5;

/// Whether the estimate of any model changed by more than the logging threshold, or the set of
/// models changed.
pub fn differ_significantly(demand: &ReplicaDemand, previous_demand: &ReplicaDemand) -> bool {
    let has_changed = |(model, busy): (&ModelName, &f64)| {
        let previous = previous_demand.get(model).copied().unwrap_or(0.0);
        *busy > previous * LOG_THRESHOLD_FACTOR || previous > *busy * LOG_THRESHOLD_FACTOR
    };
    demand.len() != previous_demand.len() || demand.iter().any(has_changed)
}

/// Estimates the busy replicas of each model from the arriving work. Returns `None` if too few
/// requests were sampled.
pub fn estimate_demand(
    profiles: &BTreeMap<ModelName, ModelProfile>,
    work: &FleetWork,
) -> Option<ReplicaDemand> {
    if work.sampled_requests < MIN_SAMPLED_REQUESTS {
        return None;
    }
    let demand = profiles.iter().map(|(model, profile)| {
        let model_work = work.per_second.get(model).copied().unwrap_or_default();
        let busy = busy_replicas(profile, model_work).max(MIN_BUSY_REPLICAS);
        (model.clone(), busy)
    });
    Some(demand.collect())
}

/// Replicas kept busy by this work: the time to process the prompts, plus the share of full-batch
/// steps that produces the outputs.
fn busy_replicas(profile: &ModelProfile, work: ModelWork) -> f64 {
    let Some(times) = profile.times else {
        let tokens = work.prompt_tokens + PROMPT_TOKENS_PER_OUTPUT * work.expected_outputs();
        return profile.pace * tokens / DEFAULT_PROMPT_TOKENS_PER_SECOND;
    };
    let EngineTimes {
        step_ms,
        step_ms_per_request,
        steps_per_event,
        prompt_tokens_per_second,
    } = times;
    let batch = f64::from(profile.slots.max(1));
    let ms_per_token = (step_ms + step_ms_per_request * batch) / batch;
    let prompt_seconds = work.prompt_tokens / prompt_tokens_per_second.max(1.0);
    let tokens = work.expected_outputs() * f64::from(steps_per_event);
    profile.pace * (prompt_seconds + tokens * ms_per_token / 1_000.0)
}
