//! The order in which upstreams serve requests while they are overloaded.
//!
//! Nothing is refused here: a late answer is still of use to its caller. Requests that are expected
//! to be late are served last, so that the others are on time.
//!
//! - `urgency`: the urgency with which a request is sent
//! - `shortage`: which fraction of the new requests is deprioritized
//! - `latency_sample`: whether the first output of a request was on time
//! - `counted_event`: what a daemon counts of it

pub mod counted_event;
pub mod latency_sample;
pub mod shortage;
pub mod urgency;
