//! Stand-in of the model engines.
//!
//! - `model`: batch, prefill, decode, KV memory and prefix cache of a replica
//! - `state`: groups, orders and fences of one host
//! - `server`: the engine's API over HTTP
//! - `faults`: wrong answers on request

pub mod faults;
pub mod model;
pub mod server;
pub mod state;

pub use server::{EngineArguments, run};
