//! Requests whose prompts share parts, some of which crash upstreams.

use std::time::Duration;

use shalehinge::core::event::Event;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::router::request::RequestMeta;
use shalehinge::core::types::{RequestId, Timestamp};

use super::Fleet;
use super::upstreams::{STREAM_DEADLINE, stream};

/// Fingerprint of the part of prompts with this id.
pub fn part(id: &str) -> Fingerprint {
    Fingerprint::of_prompt_part(id.as_bytes())
}

/// A crash of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// When the upstream crashed, from the start of the simulation.
    pub at: Duration,
    /// The request that crashed it.
    pub request: RequestId,
}

impl Fleet {
    /// Sends a daemon a stream with these parts, unlike any other. It completes.
    pub fn send_sound_parts(&mut self, index: usize, parts: &[Fingerprint]) {
        let (request, meta) = self.new_stream_with(parts);
        self.completing.insert(request, self.now);
        self.handle(index, Event::Request { request, meta });
    }

    /// Sends a daemon a stream with these parts, unlike any other. It crashes each upstream that
    /// runs it. Returns its id.
    pub fn send_crashing_parts(&mut self, index: usize, parts: &[Fingerprint]) -> RequestId {
        let (request, meta) = self.new_stream_with(parts);
        self.crashing.insert(request);
        self.handle(index, Event::Request { request, meta });
        request
    }

    fn new_stream_with(&mut self, parts: &[Fingerprint]) -> (RequestId, RequestMeta) {
        self.next_event += 1;
        let meta = RequestMeta {
            fingerprint: Fingerprint(self.next_event),
            prompt_parts: parts.to_vec(),
            max_attempts: Some(2),
            repeatable: true,
            is_resumable: true,
            ..stream(Timestamp::from_duration(self.now + STREAM_DEADLINE))
        };
        (RequestId(self.next_event), meta)
    }
}
