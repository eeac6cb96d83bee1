//! Calls of plain services: any method, with the body forwarded without being parsed.

use std::time::Instant;

use trillium::Conn;

use super::response::{ErrorResponse, submit_and_respond};
use super::{GatewayContext, auth, request_input};
use crate::core::fingerprint::Fingerprint;
use crate::core::objects::ServiceConfig;
use crate::core::router::request::{NotRunReason, Outcome, RequestMeta, Target};
use crate::core::types::ServiceName;
use crate::upstream::attempt::{OWN_HEADER_PREFIX, OutgoingRequest, ResponseMode};
use crate::utils::headers::forwarded_headers;
use crate::utils::request_target::RequestTarget;

/// Request headers that are meant for the daemon and not forwarded to the service.
const CONSUMED_HEADERS: [&str; 2] = ["authorization", "host"];

/// Handles a call of the plain service that the path belongs to; responds with 404 if there is
/// none.
pub async fn handle(context: GatewayContext, mut conn: Conn) -> Conn {
    let received_at = Instant::now();
    let prepared = prepare(&context, &mut conn).await;
    submit_and_respond(context, conn, received_at, prepared).await
}

async fn prepare(
    context: &GatewayContext,
    conn: &mut Conn,
) -> Result<(RequestMeta, OutgoingRequest), ErrorResponse> {
    let customer = auth::customer(context, conn)?;
    let target = RequestTarget::of(conn).map_err(request_input::target_error_response)?;
    let (name, service) = find_service(context, target.path()).ok_or_else(unknown_path_error)?;
    let mut options = request_input::options(context, conn, &customer)?;
    if is_not_repeatable(&service, conn.method().as_str(), target.path()) {
        options.repeatable = false;
    }
    let body = request_input::body(context, conn).await?;
    let method = conn.method().as_str();
    let meta = RequestMeta {
        fingerprint: Fingerprint::of(&customer, method, target.as_str(), &body),
        customer,
        target: Target::Service(name),
        prompt_tokens: 0,
        max_output_tokens: 0,
        deadline: context.driver.now() + options.time_limit,
        first_output_within: None,
        priority: options.priority,
        key: options.key,
        repeatable: options.repeatable,
        prefix: Vec::new(),
        prompt_parts: Vec::new(),
        max_attempts: None,
        is_resumable: false,
        credential: None,
    };
    let outgoing = OutgoingRequest {
        method: conn.method(),
        target,
        headers: forwarded_headers(conn.request_headers(), is_consumed),
        body,
        response_mode: ResponseMode::Service,
        relay: None,
    };
    Ok((meta, outgoing))
}

fn unknown_path_error() -> ErrorResponse {
    let outcome = Outcome::NotRun {
        reason: NotRunReason::UnknownTarget,
        retry_after: std::time::Duration::from_secs(60),
    };
    ErrorResponse::from_outcome(outcome)
        .unwrap_or_else(|| ErrorResponse::bad_request("unknown_path", "there is no such path"))
}

/// Returns the service with the longest path prefix that matches the path.
fn find_service(context: &GatewayContext, path: &str) -> Option<(ServiceName, ServiceConfig)> {
    context.driver.read(|_, core| {
        let services = &core.state().fleet()?.value.services;
        services
            .iter()
            .filter(|(_, service)| path.starts_with(&service.path_prefix))
            .max_by_key(|(_, service)| service.path_prefix.len())
            .map(|(name, service)| (name.clone(), service.clone()))
    })
}

/// Whether the service's configuration lists the call as one that must not be repeated.
fn is_not_repeatable(service: &ServiceConfig, method: &str, path: &str) -> bool {
    let mut patterns = service.not_repeatable.iter();
    patterns.any(|pattern| pattern.method == method && path.starts_with(&pattern.path_prefix))
}

fn is_consumed(name: &str) -> bool {
    CONSUMED_HEADERS.contains(&name) || name.starts_with(OWN_HEADER_PREFIX)
}
