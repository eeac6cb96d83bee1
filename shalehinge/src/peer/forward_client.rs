//! Hands a request to a peer and passes the peer's answer on.
//!
//! A peer that sends nothing may only be paused, and goes on with the request afterwards. Its silence
//! is logged and ends nothing: the attempt ends with the answer, the connection, or the request's
//! deadline, at which the router cancels it.

use std::pin::pin;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use trillium_client::{Client, ResponseBody};

use super::FORWARD_PATH;
use super::forward_message::{
    FRAME_LENGTH_BYTES, ForwardFrame, ForwardMessage, ForwardedRequest, MAX_FRAME_BYTES,
};
use crate::core::forward::{Forward, ForwardEnd};
use crate::core::types::Address;
use crate::upstream::attempt::{OutgoingRequest, ResponsePart, ResponseSink};
use crate::utils::body::shared_body_of;
use crate::utils::http::{is_not_connected, url};
use crate::utils::memory_budget::{GrowingReservation, ResponseMemory, hold};
use crate::utils::response_bounds::{Excess, UNLIMITED, report, report_error};
use crate::utils::time::with_timeout;

/// Time without any frame after which a peer counts as silent: three times the interval of its signs
/// of life.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);
/// HTTP status of an answer that consists of frames.
const OK: u16 = 200;

/// Hands the request to the peer and passes the peer's answer to the sink. Returns how the attempt
/// ended.
pub(super) async fn run(
    client: &Client,
    forward: &Forward,
    outgoing: &OutgoingRequest,
    sink: &impl ResponseSink,
) -> ForwardEnd {
    let message = ForwardMessage {
        meta: forward.meta.clone(),
        request: ForwardedRequest::new(outgoing),
    };
    let body = match message.encode() {
        Ok(pieces) => shared_body_of(pieces),
        Err(error) => {
            log::error!(target: "shalehinge", "peers: can't encode a request: {error}");
            return ForwardEnd::NotSent;
        }
    };
    let conn = client.post(url(forward.peer, FORWARD_PATH)).with_body(body);
    let mut conn = match log_silence(forward, conn.into_future()).await {
        Ok(conn) => conn,
        Err(error) if is_not_connected(&error) => return ForwardEnd::NotSent,
        Err(error) => {
            report_error(&error, &forward.peer);
            return ForwardEnd::Lost;
        }
    };
    // A peer that answers otherwise has not taken the request.
    if conn.status().map(u16::from) != Some(OK) {
        return ForwardEnd::NotSent;
    }
    let body = conn.take_response_body();
    let Some(mut body) = body.map(|body| body.with_max_len(UNLIMITED)) else {
        return ForwardEnd::Lost;
    };
    loop {
        let next = read_frame(&mut body, forward.peer, sink.memory());
        let Some(frame) = log_silence(forward, next).await else {
            return ForwardEnd::Lost;
        };
        let part = match frame {
            ForwardFrame::Alive => continue,
            ForwardFrame::Ended(outcome) => return ForwardEnd::Answered(outcome),
            ForwardFrame::StreamStart => ResponsePart::StreamStart,
            ForwardFrame::Head(head) => ResponsePart::Head(head.into()),
            ForwardFrame::Chunk(chunk) => ResponsePart::Chunk(chunk),
            ForwardFrame::Whole(whole) => ResponsePart::Whole(whole.into()),
        };
        match &outgoing.relay {
            Some(relay) => relay.position.pass_part(part, sink).await,
            None => {
                sink.pass(part).await;
            }
        }
    }
}

/// Waits for what the peer sends next, and logs if it is silent before.
async fn log_silence<T>(forward: &Forward, next: impl Future<Output = T>) -> T {
    let mut next = pin!(next);
    if let Some(received) = with_timeout(SILENT_AFTER, &mut next).await {
        return received;
    }
    let (request, peer, ms) = (forward.request.0, forward.peer, SILENT_AFTER.as_millis());
    log::warn!(target: "shalehinge", "route: request {request} waits for the peer at {peer}, which has been silent for {ms} ms");
    next.await
}

/// Reads the next frame; `None` if the answer ended or is not valid.
async fn read_frame(
    body: &mut ResponseBody<'static>,
    peer: Address,
    memory: &ResponseMemory,
) -> Option<ForwardFrame> {
    let mut length = [0; FRAME_LENGTH_BYTES];
    body.read_exact(&mut length).await.ok()?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        report(Excess::Frame, &peer);
        return None;
    }
    let mut reservation = memory.reservation();
    reservation.grow_to(length as u64).await.ok()?;
    // Grows as bytes arrive, so that a length alone takes no memory.
    let mut content = Vec::new();
    let read = body.take(length as u64).read_to_end(&mut content).await;
    if read.ok()? != length {
        return None;
    }
    let frame: ForwardFrame = rmp_serde::from_slice(&content).ok()?;
    // Chunks get their memory where they are passed on.
    Some(frame.with_whole_body(|bytes| hold(bytes, reservation)))
}
