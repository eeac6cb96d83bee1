//! Request targets of callers, which upstreams receive byte for byte.

use std::fmt;

use trillium::Conn;
use trillium_http::{Method, Version};

/// The target of a request that is forwarded: an absolute path with an optional query, or `*` for
/// `OPTIONS`. All its bytes are visible ASCII characters that a request line may contain, so it can
/// be written as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTarget(String);

/// Why a request target can't be forwarded unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestTargetError {
    /// It is neither an absolute path nor `*` for `OPTIONS`.
    #[error("the request target is not an absolute path")]
    Form,
    /// It contains a byte that no request target may contain.
    #[error("the request target contains a character that must be percent-encoded")]
    Character,
}

impl RequestTarget {
    /// Checks a request target.
    ///
    /// # Errors
    ///
    /// The target can't be sent as it is.
    pub fn new(method: Method, target: &str) -> Result<Self, RequestTargetError> {
        let is_asterisk = method == Method::Options && target == "*";
        if method == Method::Connect || !(is_asterisk || target.starts_with('/')) {
            return Err(RequestTargetError::Form);
        }
        if !target.bytes().all(is_allowed) {
            return Err(RequestTargetError::Character);
        }
        Ok(Self(target.to_owned()))
    }

    /// The target of a received request.
    ///
    /// # Errors
    ///
    /// The target can't be sent as it is. This includes the absolute form of HTTP/1
    /// (`http://host/path`), of which the server library keeps only the path.
    pub fn of(conn: &Conn) -> Result<Self, RequestTargetError> {
        let inner: &trillium_http::Conn<_> = conn.as_ref();
        // With HTTP/2, every request has a scheme, and the path is the whole target.
        if inner.scheme().is_some() && conn.http_version() < Version::Http2 {
            return Err(RequestTargetError::Form);
        }
        Self::new(conn.method(), conn.path_and_query())
    }

    /// The target as it is sent.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        self.0.split_once('?').map_or(&self.0, |(path, _)| path)
    }
}

impl fmt::Display for RequestTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Whether a target may contain this byte. Servers read `#` as the start of a fragment, and some
/// read `\` as `/`; the server library refuses both with HTTP/1, and this check does so for all
/// versions of HTTP.
fn is_allowed(byte: u8) -> bool {
    byte.is_ascii_graphic() && !matches!(byte, b'#' | b'\\')
}
