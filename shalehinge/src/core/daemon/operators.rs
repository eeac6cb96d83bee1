//! Plans and confirms.

use super::{Daemon, Purpose, log};
use crate::core::event::{Action, Part};
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
            OperatorCall::Plan(change) => format!("plans {change:?}"),
            OperatorCall::Confirm(confirm) => {
                format!("confirms {:?} on version {}", confirm.change, confirm.base)
            }
        };
        log(out, Part::Operator, what);
        let step = self.operators.begin(now, id, call);
        self.operator_step(now, id, Some(step), Err(NoAnswer), out);
    }

    pub(super) fn operator_step(
        &mut self,
        now: Timestamp,
        id: OperatorCallId,
        step: Option<OperatorStep>,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        match step {
            Some(OperatorStep::Platform(request)) => {
                self.call(Purpose::Operator(id), request, out);
            }
            Some(OperatorStep::Answer(answer)) => {
                // Whoever confirmed has it in force at once.
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
