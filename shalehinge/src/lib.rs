//! Routes inference requests to model replicas that span several hosts, and places those
//! replicas on hosts.
//!
//! - [`core`]: the decision logic, free of I/O
//! - [`settings`]: the daemon's settings file: parsing, validation and defaults
//! - [`process`]: sockets, timers and tasks that drive the core
//! - [`gateway`]: the HTTP API for callers
//! - [`operator_api`]: the HTTP API for operators
//! - [`cli`]: the operators' command-line client
//! - [`object_api`], [`upstream`], [`peer`]: clients and servers for the
//!   platform, for engines and services, and for other daemons
//! - [`telemetry`]: logs and metrics
//! - [`utils`]: shared helpers

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
