//! Serving of large models whose replicas span several hosts.
//!
//! - [`core`]: all decisions, without input or output
//! - [`settings`]: what a daemon is told in its settings file
//! - [`process`]: sockets, timers and tasks round the core
//! - [`gateway`]: what callers see
//! - [`operator_api`]: what operators see
//! - [`cli`]: the operators' client
//! - [`object_api`], [`upstream`], [`peer`]: clients and servers to the others
//! - [`telemetry`]: logs and metrics
//! - [`utils`]: small helpers

pub mod cli;
pub mod core;
pub mod gateway;
pub mod object_api;
pub mod operator_api;
pub mod peer;
pub mod process;
pub mod settings;
pub mod telemetry;
pub mod upstream;
pub mod utils;
