//! Stand-in of a plain service: answers with what it was sent, and counts its
//! calls by key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use argh::FromArgs;
use shalehinge::gateway::intake::KEY_HEADER;
use smol::Timer;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;
use trillium_server_common::ServerHandle;

use crate::server::{announce, serve, write_json};

/// run a stand-in of a plain service
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "service")]
pub struct ServiceArguments {
    /// address to listen on; port 0 lets the system choose
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,

    /// milliseconds before each answer
    #[argh(option, default = "5")]
    pub delay_ms: u64,
}

/// Starts a service in this process.
pub fn spawn(arguments: &ServiceArguments) -> miette::Result<(SocketAddr, ServerHandle)> {
    let delay = Duration::from_millis(arguments.delay_ms);
    serve(arguments.listen, handler(delay))
}

/// Runs until the process is ended.
pub fn run(arguments: &ServiceArguments) -> miette::Result<()> {
    let (address, handle) = spawn(arguments)?;
    announce("service", address);
    handle.block();
    Ok(())
}

type Calls = Arc<Mutex<BTreeMap<String, u64>>>;

fn handler(delay: Duration) -> impl Handler {
    let calls = Calls::default();
    let counted = calls.clone();
    let router = Router::new().get("/admin/calls", move |conn: Conn| {
        let calls = calls.clone();
        async move {
            let calls = calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
            write_json(conn, Status::Ok, &calls)
        }
    });
    let echo = move |conn: Conn| {
        let calls = counted.clone();
        async move { answer(conn, calls, delay).await }
    };
    (router, echo)
}

async fn answer(mut conn: Conn, calls: Calls, delay: Duration) -> Conn {
    if conn.status().is_some() {
        return conn;
    }
    let key = conn.request_headers().get_str(KEY_HEADER);
    let key = key.unwrap_or("without a key").to_owned();
    let Ok(body) = conn.request_body().read_bytes().await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    *calls
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .entry(key)
        .or_default() += 1;
    Timer::after(delay).await;
    let method = conn.method().as_str();
    let path = conn.path_and_query().to_owned();
    let mut echo = format!("{method} {path}\n").into_bytes();
    echo.extend(body);
    conn.ok(echo)
}
