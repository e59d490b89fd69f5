//! Accepts callers' connections and answers their requests.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use ident::RequestId;
use node::{CallerReply, CallerRequest, CallerToken};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, oneshot},
    time::{sleep, timeout},
};
use verdict::{Reason, Refusal};

use crate::{
    connection::WriteLimited,
    error::RequestError,
    limits::Limits,
    pages::Pages,
    parse::{join_request, parse_head, parse_id, parse_job},
    refuse::turn_away,
    render::{render_error, render_readiness, render_refusal, render_reply, render_text},
    routes::{Route, route},
};

/// Time to wait after the listener has failed, for example for lack of files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections above the limit that are told so at a time; more are closed at once.
const MAX_REFUSALS: usize = 256;

/// What callers' connections report.
#[derive(Debug)]
pub enum FromCaller {
    /// A caller sent a request and waits for the reply.
    Request {
        /// Names the request.
        token: CallerToken,
        /// What the caller asks.
        request: CallerRequest,
        /// Where the reply goes.
        reply: oneshot::Sender<CallerReply>,
    },
    /// A caller closed its connection before the reply.
    Gone {
        /// Names the request.
        token: CallerToken,
    },
}

/// HTTP side of a node; clones share it.
#[derive(Clone)]
pub struct Front {
    shared: Arc<Shared>,
}

/// Where reports of callers' connections go.
type Sink = Box<dyn Fn(FromCaller) + Send + Sync>;

struct Shared {
    sink: Option<Sink>,
    pages: Pages,
    limits: Limits,
    next_token: AtomicU64,
    in_progress: AtomicUsize,
}

impl Front {
    /// Serves the API and the pages.
    ///
    /// Each connection has at most one request in progress, so that the limit on
    /// connections bounds what goes to `sink`.
    pub fn new(
        sink: impl Fn(FromCaller) + Send + Sync + 'static,
        pages: Pages,
        limits: Limits,
    ) -> Front {
        Front::with(Some(Box::new(sink)), pages, limits)
    }

    /// Serves the pages only.
    pub fn pages_only(pages: Pages, limits: Limits) -> Front {
        Front::with(None, pages, limits)
    }

    fn with(sink: Option<Sink>, pages: Pages, limits: Limits) -> Front {
        let next_token = AtomicU64::new(0);
        let in_progress = AtomicUsize::new(0);
        Front { shared: Arc::new(Shared { sink, pages, limits, next_token, in_progress }) }
    }

    /// Requests that have begun to arrive and have no answer yet.
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress.load(Ordering::Relaxed)
    }
}

/// Serves callers until `stop` ends, then finishes the requests in progress.
pub async fn serve(listener: TcpListener, front: Front, stop: impl Future<Output = ()>) {
    let limits = front.shared.limits;
    let graceful = GracefulShutdown::new();
    tokio::select! {
        () = accept(&listener, &front, &graceful) => {}
        () = stop => {}
    }
    drop(listener);
    if timeout(limits.stop_time, graceful.shutdown()).await.is_err() {
        log::warn!("callers' connections were still open after {:?}", limits.stop_time);
    }
}

async fn accept(listener: &TcpListener, front: &Front, graceful: &GracefulShutdown) {
    let permits = Arc::new(Semaphore::new(front.shared.limits.connections));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("a caller's connection could not be accepted: {err}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        match Arc::clone(&permits).try_acquire_owned() {
            Ok(permit) => start(stream, front.clone(), graceful.watcher(), permit),
            Err(_) => {
                log::warn!("a caller was turned away: too many connections are open");
                if let Ok(permit) = Arc::clone(&refusals).try_acquire_owned() {
                    tokio::spawn(turn_away(stream, permit));
                }
            }
        }
    }
}

/// Serves one connection in a task of its own.
fn start(stream: TcpStream, front: Front, watcher: Watcher, permit: OwnedSemaphorePermit) {
    let limits = front.shared.limits;
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("a caller's connection failed: {err}");
        return;
    }
    let stream = WriteLimited::new(stream, limits.write_time);
    let service = service_fn(move |request| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(front.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .serve_connection(TokioIo::new(stream), service);
    tokio::spawn(async move {
        if let Err(err) = watcher.watch(connection).await {
            log::debug!("a caller's connection failed: {err}");
        }
        drop(permit);
    });
}

impl Front {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let _counted = Counted::new(&self.shared.in_progress);
        let pages = &self.shared.pages;
        match route(request.method(), request.uri().path()) {
            Ok(Route::Health) => render_text("ok\n".to_owned()),
            Ok(Route::Ready) => render_readiness(&pages.readiness()),
            Ok(Route::Metrics) => render_text(pages.metrics()),
            Ok(route) => match self.parse(route, request).await {
                Ok(request) => self.ask(request).await,
                Err(err) => render_error(&err),
            },
            Err(err) => render_error(&err),
        }
    }

    async fn parse(
        &self,
        route: Route,
        request: Request<Incoming>,
    ) -> Result<CallerRequest, RequestError> {
        match route {
            Route::Request { service, kind } => self.parse_request(service, kind, request).await,
            Route::Job => {
                let body = self.read_body(request, self.shared.limits.job_bytes).await?;
                parse_job(&body).map(CallerRequest::Job)
            }
            Route::Ask(id) => Ok(CallerRequest::Ask(id)),
            Route::Cancel(id) => Ok(CallerRequest::Cancel(id)),
            Route::AskJob(id) => Ok(CallerRequest::AskJob(id)),
            Route::CancelJob(id) => Ok(CallerRequest::CancelJob(id)),
            Route::Status => Ok(CallerRequest::Status),
            Route::Explain(id) => Ok(CallerRequest::Explain(id)),
            Route::Health | Route::Ready | Route::Metrics => {
                Err(RequestError::unknown("path", "This page takes no request."))
            }
        }
    }

    async fn parse_request(
        &self,
        service: String,
        kind: String,
        request: Request<Incoming>,
    ) -> Result<CallerRequest, RequestError> {
        let id = parse_id(request.headers())?;
        let head = parse_head(request.headers(), id).map_err(|err| err.with_id(id))?;
        let body = self.read_body(request, self.shared.limits.request_bytes).await;
        let body = body.map_err(|err| err.with_id(id))?;
        Ok(CallerRequest::Request(join_request(head, service, kind, body.into())))
    }

    async fn read_body(
        &self,
        request: Request<Incoming>,
        max_bytes: usize,
    ) -> Result<Bytes, RequestError> {
        let limit = self.shared.limits.body_time;
        let body = Limited::new(request.into_body(), max_bytes);
        match timeout(limit, body.collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(err)) => Err(RequestError::invalid(
                "body",
                format!("The body could not be read: {err}; at most {max_bytes} bytes are taken."),
            )),
            Err(_) => Err(RequestError::invalid(
                "body",
                format!("The body had not arrived whole after {limit:?}; send it faster."),
            )),
        }
    }

    /// Passes a request to the core and waits for the reply.
    async fn ask(&self, request: CallerRequest) -> Response<Full<Bytes>> {
        let id = id_of(&request);
        let Some(sink) = &self.shared.sink else {
            return render_error(&RequestError::unknown("path", "This node takes no requests."));
        };
        let token = CallerToken(self.shared.next_token.fetch_add(1, Ordering::Relaxed));
        let (reply, receiver) = oneshot::channel();
        sink(FromCaller::Request { token, request, reply });
        let mut gone = Gone { token, sink, armed: true };
        let reply = receiver.await;
        gone.armed = false;
        match reply {
            Ok(reply) => render_reply(reply),
            Err(_) => render_refusal(id, None, &stopped()),
        }
    }
}

/// Counts a request until it is answered or given up.
struct Counted<'a>(&'a AtomicUsize);

impl Counted<'_> {
    fn new(count: &AtomicUsize) -> Counted<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reports a caller whose connection closes before the reply.
struct Gone<'a> {
    token: CallerToken,
    sink: &'a Sink,
    armed: bool,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        if self.armed {
            (self.sink)(FromCaller::Gone { token: self.token });
        }
    }
}

/// The core ended with the request in its hands.
fn stopped() -> Refusal {
    Refusal::may_have_run(
        Reason::ShuttingDown,
        "The process stopped before it had an answer; ask for the id at another entry.",
    )
}

fn id_of(request: &CallerRequest) -> Option<RequestId> {
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
