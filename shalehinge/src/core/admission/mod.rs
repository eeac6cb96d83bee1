//! The order in which upstreams serve requests while they are overloaded.
//!
//! Nothing is refused here: a late answer is still of use to its caller. The new requests are spread
//! over bands that the upstreams serve in order, so that as many are on time as the capacity serves.
//!
//! - `urgency`: the urgency with which a request is sent
//! - `shortage`: whether a target is overloaded, and the order of its new requests
//! - `latency_sample`: whether the first output of a request was on time
//! - `counted_event`: what a daemon counts of it

pub mod counted_event;
pub mod latency_sample;
pub mod shortage;
pub mod urgency;
