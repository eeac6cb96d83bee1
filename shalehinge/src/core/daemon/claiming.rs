//! Keys of requests: claimed before, settled after.

use super::{Daemon, Purpose, log, refusal_of};
use crate::core::claims::{ClaimResult, ClaimStep};
use crate::core::event::{Action, Part};
use crate::core::objects::{ClaimPartition, Object, ObjectKey, Versioned};
use crate::core::platform::{Freshness, NoAnswer, PlatformCall, PlatformReply, PlatformResult};
use crate::core::router::request::Outcome;
use crate::core::types::{RequestId, Timestamp, Version};

impl Daemon {
    /// Says in the claim what became of the request, if it had one.
    pub(super) fn settle_claim(&mut self, request: RequestId, outcome: &Outcome) {
        let Some(claimed) = self.claimed.remove(&request) else {
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
            self.claim_step(step, out);
        }
        self.claim_results(now, results, out);
    }

    pub(super) fn claim_step(&mut self, step: ClaimStep, out: &mut Vec<Action>) {
        match step {
            ClaimStep::Read(partition) => {
                let request = PlatformCall::Get {
                    key: ObjectKey::Claims(partition),
                    freshness: Freshness::Exact,
                };
                self.call(Purpose::Claims(partition), request, out);
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
                self.call(Purpose::Claims(partition), request, out);
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
                let nothing = Versioned {
                    version: Version::absent(era),
                    value: ClaimPartition::default(),
                };
                self.claims.on_read(partition, Some(nothing))
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
        self.claim_results(now, results, out);
    }

    pub(super) fn claim_results(
        &mut self,
        now: Timestamp,
        results: Vec<(RequestId, ClaimResult)>,
        out: &mut Vec<Action>,
    ) {
        for (request, result) in results {
            let Some(claimed) = self.claimed.get_mut(&request) else {
                continue;
            };
            let Some(meta) = claimed.waiting.take() else {
                continue;
            };
            if result == ClaimResult::Granted {
                let wall_seconds = self.identity.wall_seconds + now.as_duration().as_secs();
                let (key, claimant) = (claimed.key, claimed.claimant);
                self.claims.record_granted(now, wall_seconds, key, claimant);
                self.submit(now, request, meta, out);
                continue;
            }
            self.claimed.remove(&request);
            let outcome = refusal_of(result);
            let text = format!("request {} is refused its key: {result:?}", request.0);
            log(out, Part::Claim, text);
            out.push(Action::Answer { request, outcome });
        }
    }
}
