//! Settings, one file a part, with their defaults.

pub mod claims;
pub mod control;
pub mod core;
pub mod router;
