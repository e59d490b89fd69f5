//! Requests as the queue sees them, and reasons to refuse one.

use std::{fmt, time::Duration};

use ident::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a team's name, by which fair shares are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamKey(u64);

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item<K> {
    /// Identifies the request.
    pub key: K,
    /// Rank of its urgency class; lower ranks go first.
    pub rank: u8,
    /// Time by which the answer has to arrive.
    pub deadline: Timestamp,
    /// Expected run time.
    pub expected: Duration,
    /// Team of its caller.
    pub team: TeamKey,
}

/// Why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why it was refused.
    pub cause: Cause,
    /// Predicted wait.
    pub wait: Duration,
    /// Time after which to retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The queue is full.
    Full,
    /// The predicted wait and run time exceed the time to the deadline.
    Late,
}

impl TeamKey {
    /// Key of the team with the given name.
    pub fn of(team: &str) -> TeamKey {
        TeamKey(xxh3_64(team.as_bytes()))
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wait = self.wait.as_millis();
        match self.cause {
            Cause::Full => write!(f, "the queue is full; the wait would be {wait} ms"),
            Cause::Late => {
                write!(f, "the answer would miss its deadline; the wait would be {wait} ms")
            }
        }
    }
}

impl std::error::Error for Rejection {}
