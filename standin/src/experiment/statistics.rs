//! Quantiles, and parallel runs over seeds.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Number of threads that run jobs.
const THREADS: usize = 6;

/// Returns the quantile of the values at `fraction` (0 to 1) by the nearest rank, or NaN if there
/// are no values.
pub fn quantile(values: &[f64], fraction: f64) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len() - 1;
    sorted[(last as f64 * fraction).round() as usize]
}

/// Formats the median with the 10th and 90th percentile, as `median (p10..p90)`.
pub fn format_spread(values: &[f64], digits: usize) -> String {
    format!(
        "{:.digits$} ({:.digits$}..{:.digits$})",
        quantile(values, 0.5),
        quantile(values, 0.1),
        quantile(values, 0.9)
    )
}

/// Runs all jobs in parallel and returns their results in the order of the jobs.
pub fn run_parallel<J: Sync, R: Send>(jobs: &[J], run: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else {
                        return;
                    };
                    let result = run(job);
                    results
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push((index, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
