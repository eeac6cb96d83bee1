//! Stand-in for a plain service: echoes each request and counts its calls by idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use argh::FromArgs;
use serde::{Deserialize, Serialize};
use shalehinge::gateway::request_input::IDEMPOTENCY_KEY_HEADER;
use shalehinge::upstream::signal::LEAVING_HEADER;
use smol::Timer;
use trillium::{Conn, Handler, KnownHeaderName, Status};
use trillium_router::Router;
use trillium_server_common::ServerHandle;

use crate::server::{print_listen_address, read_json, serve, write_json};

/// run a stand-in for a plain service
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "service")]
pub struct ServiceArguments {
    /// address to listen on; with port 0, the operating system chooses the port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,

    /// delay before each response, in milliseconds
    #[argh(option, default = "5")]
    pub delay_ms: u64,
}

/// Starts a service in this process and returns its bound address and its handle.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn spawn(arguments: &ServiceArguments) -> miette::Result<(SocketAddr, ServerHandle)> {
    let delay = Duration::from_millis(arguments.delay_ms);
    serve(arguments.listen, handler(delay))
}

/// Runs the service until the process is terminated.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn run(arguments: &ServiceArguments) -> miette::Result<()> {
    let (address, handle) = spawn(arguments)?;
    print_listen_address("service", address);
    handle.block();
    Ok(())
}

/// Fault or upstream signal that the service currently shows; set with `PUT /admin/fault`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFault {
    /// Answers normally.
    #[default]
    None,
    /// Rejects every request with status 503 and this `Retry-After` value.
    AsksForCooldown(String),
    /// Answers normally, with a header that announces that it is leaving.
    SaysLeaving,
}

/// Key under which `GET /admin/calls` counts the calls rejected with a cooldown.
pub const REJECTED_CALLS: &str = "turned away";

#[derive(Debug, Default)]
struct State {
    /// Number of calls by idempotency key.
    calls: BTreeMap<String, u64>,
    fault: ServiceFault,
}

type SharedState = Arc<Mutex<State>>;

fn lock(state: &SharedState) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handler(delay: Duration) -> impl Handler {
    let state = SharedState::default();
    let (calls_state, fault_state) = (state.clone(), state.clone());
    let router = Router::new()
        .get("/admin/calls", move |conn: Conn| {
            let calls = lock(&calls_state).calls.clone();
            async move { write_json(conn, Status::Ok, &calls) }
        })
        .put("/admin/fault", move |conn: Conn| {
            let state = fault_state.clone();
            async move { set_fault(conn, state).await }
        });
    let echo = move |conn: Conn| {
        let state = state.clone();
        async move { echo_call(conn, state, delay).await }
    };
    (router, echo)
}

async fn set_fault(mut conn: Conn, state: SharedState) -> Conn {
    let Some(fault) = read_json::<ServiceFault>(&mut conn).await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    lock(&state).fault = fault;
    conn.with_status(Status::NoContent).halt()
}

async fn echo_call(mut conn: Conn, state: SharedState, delay: Duration) -> Conn {
    if conn.status().is_some() {
        return conn;
    }
    let fault = lock(&state).fault.clone();
    if let ServiceFault::AsksForCooldown(retry_after) = fault {
        *lock(&state).calls.entry(REJECTED_CALLS.into()).or_default() += 1;
        return conn
            .with_status(Status::ServiceUnavailable)
            .with_response_header(KnownHeaderName::RetryAfter, retry_after)
            .halt();
    }
    if fault == ServiceFault::SaysLeaving {
        conn = conn.with_response_header(LEAVING_HEADER, "1");
    }
    let key = conn.request_headers().get_str(IDEMPOTENCY_KEY_HEADER);
    let key = key.unwrap_or("without a key").to_owned();
    let Ok(body) = conn.request_body().read_bytes().await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    *lock(&state).calls.entry(key).or_default() += 1;
    Timer::after(delay).await;
    let method = conn.method().as_str();
    let path = conn.path_and_query().to_owned();
    let mut echo = format!("{method} {path}\n").into_bytes();
    echo.extend(body);
    conn.ok(echo)
}
