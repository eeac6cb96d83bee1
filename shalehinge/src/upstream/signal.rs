//! Reads what an upstream states about itself from the head of its answer.

use std::time::SystemTime;

use trillium_client::{Conn, HeaderName, KnownHeaderName};

use crate::core::advertised_limit::AdvertisedLimit;
use crate::core::signal::{LeavingMark, RequestedCooldown, UpstreamSignal};

/// Header by which an overloaded upstream names the requests a second that it takes from all
/// daemons together, as a decimal number.
pub const LIMIT_HEADER: &str = "x-shalehinge-limit";
/// Header by which an upstream says that it is leaving, with the value `1`.
pub const LEAVING_HEADER: &str = "x-shalehinge-leaving";

/// Names of the headers that upstreams use beside `Retry-After`, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct SignalNames {
    /// Requests a second that an overloaded upstream takes from all daemons together.
    pub limit: &'static str,
    /// Marks an upstream that is leaving.
    pub leaving: &'static str,
}

/// The names of the product's own interface.
pub const SIGNAL_NAMES: SignalNames = SignalNames {
    limit: LIMIT_HEADER,
    leaving: LEAVING_HEADER,
};

/// Reads the head of an answer with this status.
pub fn read(conn: &Conn, status: u16, names: SignalNames) -> UpstreamSignal {
    let retry_after = values(conn, KnownHeaderName::RetryAfter);
    UpstreamSignal {
        status,
        limit: AdvertisedLimit::parse(values(conn, names.limit)),
        cooldown: RequestedCooldown::parse(status, retry_after, || answered_at(conn)),
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

/// The time of the answer by the upstream's own clock, which need not agree with this one.
fn answered_at(conn: &Conn) -> SystemTime {
    let date = conn.response_headers().get_str(KnownHeaderName::Date);
    let date = date.and_then(|date| httpdate::parse_http_date(date).ok());
    date.unwrap_or_else(SystemTime::now)
}
