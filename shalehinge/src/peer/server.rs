//! Handles pulls and notices from peers.

use std::sync::Arc;

use trillium::{Conn, Handler, Status};
use trillium_router::Router;

use super::{NOTICE_PATH, PULL_PATH};
use crate::core::event::{Event, Notice, Pull};
use crate::process::Driver;

/// Maximum size of a peer's message, in bytes. This leaves room for an object of 1 MB from each
/// failure domain.
const MAX_MESSAGE_BYTES: u64 = 16 * 1024 * 1024;

/// Handler for the listener for peers.
pub fn handler(driver: Arc<Driver>) -> impl Handler {
    let pull_driver = driver.clone();
    Router::new()
        .post(PULL_PATH, move |conn: Conn| {
            let driver = pull_driver.clone();
            async move { handle_pull(driver, conn).await }
        })
        .post(NOTICE_PATH, move |conn: Conn| {
            let driver = driver.clone();
            async move { handle_notice(driver, conn).await }
        })
}

async fn handle_pull(driver: Arc<Driver>, mut conn: Conn) -> Conn {
    let Some(pull) = read_message::<Pull>(&mut conn).await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let Some(reply) = driver.answer_pull(pull).await else {
        return conn.with_status(Status::ServiceUnavailable).halt();
    };
    match rmp_serde::to_vec(&reply) {
        Ok(body) => conn.ok(body),
        Err(_) => conn.with_status(Status::InternalServerError).halt(),
    }
}

async fn handle_notice(driver: Arc<Driver>, mut conn: Conn) -> Conn {
    let Some(notice) = read_message::<Notice>(&mut conn).await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    driver.dispatch(Event::NoticeReceived(notice));
    conn.with_status(Status::NoContent).halt()
}

/// Reads and decodes a message; `None` if it is invalid or too large.
async fn read_message<T: serde::de::DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    let body = conn.request_body().with_max_len(MAX_MESSAGE_BYTES);
    let bytes = body.read_bytes().await.ok()?;
    rmp_serde::from_slice(&bytes).ok()
}
