//! A listening socket, from which the HTTP library's accept loop takes connections.
//!
//! The HTTP library calls accept again at once after an error. While the process has no free
//! descriptors, each call fails, so the loop would take a whole core; here it waits between calls.
//! A loop that ends without being shut down would leave a daemon that reports to be ready and accepts
//! nothing, so it ends the process.

use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;

use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use trillium::Info;
use trillium_server_common::Server;
use trillium_smol::{SmolRuntime, SmolTransport, SmolUdpSocket};

use super::fatal::exit_after;

/// Time between two calls of accept while they fail for lack of descriptors or memory.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A listening socket whose accept outlasts errors.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    address: Option<SocketAddr>,
    /// Whether the last call of accept failed, which has been logged.
    is_failing: bool,
    /// Whether the accept loop was shut down.
    is_shut_down: bool,
}

impl Listener {
    /// Takes connections from a bound socket.
    pub fn new(socket: TcpListener) -> Self {
        Self {
            address: socket.local_addr().ok(),
            socket,
            is_failing: false,
            is_shut_down: false,
        }
    }

    fn address(&self) -> String {
        let address = self.address.map(|address| address.to_string());
        address.unwrap_or_else(|| "an unknown address".to_owned())
    }

    fn record_failure(&mut self, error: &Error) {
        if !self.is_failing {
            let address = self.address();
            log::warn!(target: "shalehinge", "http: can't accept connections on {address}: {error}");
        }
        self.is_failing = true;
    }

    fn record_success(&mut self) {
        if self.is_failing {
            let address = self.address();
            log::info!(target: "shalehinge", "http: accepts connections on {address} again");
        }
        self.is_failing = false;
    }
}

/// Whether an error of accept concerns one incoming connection, so that the next one can be accepted
/// at once.
fn is_of_connection(error: &Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
    )
}

impl Server for Listener {
    type Runtime = SmolRuntime;
    type Transport = SmolTransport<TcpStream>;
    type UdpTransport = SmolUdpSocket;

    async fn accept(&mut self) -> Result<Self::Transport> {
        loop {
            match self.socket.accept().await {
                Ok((stream, _)) => {
                    self.record_success();
                    return Ok(stream.into());
                }
                Err(error) if is_of_connection(&error) => {}
                Err(error) => {
                    self.record_failure(&error);
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
    }

    fn init(&self, info: &mut Info) {
        if let Some(address) = self.address {
            info.insert_shared_state(address);
        }
    }

    async fn clean_up(mut self) {
        self.is_shut_down = true;
    }

    fn runtime() -> Self::Runtime {
        SmolRuntime::default()
    }

    fn from_tcp(_: StdListener) -> Self {
        unreachable!("listeners are bound before the server is configured")
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if self.is_shut_down {
            return;
        }
        let event = format!("http: the accept loop of {} ended", self.address());
        exit_after(&event, None, || ());
    }
}
