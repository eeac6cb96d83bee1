//! Calls to the platform, and where their answers go.

use rand::Rng;

use super::store_era::OpenCall;
use super::{Daemon, Purpose};
use crate::core::event::Action;
use crate::core::platform::{CallId, PlatformCall, PlatformReply, PlatformResult};
use crate::core::types::{OperationId, Timestamp};

impl Daemon {
    pub(super) fn call(&mut self, purpose: Purpose, request: PlatformCall, out: &mut Vec<Action>) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let rests_on = request.base_era();
        self.calls.insert(call, OpenCall { purpose, rests_on });
        out.push(Action::Platform { call, request });
    }

    /// Answers that are still to come to a feed are passed over.
    pub(super) fn drop_calls_of_feed(&mut self, index: usize) {
        let is_other = |purpose: &Purpose| !matches!(purpose, Purpose::Feed(i) if *i == index);
        self.calls.retain(|_, call| is_other(&call.purpose));
    }

    pub(super) fn operation(&mut self) -> OperationId {
        OperationId(self.rng.random())
    }

    pub(super) fn on_platform(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        let Some(OpenCall { purpose, rests_on }) = self.calls.remove(&call) else {
            return;
        };
        let result = self.place_in_era(now, rests_on, result, out);
        if let Ok(PlatformReply::Objects { updates, .. }) = &result {
            self.apply(now, updates.clone(), out);
        }
        match purpose {
            Purpose::Feed(index) => self.on_fed(now, index, &result, out),
            Purpose::Lease => self.on_lease_reply(now, result, out),
            Purpose::Assignment => self.on_assignment_reply(now, result, out),
            Purpose::Claims(partition) => self.on_claims_reply(now, partition, result, out),
            Purpose::RewriteFleet => {}
            Purpose::Operator(id) => {
                let step = self.operators.on_platform(now, id, &result, &self.state);
                self.operator_step(now, id, step, result, out);
            }
        }
    }
}
