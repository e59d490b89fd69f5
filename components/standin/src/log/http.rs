//! HTTP server of the log protocol.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use journal::protocol::{Appended, MAX_RECORD_BYTES, RECORDS_PATH};
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, sleep_until, timeout},
};

use super::{
    faults::Outage,
    shared::{Append, Shared},
};

/// Maximum wait of a read.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Default number of records in an answer.
const DEFAULT_LIMIT: u64 = 1000;
/// Maximum number of records in an answer.
const MAX_LIMIT: u64 = 10_000;

/// Error that makes hyper close the connection without an answer.
#[derive(Debug)]
struct Closed;

/// Parameters of a read.
struct Range {
    from: u64,
    limit: usize,
    wait: Duration,
}

type Answer = Result<Response<Full<Bytes>>, Closed>;

/// Serves connections until the task is aborted.
pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, Arc::clone(&shared)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| answer(request, Arc::clone(&shared)));
    // A connection error affects only its client.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(request: Request<Incoming>, shared: Arc<Shared>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::POST, RECORDS_PATH) => append(request, shared).await,
        (&Method::GET, RECORDS_PATH) => read(request.uri().query().unwrap_or(""), &shared).await,
        _ => Ok(text(StatusCode::NOT_FOUND, "only POST and GET of /records are known")),
    }
}

async fn append(request: Request<Incoming>, shared: Arc<Shared>) -> Answer {
    let body = match Limited::new(request.into_body(), MAX_RECORD_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => return Ok(text(StatusCode::PAYLOAD_TOO_LARGE, &err.to_string())),
    };
    let record: Box<RawValue> = match serde_json::from_slice(&body) {
        Ok(record) => record,
        Err(err) => {
            return Ok(text(StatusCode::BAD_REQUEST, &format!("the body is not JSON: {err}")));
        }
    };
    // An append continues after its client disconnects.
    tokio::spawn(apply_append(record, shared)).await.unwrap_or(Err(Closed))
}

async fn apply_append(record: Box<RawValue>, shared: Arc<Shared>) -> Answer {
    sleep(shared.faults().delay).await;
    sleep_until(shared.reserve_append().into()).await;
    if let Some(answer) = outage_answer(&shared) {
        return answer;
    }
    match shared.append(record) {
        Append::Answered(offset) => Ok(json(&Appended { offset })),
        Append::Lost => Err(Closed),
    }
}

async fn read(query: &str, shared: &Shared) -> Answer {
    let range = match Range::parse(query) {
        Ok(range) => range,
        Err(message) => return Ok(text(StatusCode::BAD_REQUEST, &message)),
    };
    sleep(shared.faults().delay).await;
    // After a timeout the answer is an empty page.
    let _ = timeout(range.wait, shared.wait_for_records(range.from)).await;
    if let Some(answer) = outage_answer(shared) {
        return answer;
    }
    Ok(json(&shared.page(range.from, range.limit)))
}

/// Answer to any call during an outage.
fn outage_answer(shared: &Shared) -> Option<Answer> {
    match shared.outage() {
        Outage::None => None,
        Outage::Refuse => {
            Some(Ok(text(StatusCode::SERVICE_UNAVAILABLE, "the log is out of service")))
        }
        Outage::Close => Some(Err(Closed)),
    }
}

impl Range {
    fn parse(query: &str) -> Result<Range, String> {
        let fields: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let number = |name: &str, default: u64| match fields.get(name) {
            Some(value) => value.parse().map_err(|_| format!("{name}={value} is no number")),
            None => Ok(default),
        };
        let limit = number("limit", DEFAULT_LIMIT)?.min(MAX_LIMIT);
        let wait = Duration::from_millis(number("wait_ms", 0)?);
        Ok(Range { from: number("from", 0)?, limit: limit as usize, wait: wait.min(MAX_WAIT) })
    }
}

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was closed on purpose")
    }
}

impl std::error::Error for Closed {}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("answers have only types that JSON can hold");
    Response::new(Full::from(body))
}

fn text(status: StatusCode, message: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(message.to_owned()));
    *response.status_mut() = status;
    response
}
