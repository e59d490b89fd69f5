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

/// Client of an executor.
#[derive(Debug, Clone)]
pub struct Executor {
    pool: Arc<Pool>,
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
    pub fn new(address: SocketAddr, connections: usize) -> Executor {
        Executor { pool: Arc::new(Pool::new(address, connections)) }
    }

    /// Changes the number of connections; requests in progress go on.
    pub fn set_connections(&self, connections: usize) {
        self.pool.resize(connections);
    }

    /// Runs a request once and waits for its answer until `timeout`.
    pub async fn run(&self, run: &Run, timeout: Duration) -> Executed {
        let began = Instant::now();
        let result = match request(run) {
            Ok(request) => self.pool.send(&request, began + timeout).await,
            // A kind that no header can hold was never sent.
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
