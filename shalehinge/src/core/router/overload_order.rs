//! The order among requests at overloaded upstreams: applies the types of [`crate::core::admission`]
//! to the router's requests.

use crate::core::admission::counted_event::CountedEvent;
use crate::core::admission::latency_sample::{LatencySample, SampledRequest};
use crate::core::admission::shortage::ShortageChange;
use crate::core::admission::urgency::{Standing, urgency};
use crate::core::hash::rendezvous_weight;
use crate::core::types::{RequestId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::request::Target;
use super::target::{Pending, TargetState};

impl Pending {
    /// Whether an upstream runs a part of the request or may have run one.
    fn is_admitted(&self) -> bool {
        self.has_output || self.possible_runs > 0 || self.is_running()
    }
}

impl TargetState {
    /// The urgency of a request that is about to be sent. One that certainly did not run so far,
    /// as upstreams refused it, keeps the preference of its first attempt.
    pub(super) fn urgency_of(
        &mut self,
        now: Timestamp,
        request: RequestId,
        pending: &mut Pending,
        out: &mut Vec<RouterAction>,
    ) -> u8 {
        let priority = pending.meta.priority;
        if pending.is_admitted() {
            return urgency(Standing::Admitted, priority);
        }
        let preference = match &pending.sampled {
            Some(sampled) => sampled.preference(),
            None => {
                let can_be_on_time = self.start_by(pending).is_none_or(|latest| now <= latest);
                // Includes the id, so that repeated requests with equal content are not selected
                // every time.
                let hash = rendezvous_weight(&pending.meta.fingerprint, &request);
                let preference = self.shortage.admit(now, priority, hash, can_be_on_time);
                let within = pending.meta.first_output_within;
                let due_at = within.map(|within| pending.arrived_at + within);
                pending.sampled = Some(SampledRequest::new(preference, due_at));
                let event = CountedEvent::of_preference(preference);
                out.extend(event.map(RouterAction::Count));
                preference
            }
        };
        urgency(Standing::New(preference), priority)
    }

    /// Applies the sample of a request.
    pub(super) fn record_sample(
        &mut self,
        now: Timestamp,
        sample: LatencySample,
        out: &mut Vec<RouterAction>,
    ) {
        self.shortage.record(now, sample);
        let event = CountedEvent::of_sample(sample);
        out.extend(event.map(RouterAction::Count));
    }
}

impl Router {
    /// Whether requests are sent with an urgency.
    pub fn has_overload_order(&self) -> bool {
        self.settings.overload_order
    }

    /// The fraction of the new requests to a target that is deprioritized.
    pub fn deprioritized_fraction(&self, target: &Target) -> f64 {
        let state = self.targets.get(target);
        state.map_or(0.0, |state| state.shortage.fraction())
    }

    /// Samples requests whose first output is overdue, and logs changes of the fraction that is
    /// deprioritized.
    pub(super) fn update_shortages(&mut self, now: Timestamp, out: &mut Vec<RouterAction>) {
        if !self.settings.overload_order {
            return;
        }
        for pending in self.pending.values_mut() {
            let sampled = pending.sampled.as_mut();
            let sample = sampled.and_then(|sampled| sampled.on_tick(now));
            let state = self.targets.get_mut(&pending.meta.target);
            if let (Some(sample), Some(state)) = (sample, state) {
                state.record_sample(now, sample, out);
            }
        }
        for (target, state) in &mut self.targets {
            if let Some(change) = state.shortage.on_tick(now) {
                out.push(shortage_line(target, change));
            }
        }
    }
}

fn shortage_line(target: &Target, change: ShortageChange) -> RouterAction {
    RouterAction::Log(match change {
        ShortageChange::Begins(fraction) => {
            format!("overload of {target}: {fraction:.2} of the new requests are deprioritized")
        }
        ShortageChange::Changes(fraction) => {
            format!(
                "overload of {target} goes on: {fraction:.2} of the new requests are deprioritized"
            )
        }
        ShortageChange::Ends => {
            format!("overload of {target} has ended: no new requests are deprioritized")
        }
    })
}
