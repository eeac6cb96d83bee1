//! Requests in progress whose responses are still being delivered.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};

use crate::core::router::request::Outcome;
use crate::core::types::RequestId;
use crate::upstream::attempt::{OutgoingRequest, ResponsePart};
use crate::utils::task::spawn;

/// Response parts that may be buffered for a slow caller before the attempt is held back.
const PART_BUFFER_SIZE: usize = 256;

/// A message to the task that serves a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerMessage {
    /// A part of the response.
    Part(ResponsePart),
    /// The final outcome; no message follows it.
    Ended(Outcome),
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Channel to the task that serves the caller.
    pub parts: Sender<CallerMessage>,
    /// The request as it is sent to upstreams.
    pub outgoing: Arc<OutgoingRequest>,
}

/// All requests in progress, by request id.
#[derive(Debug, Default)]
pub struct PendingRequests {
    by_request: Mutex<HashMap<RequestId, PendingRequest>>,
}

impl PendingRequests {
    /// Registers a request and returns the channel that delivers its response.
    pub fn add(&self, request: RequestId, outgoing: OutgoingRequest) -> Receiver<CallerMessage> {
        let (parts, receiver) = async_channel::bounded(PART_BUFFER_SIZE);
        let outgoing = Arc::new(outgoing);
        self.lock()
            .insert(request, PendingRequest { parts, outgoing });
        receiver
    }

    /// Returns the request, or `None` if it is no longer in progress.
    pub fn get(&self, request: RequestId) -> Option<PendingRequest> {
        self.lock().get(&request).cloned()
    }

    /// Removes a request and delivers its outcome.
    pub fn complete(&self, request: RequestId, outcome: Outcome) {
        let Some(pending) = self.lock().remove(&request) else {
            return;
        };
        let ended = CallerMessage::Ended(outcome);
        if let Err(async_channel::TrySendError::Full(ended)) = pending.parts.try_send(ended) {
            // The channel of a slow caller is full: deliver the outcome once its task has
            // read the buffered parts.
            let parts = pending.parts;
            spawn(async move {
                let _ = parts.send(ended).await;
            })
            .detach();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, PendingRequest>> {
        self.by_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
