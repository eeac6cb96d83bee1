//! API keys of relayed requests: until when they are trusted, and what happens to waiting
//! requests whose key is revoked.

use crate::core::types::{RequestId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::request::{Credential, NotRunReason};
use super::target::Pending;

impl Pending {
    /// Whether the request may be sent only while its key is confirmed. It was confirmed when the
    /// request arrived, so one that an upstream may have run is not held up by a silent platform. A
    /// revocation that is known ends it while it waits.
    pub(super) fn needs_confirmed_key(&self) -> bool {
        self.meta.credential.is_some() && !self.is_admitted()
    }
}

impl Router {
    /// Sets the time until which requests that carry a key may be sent; `None` means no limit.
    pub fn set_keys_valid_until(&mut self, until: Option<Timestamp>) {
        self.keys_valid_until = until;
    }

    /// Ends waiting requests whose key has been revoked.
    pub fn recheck_keys(
        &mut self,
        is_held: impl Fn(&Credential) -> bool,
        out: &mut Vec<RouterAction>,
    ) {
        let revoked: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| !pending.is_running())
            .filter(|(_, pending)| {
                pending
                    .meta
                    .credential
                    .as_ref()
                    .is_some_and(|k| !is_held(k))
            })
            .map(|(request, _)| *request)
            .collect();
        for request in revoked {
            self.remove_from_queue(request);
            self.answer(request, self.not_run(NotRunReason::KeyTakenAway), out);
        }
    }

    /// Removes a waiting request from its target's queue.
    fn remove_from_queue(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let Some(state) = self.targets.get_mut(&pending.meta.target) else {
            return;
        };
        let removed = state.queue.remove(&pending.meta.customer, request);
        if removed.is_some() {
            self.waiting -= 1;
        }
    }
}
