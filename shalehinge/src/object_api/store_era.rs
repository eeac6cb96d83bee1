//! Reads the store era from a response header.

use trillium_client::Conn;
use trillium_http::Headers;

use crate::core::platform::NoAnswer;
use crate::core::types::StoreEra;
use crate::utils::http::{HttpResponse, ResponseTimeouts, exchange_with_headers};

/// Sends a request and reads the complete response and the store era in its header `header`.
///
/// # Errors
///
/// [`NoAnswer`] if no complete response came within the limits, or its era is invalid.
pub async fn exchange_with_era(
    conn: Conn,
    limits: ResponseTimeouts,
    header: &'static str,
) -> Result<(StoreEra, HttpResponse), NoAnswer> {
    let answer = exchange_with_headers(conn, limits).await.ok_or(NoAnswer)?;
    Ok((parse_era(&answer.headers, header)?, answer))
}

/// Parses the era header. Without the header, the store does not report eras.
///
/// # Errors
///
/// [`NoAnswer`] if the header is repeated or is not a decimal 32-bit number: the response could
/// not be ordered relative to others.
fn parse_era(headers: &Headers, name: &'static str) -> Result<StoreEra, NoAnswer> {
    let Some(values) = headers.get_values(name) else {
        return Ok(StoreEra::UNREPORTED);
    };
    let mut values = values.iter();
    let era = match (values.next(), values.next()) {
        (Some(value), None) => value.as_str().and_then(StoreEra::parse),
        _ => None,
    };
    era.ok_or_else(|| {
        log::warn!("platform: ignored a response with an invalid store era");
        NoAnswer
    })
}
