//! Requests of ten customers at random times.
//!
//! Prompts begin with one of a customer's few templates, as drafts and dial
//! readings do, and go on differently.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use shalehinge::core::router::prefix::BLOCK_TOKENS;
use shalehinge::core::router::request::PrefixChain;

/// Customers, the first two of them large.
pub const CUSTOMERS: usize = 10;
/// Shares of the customers.
pub const SHARES: [u32; CUSTOMERS] = [30, 20, 10, 10, 5, 5, 5, 5, 5, 5];
/// Templates of each customer.
const TEMPLATES: u64 = 12;
/// Blocks of a template, from and to.
const TEMPLATE_BLOCKS: (u64, u64) = (4, 16);
/// Tokens of a prompt after its template, from and to.
const OWN_TOKENS: (u32, u32) = (50, 500);
/// Tokens that callers allow.
pub const MAX_OUTPUT: u32 = 256;
/// Tokens of an answer, from and to.
const OUTPUT_TOKENS: (u32, u32) = (30, 256);
/// Time for the whole answer.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// One request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it comes.
    pub at: Duration,
    /// Which customer.
    pub customer: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the engine will generate.
    pub output_tokens: u32,
    /// Start of the prompt, hashed.
    pub prefix: PrefixChain,
}

/// Draws one request, of a customer chosen by demand.
fn draw(rng: &mut SmallRng, at: Duration, demand: &[f64; CUSTOMERS]) -> Arrival {
    let total: f64 = demand.iter().sum();
    let mut point = rng.random_range(0.0..total);
    let mut customer = 0;
    while customer + 1 < CUSTOMERS && point >= demand[customer] {
        point -= demand[customer];
        customer += 1;
    }
    // Small templates are asked for more often than large ones.
    let template = (rng.random::<f64>().powi(2) * TEMPLATES as f64) as u64;
    let blocks = TEMPLATE_BLOCKS.0 + template * (TEMPLATE_BLOCKS.1 - TEMPLATE_BLOCKS.0) / TEMPLATES;
    let mut prefix: PrefixChain = (0..blocks)
        .map(|block| (customer as u64) << 32 | template << 16 | block)
        .collect();
    let own = rng.random_range(OWN_TOKENS.0..OWN_TOKENS.1);
    let own_blocks = own / BLOCK_TOKENS;
    prefix.extend((0..own_blocks).map(|_| rng.random::<u64>() | 1 << 63));
    Arrival {
        at,
        customer,
        prompt_tokens: blocks as u32 * BLOCK_TOKENS + own,
        output_tokens: rng.random_range(OUTPUT_TOKENS.0..OUTPUT_TOKENS.1),
        prefix,
    }
}

/// Requests at a rate, for a time.
pub fn arrivals(
    rng: &mut SmallRng,
    per_second: f64,
    time: Duration,
    demand: &[f64; CUSTOMERS],
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / per_second;
        at += Duration::from_secs_f64(gap);
        if at >= time {
            return arrivals;
        }
        arrivals.push(draw(rng, at, demand));
    }
}

/// Demand in proportion to the shares.
pub fn even_demand() -> [f64; CUSTOMERS] {
    SHARES.map(f64::from)
}
