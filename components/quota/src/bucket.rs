//! Token bucket that allows a debt.

use std::time::Duration;

use ident::Timestamp;

/// Longest time after which a caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Token bucket that is refilled at a constant rate.
///
/// The level may become negative: a request for more tokens than the bucket can
/// hold is granted once it is full, and later ones wait until the debt is repaid.
/// So a job can use a team's whole burst through one entry, although the bucket
/// there holds only a share of it.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    refilled_at: Timestamp,
}

impl Bucket {
    /// Creates a full bucket that holds at least one token.
    pub(crate) fn new(rate_per_s: f64, burst: f64, now: Timestamp) -> Bucket {
        let burst = burst.max(1.0);
        Bucket { rate_per_s, burst, level: burst, refilled_at: now }
    }

    /// Changes the rate and size; keeps the level, up to the new size.
    pub(crate) fn adjust(&mut self, rate_per_s: f64, burst: f64, now: Timestamp) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst.max(1.0);
        self.level = self.level.min(self.burst);
    }

    /// Takes `n` tokens, or returns the time until they are available.
    pub(crate) fn take(&mut self, n: u32, now: Timestamp) -> Result<(), Duration> {
        self.refill(now);
        let needed = f64::from(n).min(self.burst);
        if self.level < needed {
            return Err(self.refill_time(needed - self.level));
        }
        self.level -= f64::from(n);
        Ok(())
    }

    /// Returns `n` tokens that were not used.
    pub(crate) fn refund(&mut self, n: u32) {
        self.level = (self.level + f64::from(n)).min(self.burst);
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.level = (self.level + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn refill_time(&self, tokens: f64) -> Duration {
        let seconds = tokens / self.rate_per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }
}
