//! HTTP server for callers, readiness, heartbeats and metrics.

use std::{
    convert::Infallible, future::pending, net::SocketAddr, ops::RangeInclusive, pin::pin,
    sync::Arc, time::Duration,
};

use bytes::Bytes;
use eyre::{Context, Result};
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use intake::{
    Activity, ClientSocket, ClientStream, Connection, Connections, Pace, Phase, Timeouts,
};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::metrics::{Metrics, PortName};

/// Delay before the next accept after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum size of a connection's buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Minimum and maximum number of connections that wait to be accepted.
const BACKLOG: RangeInclusive<u32> = 16..=1_024;

/// Response of a service.
pub(crate) type Response = hyper::Response<Full<Bytes>>;

/// Connection on which a request arrived.
#[derive(Clone)]
pub(crate) struct Origin {
    /// Marks requests that are being answered.
    pub(crate) activity: Activity,
    /// Socket of the client.
    pub(crate) socket: ClientSocket,
}

/// Connections at a port, and limits for each of them.
#[derive(Clone)]
pub(crate) struct Port {
    /// Name in metrics and log lines.
    pub(crate) name: PortName,
    /// Metrics of the process.
    pub(crate) metrics: Arc<Metrics>,
    /// Open connections.
    pub(crate) connections: Connections,
    /// Pace at which they are read.
    pub(crate) pace: Pace,
    /// Time for which a connection may be idle.
    pub(crate) idle_timeout: Duration,
    /// Time limits for reads and writes.
    pub(crate) timeouts: Timeouts,
    /// Maximum size of all headers, in bytes.
    pub(crate) header_bytes: usize,
}

impl Port {
    /// Records the number of connections, and of those that were closed.
    fn record_connections(&self) {
        let open = i64::try_from(self.connections.open()).unwrap_or(i64::MAX);
        self.metrics.connections.get_or_create(&self.name).set(open);
        let (displaced, refused) = self.connections.counts();
        let counter = self.metrics.connections_displaced.get_or_create(&self.name);
        counter.inc_by(displaced - counter.get());
        let counter = self.metrics.connections_refused.get_or_create(&self.name);
        counter.inc_by(refused - counter.get());
    }
}

/// Listens at an address, at a port for up to this many connections.
pub(crate) fn listen(address: SocketAddr, connections: usize) -> Result<TcpListener> {
    let backlog = u32::try_from(connections / 2).unwrap_or(u32::MAX);
    intake::listen(address, backlog.clamp(*BACKLOG.start(), *BACKLOG.end()))
        .with_context(|| format!("connections cannot be accepted at {address}"))
}

/// Serves connections for as long as the process runs.
///
/// Once `closing` is set, each connection closes after its current request.
pub(crate) async fn serve<S, F>(
    listener: TcpListener,
    port: Port,
    closing: watch::Receiver<bool>,
    service: S,
) where
    S: Fn(Request<Incoming>, Origin) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(error:% = err; "accepting a connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let admitted = port.connections.admit().await;
        port.record_connections();
        let Some(connection) = admitted else {
            log::warn!(port = port.name.port, open = port.connections.open(); "closing a new connection: all others are being answered");
            continue;
        };
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!(error:% = err; "setting TCP_NODELAY failed; small responses may be delayed");
        }
        let (port, closing, service) = (port.clone(), closing.clone(), service.clone());
        tokio::spawn(async move {
            serve_connection(stream, &connection, &port, closing, service).await;
            drop(connection);
            port.record_connections();
        });
    }
}

/// Serves a connection until it ends, is displaced, or is idle while `closing` is set.
async fn serve_connection<S, F>(
    stream: TcpStream,
    connection: &Connection,
    port: &Port,
    mut closing: watch::Receiver<bool>,
    service: S,
) where
    S: Fn(Request<Incoming>, Origin) -> F,
    F: Future<Output = Response>,
{
    let phase = Phase::default();
    let stream = ClientStream::new(stream, phase.clone(), port.timeouts, &port.pace);
    let origin = Origin { activity: connection.activity(), socket: stream.socket() };
    let handle = service_fn(move |request| {
        let response = service(request, origin.clone());
        let phase = phase.clone();
        async move {
            let _guard = phase.begin_request();
            Ok::<_, Infallible>(response.await)
        }
    });
    let exchange = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(port.idle_timeout)
        .max_buf_size(port.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), handle);
    let mut exchange = pin!(exchange);
    let ended = tokio::select! {
        ended = exchange.as_mut() => ended,
        () = connection.wait_until_displaced() => {
            log::info!(port = port.name.port; "a quiet connection is closed: another one needs its place");
            return;
        }
        () = wait_for_close(&mut closing) => {
            exchange.as_mut().graceful_shutdown();
            tokio::select! {
                ended = exchange.as_mut() => ended,
                () = connection.wait_until_displaced() => return,
            }
        }
    };
    if let Err(err) = ended {
        log::debug!(error:% = err; "a connection ended with an error");
    }
}

/// Waits until `closing` is set; never returns if its sender is dropped first.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|it| *it).await.is_err() {
        pending::<()>().await;
    }
}

/// Response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: Vec<u8>) -> Response {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Response with an error message in a JSON body.
pub(crate) fn error_response(status: StatusCode, message: &str) -> Response {
    #[derive(Serialize)]
    struct Body<'a> {
        error: &'a str,
    }
    let body = serde_json::to_vec(&Body { error: message });
    json_response(status, body.expect("a string can be encoded"))
}

/// Response with status 503 and a `Retry-After` header in seconds.
pub(crate) fn unavailable(message: &str, retry_after_s: u64) -> Response {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, message);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
    response
}

/// Adds a header that closes the connection after this response.
pub(crate) fn close_connection(response: &mut Response) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
