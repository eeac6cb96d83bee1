//! Requests of callers, and the actions that the router decides on.

use std::time::Duration;

use super::{ClaimedRequest, Daemon, log, not_run};
use crate::core::engine::EngineStatus;
use crate::core::event::{Action, Component, StatusPurpose};
use crate::core::permits::PermitRequest;
use crate::core::router::RouterAction;
use crate::core::router::request::{AttemptEnd, NotRunReason, RequestMeta, Target, UpstreamId};
use crate::core::signal::UpstreamSignal;
use crate::core::types::{AttemptId, Customer, RequestId, Timestamp};

impl Daemon {
    pub(super) fn on_request(
        &mut self,
        now: Timestamp,
        request: RequestId,
        meta: RequestMeta,
        out: &mut Vec<Action>,
    ) {
        self.has_received_request = true;
        self.record_demand(now, &meta);
        if self.is_stopping {
            let outcome = not_run(NotRunReason::Stopping, Duration::from_secs(1));
            out.push(Action::Answer { request, outcome });
            return;
        }
        let share = self.share_of(&meta.customer);
        let Some(key) = meta.key else {
            self.submit(now, request, meta, out);
            return;
        };
        if let Some((reason, retry_after)) = self.router.refusal(now, &meta, share) {
            let outcome = not_run(reason, retry_after);
            out.push(Action::Answer { request, outcome });
            return;
        }
        let claimant = self.new_operation_id();
        self.claims.claim(now, request, key, claimant);
        let claimed = ClaimedRequest {
            key,
            claimant,
            pending_meta: Some(meta),
            expires_at: now + self.settings.claims.timeout,
        };
        self.claimed_requests.insert(request, claimed);
        self.tick_claims(now, out);
    }

    /// Counts a request for a model towards demand, whatever its outcome.
    fn record_demand(&mut self, now: Timestamp, meta: &RequestMeta) {
        let Target::Model(model) = &meta.target else {
            return;
        };
        self.demand.record_request(now, model, meta.prompt_tokens);
    }

    pub(super) fn share_of(&self, customer: &Customer) -> u32 {
        let fleet = self.state.fleet();
        fleet
            .and_then(|fleet| fleet.value.customers.get(customer))
            .map_or(1, |customer| customer.share)
    }

    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        request: RequestId,
        meta: RequestMeta,
        out: &mut Vec<Action>,
    ) {
        let share = self.share_of(&meta.customer);
        let mut actions = Vec::new();
        self.router
            .submit(now, request, meta, share, &mut self.rng, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn on_first_output(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router.on_output(now, request, attempt, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn on_progress(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router.on_progress(now, request, attempt, &mut actions);
        if !actions.is_empty() {
            self.handle_router_actions(now, actions, out);
        }
    }

    /// Whether this attempt of a request is in flight.
    pub fn is_in_flight(&self, request: RequestId, attempt: AttemptId) -> bool {
        self.router.is_in_flight(request, attempt)
    }

    pub(super) fn on_signal(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        signal: UpstreamSignal,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router
            .on_signal(now, request, attempt, signal, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn on_ended(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        if let AttemptEnd::Completed { output_tokens } = end
            && let Some(Target::Model(model)) = self.router.target_of(request)
        {
            self.demand.record_answer(now, model, output_tokens);
        }
        let mut actions = Vec::new();
        self.router
            .on_ended(now, request, attempt, end, &mut self.rng, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn on_report(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        upstream: &UpstreamId,
        status: Option<EngineStatus>,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router.on_report(
            now,
            asked_at,
            upstream,
            status.as_ref(),
            &mut self.rng,
            &mut actions,
        );
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn on_caller_left(
        &mut self,
        now: Timestamp,
        request: RequestId,
        out: &mut Vec<Action>,
    ) {
        let is_waiting_for_claim = self
            .claimed_requests
            .get(&request)
            .is_some_and(|claimed| claimed.pending_meta.is_some());
        if is_waiting_for_claim {
            let outcome = not_run(NotRunReason::CallerLeft, Duration::ZERO);
            self.settle_claim(request, &outcome, out);
            out.push(Action::Answer { request, outcome });
            return;
        }
        let mut actions = Vec::new();
        self.router.cancel(request, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn tick_router(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let sharers = self.membership.serving_fleet_size(now);
        let peer_load = self.membership.peer_load(now);
        self.router.set_fleet_load(now, sharers, &peer_load);
        self.membership.set_load(self.router.load());
        if self.router.update_candidates(now) {
            self.rebuild_topology(now);
        }
        self.router.set_keys_valid_until(self.keys_valid_until());
        for spec in self.router.reports_wanted(now) {
            out.push(Action::RequestStatus {
                purpose: StatusPurpose::Report(spec.id),
                host: None,
                address: spec.address,
            });
        }
        let mut actions = Vec::new();
        self.router.tick(now, &mut self.rng, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn handle_router_actions(
        &mut self,
        now: Timestamp,
        actions: Vec<RouterAction>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                RouterAction::Send(attempt) => out.push(Action::Send(attempt)),
                RouterAction::Forward(forward) => out.push(Action::Forward(forward)),
                RouterAction::ProbeUpstream { upstream, address } => {
                    out.push(Action::ProbeUpstream { upstream, address });
                }
                RouterAction::Abandon(attempt) => out.push(Action::CancelAttempt(attempt)),
                RouterAction::CheckUpstream { upstream, address } => {
                    out.push(Action::CheckUpstream { upstream, address });
                }
                RouterAction::ReportLimit(report) => self.report_limit(now, report, out),
                RouterAction::RequestPermits { known, wanted } => {
                    let request = PermitRequest {
                        known,
                        wanted,
                        in_place_of: None,
                    };
                    self.request_permits(now, request, out);
                }
                RouterAction::RequestTrial(request) => self.request_trial(now, request, out),
                RouterAction::Count(event) => out.push(Action::Count(event)),
                RouterAction::Log(text) => log(out, Component::Route, text),
                RouterAction::Answer { request, outcome } => {
                    let text = format!("request {} ends: {outcome:?}", request.0);
                    log(out, Component::Route, text);
                    self.settle_claim(request, &outcome, out);
                    out.push(Action::Answer { request, outcome });
                }
            }
        }
        self.tick_claims(now, out);
        self.process_own_limit_notices(now, out);
        self.start_own_trials(now, out);
    }
}
