//! Sends pulls and notices to peers.

use std::time::Duration;

use trillium_client::Client;

use super::{NOTICE_PATH, PULL_PATH};
use crate::core::event::{Notice, Pull, PullReply, PullTopic};
use crate::core::types::Address;
use crate::utils::http::{AnswerLimits, exchange, exchange_within, pooled_client, url};

/// A peer's reply to a pull.
#[derive(Clone, Debug)]
pub struct PulledReply {
    /// The decoded reply.
    pub reply: PullReply,
    /// Size of the encoded reply, in bytes.
    pub bytes: usize,
}

/// HTTP client for all peers.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: Client,
    timeout: Duration,
}

impl PeerClient {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            client: pooled_client(),
            timeout,
        }
    }

    /// Pulls from a peer; `None` if no valid reply arrived in time.
    pub async fn pull(&self, to: Address, pull: &Pull) -> Option<PulledReply> {
        let body = rmp_serde::to_vec(pull).ok()?;
        let conn = self.client.post(url(to, PULL_PATH)).with_body(body);
        let limits = self.limits(pull.topic);
        let (status, body) = exchange_within(conn, limits).await?;
        if status != 200 {
            return None;
        }
        let reply = rmp_serde::from_slice(&body).ok()?;
        let bytes = body.len();
        Some(PulledReply { reply, bytes })
    }

    /// Time-outs for a pull. Replies with whole objects may be large, so they may go on for longer
    /// while data keeps arriving.
    fn limits(&self, topic: PullTopic) -> AnswerLimits {
        match topic {
            PullTopic::WholeObjects => AnswerLimits::of_large(self.timeout, self.timeout),
            PullTopic::All | PullTopic::Objects | PullTopic::Moving => {
                AnswerLimits::in_all(self.timeout)
            }
        }
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
