//! Pulls and notices to peers.

use std::time::Duration;

use trillium_client::Client;

use super::{NOTICE_PATH, PULL_PATH};
use crate::core::event::{Notice, Pull, PullReply, PullTopic};
use crate::core::types::Address;
use crate::utils::http::{AnswerLimits, exchange, exchange_within, pooled_client, url};

/// A peer's answer to a pull.
#[derive(Clone, Debug)]
pub struct PulledReply {
    /// What it says.
    pub reply: PullReply,
    /// Bytes that it took on the way.
    pub bytes: usize,
}

/// A client of all peers.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: Client,
    timeout: Duration,
}

impl PeerClient {
    /// A client that gives up each call after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            client: pooled_client(),
            timeout,
        }
    }

    /// Pulls from a peer; `None` if no answer came.
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

    /// How long the answer may take: what may be large goes on as long as parts of it come.
    fn limits(&self, topic: PullTopic) -> AnswerLimits {
        match topic {
            PullTopic::WholeObjects => AnswerLimits::of_large(self.timeout, self.timeout),
            PullTopic::All | PullTopic::Objects | PullTopic::Moving => {
                AnswerLimits::in_all(self.timeout)
            }
        }
    }

    /// Tells a peer that there is something new; a lost notice does no harm.
    pub async fn notify(&self, to: Address, notice: &Notice) {
        let Ok(body) = rmp_serde::to_vec(notice) else {
            return;
        };
        let conn = self.client.post(url(to, NOTICE_PATH)).with_body(body);
        exchange(conn, self.timeout).await;
    }
}
