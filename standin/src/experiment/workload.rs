//! Random requests of ten customers.
//!
//! A prompt consists of one of the customer's few templates and a unique suffix, as prompts for
//! drafts and for dial readings do.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use shalehinge::core::router::prefix::BLOCK_TOKENS;
use shalehinge::core::router::request::PrefixChain;

/// Number of customers; the first two have the largest shares.
pub const CUSTOMERS: usize = 10;
/// Capacity shares of the customers.
pub const CUSTOMER_SHARES: [u32; CUSTOMERS] = [30, 20, 10, 10, 5, 5, 5, 5, 5, 5];
/// Number of templates per customer.
const TEMPLATES: u64 = 12;
/// Length of a template in blocks, as a half-open range.
const TEMPLATE_BLOCKS: (u64, u64) = (4, 16);
/// Length of the suffix of a prompt in tokens, as a half-open range.
const SUFFIX_TOKENS: (u32, u32) = (50, 500);
/// Maximum number of output tokens that callers request.
pub const MAX_OUTPUT_TOKENS: u32 = 256;
/// Length of an output in tokens, as a half-open range.
const OUTPUT_TOKENS: (u32, u32) = (30, 256);
/// Time from arrival by which the complete answer is due.
pub const REQUEST_DEADLINE: Duration = Duration::from_secs(20);

/// Arrival of one request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of arrival since the start of the run.
    pub at: Duration,
    /// Index of the customer.
    pub customer: usize,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Number of tokens that the engine will generate.
    pub output_tokens: u32,
    /// Hashes of the leading blocks of the prompt.
    pub prefix: PrefixChain,
}

/// Draws a random request of a customer chosen in proportion to demand.
fn draw_request(rng: &mut SmallRng, at: Duration, demand: &[f64; CUSTOMERS]) -> Arrival {
    let total: f64 = demand.iter().sum();
    let mut point = rng.random_range(0.0..total);
    let mut customer = 0;
    while customer + 1 < CUSTOMERS && point >= demand[customer] {
        point -= demand[customer];
        customer += 1;
    }
    // Short templates are used more often than long ones.
    let template = (rng.random::<f64>().powi(2) * TEMPLATES as f64) as u64;
    let blocks = TEMPLATE_BLOCKS.0 + template * (TEMPLATE_BLOCKS.1 - TEMPLATE_BLOCKS.0) / TEMPLATES;
    let mut prefix: PrefixChain = (0..blocks)
        .map(|block| (customer as u64) << 32 | template << 16 | block)
        .collect();
    let suffix_tokens = rng.random_range(SUFFIX_TOKENS.0..SUFFIX_TOKENS.1);
    let suffix_blocks = suffix_tokens / BLOCK_TOKENS;
    prefix.extend((0..suffix_blocks).map(|_| rng.random::<u64>() | 1 << 63));
    Arrival {
        at,
        customer,
        prompt_tokens: blocks as u32 * BLOCK_TOKENS + suffix_tokens,
        output_tokens: rng.random_range(OUTPUT_TOKENS.0..OUTPUT_TOKENS.1),
        prefix,
    }
}

/// Generates Poisson arrivals at an average rate of `per_second` over `duration`. Customers are
/// chosen in proportion to `demand`.
pub fn arrivals(
    rng: &mut SmallRng,
    per_second: f64,
    duration: Duration,
    demand: &[f64; CUSTOMERS],
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let interval = -(1.0 - rng.random::<f64>()).ln() / per_second;
        at += Duration::from_secs_f64(interval);
        if at >= duration {
            return arrivals;
        }
        arrivals.push(draw_request(rng, at, demand));
    }
}

/// Returns the demand of each customer, equal to its share.
pub fn proportional_demand() -> [f64; CUSTOMERS] {
    CUSTOMER_SHARES.map(f64::from)
}
