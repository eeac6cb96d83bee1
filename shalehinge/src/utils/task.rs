//! Tasks on an executor of several threads.
//!
//! Tokens of many streams come at once, so they are passed on side by side.
//! `smol::spawn` has one thread unless the environment says otherwise.

use std::future::{Future, pending};
use std::sync::LazyLock;
use std::thread;

use smol::Executor;

/// Threads that run tasks.
const THREADS: usize = 4;

static EXECUTOR: LazyLock<Executor<'static>> = LazyLock::new(|| {
    for _ in 0..THREADS {
        thread::spawn(|| smol::block_on(EXECUTOR.run(pending::<()>())));
    }
    Executor::new()
});

/// Starts a task; dropping what comes back ends it.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> smol::Task<T> {
    EXECUTOR.spawn(future)
}
