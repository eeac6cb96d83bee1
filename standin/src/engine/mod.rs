//! Stand-in for the model engines.
//!
//! - `model`: continuous batch, prefill, decode, KV cache and prefix cache of a replica
//! - `state`: group membership, orders and fencing of one host
//! - `server`: the engine's HTTP API
//! - `faults`: injectable faults

pub mod faults;
pub mod model;
pub mod server;
pub mod state;

pub use server::{EngineArguments, run};
