//! Selection of the headers that are forwarded between callers and upstreams.

use trillium_http::{Headers, KnownHeaderName};

/// Headers that concern a single connection and are never forwarded, in lower case.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns all values of the headers to forward: all but those of a single connection, those that
/// the `Connection` header names, and those that the daemon consumes, by their name in lower case.
pub fn forwarded_headers(headers: &Headers, is_consumed: impl Fn(&str) -> bool) -> Headers {
    let connection_headers: Vec<String> = headers
        .token_iter(KnownHeaderName::Connection)
        .map(str::to_ascii_lowercase)
        .collect();
    let is_forwarded = |name: &str| {
        !HOP_BY_HOP_HEADERS.contains(&name)
            && !connection_headers.iter().any(|other| other == name)
            && !is_consumed(name)
    };
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(&name.as_ref().to_ascii_lowercase()))
        .map(|(name, values)| (name.to_owned(), values.clone()))
        .collect()
}
