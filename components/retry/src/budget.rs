//! Limit on retries as a share of the first attempts.

use std::time::Duration;

use ident::Timestamp;
use mutation::{Mechanism, is_disabled};

/// Most retries that the budget accumulates.
const MAX_TOKENS: f64 = 20.0;
/// Time in which the budget gains one retry even without traffic.
const REFILL_INTERVAL: Duration = Duration::from_secs(1);

/// Token bucket that gains a fraction of a token for each first attempt.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl Budget {
    /// Creates a budget of `percent` of the first attempts; zero allows no retries.
    pub fn new(percent: u32) -> Budget {
        Budget { share: share(percent), tokens: 1.0, refilled_at: Timestamp::ZERO }
    }

    /// Changes the percentage; keeps the tokens.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = share(percent);
    }

    /// Records a first attempt.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; false if it is exhausted.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        if is_disabled(Mechanism::RetryBudget) {
            return true;
        }
        if self.share == 0.0 {
            return false;
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Adds tokens for the time that has passed, up to a level of one.
    fn refill(&mut self, now: Timestamp) {
        if self.tokens < 1.0 {
            let gained = now.since(self.refilled_at).as_secs_f64() / REFILL_INTERVAL.as_secs_f64();
            self.tokens = (self.tokens + gained).min(1.0);
        }
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn share(percent: u32) -> f64 {
    f64::from(percent.min(100)) / 100.0
}
