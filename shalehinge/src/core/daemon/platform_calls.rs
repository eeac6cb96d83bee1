//! Issues calls to the platform and dispatches their replies.

use rand::Rng;

use super::store_era::OpenCall;
use super::{CallPurpose, Daemon};
use crate::core::event::Action;
use crate::core::platform::{CallId, PlatformCall, PlatformReply, PlatformResult};
use crate::core::types::{OperationId, Timestamp};

impl Daemon {
    pub(super) fn call_platform(
        &mut self,
        purpose: CallPurpose,
        request: PlatformCall,
        out: &mut Vec<Action>,
    ) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let open = OpenCall {
            purpose,
            named_era: request.base_era(),
            read: None,
        };
        self.calls.insert(call, open);
        out.push(Action::Platform { call, request });
        call
    }

    /// Forgets the open calls of a feed, so that replies still to come are ignored.
    pub(super) fn forget_feed_calls(&mut self, index: usize) {
        let is_other =
            |purpose: &CallPurpose| !matches!(purpose, CallPurpose::Feed(i) if *i == index);
        self.calls.retain(|_, call| is_other(&call.purpose));
    }

    pub(super) fn new_operation_id(&mut self) -> OperationId {
        OperationId(self.rng.random())
    }

    pub(super) fn on_platform_reply(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let purpose = open.purpose;
        let result = self.check_reply_era(now, open.named_era, result, out);
        let Some(result) = self.continue_read(now, &purpose, open.read, result, out) else {
            return;
        };
        if let Ok(PlatformReply::Objects { updates, .. }) = &result {
            self.apply(now, updates.clone(), out);
        }
        match purpose {
            CallPurpose::Feed(index) => self.on_feed_reply(now, index, &result, out),
            CallPurpose::Lease => self.on_lease_reply(now, result, out),
            CallPurpose::Assignment => self.on_assignment_reply(now, result, out),
            CallPurpose::Claims(partition) => self.on_claims_reply(now, partition, result, out),
            CallPurpose::ObjectScope => self.on_shared_leases(now, result, out),
            CallPurpose::Successor(check) => self.on_successor_checked(now, check, result, out),
            CallPurpose::StoredCulprits => self.on_stored_culprits(now, result, out),
            CallPurpose::RewriteFleet | CallPurpose::DeleteSuperseded => {}
            CallPurpose::Operator(id) => {
                let step = self.operators.on_platform(now, id, &result, &self.state);
                self.handle_operator_step(now, id, step, result, out);
            }
        }
    }
}
