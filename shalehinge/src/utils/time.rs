//! Waiting with a limit.

use std::future::Future;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use smol::Timer;

/// The future's output, or `None` once the time is over.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let in_time = async { Some(future.await) };
    let over = async {
        Timer::after(limit).await;
        None
    };
    futures_lite::future::or(in_time, over).await
}

/// Wall clock since 1970. For names and ages only, never for safety.
pub fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
