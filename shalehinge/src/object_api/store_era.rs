//! The era of the store that an answer tells in a header.

use trillium_http::Headers;

use crate::core::platform::NoAnswer;
use crate::core::types::StoreEra;

/// Reads the era. An answer without the header is of a store that tells none.
///
/// # Errors
///
/// The header stands there more than once or is no decimal number of 32 bits, so that the answer
/// can't be placed before or after any other.
pub fn told_era(headers: &Headers, name: &'static str) -> Result<StoreEra, NoAnswer> {
    let Some(values) = headers.get_values(name) else {
        return Ok(StoreEra::UNTOLD);
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
