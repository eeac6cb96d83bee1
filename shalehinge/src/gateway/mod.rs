//! The callers' API: HTTP/1.1 in the form that clients of language models commonly use.
//!
//! - `handler`: routing of paths to handlers
//! - `auth`: authentication of callers by API key
//! - `request_input`: reading and validation of request headers and bodies
//! - `chat`: `POST /v1/chat/completions`
//! - `models`: `GET /v1/models`
//! - `service`: calls of plain services
//! - `relay`: requests that are relayed unchanged
//! - `response`: error responses, whole responses and streams

pub mod auth;
pub mod chat;
pub mod handler;
pub mod models;
pub mod relay;
pub mod request_input;
pub mod response;
pub mod service;

use std::sync::Arc;

use crate::process::Driver;
use crate::settings::daemon::LimitSettings;

/// Shared state of all request handlers of the gateway.
#[derive(Clone)]
pub struct GatewayContext {
    /// The driver that submits requests to the core.
    pub driver: Arc<Driver>,
    /// Size, time and connection limits for callers.
    pub limits: LimitSettings,
}
