//! The era of the store that an answer tells in a header.

use trillium_client::Conn;
use trillium_http::Headers;

use crate::core::platform::NoAnswer;
use crate::core::types::StoreEra;
use crate::utils::http::{HttpResponse, ResponseTimeouts, exchange_with_headers};

/// Sends a call and reads its whole answer and the era that this header tells.
///
/// # Errors
///
/// No whole answer came within the limits, or its era can't be read.
pub async fn exchange_in_era(
    conn: Conn,
    limits: ResponseTimeouts,
    header: &'static str,
) -> Result<(StoreEra, HttpResponse), NoAnswer> {
    let answer = exchange_with_headers(conn, limits).await.ok_or(NoAnswer)?;
    Ok((reported_era(&answer.headers, header)?, answer))
}

/// Reads the era. An answer without the header is of a store that reports none.
///
/// # Errors
///
/// The header stands there more than once or is no decimal number of 32 bits, so that the answer
/// can't be placed before or after any other.
fn reported_era(headers: &Headers, name: &'static str) -> Result<StoreEra, NoAnswer> {
    let Some(values) = headers.get_values(name) else {
        return Ok(StoreEra::UNREPORTED);
    };
    let mut values = values.iter();
    let era = match (values.next(), values.next()) {
        (Some(value), None) => value.as_str().and_then(StoreEra::parse),
        _ => None,
    };
    era.ok_or_else(|| {
        log::warn!("platform: the era of an answer can't be read, it is passed over");
        NoAnswer
    })
}
