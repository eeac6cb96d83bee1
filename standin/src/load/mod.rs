//! Open-loop load generator that measures latencies.
//!
//! Requests start at seeded random times, whether or not earlier ones have completed. Each token
//! carries the time at which the engine emitted it, so the transit time of every token is known.
//! Requests of the warm-up aren't recorded. Load is sent to loopback addresses only, for a
//! limited time.
//!
//! - `client`: client that sends one streamed request
//! - `report`: latency histograms and their table

pub mod client;
pub mod report;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol::Timer;

use self::client::{StreamRequest, send_streamed_request};
use self::report::Report;

/// Maximum duration of a load, with its warm-up, in seconds.
const MAX_LOAD_SECONDS: u64 = 600;

/// send streamed requests at a fixed average rate and report latencies
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "load")]
pub struct LoadArguments {
    /// loopback address of a daemon or an engine
    #[argh(option)]
    pub to: SocketAddr,

    /// API key of the customer
    #[argh(option, default = "String::from(\"none\")")]
    pub key: String,

    /// name of the model
    #[argh(option)]
    pub model: String,

    /// average number of requests per second
    #[argh(option)]
    pub rate: f64,

    /// duration of the measurement, in seconds
    #[argh(option, default = "20")]
    pub seconds: u64,

    /// duration of the unmeasured warm-up before it, in seconds
    #[argh(option, default = "5")]
    pub warm_up: u64,

    /// maximum number of output tokens per request
    #[argh(option, default = "64")]
    pub max_tokens: u32,

    /// length of each prompt in bytes, at least 16
    #[argh(option, default = "400")]
    pub prompt_bytes: usize,

    /// seed of the request times and prompts
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Sends the load and prints the report.
///
/// # Errors
///
/// Fails if the address isn't a loopback address, or if the load would last longer than 600 s.
pub fn run(arguments: &LoadArguments) -> miette::Result<()> {
    if !arguments.to.ip().is_loopback() {
        return Err(miette::miette!(
            "load can be sent to loopback addresses only, not to {}",
            arguments.to
        ));
    }
    if arguments.seconds + arguments.warm_up > MAX_LOAD_SECONDS {
        return Err(miette::miette!(
            "load with its warm-up can last at most {MAX_LOAD_SECONDS} s"
        ));
    }
    let report = smol::block_on(send_load(arguments.clone()));
    println!("{}", report.table());
    Ok(())
}

async fn send_load(arguments: LoadArguments) -> Report {
    let mut rng = SmallRng::seed_from_u64(arguments.seed);
    let report = Arc::new(Mutex::new(Report::default()));
    let client = shalehinge::utils::http::single_use_client();
    let started = Instant::now();
    let warm_up = Duration::from_secs(arguments.warm_up);
    let end = warm_up + Duration::from_secs(arguments.seconds);
    let mut next_request_at = Duration::ZERO;
    let mut tasks = Vec::new();
    while next_request_at < end {
        let wait = next_request_at.saturating_sub(started.elapsed());
        Timer::after(wait).await;
        let request = StreamRequest::new(&arguments, rng.random());
        let client = client.clone();
        let is_measured = next_request_at >= warm_up;
        let report = report.clone();
        tasks.push(smol::spawn(async move {
            let result = send_streamed_request(&client, &request).await;
            if is_measured {
                report
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .record(&result);
            }
        }));
        let interval = -(1.0 - rng.random::<f64>()).ln() / arguments.rate;
        next_request_at += Duration::from_secs_f64(interval);
    }
    for task in tasks {
        task.await;
    }
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    report.seconds = arguments.seconds as f64;
    report.clone()
}
