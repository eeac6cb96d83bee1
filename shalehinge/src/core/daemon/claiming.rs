//! Idempotency keys: claimed and witnessed before a request runs, settled when its outcome is known.

use super::configuration::send_notice;
use super::{CallPurpose, Daemon, log, outcome_of_refused_claim};
use crate::core::claim_witnesses::{ClaimsNotice, WitnessCandidates, WitnessedClaim};
use crate::core::claims::{ClaimResult, ClaimStep};
use crate::core::event::{Action, Component, Notice};
use crate::core::objects::{ClaimPartition, Object, ObjectKey, Versioned};
use crate::core::platform::{Freshness, NoAnswer, PlatformReply, PlatformResult};
use crate::core::router::request::Outcome;
use crate::core::types::{Address, RequestId, Timestamp, Version};

impl Daemon {
    /// Records the outcome of a request in its claim, if it has one. An unknown outcome leaves the
    /// claim in place, so that the key is not used again.
    pub(super) fn settle_claim(
        &mut self,
        request: RequestId,
        outcome: &Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(claimed) = self.claimed_requests.remove(&request) else {
            return;
        };
        let informed_peers = self.pending_grants.remove(request, claimed.claimant);
        match outcome {
            Outcome::NotRun { .. } => {
                self.claims.withdraw(claimed.key, claimed.claimant);
                let claims = ClaimsNotice {
                    forget: vec![claimed.claimant],
                    ..ClaimsNotice::default()
                };
                self.send_claims_notice(informed_peers.into_iter().collect(), claims, out);
            }
            Outcome::Completed | Outcome::Failed { .. } => {
                self.claims.complete(claimed.key, claimed.claimant);
            }
            Outcome::Unknown { .. } => {}
        }
    }

    pub(super) fn tick_claims(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let wall_seconds = self.identity.wall_seconds + now.as_duration().as_secs();
        let (steps, results) = self.claims.poll(now, wall_seconds);
        for step in steps {
            self.run_claim_step(now, step, out);
        }
        self.handle_claim_results(now, results, out);
        self.tick_pending_grants(now, out);
    }

    fn run_claim_step(&mut self, now: Timestamp, step: ClaimStep, out: &mut Vec<Action>) {
        let partition = step.partition();
        let Some(scope) = self.object_scope() else {
            self.request_object_scope(now, out);
            self.claims.on_call_failed(partition);
            return;
        };
        let purpose = CallPurpose::Claims(partition);
        let key = ObjectKey::Claims(partition);
        match step {
            ClaimStep::Read(_) => self.read_object(purpose, key, scope, Freshness::Exact, out),
            ClaimStep::Write { expect, value, .. } => {
                let object = Object::Claims(value);
                self.write_object(purpose, key, scope, expect, object, out);
            }
        }
    }

    pub(super) fn on_claims_reply(
        &mut self,
        now: Timestamp,
        partition: u16,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        let results = match result {
            Ok(PlatformReply::Object(object)) => {
                self.claims.on_read(partition, (*object).into_claims())
            }
            Ok(PlatformReply::Missing(era)) => {
                let absent = Versioned {
                    version: Version::absent(era),
                    value: ClaimPartition::default(),
                };
                self.claims.on_read(partition, Some(absent))
            }
            Ok(PlatformReply::Written(version)) => {
                self.on_object_written(now, &ObjectKey::Claims(partition));
                self.claims.on_written(partition, version)
            }
            Ok(
                PlatformReply::Conflict(_)
                | PlatformReply::Deleted(_)
                | PlatformReply::Foreign(_)
                | PlatformReply::Objects { .. }
                | PlatformReply::HistoryGone(_),
            )
            | Err(NoAnswer) => {
                self.claims.on_call_failed(partition);
                Vec::new()
            }
        };
        self.handle_claim_results(now, results, out);
    }

    pub(super) fn handle_claim_results(
        &mut self,
        now: Timestamp,
        results: Vec<(RequestId, ClaimResult)>,
        out: &mut Vec<Action>,
    ) {
        for (request, result) in results {
            let Some(claimed) = self.claimed_requests.get(&request) else {
                continue;
            };
            if claimed.pending_meta.is_none() {
                continue;
            }
            if result == ClaimResult::Granted {
                self.request_witnesses(now, request);
            } else {
                self.claimed_requests.remove(&request);
                self.reject_claim(request, result, out);
            }
        }
        self.tick_pending_grants(now, out);
    }

    /// Remembers a stored claim, and makes its request wait until peers remember it too.
    fn request_witnesses(&mut self, now: Timestamp, request: RequestId) {
        let Some(claimed) = self.claimed_requests.get(&request) else {
            return;
        };
        let wall_seconds = self.identity.wall_seconds + now.as_duration().as_secs();
        let witnessed = WitnessedClaim::new(claimed.key, claimed.claimant, wall_seconds);
        self.claims.remember(now, witnessed);
        self.pending_grants
            .add(now, request, witnessed, claimed.expires_at);
    }

    /// Asks peers to witness stored claims, and grants the keys of those with enough witnesses.
    fn tick_pending_grants(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.pending_grants.is_empty() {
            return;
        }
        let candidates = self.witness_candidates(now);
        let actions = self.pending_grants.poll(now, &candidates, &mut self.rng);
        for (peer, remember) in actions.asked {
            let claims = ClaimsNotice {
                remember,
                ..ClaimsNotice::default()
            };
            self.send_claims_notice(vec![peer], claims, out);
        }
        for request in actions.expired {
            let result = ClaimResult::Unavailable;
            let text = format!("too few peers confirmed the claim of request {}", request.0);
            log(out, Component::Claim, text);
            self.settle_claim(request, &outcome_of_refused_claim(result), out);
            self.reject_claim(request, result, out);
        }
        for request in actions.granted {
            let claimed = self.claimed_requests.get_mut(&request);
            if let Some(meta) = claimed.and_then(|claimed| claimed.pending_meta.take()) {
                self.submit(now, request, meta, out);
            }
        }
    }

    fn witness_candidates(&self, now: Timestamp) -> WitnessCandidates {
        let peers = self.membership.live_peers(now);
        let own_domain = &self.identity.failure_domain;
        let mut candidates = WitnessCandidates::default();
        for peer in peers.filter(|peer| !peer.leaving) {
            if peer.failure_domain == *own_domain {
                candidates.own_domain.push(peer.address);
            } else {
                candidates.other_domains.push(peer.address);
            }
        }
        candidates
    }

    fn reject_claim(&mut self, request: RequestId, result: ClaimResult, out: &mut Vec<Action>) {
        let text = format!("request {} not run, key not granted: {result:?}", request.0);
        log(out, Component::Claim, text);
        let outcome = outcome_of_refused_claim(result);
        out.push(Action::Answer { request, outcome });
    }

    fn send_claims_notice(&self, to: Vec<Address>, claims: ClaimsNotice, out: &mut Vec<Action>) {
        let notice = Notice {
            claims,
            ..self.notice()
        };
        send_notice(to, &notice, out);
    }

    /// Processes a notice about claims: remembers those of the sender and confirms that.
    pub(super) fn on_claims_notice(
        &mut self,
        now: Timestamp,
        from: Address,
        claims: ClaimsNotice,
        out: &mut Vec<Action>,
    ) {
        for claimant in claims.forget {
            self.claims.forget(claimant);
        }
        for claimant in &claims.remembered {
            self.pending_grants.on_remembered(from, *claimant);
        }
        if !claims.remembered.is_empty() {
            self.tick_pending_grants(now, out);
        }
        if claims.remember.is_empty() {
            return;
        }
        let mut remembered = Vec::new();
        for witnessed in claims.remember {
            self.claims.remember(now, witnessed);
            remembered.push(witnessed.claim.claimant);
        }
        if !self.claims.may_witness(now) {
            return;
        }
        let claims = ClaimsNotice {
            remembered,
            ..ClaimsNotice::default()
        };
        self.send_claims_notice(vec![from], claims, out);
    }
}
