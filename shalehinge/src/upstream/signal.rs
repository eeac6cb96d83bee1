//! Reads what an upstream reports about itself in its response headers.

use std::time::SystemTime;

use trillium_client::{Conn, HeaderName, KnownHeaderName};

use crate::core::advertised_limit::AdvertisedLimit;
use crate::core::signal::{LeavingMark, RequestedCooldown, UpstreamSignal};

/// Response header with the request rate that an overloaded upstream accepts from all daemons
/// together, as a decimal number of requests per second.
pub const LIMIT_HEADER: &str = "x-shalehinge-limit";
/// Response header with the value `1`, by which an upstream reports that it is shutting down.
pub const LEAVING_HEADER: &str = "x-shalehinge-leaving";

/// Names of the signal headers besides `Retry-After`, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct SignalHeaderNames {
    /// Requests per second that an overloaded upstream accepts from all daemons together.
    pub limit: &'static str,
    /// Reports that the upstream is shutting down.
    pub leaving: &'static str,
}

/// Header names of this project's own interface.
pub const SIGNAL_HEADER_NAMES: SignalHeaderNames = SignalHeaderNames {
    limit: LIMIT_HEADER,
    leaving: LEAVING_HEADER,
};

/// Reads the signals from the headers of a response with the given status.
pub fn read(conn: &Conn, status: u16, names: SignalHeaderNames) -> UpstreamSignal {
    let retry_after = values(conn, KnownHeaderName::RetryAfter);
    UpstreamSignal {
        status,
        limit: AdvertisedLimit::parse(values(conn, names.limit)),
        cooldown: RequestedCooldown::parse(status, retry_after, || response_date(conn)),
        leaving: LeavingMark::parse(values(conn, names.leaving)),
    }
}

fn values(conn: &Conn, name: impl Into<HeaderName<'static>>) -> impl Iterator<Item = &str> {
    let values = conn.response_headers().get_values(name);
    values
        .into_iter()
        .flatten()
        .map(|value| value.as_str().unwrap_or_default())
}

/// Time of the response by the upstream's clock, which may differ from the local clock. Falls back
/// to the local time if there is no valid `Date` header.
fn response_date(conn: &Conn) -> SystemTime {
    let date = conn.response_headers().get_str(KnownHeaderName::Date);
    let date = date.and_then(|date| httpdate::parse_http_date(date).ok());
    date.unwrap_or_else(SystemTime::now)
}
