//! Stand-in of the platform: object API with versions, conditional updates and
//! watches, and the host list. Faults can be set.
//!
//! - `store`: the objects
//! - `handler`: the API over HTTP

pub mod handler;
pub mod store;

use std::net::SocketAddr;

use argh::FromArgs;
use trillium_server_common::ServerHandle;

use crate::server::{announce, serve};

/// run a stand-in of the platform
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArguments {
    /// address to listen on; port 0 lets the system choose
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,
}

/// Starts the platform in this process.
pub fn spawn(listen: SocketAddr) -> miette::Result<(SocketAddr, ServerHandle)> {
    serve(listen, handler::handler())
}

/// Runs until the process is ended.
pub fn run(arguments: &PlatformArguments) -> miette::Result<()> {
    let (address, handle) = spawn(arguments.listen)?;
    announce("platform", address);
    handle.block();
    Ok(())
}
