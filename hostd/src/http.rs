//! HTTP server for callers, readiness, heartbeats and metrics.

use std::{
    convert::Infallible, future::pending, net::SocketAddr, pin::pin, sync::Arc, time::Duration,
};

use bytes::Bytes;
use eyre::{Context, Result};
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{net::TcpListener, sync::watch, time::sleep};

/// Delay before the next accept after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum size of a connection's buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Response of a service.
pub(crate) type Response = hyper::Response<Full<Bytes>>;

/// Limits of connections.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of open connections.
    pub(crate) connections: usize,
    /// Time limit for the headers of a request.
    pub(crate) header_timeout: Duration,
    /// Maximum size of all headers, in bytes.
    pub(crate) header_bytes: usize,
}

/// Listens at an address.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().with_context(|| format!("connections cannot be accepted at {address}"))
}

/// Serves connections for as long as the process runs.
///
/// Once `closing` is set, each connection closes after its current request.
pub(crate) async fn serve<S, F>(
    listener: TcpListener,
    limits: ConnectionLimits,
    closing: watch::Receiver<bool>,
    service: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let permits = Arc::new(tokio::sync::Semaphore::new(limits.connections));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(error:% = err; "accepting a connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!(limit = limits.connections; "closing a new connection: too many are open");
            continue;
        };
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!(error:% = err; "setting TCP_NODELAY failed; small responses may be delayed");
        }
        let service = service.clone();
        let handle = service_fn(move |request| {
            let response = service(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), handle);
        let mut closing = closing.clone();
        tokio::spawn(async move {
            let mut connection = pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                () = wait_for_close(&mut closing) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(err) = ended {
                log::debug!(error:% = err; "a connection ended with an error");
            }
            drop(permit);
        });
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

/// Adds a header that closes the connection after this response.
pub(crate) fn close_connection(response: &mut Response) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
