//! Open-loop load with latencies.
//!
//! Requests start at seeded random times, whether or not earlier ones have
//! ended. Each token carries the time at which the engine gave it out, so the
//! delay of every token on its way is known. Warm-up is left out. Load goes to
//! a loopback address only and ends by itself.
//!
//! - `client`: one streamed request
//! - `report`: histograms and their table

pub mod client;
pub mod report;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol::Timer;

use self::client::{StreamRequest, stream_once};
use self::report::Report;

/// Longest load.
const MOST_SECONDS: u64 = 600;

/// send streamed requests at a fixed rate and report latencies
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "load")]
pub struct LoadArguments {
    /// address to send to, a daemon or an engine; loopback only
    #[argh(option)]
    pub to: SocketAddr,

    /// key of the customer
    #[argh(option, default = "String::from(\"none\")")]
    pub key: String,

    /// model
    #[argh(option)]
    pub model: String,

    /// requests a second
    #[argh(option)]
    pub rate: f64,

    /// seconds that are measured
    #[argh(option, default = "20")]
    pub seconds: u64,

    /// seconds before, that are left out
    #[argh(option, default = "5")]
    pub warm_up: u64,

    /// tokens of each answer
    #[argh(option, default = "64")]
    pub max_tokens: u32,

    /// bytes of each prompt
    #[argh(option, default = "400")]
    pub prompt_bytes: usize,

    /// seed of the times
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Sends the load and prints the report.
pub fn run(arguments: &LoadArguments) -> miette::Result<()> {
    if !arguments.to.ip().is_loopback() {
        return Err(miette::miette!(
            "load goes to loopback only, not to {}",
            arguments.to
        ));
    }
    if arguments.seconds + arguments.warm_up > MOST_SECONDS {
        return Err(miette::miette!("load ends within {MOST_SECONDS} s"));
    }
    let report = smol::block_on(send(arguments.clone()));
    println!("{}", report.table());
    Ok(())
}

async fn send(arguments: LoadArguments) -> Report {
    let mut rng = SmallRng::seed_from_u64(arguments.seed);
    let report = Arc::new(Mutex::new(Report::default()));
    let client = shalehinge::utils::http::single_use_client();
    let started = Instant::now();
    let warm_up = Duration::from_secs(arguments.warm_up);
    let end = warm_up + Duration::from_secs(arguments.seconds);
    let mut next = Duration::ZERO;
    let mut tasks = Vec::new();
    while next < end {
        let wait = next.saturating_sub(started.elapsed());
        Timer::after(wait).await;
        let request = StreamRequest::new(&arguments, rng.random());
        let client = client.clone();
        let is_counted = next >= warm_up;
        let report = report.clone();
        tasks.push(smol::spawn(async move {
            let result = stream_once(&client, &request).await;
            if is_counted {
                report
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .record(&result);
            }
        }));
        let gap = -(1.0 - rng.random::<f64>()).ln() / arguments.rate;
        next += Duration::from_secs_f64(gap);
    }
    for task in tasks {
        task.await;
    }
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    report.seconds = arguments.seconds as f64;
    report.clone()
}
