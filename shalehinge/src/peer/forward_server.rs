//! Runs requests that peers hand to this daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use futures_util::stream;
use futures_util::{StreamExt, TryStreamExt};
use trillium::{Body, Conn, Status};

use super::forward_message::{ForwardFrame, ForwardMessage, encode_frame};
use crate::process::Driver;
use crate::process::disconnect_guard::DisconnectGuard;
use crate::process::pending_requests::CallerMessage;
use crate::upstream::relay::RelayHeaderNames;
use crate::utils::caller_connection::{CallerConnection, caller_left};
use crate::utils::memory_budget::MemoryBudget;
use crate::utils::time::with_timeout;

/// Time without another frame after which a sign of life is sent.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of requests of peers that run at the same time. Further ones are refused, so that
/// connections are left for other messages.
const MAX_RUNNING: usize = 512;

/// Runs requests of peers.
#[derive(Clone)]
pub(super) struct ForwardServer {
    driver: Arc<Driver>,
    names: Option<RelayHeaderNames>,
    running: Arc<AtomicUsize>,
}

/// Counts a request as running until it is dropped.
struct RunningCount(Arc<AtomicUsize>);

impl RunningCount {
    /// `None` if the maximum number runs already.
    fn begin(running: &Arc<AtomicUsize>) -> Option<Self> {
        let count = Self(running.clone());
        let before = running.fetch_add(1, Ordering::Relaxed);
        (before < MAX_RUNNING).then_some(count)
    }
}

impl Drop for RunningCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that runs, until its answer has been written.
struct RunningRequest {
    parts: Receiver<CallerMessage>,
    guard: DisconnectGuard,
    connection: CallerConnection,
    count: RunningCount,
}

impl ForwardServer {
    pub(super) fn new(driver: Arc<Driver>, names: Option<RelayHeaderNames>) -> Self {
        Self {
            driver,
            names,
            running: Arc::default(),
        }
    }

    /// The budget for bodies of requests.
    pub(super) fn memory(&self) -> &MemoryBudget {
        &self.driver.memory
    }

    /// Runs the request and answers with frames as they come. Any other answer than 200 means that
    /// the request was not taken.
    pub(super) fn handle(&self, conn: Conn, message: ForwardMessage) -> Conn {
        let ForwardMessage { meta, request } = message;
        let Some(count) = RunningCount::begin(&self.running) else {
            log::warn!(target: "shalehinge", "peers: refused a request, as {MAX_RUNNING} of peers run");
            return conn.with_status(Status::ServiceUnavailable).halt();
        };
        let caller_id = request.request_id().unwrap_or("without id").to_owned();
        let target = meta.target.clone();
        let outgoing = match request.into_outgoing(self.names) {
            Ok(outgoing) => outgoing,
            Err(error) => {
                log::warn!(target: "shalehinge", "peers: refused a request: {error}");
                return conn.with_status(Status::BadRequest).halt();
            }
        };
        let (id, parts) = self.driver.submit_forwarded(meta, outgoing);
        log::info!(target: "shalehinge", "route: request {} is {caller_id} for {target}, handed over by a peer", id.0);
        let running = RunningRequest {
            parts,
            guard: DisconnectGuard::new(self.driver.clone(), id),
            connection: CallerConnection::new(&conn),
            count,
        };
        conn.ok(frames(running))
    }
}

/// The pieces of one frame.
type FramePieces = stream::Iter<std::array::IntoIter<std::io::Result<Bytes>, 2>>;

/// The end of an answer that can't be completed.
fn failed(error: std::io::Error) -> FramePieces {
    stream::iter([Ok(Bytes::new()), Err(error)])
}

/// The frames of a request's answer, as the body of a response.
fn frames(running: RunningRequest) -> Body {
    let frames = stream::unfold(Some(running), |running| async move {
        let running = running?;
        let RunningRequest {
            parts, connection, ..
        } = &running;
        let part = with_timeout(ALIVE_INTERVAL, connection.unless_closed(parts.recv())).await;
        let frame = match part {
            None => ForwardFrame::Alive,
            // Dropping the guard cancels the request.
            Some(None) => return Some((failed(caller_left()), None)),
            Some(Some(Ok(CallerMessage::Part(part)))) => part.into(),
            Some(Some(Ok(CallerMessage::Ended(outcome)))) => ForwardFrame::Ended(outcome),
            Some(Some(Err(_))) => return Some((failed(caller_left()), None)),
        };
        let is_last = matches!(frame, ForwardFrame::Ended(_));
        let pieces = match encode_frame(frame) {
            Ok(pieces) => stream::iter(pieces.map(Ok)),
            Err(error) => {
                log::error!(target: "shalehinge", "peers: can't answer: {error}");
                let error = std::io::Error::other(error);
                return Some((failed(error), None));
            }
        };
        if is_last {
            let RunningRequest { guard, count, .. } = running;
            guard.disarm();
            drop(count);
            return Some((pieces, None));
        }
        Some((pieces, Some(running)))
    });
    Body::new_streaming(Box::pin(frames.flatten()).into_async_read(), None)
}
