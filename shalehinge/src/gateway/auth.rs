//! Authentication: maps a caller's API key to its customer.

use sha2::{Digest, Sha256};
use trillium::{Conn, KnownHeaderName};

use super::GatewayContext;
use super::response::ErrorResponse;
use crate::core::operator::hex;
use crate::core::types::Customer;

/// Returns the SHA-256 of the key in `Authorization: Bearer KEY`, in hexadecimal, or `None` if
/// the request has no such header.
pub fn bearer_sha256(conn: &Conn) -> Option<String> {
    let header = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization)?;
    let key = header.strip_prefix("Bearer ")?.trim();
    Some(hex(&Sha256::digest(key.as_bytes())))
}

/// Returns the customer that the caller's key belongs to.
///
/// # Errors
///
/// Returns the error response for a missing or unknown key.
pub fn customer(context: &GatewayContext, conn: &Conn) -> Result<Customer, ErrorResponse> {
    let key = bearer_sha256(conn).ok_or_else(ErrorResponse::no_key)?;
    let customer = context.driver.read(|_, core| core.customer_of(&key));
    customer.ok_or_else(ErrorResponse::unknown_key)
}
