//! The process round the decisions: sockets, timers and tasks.
//!
//! - `driver`: gives events to the core and carries out its actions
//! - `callers`: the requests that wait for parts of their answers
//! - `peer_traffic`: how questions to peers fare
//! - `run`: starts everything and stops it in order

pub mod callers;
pub mod driver;
pub mod peer_traffic;
pub mod run;

pub use driver::Driver;
