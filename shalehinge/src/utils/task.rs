//! Tasks on an executor of several threads.
//!
//! Tokens of many streams come at once, so they are passed on side by side.
//! `smol::spawn` has one thread unless the environment says otherwise.

use std::future::{Future, pending};
use std::sync::{LazyLock, OnceLock};
use std::thread;

use smol::Executor;

/// Threads that run tasks, unless another number was set before the first task.
const DEFAULT_THREADS: usize = 4;

static THREADS: OnceLock<usize> = OnceLock::new();

static EXECUTOR: LazyLock<Executor<'static>> = LazyLock::new(|| {
    for _ in 0..*THREADS.get_or_init(|| DEFAULT_THREADS) {
        thread::spawn(|| smol::block_on(EXECUTOR.run(pending::<()>())));
    }
    Executor::new()
});

/// Sets how many threads run tasks; without effect once the first task was started.
pub fn set_threads(threads: usize) {
    let _ = THREADS.set(threads.max(1));
}

/// Starts a task; dropping what comes back ends it.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> smol::Task<T> {
    EXECUTOR.spawn(future)
}
