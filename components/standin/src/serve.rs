//! HTTP server with a bounded number of connections and fault injection.

use std::{
    convert::Infallible,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use eyre::{WrapErr, ensure};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinSet,
};

use crate::fault::Faults;

/// Interval between attempts to bind the port again.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// Any free port of 127.0.0.1.
pub(crate) const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Handles HTTP requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// Listens on a loopback address; a stand-in must not be reachable from other hosts.
pub(crate) async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    ensure!(
        address.ip().is_loopback(),
        "{address} is not a loopback address; give one such as 127.0.0.1:7000"
    );
    TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Serves forever; closes connections beyond the limit `connections` at once.
pub(crate) async fn serve<H: Handler>(
    listener: TcpListener,
    connections: usize,
    faults: Arc<Faults>,
    handler: Arc<H>,
) {
    let address = listener.local_addr().expect("a bound listener has an address");
    let permits = Arc::new(Semaphore::new(connections));
    let mut listener = listener;
    loop {
        accept_until_down(&listener, &permits, &faults, &handler).await;
        drop(listener);
        faults.up().await;
        listener = rebind(address).await;
    }
}

/// Response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(body).expect("bodies have only types that JSON can hold");
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Accepts connections; closes all of them on return.
async fn accept_until_down<H: Handler>(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    faults: &Arc<Faults>,
    handler: &Arc<H>,
) {
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = tasks.join_next() => continue,
            () = faults.down() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let Ok(permit) = Arc::clone(permits).try_acquire_owned() else { continue };
        let (faults, handler) = (Arc::clone(faults), Arc::clone(handler));
        tasks.spawn(async move {
            let _open = faults.count_open();
            serve_connection(stream, Arc::clone(&faults), handler).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, faults: Arc<Faults>, handler: Arc<H>) {
    let connection = faults.next_connection();
    let service = hyper::service::service_fn(|request| {
        let (faults, handler) = (Arc::clone(&faults), Arc::clone(&handler));
        async move {
            block_if_silenced(&faults, connection).await;
            let response = handler.handle(request).await;
            block_if_silenced(&faults, connection).await;
            Ok::<_, Infallible>(response)
        }
    });
    // An error means that the client closed the connection, which is allowed.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Never returns if the connection is silenced.
async fn block_if_silenced(faults: &Faults, connection: u64) {
    if faults.is_silenced(connection) {
        std::future::pending::<()>().await;
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
        }
    }
}
