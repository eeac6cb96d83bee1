//! Logs and metrics.
//!
//! - `logs`: logging through log4rs, with a fixed prefix per component
//! - `metrics`: counters and timings, sent to statsd and rendered as a text page

pub mod logs;
pub mod metrics;
