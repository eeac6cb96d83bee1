//! Handlers of the listeners for callers and for readiness checks.

use trillium::{Conn, Handler, Status};
use trillium_router::Router;

use super::{GatewayContext, chat, models, relay, service};
use crate::upstream::relay::RelayHeaderNames;

/// Handler for callers of the project's own API: chat completions, the list of models, health
/// and readiness checks, and plain services on all other paths.
pub fn handler(context: GatewayContext) -> impl Handler {
    let chat_context = context.clone();
    let models_context = context.clone();
    let readiness_context = context.clone();
    let router = Router::new()
        .post(chat::CHAT_COMPLETIONS_PATH, move |conn: Conn| {
            let context = chat_context.clone();
            async move { chat::handle(context, conn).await }
        })
        .get("/v1/models", move |conn: Conn| {
            let context = models_context.clone();
            async move { models::handle(context, conn).await }
        })
        .get("/healthz", |conn: Conn| async move {
            // A liveness check: the process runs and responds.
            conn.ok("ok\n")
        })
        .get("/readyz", move |conn: Conn| {
            let context = readiness_context.clone();
            async move { readiness(&context, conn) }
        });
    let service_handler = move |conn: Conn| {
        let context = context.clone();
        async move {
            if conn.status().is_some() {
                return conn;
            }
            service::handle(context, conn).await
        }
    };
    (router, service_handler)
}

/// Handler for callers whose requests are relayed by the routes of the configuration.
pub fn relay_handler(context: GatewayContext, names: RelayHeaderNames) -> impl Handler {
    move |conn: Conn| {
        let context = context.clone();
        async move { relay::handle(context, names, conn).await }
    }
}

/// Handler for readiness checks of the load balancer on their own listener.
pub fn readiness_handler(context: GatewayContext) -> impl Handler {
    move |conn: Conn| {
        let context = context.clone();
        async move { readiness(&context, conn) }
    }
}

/// Responds with 200 if the load balancer should send new callers here, 503 otherwise. Responds
/// also while the core is blocked.
fn readiness(context: &GatewayContext, conn: Conn) -> Conn {
    if context.driver.is_ready() {
        conn.ok("ready\n")
    } else {
        let body = "not ready: no configuration yet, stopping, or the core is blocked\n";
        conn.with_status(Status::ServiceUnavailable)
            .with_body(body)
            .halt()
    }
}
