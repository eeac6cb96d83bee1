//! Stand-ins for the external systems that shalehinge talks to, with a load generator and
//! experiments.
//!
//! - `platform`: object API and host list, with injectable faults
//! - `engine`: model engines of one or more hosts, and the engine model that the experiments
//!   run in simulated time without sockets
//! - `service`: a plain service that counts its calls
//! - `load`: open-loop load generator that measures latencies
//! - `experiment`: comparison of routing and placement policies with baselines under the same
//!   load
//! - `server`: HTTP helpers shared by the stand-in servers

pub mod engine;
pub mod experiment;
pub mod load;
pub mod platform;
pub mod server;
pub mod service;
