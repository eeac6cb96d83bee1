//! Experiments that compare policies with baselines under the same load and seeds.
//!
//! - `workload`: random requests of several customers
//! - `fleet`: simulation of routers and engines
//! - `routing`: comparison table of routing policies
//! - `day`: simulation of a day of host failures in one failure domain
//! - `placement`: comparison table of placement policies
//! - `statistics`: quantiles, and parallel runs over seeds

pub mod day;
pub mod fleet;
pub mod placement;
pub mod routing;
pub mod statistics;
pub mod workload;
