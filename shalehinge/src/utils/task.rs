//! Task executor with several threads.
//!
//! Many streams deliver tokens at the same time, so they are forwarded in parallel. `smol::spawn`
//! uses a single thread unless the environment sets another number.
//!
//! A panic ends the task that it occurs in, and the threads go on. A panic of the core ends the
//! process from within the panic, before the executor sees it (`process::core_cell`).

use std::future::{Future, pending};
use std::sync::{LazyLock, OnceLock};
use std::thread;

use smol::Executor;

/// Number of executor threads if [`set_threads`] was not called before the first task.
const DEFAULT_THREADS: usize = 4;

static THREADS: OnceLock<usize> = OnceLock::new();

static EXECUTOR: LazyLock<Executor<'static>> = LazyLock::new(|| {
    for _ in 0..*THREADS.get_or_init(|| DEFAULT_THREADS) {
        thread::spawn(|| smol::block_on(EXECUTOR.run(pending::<()>())));
    }
    Executor::new()
});

/// Sets the number of executor threads, at least 1. Has no effect once a task has been started.
pub fn set_threads(threads: usize) {
    let _ = THREADS.set(threads.max(1));
}

/// Starts a task. Dropping the returned handle cancels the task.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> smol::Task<T> {
    EXECUTOR.spawn(future)
}
