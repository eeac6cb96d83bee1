//! Checks whether anything listens at an upstream's address.

use std::future::{Future, pending};
use std::io::ErrorKind;
use std::time::Duration;

use futures_lite::future::or;
use smol::Timer;
use smol::net::TcpStream;

use crate::core::engine::{EngineStatus, NoStatus};
use crate::core::types::Address;
use crate::utils::time::with_timeout;

/// Time within which a host must accept or refuse a connection. This is about a hundred round trips;
/// a host that stays silent for longer is partitioned or down.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether the host is up and refuses connections at this address, so that the upstream's process
/// has ended. Returns `false` if the connection is accepted or the host does not respond.
pub async fn refuses_connections(address: Address) -> bool {
    let connection = with_timeout(REPLY_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connection, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Whether a connection to this address can be established.
pub async fn accepts_connections(address: Address) -> bool {
    let connection = with_timeout(REPLY_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connection, Some(Ok(_)))
}

/// Completes a status request. If it is not answered within a quarter of `timeout`, which healthy
/// engines are far below, checks in parallel whether the address refuses connections.
pub async fn status_or_cause(
    request: impl Future<Output = Option<EngineStatus>>,
    address: Address,
    timeout: Duration,
) -> Result<EngineStatus, NoStatus> {
    let answered = async {
        match request.await {
            Some(status) => Ok(status),
            None => pending().await,
        }
    };
    let refused = async {
        Timer::after(timeout / 4).await;
        if !refuses_connections(address).await {
            pending::<()>().await;
        }
        Err(NoStatus::Refused)
    };
    let unanswered = async {
        Timer::after(timeout).await;
        Err(NoStatus::Unanswered)
    };
    or(answered, or(refused, unanswered)).await
}
