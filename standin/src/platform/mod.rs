//! Stand-in for the platform: object API with versions, conditional updates and watches, and
//! the host list. Faults can be injected.
//!
//! - `store`: object store
//! - `handler`: HTTP API

pub mod handler;
pub mod store;

use std::net::SocketAddr;

use argh::FromArgs;
use trillium_server_common::ServerHandle;

use crate::server::{print_listen_address, serve};

/// run a stand-in for the platform
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArguments {
    /// address to listen on; with port 0, the operating system chooses the port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,
}

/// Starts the platform in this process and returns its bound address and its handle.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn spawn(listen: SocketAddr) -> miette::Result<(SocketAddr, ServerHandle)> {
    serve(listen, handler::handler())
}

/// Runs the platform until the process is terminated.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn run(arguments: &PlatformArguments) -> miette::Result<()> {
    let (address, handle) = spawn(arguments.listen)?;
    print_listen_address("platform", address);
    handle.block();
    Ok(())
}
