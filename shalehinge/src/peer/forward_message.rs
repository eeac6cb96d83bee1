//! Messages by which a daemon hands a request to a peer, and the frames of the peer's answer.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use trillium_http::{Headers, Method};

use crate::core::bounds::{CheckBounds, OutOfBounds};
use crate::core::forward::ForwardedMeta;
use crate::core::router::request::Outcome;
use crate::upstream::attempt::{OutgoingRequest, ResponseMode, ResponsePart, WholeResponse};
use crate::upstream::relay::{RelayContext, RelayHeaderNames, ResponseHead};
use crate::upstream::stream_position::{Position, StreamPosition};
use crate::utils::request_target::{RequestTarget, RequestTargetError};

/// Number of bytes before each frame that hold its length, in big-endian order.
pub const FRAME_LENGTH_BYTES: usize = size_of::<u32>();
/// Maximum length of a frame, in bytes: a whole response of the maximum size with its headers.
pub const MAX_FRAME_BYTES: usize = 17 * 1024 * 1024;

/// Highest priority of a request.
const MAX_PRIORITY: u8 = 9;

/// A request that a peer is to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardMessage {
    /// What the peer's core needs to know.
    pub meta: ForwardedMeta,
    /// The request as it is sent to upstreams.
    pub request: ForwardedRequest,
}

/// An [`OutgoingRequest`] in transfer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    method: String,
    path: String,
    headers: Vec<ForwardedHeader>,
    body: Bytes,
    response_mode: ResponseMode,
    relay: Option<ForwardedRelay>,
}

/// One value of a header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ForwardedHeader {
    name: String,
    value: Bytes,
}

/// A [`RelayContext`] in transfer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ForwardedRelay {
    request_id: Option<String>,
    customer: Option<String>,
    position: Position,
}

/// A part of a peer's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwardFrame {
    /// The peer is alive and has nothing to pass on.
    Alive,
    /// The start of a stream.
    StreamStart,
    /// The start of a relayed stream.
    Head(ForwardedHead),
    /// A chunk of a stream.
    Chunk(Bytes),
    /// A whole response.
    Whole(ForwardedWhole),
    /// The outcome; no frame follows it.
    Ended(Outcome),
}

/// A [`ResponseHead`] in transfer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedHead {
    status: u16,
    headers: Vec<ForwardedHeader>,
}

/// A [`WholeResponse`] in transfer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedWhole {
    status: u16,
    content_type: Option<String>,
    headers: Vec<ForwardedHeader>,
    body: Bytes,
}

/// Why a peer can't run a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForwardedRequestError {
    /// The method is not an HTTP method.
    #[error("unknown method")]
    Method,
    /// The request target can't be sent as it is.
    #[error(transparent)]
    Target(#[from] RequestTargetError),
    /// The peer relays requests and this daemon doesn't.
    #[error("the request is to be relayed, which this daemon doesn't do")]
    Relay,
}

impl CheckBounds for ForwardMessage {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        let is_valid = self.meta.priority <= MAX_PRIORITY;
        is_valid.then_some(()).ok_or(OutOfBounds("priority"))
    }
}

impl ForwardedRequest {
    /// Takes over a request, with the position in its stream.
    pub fn new(outgoing: &OutgoingRequest) -> Self {
        Self {
            method: outgoing.method.to_string(),
            path: outgoing.target.as_str().to_owned(),
            headers: to_transfer(&outgoing.headers),
            body: outgoing.body.clone(),
            response_mode: outgoing.response_mode,
            relay: outgoing.relay.as_ref().map(|relay| ForwardedRelay {
                request_id: relay.request_id.clone(),
                customer: relay.customer.clone(),
                position: relay.position.get(),
            }),
        }
    }

    /// Id that the caller gave the request, if any.
    pub fn request_id(&self) -> Option<&str> {
        self.relay.as_ref()?.request_id.as_deref()
    }

    /// Returns the request as this daemon sends it to upstreams.
    ///
    /// # Errors
    ///
    /// The method is unknown, the target can't be sent as it is, or the request is to be relayed and this daemon has no names of
    /// headers for that.
    pub fn into_outgoing(
        self,
        names: Option<RelayHeaderNames>,
    ) -> Result<OutgoingRequest, ForwardedRequestError> {
        let method = Method::try_from(self.method.as_str());
        let method = method.map_err(|_| ForwardedRequestError::Method)?;
        let relay = match (self.relay, names) {
            (None, _) => None,
            (Some(_), None) => return Err(ForwardedRequestError::Relay),
            (Some(relay), Some(names)) => Some(RelayContext {
                names,
                request_id: relay.request_id,
                customer: relay.customer,
                position: Arc::new(StreamPosition::from(relay.position)),
            }),
        };
        Ok(OutgoingRequest {
            method,
            target: RequestTarget::new(method, &self.path)?,
            headers: from_transfer(self.headers),
            body: self.body,
            response_mode: self.response_mode,
            relay,
        })
    }
}

impl From<ResponsePart> for ForwardFrame {
    fn from(part: ResponsePart) -> Self {
        match part {
            ResponsePart::StreamStart => Self::StreamStart,
            ResponsePart::Head(head) => Self::Head(ForwardedHead {
                status: head.status,
                headers: to_transfer(&head.headers),
            }),
            ResponsePart::Chunk(chunk) => Self::Chunk(chunk),
            ResponsePart::Whole(whole) => Self::Whole(ForwardedWhole {
                status: whole.status,
                content_type: whole.content_type,
                headers: to_transfer(&whole.headers),
                body: whole.body,
            }),
        }
    }
}

impl From<ForwardedHead> for ResponseHead {
    fn from(head: ForwardedHead) -> Self {
        Self {
            status: head.status,
            headers: from_transfer(head.headers),
        }
    }
}

impl From<ForwardedWhole> for WholeResponse {
    fn from(whole: ForwardedWhole) -> Self {
        Self {
            status: whole.status,
            content_type: whole.content_type,
            headers: from_transfer(whole.headers),
            body: whole.body,
        }
    }
}

fn to_transfer(headers: &Headers) -> Vec<ForwardedHeader> {
    let values = headers.iter().flat_map(|(name, values)| {
        values.iter().map(move |value| ForwardedHeader {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_ref()),
        })
    });
    values.collect()
}

fn from_transfer(transferred: Vec<ForwardedHeader>) -> Headers {
    let mut headers = Headers::new();
    for ForwardedHeader { name, value } in transferred {
        headers.append(name, value.to_vec());
    }
    headers
}

impl ForwardMessage {
    /// Encodes the message without a copy of the request's body: the pieces to send one after the
    /// other.
    ///
    /// # Errors
    ///
    /// The message can't be encoded.
    pub fn encode(mut self) -> Result<[Bytes; 3], rmp_serde::encode::Error> {
        let body = std::mem::take(&mut self.request.body);
        let mut after = rmp_serde::to_vec(&self.request.response_mode)?;
        after.extend(rmp_serde::to_vec(&self.request.relay)?);
        let mut before = rmp_serde::to_vec(&self)?;
        before.truncate(before.len() - after.len());
        replace_empty_bin(&mut before, body.len())?;
        Ok([before.into(), body, after.into()])
    }

    /// Replaces the request's body by one with the same content.
    pub fn with_body(mut self, replace: impl FnOnce(Bytes) -> Bytes) -> Self {
        self.request.body = replace(self.request.body);
        self
    }
}

/// Encoding of a byte string without content.
const EMPTY_BIN: [u8; 2] = [0xc4, 0];

/// Replaces an encoded empty byte string at the end by the head of one with `length` bytes.
fn replace_empty_bin(encoded: &mut Vec<u8>, length: usize) -> Result<(), rmp_serde::encode::Error> {
    let too_long = || rmp_serde::encode::Error::Syntax("more than 4 GiB".into());
    let length = u32::try_from(length).map_err(|_| too_long())?;
    encoded.truncate(encoded.len() - EMPTY_BIN.len());
    if let Ok(length) = u8::try_from(length) {
        encoded.extend([0xc4, length]);
    } else if let Ok(length) = u16::try_from(length) {
        encoded.push(0xc5);
        encoded.extend(length.to_be_bytes());
    } else {
        encoded.push(0xc6);
        encoded.extend(length.to_be_bytes());
    }
    Ok(())
}

/// Encodes a frame with its length, without a copy of the caller's bytes in it: the pieces to send
/// one after the other.
///
/// # Errors
///
/// The frame can't be encoded, or is longer than [`MAX_FRAME_BYTES`].
pub fn encode_frame(mut frame: ForwardFrame) -> Result<[Bytes; 2], FrameError> {
    // Both kinds of frames with bytes of the caller end with them.
    let body = match &mut frame {
        ForwardFrame::Chunk(chunk) => Some(std::mem::take(chunk)),
        ForwardFrame::Whole(whole) => Some(std::mem::take(&mut whole.body)),
        _ => None,
    };
    let mut content = rmp_serde::to_vec(&frame)?;
    if let Some(body) = &body {
        replace_empty_bin(&mut content, body.len())?;
    }
    let body = body.unwrap_or_default();
    let length = content.len() + body.len();
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::Length);
    }
    let length = u32::try_from(length).map_err(|_| FrameError::Length)?;
    let mut head = Vec::with_capacity(FRAME_LENGTH_BYTES + content.len());
    head.extend_from_slice(&length.to_be_bytes());
    head.extend_from_slice(&content);
    Ok([head.into(), body])
}

impl ForwardFrame {
    /// Replaces the body of a whole response by one with the same content.
    pub fn with_whole_body(mut self, replace: impl FnOnce(Bytes) -> Bytes) -> Self {
        if let Self::Whole(whole) = &mut self {
            whole.body = replace(std::mem::take(&mut whole.body));
        }
        self
    }
}

/// Why a frame can't be encoded.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// It is too long.
    #[error("the frame is too long")]
    Length,
    /// Its content can't be encoded.
    #[error(transparent)]
    Encoding(#[from] rmp_serde::encode::Error),
}
