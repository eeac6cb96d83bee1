//! Clients for upstreams. Support for another engine protocol is one more module here.
//!
//! - `engine`: statuses and orders of model engines, by JSON over HTTP
//! - `attempt`: one attempt of a caller's request, at an engine or a plain service
//! - `connection_check`: checks whether anything still listens at an upstream's address
//! - `relay`: one attempt of a request that is relayed unchanged
//! - `signal`: what upstreams report about themselves in response headers

pub mod attempt;
pub mod connection_check;
pub mod engine;
pub mod relay;
pub mod signal;
pub mod stream_position;

use futures_lite::future::Boxed;

use crate::core::engine::{EngineStatus, NoStatus, Order, OrderReply};
use crate::core::types::{Address, HostId};

/// Requests statuses from engines and sends them orders.
pub trait EngineClient: Send + Sync {
    /// Requests the status of the engine at an address. `host` is `None` if the host is not known.
    fn status(
        &self,
        host: Option<HostId>,
        address: Address,
    ) -> Boxed<Result<EngineStatus, NoStatus>>;

    /// Sends an order to the engine at an address; `None` if no valid response arrived.
    fn order(&self, host: HostId, address: Address, order: Order) -> Boxed<Option<OrderReply>>;
}
