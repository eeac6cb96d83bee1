//! Time-outs and wall clock.

use std::future::Future;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use smol::Timer;

/// Returns the future's output, or `None` if it is not ready within `limit`. The future is then
/// dropped.
pub async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let output = async { Some(future.await) };
    let timed_out = async {
        Timer::after(limit).await;
        None
    };
    futures_lite::future::or(output, timed_out).await
}

/// Wall clock time since the Unix epoch. The clock may jump, so the value is used only for names
/// and for ages that are displayed, never where safety depends on it.
pub fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
