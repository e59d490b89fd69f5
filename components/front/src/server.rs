//! HTTP server for callers and operators.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use ident::RequestId;
use intake::{
    Activity, Bodies, BodyReservation, ClientStream, Connection, Connections, Pace, Phase, Timeouts,
};
use node::{CallerRequest, CallerToken};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, oneshot},
    time::{sleep, timeout},
};
use verdict::{Reason, Refusal};

use crate::{
    body::{BufferedBody, read_body},
    error::{ChosenId, RequestError},
    events::{CallerEvent, DisconnectGuard, EventSink, InProgressGuard},
    limits::Limits,
    pages::Pages,
    parse::{join_request, parse_head, parse_id, parse_job},
    refuse::refuse_connection,
    render::{render_error, render_readiness, render_refusal, render_reply, render_text},
    routes::{Route, route},
};

/// Delay before the next accept after one failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reads from all connections in each window of the pace: up to 4 MB in 10 ms.
const READS_PER_WINDOW: usize = 1_024;
/// Smallest buffer of a connection, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Connections above the limit that get an error response at a time; others are closed at once.
const MAX_REFUSALS: usize = 256;

/// HTTP server of a node; clones share it.
#[derive(Clone)]
pub struct HttpServer {
    shared: Arc<Shared>,
}

struct Shared {
    sink: Option<EventSink>,
    pages: Pages,
    limits: Limits,
    bodies: Bodies,
    pace: Pace,
    next_token: AtomicU64,
    in_progress: AtomicUsize,
}

impl HttpServer {
    /// Creates a server for the API and the monitoring pages.
    ///
    /// Each connection has at most one request in progress, so the limit on
    /// connections also bounds the requests that `sink` receives.
    pub fn new(
        sink: impl Fn(CallerEvent) + Send + Sync + 'static,
        pages: Pages,
        limits: Limits,
    ) -> HttpServer {
        HttpServer::with(Some(Box::new(sink)), pages, limits)
    }

    /// Creates a server for the monitoring pages only.
    pub fn pages_only(pages: Pages, limits: Limits) -> HttpServer {
        HttpServer::with(None, pages, limits)
    }

    fn with(sink: Option<EventSink>, pages: Pages, limits: Limits) -> HttpServer {
        let shared = Shared {
            sink,
            pages,
            limits,
            bodies: Bodies::new(limits.buffered_bytes),
            pace: Pace::new(READS_PER_WINDOW),
            next_token: AtomicU64::new(0),
            in_progress: AtomicUsize::new(0),
        };
        HttpServer { shared: Arc::new(shared) }
    }

    /// Number of requests in progress, from the end of their headers to their response.
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress.load(Ordering::Relaxed)
    }
}

/// Serves connections until `stop` completes, then finishes the requests in progress.
pub async fn serve(listener: TcpListener, server: HttpServer, stop: impl Future<Output = ()>) {
    let limits = server.shared.limits;
    let graceful = GracefulShutdown::new();
    tokio::select! {
        () = accept(&listener, &server, &graceful) => {}
        () = stop => {}
    }
    drop(listener);
    if timeout(limits.stop_timeout, graceful.shutdown()).await.is_err() {
        log::warn!("caller connections were still open after {:?}", limits.stop_timeout);
    }
}

async fn accept(listener: &TcpListener, server: &HttpServer, graceful: &GracefulShutdown) {
    let connections = Connections::new(server.shared.limits.connections);
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("cannot accept a connection from a caller: {err}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        match connections.admit().await {
            Some(connection) => {
                spawn_connection(stream, server.clone(), graceful.watcher(), connection);
            }
            None => {
                log::warn!("rejected a connection from a caller: too many connections are open");
                if let Ok(permit) = Arc::clone(&refusals).try_acquire_owned() {
                    tokio::spawn(refuse_connection(stream, permit));
                }
            }
        }
    }
}

/// Spawns a task that serves a connection.
fn spawn_connection(
    stream: TcpStream,
    server: HttpServer,
    watcher: Watcher,
    connection: Connection,
) {
    let limits = server.shared.limits;
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("a caller's connection failed: {err}");
        return;
    }
    let phase = Phase::default();
    let timeouts = Timeouts { header: limits.header_timeout, write: limits.write_timeout };
    let stream = ClientStream::new(stream, phase.clone(), timeouts, &server.shared.pace);
    let activity = connection.activity();
    let service = service_fn(move |request| {
        let (server, phase, activity) = (server.clone(), phase.clone(), activity.clone());
        async move {
            let _guard = phase.begin_request();
            Ok::<_, Infallible>(server.respond(request, &activity).await)
        }
    });
    let exchange = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::spawn(async move {
        tokio::select! {
            ended = watcher.watch(exchange) => {
                if let Err(err) = ended {
                    log::debug!("a caller's connection failed: {err}");
                }
            }
            () = connection.wait_until_displaced() => {
                log::debug!("a caller's connection is closed: another one needs its place");
            }
        }
    });
}

impl HttpServer {
    async fn respond(
        &self,
        request: Request<Incoming>,
        activity: &Activity,
    ) -> Response<Full<Bytes>> {
        let _guard = InProgressGuard::new(&self.shared.in_progress);
        let pages = &self.shared.pages;
        match route(request.method(), request.uri().path()) {
            Ok(Route::Health) => render_text("ok\n".to_owned()),
            Ok(Route::Ready) => render_readiness(&pages.readiness()),
            Ok(Route::Metrics) => render_text(pages.metrics()),
            Ok(route) => match self.parse(route, request).await {
                Ok(Parsed { request, reservation }) => {
                    let _answer = activity.begin_answer();
                    let response = self.forward(request).await;
                    drop(reservation);
                    response
                }
                Err(err) => render_error(&err),
            },
            Err(err) => render_error(&err),
        }
    }

    async fn parse(
        &self,
        route: Route,
        request: Request<Incoming>,
    ) -> Result<Parsed, RequestError> {
        let request = match route {
            Route::Request { service, kind } => {
                return self.parse_request(service, kind, request).await;
            }
            Route::Job => return self.parse_job(request).await,
            Route::Ask(id) => CallerRequest::Ask(id),
            Route::Cancel(id) => CallerRequest::Cancel(id),
            Route::AskJob(id) => CallerRequest::AskJob(id),
            Route::CancelJob(id) => CallerRequest::CancelJob(id),
            Route::Status => CallerRequest::Status,
            Route::Explain(id) => CallerRequest::Explain(id),
            Route::Health | Route::Ready | Route::Metrics => {
                return Err(RequestError::unknown("path", "This page takes no request."));
            }
        };
        Ok(Parsed { request, reservation: None })
    }

    async fn parse_request(
        &self,
        service: String,
        kind: String,
        request: Request<Incoming>,
    ) -> Result<Parsed, RequestError> {
        let Shared { bodies, limits, .. } = &*self.shared;
        let id = parse_id(request.headers())?;
        let head = parse_head(request.headers(), id).map_err(|err| err.with_id(id.into()))?;
        let buffered = read_body(bodies, request.into_body(), limits.request_bytes, limits).await;
        let BufferedBody { bytes, reservation } = buffered.map_err(|err| err.with_id(id.into()))?;
        let request = join_request(head, service, kind, bytes);
        Ok(Parsed { request: CallerRequest::Request(request), reservation: Some(reservation) })
    }

    async fn parse_job(&self, request: Request<Incoming>) -> Result<Parsed, RequestError> {
        let Shared { bodies, limits, .. } = &*self.shared;
        let buffered = read_body(bodies, request.into_body(), limits.job_bytes, limits).await;
        let BufferedBody { bytes, reservation } =
            buffered.map_err(|err| err.with_id(ChosenId::Unread))?;
        let job = parse_job(&bytes)?;
        Ok(Parsed { request: CallerRequest::Job(job), reservation: Some(reservation) })
    }

    /// Sends a request to the core and renders its reply.
    async fn forward(&self, request: CallerRequest) -> Response<Full<Bytes>> {
        let id = request_id(&request);
        let Some(sink) = &self.shared.sink else {
            return render_error(&RequestError::unknown("path", "This node takes no requests."));
        };
        let token = CallerToken(self.shared.next_token.fetch_add(1, Ordering::Relaxed));
        let (reply, receiver) = oneshot::channel();
        sink(CallerEvent::Request { token, request, reply });
        let guard = DisconnectGuard::new(token, sink);
        let reply = receiver.await;
        guard.disarm();
        match reply {
            Ok(reply) => render_reply(reply),
            Err(_) => render_refusal(id, None, &stopped_refusal()),
        }
    }
}

/// A request for the core, with its share of the memory budget.
struct Parsed {
    request: CallerRequest,
    reservation: Option<BodyReservation>,
}

/// Refusal of a request that the core dropped at its end; it may have run.
fn stopped_refusal() -> Refusal {
    Refusal::may_have_run(
        Reason::ShuttingDown,
        "The process stopped before it had an answer; ask for the id at another entry.",
    )
}

fn request_id(request: &CallerRequest) -> Option<RequestId> {
    match request {
        CallerRequest::Request(request) => request.id,
        CallerRequest::Job(job) => job.id,
        CallerRequest::Ask(id)
        | CallerRequest::Cancel(id)
        | CallerRequest::AskJob(id)
        | CallerRequest::CancelJob(id)
        | CallerRequest::Explain(id) => Some(*id),
        CallerRequest::Status => None,
    }
}
