//! Guards against daemons that never retry, as their share of the fleet's budget is below one retry.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shalehinge::core::router::retry_budget::RetryBudget;

/// Retries that the daemons may make together, besides a fraction of the requests.
const ALLOWED_BURST: f64 = 1_040.0;
/// The part of them that the daemons share, as a daemon may not know of all others.
const SHARED_BURST: f64 = ALLOWED_BURST * 0.7;
/// Fraction of the requests that may be retried.
const RATIO: f64 = 0.15;
/// Numbers of daemons; the share of the two largest is less than one retry.
const SIZES: [usize; 4] = [100, 300, 984, 2_000];

fn fleet(daemons: usize) -> Vec<RetryBudget> {
    let share = SHARED_BURST / daemons as f64;
    let budget = RetryBudget::nearly_empty(RATIO, share);
    vec![budget; daemons]
}

#[test]
fn a_failure_at_one_of_many_daemons_is_mostly_retried() {
    let mut rng = SmallRng::seed_from_u64(1);
    for daemons in SIZES {
        let mut retried = 0;
        for mut budget in fleet(daemons) {
            for _ in 0..10 {
                budget.deposit();
            }
            retried += usize::from(budget.withdraw(&mut rng));
        }
        let share = (SHARED_BURST / daemons as f64).min(1.0);
        let expected = share * daemons as f64;
        assert!(
            retried as f64 >= expected * 0.9,
            "{retried} of {daemons} failures retried, {expected} are possible"
        );
    }
}

#[test]
fn all_daemons_together_keep_to_the_shared_budget_if_everything_fails() {
    let mut rng = SmallRng::seed_from_u64(2);
    for daemons in SIZES {
        /// Requests of one daemon, each of which would be retried twice.
        const REQUESTS: usize = 6;
        let mut retried = 0;
        for mut budget in fleet(daemons) {
            for _ in 0..REQUESTS {
                budget.deposit();
                for _ in 0..2 {
                    retried += usize::from(budget.withdraw(&mut rng));
                }
            }
        }
        let allowed = ALLOWED_BURST + 0.2 * (daemons * REQUESTS) as f64;
        assert!(
            retried as f64 <= allowed,
            "{retried} retries of {daemons} daemons, allowed {allowed}"
        );
    }
}
