//! How much of a relayed stream has been passed on to the caller.
//!
//! The attempts of a request share one position. Two of them may receive events at the same time, so
//! they take turns in passing events on, and each passes on only what follows the position.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use super::attempt::{ResponsePart, ResponseSink};
use super::relay::ResponseHead;
use crate::utils::memory_budget::{GrowingReservation, ResponseReservation};

/// Size up to which the buffer for an incomplete event is kept and not counted, in bytes.
const BUFFER_SIZE: usize = 16 * 1024;
/// Bytes that end an event.
const EVENT_END: &[u8] = b"\n\n";

/// Position in the response stream of a request, across all of its attempts.
#[derive(Debug, Default)]
pub struct StreamPosition {
    position: Mutex<Position>,
    /// Held by the attempt that passes events on.
    turn: smol::lock::Mutex<()>,
}

/// How much of a stream has been passed on to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Whether status and headers have been passed on.
    has_head: bool,
    /// Id of the last event that has been passed on.
    last_event: Option<u64>,
}

impl Position {
    /// Whether status and headers have been passed on.
    pub fn has_head(self) -> bool {
        self.has_head
    }

    /// Id of the last event that has been passed on.
    pub fn last_event(self) -> Option<u64> {
        self.last_event
    }

    /// Moves past these whole events. Returns those that follow the position, and their number.
    fn advance(&mut self, events: &[u8]) -> (Vec<u8>, u32) {
        let mut following = Vec::new();
        let mut count = 0;
        for event in whole_events(events) {
            let id = event_id(event);
            let is_duplicate = id.is_some() && id <= self.last_event;
            if !is_duplicate {
                following.extend_from_slice(event);
                self.last_event = id.or(self.last_event);
                count += 1;
            }
        }
        (following, count)
    }
}

impl From<Position> for StreamPosition {
    fn from(position: Position) -> Self {
        Self {
            position: Mutex::new(position),
            turn: smol::lock::Mutex::default(),
        }
    }
}

impl StreamPosition {
    /// The current position.
    pub fn get(&self) -> Position {
        *self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, position: Position) {
        *self.position.lock().unwrap_or_else(PoisonError::into_inner) = position;
    }

    /// Passes on those of these whole events that follow the position, after the head if the caller
    /// has none. Returns the number of events that were passed on: none if another attempt of the
    /// request has taken its place.
    pub async fn pass_events(
        &self,
        head: &ResponseHead,
        events: &[u8],
        sink: &impl ResponseSink,
    ) -> u32 {
        let _turn = self.turn.lock().await;
        let mut position = self.get();
        let (following, count) = position.advance(events);
        if following.is_empty() || !self.pass_head_in_turn(head, sink).await {
            return 0;
        }
        if !sink.pass(ResponsePart::Chunk(following.into())).await {
            return 0;
        }
        position.has_head = true;
        self.set(position);
        count
    }

    /// Passes on the head if the caller has none.
    pub async fn pass_head(&self, head: &ResponseHead, sink: &impl ResponseSink) {
        let _turn = self.turn.lock().await;
        self.pass_head_in_turn(head, sink).await;
    }

    /// Returns whether the caller now has a head.
    async fn pass_head_in_turn(&self, head: &ResponseHead, sink: &impl ResponseSink) -> bool {
        let mut position = self.get();
        if position.has_head {
            return true;
        }
        position.has_head = sink.pass(ResponsePart::Head(head.clone())).await;
        self.set(position);
        position.has_head
    }

    /// Passes on a part of a response that a peer relays, whose chunks hold whole events.
    pub async fn pass_part(&self, part: ResponsePart, sink: &impl ResponseSink) {
        match part {
            ResponsePart::Head(head) => self.pass_head(&head, sink).await,
            ResponsePart::Chunk(events) => {
                let _turn = self.turn.lock().await;
                let mut position = self.get();
                let (following, _) = position.advance(&events);
                let is_new = !following.is_empty();
                if is_new && sink.pass(ResponsePart::Chunk(following.into())).await {
                    self.set(position);
                }
            }
            ResponsePart::StreamStart | ResponsePart::Whole(_) => {
                sink.pass(part).await;
            }
        }
    }
}

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Start of an event that is not complete yet.
    buffer: Vec<u8>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<u8> {
        let search_start = self.buffer.len().saturating_sub(EVENT_END.len());
        self.buffer.extend_from_slice(bytes);
        let last = self.buffer[search_start..]
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END);
        let Some(last) = last else {
            return Vec::new();
        };
        let end = search_start + last + EVENT_END.len();
        let events = self.buffer.drain(..end).collect();
        self.buffer.shrink_to(BUFFER_SIZE);
        events
    }

    /// Reserves memory for the start of the next event if it is large.
    pub async fn reserve(&self, memory: &mut ResponseReservation) {
        let bytes = match self.buffer.len() {
            0..=BUFFER_SIZE => 0,
            length => length.next_multiple_of(BUFFER_SIZE) as u64,
        };
        memory.shrink_to(bytes);
        // Memory of responses is never refused.
        let _ = memory.grow_to(bytes).await;
    }

    /// Whether the start of the next event is longer than this number of bytes.
    pub fn has_excess(&self, limit: usize) -> bool {
        self.buffer.len() > limit
    }
}

/// The events in bytes that hold whole events.
fn whole_events(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut remaining = bytes;
    std::iter::from_fn(move || {
        let mut windows = remaining.windows(EVENT_END.len());
        let at = windows.position(|window| window == EVENT_END)?;
        let (event, rest) = remaining.split_at(at + EVENT_END.len());
        remaining = rest;
        Some(event)
    })
}

/// Parses the number in an event's `id` line.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[3..]).ok()?;
    text.trim().parse().ok()
}
