//! What is queued, and why something is not.

use std::{fmt, time::Duration};

use ident::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

/// Team of a request, for fair shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamKey(u64);

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item<K> {
    /// Names the request.
    pub key: K,
    /// Rank of its urgency class; lower ranks go first.
    pub rank: u8,
    /// Time at which its answer is due.
    pub deadline: Timestamp,
    /// Expected run time.
    pub expected: Duration,
    /// Team of its caller.
    pub team: TeamKey,
}

/// Why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// What speaks against it.
    pub cause: Cause,
    /// Wait that was predicted for it.
    pub wait: Duration,
    /// When to come back, if that can help.
    pub retry_after: Option<Duration>,
}

/// What speaks against queueing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The queue holds as many requests as it may.
    Full,
    /// The predicted wait and run time pass the deadline.
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
