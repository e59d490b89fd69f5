//! Client of an executor.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use node::LinkError;
use tokio::time::Instant;
use verdict::Answer;
use wire::Run;

use crate::pool::Pool;

/// Client of an executor; clones share its connections.
#[derive(Debug, Clone)]
pub struct Executor {
    pool: Arc<Pool>,
}

/// Result and duration of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Executed {
    /// Answer of any status, or the error of the connection.
    pub result: Result<Answer, LinkError>,
    /// Duration of the call, including the wait for a connection.
    pub took: Duration,
}

impl Executor {
    /// Creates a client of the executor at `address`, with at most `connections` connections.
    pub fn new(address: SocketAddr, connections: usize) -> Executor {
        Executor { pool: Arc::new(Pool::new(address, connections)) }
    }

    /// Changes the number of connections; requests in progress continue.
    pub fn set_connections(&self, connections: usize) {
        self.pool.resize(connections);
    }

    /// Sends a request once and waits up to `timeout` for its answer.
    pub async fn run(&self, run: &Run, timeout: Duration) -> Executed {
        let began = Instant::now();
        let result = match request(run) {
            Ok(request) => self.pool.send(&request, began + timeout).await,
            // A kind that is not a valid header value fails before anything is sent.
            Err(_) => Err(LinkError::NotSent),
        };
        Executed { result, took: began.elapsed() }
    }
}

fn request(run: &Run) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    Request::post("/run")
        .header("primrosemux-request", run.id.to_string())
        .header("primrosemux-kind", &run.kind)
        .body(Full::new(Bytes::copy_from_slice(&run.body)))
}
