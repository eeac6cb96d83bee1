//! Calls of plain services: any method, with the body forwarded without being parsed.

use std::time::Instant;

use trillium::Conn;

use super::answer::{ErrorAnswer, serve};
use super::{GatewayContext, access, intake};
use crate::core::fingerprint::Fingerprint;
use crate::core::objects::ServiceConfig;
use crate::core::router::request::{NotRunReason, Outcome, RequestMeta, Target};
use crate::core::types::ServiceName;
use crate::upstream::attempt::{OutgoingRequest, ResponseMode};

/// Request headers that are not forwarded to the service.
const NOT_PASSED: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Handles a call of the plain service that the path belongs to; responds with 404 if there is
/// none.
pub async fn handle(context: GatewayContext, mut conn: Conn) -> Conn {
    let came_at = Instant::now();
    let prepared = prepare(&context, &mut conn).await;
    serve(context, conn, came_at, prepared).await
}

async fn prepare(
    context: &GatewayContext,
    conn: &mut Conn,
) -> Result<(RequestMeta, OutgoingRequest), ErrorAnswer> {
    let customer = access::customer(context, conn)?;
    let (name, service) = find(context, conn.path()).ok_or_else(unknown)?;
    let mut wishes = intake::wishes(context, conn, &customer)?;
    if is_not_repeatable(&service, conn) {
        wishes.repeatable = false;
    }
    let body = intake::body(context, conn).await?;
    let path = conn.path_and_query();
    let meta = RequestMeta {
        fingerprint: Fingerprint::of(&customer, conn.method().as_str(), path, &body),
        customer,
        target: Target::Service(name),
        prompt_tokens: 0,
        max_output_tokens: 0,
        deadline: context.driver.now() + wishes.time,
        first_output_within: None,
        priority: wishes.priority,
        key: wishes.key,
        repeatable: wishes.repeatable,
        prefix: Vec::new(),
        max_attempts: None,
        is_resumable: false,
        credential: None,
    };
    let outgoing = OutgoingRequest {
        method: conn.method(),
        path: conn.path_and_query().to_owned(),
        headers: passed_headers(conn),
        body: body.into(),
        response_mode: ResponseMode::Service,
        relay: None,
    };
    Ok((meta, outgoing))
}

fn unknown() -> ErrorAnswer {
    let outcome = Outcome::NotRun {
        reason: NotRunReason::UnknownTarget,
        retry_after: std::time::Duration::from_secs(60),
    };
    ErrorAnswer::of(outcome)
        .unwrap_or_else(|| ErrorAnswer::bad_request("unknown_path", "there is no such path"))
}

/// Returns the service with the longest path prefix that matches the path.
fn find(context: &GatewayContext, path: &str) -> Option<(ServiceName, ServiceConfig)> {
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
fn is_not_repeatable(service: &ServiceConfig, conn: &Conn) -> bool {
    service.not_repeatable.iter().any(|pattern| {
        pattern.method == conn.method().as_str() && conn.path().starts_with(&pattern.path_prefix)
    })
}

/// Request headers that are forwarded to the service.
fn passed_headers(conn: &Conn) -> Vec<(String, String)> {
    conn.request_headers()
        .iter()
        .filter_map(|(name, values)| {
            let name = name.to_string().to_ascii_lowercase();
            let value = values.as_str()?.to_owned();
            (!NOT_PASSED.contains(&name.as_str())).then_some((name, value))
        })
        .collect()
}
