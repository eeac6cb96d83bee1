//! Which customer a caller is, by its key.

use sha2::{Digest, Sha256};
use trillium::{Conn, KnownHeaderName};

use super::GatewayContext;
use super::answer::ErrorAnswer;
use crate::core::operator::hex;
use crate::core::types::Customer;

/// The key in `Authorization: Bearer`, as SHA-256 in hexadecimal.
pub fn bearer_sha256(conn: &Conn) -> Option<String> {
    let header = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization)?;
    let key = header.strip_prefix("Bearer ")?.trim();
    Some(hex(&Sha256::digest(key.as_bytes())))
}

/// The customer, or the refusal of an unknown key.
pub fn customer(context: &GatewayContext, conn: &Conn) -> Result<Customer, ErrorAnswer> {
    let key = bearer_sha256(conn).ok_or_else(ErrorAnswer::no_key)?;
    let customer = context.driver.read(|_, core| core.customer_of(&key));
    customer.ok_or_else(ErrorAnswer::unknown_key)
}
