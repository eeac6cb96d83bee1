//! The process round the decisions: sockets, timers and tasks.
//!
//! - `driver`: gives events to the core and carries out its actions
//! - `callers`: the requests that wait for parts of their answers
//! - `run`: starts everything and stops it in order

pub mod callers;
pub mod driver;
pub mod run;

pub use driver::Driver;
