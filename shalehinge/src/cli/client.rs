//! Calls of the operators' client to a daemon.

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

/// Time for one call; a confirm may read back for ten seconds.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Why a call has no answer. Each says what to do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection.
    #[error("no daemon listens to operators on {0}; name one with --daemon")]
    Unreachable(SocketAddr),
    /// Connected, but no answer came.
    #[error("the daemon on {0} did not answer; if this was a confirm, give it again")]
    NoAnswer(SocketAddr),
    /// The token is wrong.
    #[error("the daemon does not accept the token; name its file with --token-file")]
    Unauthorized,
    /// The daemon refused the call.
    #[error("the daemon refused the call with status {status}: {text}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// What it said.
        text: String,
    },
    /// The answer can't be read.
    #[error("the daemon's answer can't be read; is the client of the same version?")]
    Unreadable,
}

/// A client of one daemon.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: Client,
    daemon: SocketAddr,
    token: String,
}

impl OperatorClient {
    /// A client with a token.
    pub fn new(daemon: SocketAddr, token: String) -> Self {
        Self {
            client: pooled_client(),
            daemon,
            token,
        }
    }

    /// What would happen.
    pub async fn plan(&self, change: &Change) -> Result<OperatorAnswer, CallError> {
        self.post(PLAN_PATH, change).await
    }

    /// Do it.
    pub async fn confirm(&self, confirm: &Confirm) -> Result<OperatorAnswer, CallError> {
        self.post(CONFIRM_PATH, confirm).await
    }

    /// The fleet as the daemon sees it.
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
