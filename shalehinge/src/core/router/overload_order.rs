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
    pub(super) fn is_admitted(&self) -> bool {
        self.has_output || self.possible_runs > 0 || self.is_running()
    }
}

impl TargetState {
    /// The urgency of a request that is about to be sent. One that certainly did not run so far,
    /// as upstreams refused it, keeps the standing of its first attempt.
    pub(super) fn urgency_of(
        &mut self,
        now: Timestamp,
        request: RequestId,
        pending: &mut Pending,
        out: &mut Vec<RouterAction>,
    ) -> u8 {
        let priority = pending.meta.priority;
        if pending.is_admitted() {
            return urgency(Standing::Admitted);
        }
        let standing = match &pending.sampled {
            Some(sampled) => sampled.standing(),
            None => {
                let can_be_on_time = self.start_by(pending).is_none_or(|latest| now <= latest);
                // Includes the id, so that repeated requests with equal content are not in the same
                // band every time.
                let hash = rendezvous_weight(&pending.meta.fingerprint, &request);
                let standing = self.shortage.admit(now, priority, hash, can_be_on_time);
                let within = pending.meta.first_output_within;
                let due_at = within.map(|within| pending.arrived_at + within);
                pending.sampled = Some(SampledRequest::new(standing, due_at));
                let event = CountedEvent::of_standing(standing);
                out.extend(event.map(RouterAction::Count));
                standing
            }
        };
        urgency(standing)
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

    /// Whether a target is assumed to be overloaded.
    pub fn is_overloaded(&self, target: &Target) -> bool {
        let state = self.targets.get(target);
        state.is_some_and(|state| state.shortage.is_detected())
    }

    /// Samples requests whose first output is overdue, and logs where an overload begins and ends.
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
        ShortageChange::Begins => {
            format!("overload of {target}: new requests are served by urgency")
        }
        ShortageChange::Ends => format!("overload of {target} has ended"),
    })
}
