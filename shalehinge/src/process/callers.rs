//! The requests that wait for parts of their answers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};

use crate::core::router::request::Outcome;
use crate::core::types::RequestId;
use crate::upstream::attempt::{AnswerPart, OutgoingRequest};
use crate::utils::task::spawn;

/// Parts of an answer that may wait for a slow caller.
const PARTS_WAITING: usize = 256;

/// What the task of a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerPart {
    /// A part of the answer.
    Part(AnswerPart),
    /// The final outcome; nothing follows.
    Ended(Outcome),
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Where parts of the answer go.
    pub parts: Sender<CallerPart>,
    /// What is sent to upstreams.
    pub outgoing: Arc<OutgoingRequest>,
}

/// All requests in progress.
#[derive(Debug, Default)]
pub struct Callers {
    by_request: Mutex<HashMap<RequestId, Caller>>,
}

impl Callers {
    /// Adds a request; parts of its answer come out of the receiver.
    pub fn add(&self, request: RequestId, outgoing: OutgoingRequest) -> Receiver<CallerPart> {
        let (parts, receiver) = async_channel::bounded(PARTS_WAITING);
        let outgoing = Arc::new(outgoing);
        self.lock().insert(request, Caller { parts, outgoing });
        receiver
    }

    /// The request, if it is still in progress.
    pub fn get(&self, request: RequestId) -> Option<Caller> {
        self.lock().get(&request).cloned()
    }

    /// Ends a request with its outcome.
    pub fn end(&self, request: RequestId, outcome: Outcome) {
        let Some(caller) = self.lock().remove(&request) else {
            return;
        };
        let ended = CallerPart::Ended(outcome);
        if let Err(async_channel::TrySendError::Full(ended)) = caller.parts.try_send(ended) {
            // A slow caller: its task reads on until it comes to the end.
            let parts = caller.parts;
            spawn(async move {
                let _ = parts.send(ended).await;
            })
            .detach();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Caller>> {
        self.by_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
