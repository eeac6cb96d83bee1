//! Handles pulls and notices from peers.

use std::sync::Arc;
use std::time::Duration;

use trillium::{Conn, Handler, KnownHeaderName, Status};
use trillium_router::Router;

use super::forward_message::ForwardMessage;
use super::forward_server::ForwardServer;
use super::{DecodeError, FORWARD_PATH, NOTICE_PATH, PULL_PATH, decode_message};
use crate::core::bounds::CheckBounds;
use crate::core::event::{Event, Notice, Pull};
use crate::process::Driver;
use crate::upstream::relay::RelayHeaderNames;
use crate::utils::body::{BodyError, BodyLimits, read_body, read_body_and_reservation};
use crate::utils::memory_budget::{MemoryBudget, hold};

/// Maximum size of a peer's message, in bytes. This leaves room for an object of 1 MB from each
/// failure domain.
const MAX_MESSAGE_BYTES: u64 = 16 * 1024 * 1024;

/// Handler for the listener for peers. Messages must arrive within `body_timeout`. `names` are the
/// names of headers of relayed requests, if this daemon relays requests.
pub fn handler(
    driver: Arc<Driver>,
    body_timeout: Duration,
    names: Option<RelayHeaderNames>,
) -> impl Handler {
    let limits = BodyLimits {
        max_bytes: MAX_MESSAGE_BYTES,
        timeout: body_timeout,
    };
    let pull_driver = driver.clone();
    let forwards = ForwardServer::new(driver.clone(), names);
    Router::new()
        .post(PULL_PATH, move |conn: Conn| {
            let driver = pull_driver.clone();
            async move { handle_pull(driver, limits, conn).await }
        })
        .post(FORWARD_PATH, move |conn: Conn| {
            let forwards = forwards.clone();
            async move { handle_forward(forwards, limits, conn).await }
        })
        .post(NOTICE_PATH, move |conn: Conn| {
            let driver = driver.clone();
            async move { handle_notice(driver, limits, conn).await }
        })
}

async fn handle_pull(driver: Arc<Driver>, limits: BodyLimits, mut conn: Conn) -> Conn {
    let pull = match read_message::<Pull>(&mut conn, limits).await {
        Ok(pull) => pull,
        Err(error) => return refuse(conn, &error),
    };
    let Some(reply) = driver.answer_pull(pull).await else {
        return conn.with_status(Status::ServiceUnavailable).halt();
    };
    match rmp_serde::to_vec(&reply) {
        Ok(body) => conn.ok(body),
        Err(_) => conn.with_status(Status::InternalServerError).halt(),
    }
}

async fn handle_forward(forwards: ForwardServer, limits: BodyLimits, mut conn: Conn) -> Conn {
    let read = read_body_and_reservation(&mut conn, limits, forwards.memory()).await;
    let (bytes, reservation) = match read {
        Ok(read) => read,
        Err(error) => return refuse(conn, &error.into()),
    };
    let decoded = decode_message::<ForwardMessage>(&bytes);
    drop(bytes);
    match decoded {
        // The body of the request is a copy, which takes over the memory of what was read.
        Ok(message) => {
            let message = message.with_body(|body| hold(body, reservation));
            forwards.handle(conn, message)
        }
        Err(error) => refuse(conn, &error.into()),
    }
}

async fn handle_notice(driver: Arc<Driver>, limits: BodyLimits, mut conn: Conn) -> Conn {
    let notice = match read_message::<Notice>(&mut conn, limits).await {
        Ok(notice) => notice,
        Err(error) => return refuse(conn, &error),
    };
    driver.dispatch(Event::NoticeReceived(notice));
    conn.with_status(Status::NoContent).halt()
}

/// Why a peer's message can't be read.
#[derive(Debug, thiserror::Error)]
enum MessageError {
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error(transparent)]
    Content(#[from] DecodeError),
}

async fn read_message<T: serde::de::DeserializeOwned + CheckBounds>(
    conn: &mut Conn,
    limits: BodyLimits,
) -> Result<T, MessageError> {
    // Messages about the fleet are not held up by requests.
    let bytes = read_body(conn, limits, &MemoryBudget::unlimited()).await?;
    Ok(decode_message(&bytes)?)
}

fn refuse(conn: Conn, error: &MessageError) -> Conn {
    log::debug!("peers: refused a message: {error}");
    match error {
        MessageError::Body(error) => conn
            .with_status(error.status())
            .with_response_header(KnownHeaderName::Connection, "close")
            .halt(),
        MessageError::Content(_) => conn.with_status(Status::BadRequest).halt(),
    }
}
