//! Policies against baselines, on the same load and seeds.
//!
//! - `workload`: requests of customers at random times
//! - `fleet`: routers before engine models, in simulated time
//! - `routing`: the table of routing policies
//! - `day`: a day of host failures for one failure domain
//! - `placement`: the table of placement policies
//! - `statistics`: medians and spreads, and runs over seeds in parallel

pub mod day;
pub mod fleet;
pub mod placement;
pub mod routing;
pub mod statistics;
pub mod workload;
