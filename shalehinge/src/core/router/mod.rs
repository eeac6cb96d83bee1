//! Routing: which request goes where and when, and what became of it.
//!
//! - `request`: requests, attempts and outcomes as values
//! - `queue`: fair queue between customers
//! - `wait_queue`: requests that can still be on time, and late ones
//! - `estimate`: drain rate, and refusal of what would be late
//! - `upstream`: one upstream: evidence, room, speed
//! - `topology`: which upstreams this daemon considers
//! - `prefix`: which replica holds the start of a prompt
//! - `capacity`: whether upstreams are missing
//! - `availability`: whether and when an upstream may get a request
//! - `cooldown`, `leaving`, `signals`: what upstreams state about themselves
//! - `choose`: choice of an upstream for a request
//! - `outlier`: ejection of upstreams that fail or are slow
//! - `failing`: requests that fail wherever they run
//! - `named`, `limits`: upstreams in need, which name how many requests they take
//! - `refusal`: requests that are refused before they are sent
//! - `retry_budget`: how many retries are allowed
//! - `keys`: keys of relayed requests, and how long they count
//! - `quarantine`: requests that crash the upstreams that run them
//! - `suspects`: what the router learns of such requests, and tells of them
//! - `trying`: trials of these
//! - `reports`: what upstreams report
//! - `expiry`: deadlines that pass, and room that is there again
//! - `stalled`: replicas that stand still
//! - `target`: one model or service: its upstreams and its waiting line
//! - `dispatch`: the state machine that joins them

pub mod availability;
pub mod capacity;
pub mod choose;
pub mod cooldown;
pub mod dispatch;
pub mod estimate;
mod expiry;
pub mod failing;
mod keys;
pub mod leaving;
mod limits;
pub mod named;
pub mod outlier;
pub mod prefix;
pub mod quarantine;
pub mod queue;
mod refusal;
mod reports;
pub mod request;
pub mod retry_budget;
mod signals;
mod stalled;
mod suspects;
mod target;
pub mod topology;
mod trying;
pub mod upstream;
pub mod wait_queue;

pub use dispatch::{Router, RouterAction};
