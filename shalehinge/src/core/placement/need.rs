//! How many replicas the work of each model keeps busy, from what arrives and from the
//! times that the engines publish.

use std::collections::BTreeMap;

use crate::core::demand::{FleetWork, ModelWork};
use crate::core::objects::{EngineTimes, ModelProfile};
use crate::core::types::ModelName;

/// Requests in a sample from which on it counts. A model with a tenth of them is
/// then known to within a fifth, and less is no reason to move replicas.
const LEAST_SAMPLE: f64 = 200.0;
/// Replicas that a model keeps busy at the least: nobody asked for it lately, or hardly
/// anybody, and it may be asked for again.
const LEAST_BUSY: f64 = 0.05;
/// Where an engine publishes no times, an output counts as so many tokens of a prompt.
/// A token of a full batch takes about as long as ten tokens of a prompt.
const OUTPUT_WEIGHT: f64 = 10.0;
/// And a replica is taken to read so many tokens of a prompt in a second.
const PROMPT_TOKENS_PER_SECOND: f64 = 50_000.0;

/// Replicas that the work of each model keeps busy, running full batches.
pub type Needs = BTreeMap<ModelName, f64>;

/// Nothing is known of what the work needs.
pub static NO_NEEDS: Needs = Needs::new();

/// Factor by which a need must change for the log to name it again.
const MUCH: f64 = 1.5;

/// Whether some model's need is another, by far, than it was.
pub fn differ_much(needs: &Needs, others: &Needs) -> bool {
    let is_other = |(model, busy): (&ModelName, &f64)| {
        let before = others.get(model).copied().unwrap_or(0.0);
        *busy > before * MUCH || before > *busy * MUCH
    };
    needs.len() != others.len() || needs.iter().any(is_other)
}

/// What the work that arrives needs; `None` if too little of it was seen.
pub fn needs_of(profiles: &BTreeMap<ModelName, ModelProfile>, work: &FleetWork) -> Option<Needs> {
    if work.sampled_requests < LEAST_SAMPLE {
        return None;
    }
    let needs = profiles.iter().map(|(model, profile)| {
        let of_model = work.per_second.get(model).copied().unwrap_or_default();
        let busy = busy_replicas(profile, of_model).max(LEAST_BUSY);
        (model.clone(), busy)
    });
    Some(needs.collect())
}

/// Replicas that work of so much a second keeps busy: the time to read the prompts, and
/// the outputs' part of the steps of full batches.
fn busy_replicas(profile: &ModelProfile, work: ModelWork) -> f64 {
    let Some(times) = profile.times else {
        let tokens = work.prompt_tokens + OUTPUT_WEIGHT * work.expected_outputs();
        return profile.pace * tokens / PROMPT_TOKENS_PER_SECOND;
    };
    let EngineTimes {
        step_ms,
        step_ms_per_request,
        steps_per_event,
        prompt_tokens_per_second,
    } = times;
    let batch = f64::from(profile.slots.max(1));
    let ms_per_token = (step_ms + step_ms_per_request * batch) / batch;
    let reading = work.prompt_tokens / prompt_tokens_per_second.max(1.0);
    let tokens = work.expected_outputs() * f64::from(steps_per_event);
    profile.pace * (reading + tokens * ms_per_token / 1_000.0)
}
