//! Task executor with several threads.
//!
//! Many streams deliver tokens at the same time, so they are forwarded in parallel. `smol::spawn`
//! uses a single thread unless the environment sets another number.
//!
//! A panic ends the task that it occurs in, and the threads go on. A panic of the core ends the
//! process from within the panic, before the executor sees it (`process::core_cell`). A task whose
//! result is awaited elsewhere must have one nevertheless: see [`unless_panics`].

use std::any::Any;
use std::future::{Future, pending};
use std::panic::AssertUnwindSafe;
use std::sync::{LazyLock, OnceLock};
use std::thread;

use futures_lite::FutureExt;
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

/// Awaits the result of some work, or returns `None` if it panics, which is logged.
pub async fn unless_panics<T>(name: &str, work: impl Future<Output = T>) -> Option<T> {
    let caught = AssertUnwindSafe(work).catch_unwind().await;
    caught
        .inspect_err(|payload| {
            let message = panic_message(&**payload);
            log::error!(target: "shalehinge", "daemon: a {name} panicked and counts as lost: {message}");
        })
        .ok()
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message")
}
