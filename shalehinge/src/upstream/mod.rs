//! Upstreams as a daemon calls them. Another binding is one more file here.
//!
//! - `engine`: status and orders of model engines, by JSON over HTTP
//! - `attempt`: one attempt of a caller's request, at an engine or a plain service
//! - `presence`: whether anything listens where an upstream was
//! - `relay`: one attempt of a request that is relayed as it is
//! - `signal`: what upstreams state about themselves

pub mod attempt;
pub mod engine;
pub mod presence;
pub mod relay;
pub mod signal;

use futures_lite::future::Boxed;

use crate::core::engine::{EngineStatus, Order, OrderReply};
use crate::core::types::{Address, HostId};

/// Asks engines for their status and gives them orders; `None` if no answer came.
pub trait EngineClient: Send + Sync {
    /// Asks for the status of the engine at an address.
    fn status(&self, host: Option<HostId>, address: Address) -> Boxed<Option<EngineStatus>>;

    /// Gives an order to the engine at an address.
    fn order(&self, host: HostId, address: Address, order: Order) -> Boxed<Option<OrderReply>>;
}
