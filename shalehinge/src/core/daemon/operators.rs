//! Plan and confirm calls of operators.

use super::{CallPurpose, Daemon, log};
use crate::core::event::{Action, Component};
use crate::core::operator::{OperatorCall, OperatorCallId, OperatorStep};
use crate::core::platform::{NoAnswer, PlatformReply, PlatformResult};
use crate::core::types::Timestamp;

impl Daemon {
    pub(super) fn on_operator(
        &mut self,
        now: Timestamp,
        id: OperatorCallId,
        call: OperatorCall,
        out: &mut Vec<Action>,
    ) {
        let what = match &call {
            OperatorCall::Plan(change) => format!("planning {change:?}"),
            OperatorCall::Confirm(confirm) => {
                format!(
                    "confirming {:?} on version {}",
                    confirm.change, confirm.base
                )
            }
        };
        log(out, Component::Operator, what);
        let step = self.operators.begin(now, id, call);
        self.handle_operator_step(now, id, Some(step), Err(NoAnswer), out);
    }

    pub(super) fn handle_operator_step(
        &mut self,
        now: Timestamp,
        id: OperatorCallId,
        step: Option<OperatorStep>,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        match step {
            Some(OperatorStep::Platform(request)) => {
                self.call_platform(CallPurpose::Operator(id), request, out);
            }
            Some(OperatorStep::Answer(answer)) => {
                // Reads the written change back immediately, so that it is in force here without
                // delay.
                if let Ok(PlatformReply::Written(_)) = result {
                    self.feeds
                        .iter_mut()
                        .for_each(|feed| feed.schedule_now(now));
                }
                out.push(Action::AnswerOperator {
                    call_id: id,
                    answer,
                });
            }
            None => {}
        }
    }
}
