//! Logs and metrics.
//!
//! - `logs`: log4rs, one line a decision, a fixed prefix a part
//! - `metrics`: cadence to a statsd sink, and a page to read

pub mod logs;
pub mod metrics;
