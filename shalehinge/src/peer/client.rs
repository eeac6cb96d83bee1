//! Sends pulls and notices to peers.

use std::time::Duration;

use trillium_client::Client;

use super::{NOTICE_PATH, PULL_PATH, decode_message, forward_client};
use crate::core::event::{Notice, Pull, PullReply, PullTopic};
use crate::core::forward::{Forward, ForwardEnd};
use crate::core::types::Address;
use crate::upstream::attempt::{OutgoingRequest, ResponseSink};
use crate::utils::http::{
    ResponseTimeouts, exchange, exchange_with_timeouts, pooled_client, single_use_client, url,
};

/// A peer's reply to a pull.
#[derive(Clone, Debug)]
pub struct ReceivedReply {
    /// The decoded reply.
    pub reply: PullReply,
    /// Size of the encoded reply, in bytes.
    pub bytes: usize,
}

/// HTTP client for all peers.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: Client,
    forward_client: Client,
    timeout: Duration,
}

impl PeerClient {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            client: pooled_client(),
            forward_client: single_use_client(),
            timeout,
        }
    }

    /// Pulls from a peer; `None` if no valid reply arrived in time.
    pub async fn pull(&self, to: Address, pull: &Pull) -> Option<ReceivedReply> {
        let body = rmp_serde::to_vec(pull).ok()?;
        let conn = self.client.post(url(to, PULL_PATH)).with_body(body);
        let timeouts = self.timeouts(pull.topic);
        let (status, body) = exchange_with_timeouts(conn, timeouts).await?;
        if status != 200 {
            return None;
        }
        let reply = match decode_message::<PullReply>(&body) {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("peers: rejected the reply of {to}: {error}");
                return None;
            }
        };
        let bytes = body.len();
        Some(ReceivedReply { reply, bytes })
    }

    /// Time-outs for a pull. Replies with whole objects may be large, so they may go on for longer
    /// while data keeps arriving.
    fn timeouts(&self, topic: PullTopic) -> ResponseTimeouts {
        match topic {
            PullTopic::WholeObjects => {
                ResponseTimeouts::for_large_response(self.timeout, self.timeout)
            }
            PullTopic::All | PullTopic::Objects | PullTopic::Moving => {
                ResponseTimeouts::uniform(self.timeout)
            }
        }
    }

    /// Hands a request to a peer and passes its answer to the sink. Returns how the attempt ended.
    pub async fn forward(
        &self,
        forward: &Forward,
        outgoing: &OutgoingRequest,
        sink: &impl ResponseSink,
    ) -> ForwardEnd {
        forward_client::run(&self.forward_client, forward, outgoing, sink).await
    }

    /// Notifies a peer of updates. Errors are ignored, as a lost notice does no harm.
    pub async fn notify(&self, to: Address, notice: &Notice) {
        let Ok(body) = rmp_serde::to_vec(notice) else {
            return;
        };
        let conn = self.client.post(url(to, NOTICE_PATH)).with_body(body);
        exchange(conn, self.timeout).await;
    }
}
