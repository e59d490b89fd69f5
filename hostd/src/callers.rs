//! HTTP service for callers: submits, queries and cancels jobs.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use broker::{Config, Reply, Route, Status};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    header::{HOST, HeaderValue, RETRY_AFTER},
};
use platform::{
    BadSubmission, caller_headers, decode_submission, parse_job, pending_body, status_body,
};
use ractor::ActorRef;
use tokio::{sync::oneshot, time::timeout};

use crate::{
    config::InForce,
    entry::Message,
    http::{Answer, close, error, json},
    metrics::{Metrics, Outcome},
};

/// `Retry-After` of an entry that has no configuration, does not support a job or has stopped,
/// in seconds.
const NO_CONFIG_RETRY: u64 = 1;

/// Serves callers; clones share their state.
#[derive(Clone)]
pub(crate) struct Callers {
    shared: Arc<Shared>,
}

struct Shared {
    actor: ActorRef<Message>,
    in_force: Arc<InForce>,
    metrics: Arc<Metrics>,
    stopping: Arc<AtomicBool>,
    next: AtomicU64,
}

/// Reports to the core on drop that a caller disconnected before it was answered.
struct Presence {
    token: u64,
    actor: ActorRef<Message>,
    answered: bool,
}

impl Drop for Presence {
    fn drop(&mut self) {
        if !self.answered {
            // The cast fails only once the actor has stopped, at the end of the process.
            let _ = self.actor.cast(Message::Gone(self.token));
        }
    }
}

impl Callers {
    /// Creates a service that forwards requests to `actor`.
    pub(crate) fn new(
        actor: ActorRef<Message>,
        in_force: Arc<InForce>,
        metrics: Arc<Metrics>,
        stopping: Arc<AtomicBool>,
    ) -> Callers {
        let next = AtomicU64::new(1);
        Callers { shared: Arc::new(Shared { actor, in_force, metrics, stopping, next }) }
    }

    /// Answers a request; closes the connection after the answer while the entry stops.
    pub(crate) async fn handle(self, request: Request<Incoming>) -> Answer {
        let mut answer = self.answer(request).await;
        if self.shared.stopping.load(Ordering::Relaxed) {
            close(&mut answer);
        }
        answer
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let Some(config) = self.shared.in_force.read() else {
            log::warn!(path = request.uri().path(); "refusing a request: there is no configuration yet");
            return refusal("there is no configuration yet", NO_CONFIG_RETRY);
        };
        let host = host(&request).to_owned();
        let path = request.uri().path().to_owned();
        let Some((route, rest)) = config.route(&host, &path) else {
            self.count("no_route");
            log::info!(host = host.as_str(), path = path.as_str(), version = config.version; "no route matches a request");
            return error(StatusCode::NOT_FOUND, "no queue has this host and path");
        };
        match (request.method(), rest) {
            (&Method::POST, job) => self.submit(&config, route, job, request).await,
            (&Method::GET, "") => self.pending(route).await,
            (&Method::GET, job) => self.status(job).await,
            (&Method::DELETE, job) => self.cancel(job).await,
            _ => error(StatusCode::METHOD_NOT_ALLOWED, "POST, GET and DELETE are served"),
        }
    }

    async fn submit(
        &self,
        config: &Config,
        route: &Arc<Route>,
        job: &str,
        request: Request<Incoming>,
    ) -> Answer {
        let Some(job) = parse_job(job) else {
            return error(StatusCode::BAD_REQUEST, "the path must end with 16 hexadecimal digits");
        };
        let headers = caller_headers(request.headers());
        let id = headers.request.clone();
        let limit = Duration::from_millis(config.limits.header_time);
        let body = match read_body(request, config.limits.body_bytes, limit).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let submission = match decode_submission(job, Arc::clone(route), headers, &body) {
            Ok(submission) => submission,
            Err(BadSubmission::Invalid(what)) => {
                self.count("invalid");
                log::info!(job:% = job, request = id.as_str(), error = what.as_str(); "rejecting an invalid job");
                return error(StatusCode::BAD_REQUEST, &what);
            }
            Err(BadSubmission::Unsupported(what)) => {
                self.count("unsupported");
                log::warn!(job:% = job, request = id.as_str(), reason:% = what; "a job is refused");
                return refusal(&what.to_string(), NO_CONFIG_RETRY);
            }
        };
        let token = self.shared.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let message = Message::Submit { token, submission: Box::new(submission), reply: sender };
        let actor = self.shared.actor.clone();
        if actor.cast(message).is_err() {
            return refusal("the entry has stopped", NO_CONFIG_RETRY);
        }
        let mut presence = Presence { token, actor, answered: false };
        let reply = receiver.await.unwrap_or(Reply::GivenUp);
        presence.answered = true;
        self.count(outcome(reply));
        render(reply)
    }

    async fn pending(&self, route: &Route) -> Answer {
        let name = route.name.clone();
        match self.ask(|reply| Message::Pending(name, reply)).await {
            Some(pending) => json(StatusCode::OK, pending_body(pending)),
            None => refusal("the entry has stopped", NO_CONFIG_RETRY),
        }
    }

    async fn status(&self, job: &str) -> Answer {
        let Some(job) = parse_job(job) else { return unknown_job() };
        match self.ask(|reply| Message::Status(job, reply)).await {
            Some(Some(status)) => json(StatusCode::OK, status_body(status)),
            Some(None) => unknown_job(),
            None => refusal("the entry has stopped", NO_CONFIG_RETRY),
        }
    }

    async fn cancel(&self, job: &str) -> Answer {
        let Some(job) = parse_job(job) else { return unknown_job() };
        match self.ask(|reply| Message::Cancel(job, reply)).await {
            Some(true) => json(StatusCode::OK, status_body(Status::Answered(Reply::Cancelled))),
            Some(false) => unknown_job(),
            None => refusal("the entry has stopped", NO_CONFIG_RETRY),
        }
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.shared.actor.cast(message(sender)).ok()?;
        receiver.await.ok()
    }

    fn count(&self, outcome: &'static str) {
        self.shared.metrics.answers.get_or_create(&Outcome::new(outcome)).inc();
    }
}

/// Host of the `Host` header, without the port.
fn host(request: &Request<Incoming>) -> &str {
    let header = request.headers().get(HOST).and_then(|it| it.to_str().ok()).unwrap_or_default();
    header.split(':').next().unwrap_or_default()
}

async fn read_body(
    request: Request<Incoming>,
    most: usize,
    limit: Duration,
) -> Result<Bytes, Answer> {
    match timeout(limit, Limited::new(request.into_body(), most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            let message = format!("the body must not be larger than {most} bytes");
            Err(closing(StatusCode::PAYLOAD_TOO_LARGE, &message))
        }
        Ok(Err(_)) => Err(closing(StatusCode::BAD_REQUEST, "the body has not arrived whole")),
        Err(_) => Err(closing(StatusCode::REQUEST_TIMEOUT, "the body has not arrived in time")),
    }
}

fn closing(status: StatusCode, message: &str) -> Answer {
    let mut answer = error(status, message);
    close(&mut answer);
    answer
}

fn outcome(reply: Reply) -> &'static str {
    match reply {
        Reply::Completed => "completed",
        Reply::Failed => "failed",
        Reply::Refused { .. } => "refused",
        Reply::GivenUp => "given_up",
        Reply::Cancelled => "cancelled",
    }
}

fn render(reply: Reply) -> Answer {
    match reply {
        Reply::Completed | Reply::Failed | Reply::Cancelled => {
            json(StatusCode::OK, status_body(Status::Answered(reply)))
        }
        Reply::Refused { retry_after } => {
            refusal("not run: there is no room in time", retry_after.div_ceil(1_000))
        }
        Reply::GivenUp => {
            error(StatusCode::GATEWAY_TIMEOUT, "given up: parts of the job may have run")
        }
    }
}

fn unknown_job() -> Answer {
    error(StatusCode::GONE, "no such job is known")
}

fn refusal(message: &str, retry_after: u64) -> Answer {
    let mut answer = error(StatusCode::SERVICE_UNAVAILABLE, message);
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(retry_after));
    answer
}
