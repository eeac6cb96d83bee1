//! Stand-ins of what shalehinge meets outside, with a load and experiment tool.
//!
//! - `platform`: object API and host list, with faults
//! - `engine`: model engines of several hosts, and the model of one that the
//!   experiments step without sockets
//! - `service`: a plain service that counts its calls
//! - `load`: open-loop load with latencies
//! - `experiment`: policies against baselines on the same load
//! - `server`: what the stand-in servers share

pub mod engine;
pub mod experiment;
pub mod load;
pub mod platform;
pub mod server;
pub mod service;
