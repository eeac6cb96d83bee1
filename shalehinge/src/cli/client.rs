//! HTTP client for a daemon's operator API.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium_client::{Client, Conn};

use crate::core::change::Change;
use crate::core::operator::{Confirm, OperatorAnswer};
use crate::operator_api::{CONFIRM_PATH, FleetStatus, PLAN_PATH, STATUS_PATH};
use crate::utils::http::{is_not_connected, pooled_client, url};
use crate::utils::time::with_timeout;

/// Timeout of a call. A confirm may take ten seconds, as the daemon reads back what it wrote.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Why a call failed. Each message suggests what to do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection could not be established.
    #[error("no daemon is listening for operators on {0}; specify its address with --daemon")]
    Unreachable(SocketAddr),
    /// No complete response arrived in time; the call may have taken effect.
    #[error("the daemon on {0} did not respond; if this was a confirm, repeat it")]
    NoAnswer(SocketAddr),
    /// The daemon rejected the token.
    #[error("the daemon rejected the token; specify the token file with --token-file")]
    Unauthorized,
    /// The daemon responded with an error status.
    #[error("the daemon rejected the call with status {status}: {text}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Response body, trimmed.
        text: String,
    },
    /// The response could not be parsed.
    #[error(
        "failed to parse the daemon's response; check that client and daemon have the same version"
    )]
    Unreadable,
}

/// Client of one daemon's operator API.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: Client,
    daemon: SocketAddr,
    token: String,
}

impl OperatorClient {
    /// Creates a client for the daemon at this address that authenticates with `token`.
    pub fn new(daemon: SocketAddr, token: String) -> Self {
        Self {
            client: pooled_client(),
            daemon,
            token,
        }
    }

    /// Plans a change: returns its effects without applying it.
    ///
    /// # Errors
    ///
    /// The call failed; nothing changed.
    pub async fn plan(&self, change: &Change) -> Result<OperatorAnswer, CallError> {
        self.post(PLAN_PATH, change).await
    }

    /// Confirms a plan, so that the change is applied.
    ///
    /// # Errors
    ///
    /// The call failed. With [`CallError::NoAnswer`] or [`CallError::Unreadable`], the change may
    /// have been applied; it is safe to confirm again.
    pub async fn confirm(&self, confirm: &Confirm) -> Result<OperatorAnswer, CallError> {
        self.post(CONFIRM_PATH, confirm).await
    }

    /// Returns the status of the fleet, as known to the daemon.
    ///
    /// # Errors
    ///
    /// The call failed.
    pub async fn status(&self) -> Result<FleetStatus, CallError> {
        let conn = self.client.get(url(self.daemon, STATUS_PATH));
        self.exchange(conn).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CallError> {
        let body = serde_json::to_vec(body).map_err(|_| CallError::Unreadable)?;
        let conn = self.client.post(url(self.daemon, path)).with_body(body);
        self.exchange(conn).await
    }

    async fn exchange<T: DeserializeOwned>(&self, conn: Conn) -> Result<T, CallError> {
        let conn = conn.with_request_header("authorization", format!("Bearer {}", self.token));
        let no_answer = CallError::NoAnswer(self.daemon);
        let whole = async {
            let mut conn = conn.await.map_err(|error| {
                if is_not_connected(&error) {
                    CallError::Unreachable(self.daemon)
                } else {
                    CallError::NoAnswer(self.daemon)
                }
            })?;
            let status = conn.status().map_or(0, u16::from);
            let body = conn.response_body().read_bytes().await;
            let body = body.map_err(|_| CallError::NoAnswer(self.daemon))?;
            Ok((status, body))
        };
        let (status, body) = with_timeout(TIMEOUT, whole)
            .await
            .unwrap_or(Err(no_answer))?;
        match status {
            200 => serde_json::from_slice(&body).map_err(|_| CallError::Unreadable),
            401 => Err(CallError::Unauthorized),
            status => Err(CallError::Refused {
                status,
                text: String::from_utf8_lossy(&body).trim().to_owned(),
            }),
        }
    }
}
