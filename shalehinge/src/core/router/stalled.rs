//! Stalled replicas: none of their requests makes progress, as a member was lost.

use std::time::Duration;

use crate::core::types::{ReplicaId, RequestId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::request::{Outcome, UnknownReason, UpstreamId};
use super::retries::RetryCost;
use super::upstream::Evidence;

/// Longest interval between ticks after which stalls are still detected. A daemon that was paused
/// for longer cannot determine which upstreams stalled in the meantime.
const MAX_TICK_GAP: Duration = Duration::from_millis(300);

impl Router {
    /// Retries elsewhere what can be retried of the requests on stalled replicas.
    pub(super) fn handle_stalled(
        &mut self,
        now: Timestamp,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let was_paused = now.since(self.ticked_at) > MAX_TICK_GAP;
        self.ticked_at = now;
        let settings = self.settings;
        let mut stalled = Vec::new();
        for state in self.targets.values_mut() {
            for upstream in &mut state.upstreams {
                if was_paused {
                    upstream.restart_stall_clock(now);
                } else if upstream.check_stall(now, &settings) {
                    let silent_for = upstream.silent_for(now);
                    stalled.push((upstream.spec.id.clone(), silent_for, upstream.in_flight()));
                }
            }
        }
        for (id, silent_for, requests) in stalled {
            let ms = silent_for.as_millis();
            out.push(RouterAction::Log(format!(
                "{id} is stalled: no output for {ms} ms, {requests} requests run there"
            )));
            self.retry_elsewhere(now, &id, "is stalled", rng, out);
        }
    }

    /// Handles the definite loss of a replica's member: the replica receives no further requests,
    /// and what can be retried of its requests is retried elsewhere immediately.
    pub fn on_replica_lost(
        &mut self,
        now: Timestamp,
        replica: &ReplicaId,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let id = UpstreamId::Replica(replica.clone());
        let mut upstreams = self
            .targets
            .values_mut()
            .flat_map(|state| &mut state.upstreams);
        let Some(upstream) = upstreams.find(|upstream| upstream.spec.id == id) else {
            return;
        };
        // Where engines report, their reports decide which upstreams receive requests.
        if upstream.is_lost() || upstream.spec.evidence == Evidence::Reports {
            return;
        }
        upstream.mark_lost();
        out.push(RouterAction::Log(format!("{id} lost a member")));
        self.retry_elsewhere(now, &id, "lost a member", rng, out);
        self.dispatch_all(now, rng, out);
    }

    /// Handles a notice that a replica's member currently answers nothing.
    pub fn on_replica_silent(
        &mut self,
        _now: Timestamp,
        _replica: &ReplicaId,
        _rng: &mut impl rand::Rng,
        _out: &mut Vec<RouterAction>,
    ) {
    }

    fn retry_elsewhere(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
        cause: &str,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let retryable: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| {
                let runs_there = pending.running.as_ref().is_some_and(|r| r.upstream == *id);
                let is_restartable = !pending.has_output || pending.meta.is_resumable;
                runs_there && pending.meta.repeatable && is_restartable
            })
            .map(|(request, _)| *request)
            .collect();
        for request in retryable {
            let Some(pending) = self.pending.get_mut(&request) else {
                continue;
            };
            let Some(running) = pending.running.take() else {
                continue;
            };
            pending.possible_runs += 1;
            if let Some(state) = self.targets.get_mut(&pending.meta.target) {
                state.release(&running);
            }
            out.push(RouterAction::Log(format!(
                "request {} is taken from {id}, which {cause}",
                request.0
            )));
            out.push(RouterAction::Abandon(running.id));
            let reason = UnknownReason::Lost;
            let outcome = Outcome::Unknown { reason };
            self.retry_or_answer(now, request, outcome, RetryCost::One, rng, out);
        }
    }
}
