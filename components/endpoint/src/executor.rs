//! Client of an executor.

use std::{net::SocketAddr, time::Duration};

use node::LinkError;
use verdict::Answer;
use wire::Run;

/// Client of an executor.
#[derive(Debug, Clone)]
pub struct Executor {
    _address: SocketAddr,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Executed {
    /// Its answer, whatever the status, or why there is none.
    pub result: Result<Answer, LinkError>,
    /// Time from the call to its end.
    pub took: Duration,
}

impl Executor {
    /// Uses at most `connections` connections at a time to the executor at `address`.
    pub fn new(address: SocketAddr, _connections: usize) -> Executor {
        Executor { _address: address }
    }

    /// Runs a request once and waits for its answer until `timeout`.
    pub async fn run(&self, _run: &Run, _timeout: Duration) -> Executed {
        Executed { result: Err(LinkError::NotSent), took: Duration::ZERO }
    }
}
