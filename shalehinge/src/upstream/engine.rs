//! Client for the statuses and orders of model engines, by JSON over HTTP. See
//! docs/INTERFACES.md.

use std::time::Duration;

use futures_lite::future::Boxed;
use serde::de::DeserializeOwned;
use trillium_client::{Client, Conn};

use super::EngineClient;
use super::connection_check::status_or_cause;
use crate::core::bounds::{CheckBounds, OutOfBounds};
use crate::core::engine::{EngineStatus, NoStatus, Order, OrderReply};
use crate::core::types::{Address, HostId};
use crate::utils::http::{exchange, pooled_client, url};

/// Path of an engine's status.
pub const STATUS_PATH: &str = "/v1/status";
/// Path that orders are posted to.
pub const ORDERS_PATH: &str = "/v1/orders";

/// HTTP client for all engines.
#[derive(Clone, Debug)]
pub struct HttpEngineClient {
    client: Client,
    timeout: Duration,
}

impl HttpEngineClient {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            client: pooled_client(),
            timeout,
        }
    }
}

/// Sends a request and parses its JSON response; `None` on a time-out, another status than 200 or
/// an invalid body.
async fn read_json<T: DeserializeOwned + CheckBounds>(conn: Conn, timeout: Duration) -> Option<T> {
    let (status, body) = exchange(conn, timeout).await?;
    if status != 200 {
        return None;
    }
    match decode(&body) {
        Ok(value) => Some(value),
        Err(error) => {
            log::debug!("engines: rejected a response: {error}");
            None
        }
    }
}

/// Decodes the response of an engine and checks its values.
///
/// # Errors
///
/// The response has another form, or contains a value out of its range.
pub fn decode<T: DeserializeOwned + CheckBounds>(body: &[u8]) -> Result<T, DecodeError> {
    let value: T = serde_json::from_slice(body)?;
    value.check_bounds()?;
    Ok(value)
}

/// Why the response of an engine can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// It is not of the expected form.
    #[error(transparent)]
    Format(#[from] serde_json::Error),
    /// A value is impossible.
    #[error(transparent)]
    Bounds(#[from] OutOfBounds),
}

impl EngineClient for HttpEngineClient {
    fn status(
        &self,
        _host: Option<HostId>,
        address: Address,
    ) -> Boxed<Result<EngineStatus, NoStatus>> {
        let conn = self.client.get(url(address, STATUS_PATH));
        let request = read_json(conn, self.timeout);
        Box::pin(status_or_cause(request, address, self.timeout))
    }

    fn order(&self, _host: HostId, address: Address, order: Order) -> Boxed<Option<OrderReply>> {
        let body = serde_json::to_vec(&order).unwrap_or_default();
        let conn = self.client.post(url(address, ORDERS_PATH)).with_body(body);
        Box::pin(read_json(conn, self.timeout))
    }
}
