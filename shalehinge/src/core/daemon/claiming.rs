//! Idempotency keys: claimed before a request runs, settled when its outcome is known.

use super::{CallPurpose, Daemon, log, outcome_of_refused_claim};
use crate::core::claims::{ClaimResult, ClaimStep};
use crate::core::event::{Action, Component};
use crate::core::objects::{ClaimPartition, Object, ObjectKey, Versioned};
use crate::core::platform::{Freshness, NoAnswer, PlatformCall, PlatformReply, PlatformResult};
use crate::core::router::request::Outcome;
use crate::core::types::{RequestId, Timestamp, Version};

impl Daemon {
    /// Records the outcome of a request in its claim, if it has one. An unknown outcome leaves the
    /// claim in place, so that the key is not used again.
    pub(super) fn settle_claim(&mut self, request: RequestId, outcome: &Outcome) {
        let Some(claimed) = self.claimed_requests.remove(&request) else {
            return;
        };
        match outcome {
            Outcome::NotRun { .. } => self.claims.withdraw(claimed.key, claimed.claimant),
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
            self.run_claim_step(step, out);
        }
        self.handle_claim_results(now, results, out);
    }

    pub(super) fn run_claim_step(&mut self, step: ClaimStep, out: &mut Vec<Action>) {
        match step {
            ClaimStep::Read(partition) => {
                let request = PlatformCall::Get {
                    key: ObjectKey::Claims(partition),
                    freshness: Freshness::Exact,
                };
                self.call_platform(CallPurpose::Claims(partition), request, out);
            }
            ClaimStep::Write {
                partition,
                expect,
                value,
            } => {
                let request = PlatformCall::Put {
                    key: ObjectKey::Claims(partition),
                    expect,
                    object: Box::new(Object::Claims(value)),
                };
                self.call_platform(CallPurpose::Claims(partition), request, out);
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
            Ok(PlatformReply::Written(version)) => self.claims.on_written(partition, version),
            Ok(
                PlatformReply::Conflict(_)
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
            let Some(claimed) = self.claimed_requests.get_mut(&request) else {
                continue;
            };
            let Some(meta) = claimed.pending_meta.take() else {
                continue;
            };
            if result == ClaimResult::Granted {
                let wall_seconds = self.identity.wall_seconds + now.as_duration().as_secs();
                let (key, claimant) = (claimed.key, claimed.claimant);
                self.claims.record_granted(now, wall_seconds, key, claimant);
                self.submit(now, request, meta, out);
                continue;
            }
            self.claimed_requests.remove(&request);
            let outcome = outcome_of_refused_claim(result);
            let text = format!("request {} not run, key not granted: {result:?}", request.0);
            log(out, Component::Claim, text);
            out.push(Action::Answer { request, outcome });
        }
    }
}
