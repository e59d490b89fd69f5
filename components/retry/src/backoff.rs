//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Longest wait before the first retry.
const BASE_WAIT: Duration = Duration::from_millis(10);
/// Longest wait before any retry.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Wait before retry number `attempt`, counted from zero.
///
/// Uniformly distributed between zero and an exponentially growing limit, so that
/// requests that failed together are not retried together.
pub fn backoff(attempt: u32, rng: &mut impl Rng) -> Duration {
    let limit = BASE_WAIT.saturating_mul(1 << attempt.min(16)).min(MAX_WAIT);
    rng.random_range(Duration::ZERO..=limit)
}
