//! What callers see: HTTP/1.1 in the form that model users know.
//!
//! - `handler`: which path goes where
//! - `access`: which customer a key belongs to
//! - `intake`: bodies and headers within their bounds
//! - `chat`: `POST /v1/chat/completions`
//! - `models`: `GET /v1/models`
//! - `service`: plain services
//! - `relay`: requests that are relayed as they are
//! - `answer`: answers, streams and errors

pub mod access;
pub mod answer;
pub mod chat;
pub mod handler;
pub mod intake;
pub mod models;
pub mod relay;
pub mod service;

use std::sync::Arc;

use crate::process::Driver;
use crate::settings::daemon::LimitSettings;

/// What every part of the gateway needs.
#[derive(Clone)]
pub struct GatewayContext {
    /// The core and its clients.
    pub driver: Arc<Driver>,
    /// Bounds for callers.
    pub limits: LimitSettings,
}
