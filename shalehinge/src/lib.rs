//! Serving of large models whose replicas span several hosts.
//!
//! - [`core`]: all decisions, without input or output
//! - [`settings`]: what a daemon is told in its settings file

pub mod core;
pub mod settings;
