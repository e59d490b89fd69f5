//! HTTP service for callers: submits, queries and cancels jobs.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use broker::{Config, Limits, Reply, Route, Status, Submission};
use hyper::{Method, Request, StatusCode, body::Incoming, header::HOST};
use intake::{Bodies, BodyError, Shares, WholeBody, discard};
use mesh::JobId;
use platform::{
    SubmissionError, caller_headers, decode_submission, parse_job_id, pending_body, shorten,
    status_body,
};
use ractor::ActorRef;
use tokio::sync::oneshot;

use crate::{
    clock::{uptime, uptime_at},
    config::CurrentConfig,
    entry::Message,
    http::{Origin, Response, close_connection, error_response, json_response, unavailable},
    job_limits::{JobHold, JobLimits},
    metrics::{Metrics, Outcome},
};

/// `Retry-After` of an entry that has no configuration or no room, does not support a job or has
/// stopped, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Maximum size of a path or a host name in a log line, in bytes.
const MAX_LOGGED_BYTES: usize = 256;

/// Serves callers; clones share their state.
#[derive(Clone)]
pub(crate) struct CallerService {
    shared: Arc<Shared>,
}

struct Shared {
    actor: ActorRef<Message>,
    current_config: Arc<CurrentConfig>,
    metrics: Arc<Metrics>,
    stopping: Arc<AtomicBool>,
    bodies: Bodies,
    job_limits: JobLimits,
    next_request: AtomicU64,
}

/// Reports to the actor on drop that the caller disconnected, unless its request was answered.
struct DisconnectGuard {
    request_number: u64,
    actor: ActorRef<Message>,
    answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.answered {
            // The cast fails only once the actor has stopped, at the end of the process.
            let _ = self.actor.cast(Message::Disconnected(self.request_number));
        }
    }
}

impl CallerService {
    /// Creates a service that forwards requests to `actor`, and holds up to `shares` of them.
    pub(crate) fn new(
        actor: ActorRef<Message>,
        current_config: Arc<CurrentConfig>,
        metrics: Arc<Metrics>,
        stopping: Arc<AtomicBool>,
        shares: &Shares,
    ) -> CallerService {
        let shared = Shared {
            actor,
            current_config,
            metrics,
            stopping,
            bodies: Bodies::new(shares.body_bytes),
            job_limits: JobLimits::new(shares),
            next_request: AtomicU64::new(1),
        };
        CallerService { shared: Arc::new(shared) }
    }

    /// Answers a request; if the entry is stopping, closes the connection afterwards.
    pub(crate) async fn handle(self, request: Request<Incoming>, origin: Origin) -> Response {
        let mut response = self.respond(request, &origin).await;
        if self.shared.stopping.load(Ordering::Relaxed) {
            close_connection(&mut response);
        }
        response
    }

    async fn respond(&self, request: Request<Incoming>, origin: &Origin) -> Response {
        let Some(config) = self.shared.current_config.get() else {
            self.count("no_config");
            log::warn!(path = shorten(request.uri().path(), MAX_LOGGED_BYTES); "refusing a request: there is no configuration yet");
            return unavailable("there is no configuration yet", RETRY_AFTER_S);
        };
        let host = host(&request).to_owned();
        let path = request.uri().path().to_owned();
        let Some((route, rest)) = config.route(&host, &path) else {
            self.count("no_route");
            log::info!(host = shorten(&host, MAX_LOGGED_BYTES), path = shorten(&path, MAX_LOGGED_BYTES), version = config.version; "no route matches a request");
            return error_response(StatusCode::NOT_FOUND, "no queue has this host and path");
        };
        match (request.method(), rest) {
            (&Method::POST, job) => {
                let Some(job) = parse_job_id(job) else {
                    return error_response(
                        StatusCode::BAD_REQUEST,
                        "the path must end with 16 hexadecimal digits",
                    );
                };
                self.submit(&config, route, job, request, origin).await
            }
            (&Method::GET, "") => self.pending(route).await,
            (&Method::GET, job) => self.status(job).await,
            (&Method::DELETE, job) => self.cancel(job).await,
            _ => error_response(StatusCode::METHOD_NOT_ALLOWED, "POST, GET and DELETE are served"),
        }
    }

    async fn submit(
        &self,
        config: &Config,
        route: &Arc<Route>,
        job: JobId,
        request: Request<Incoming>,
        origin: &Origin,
    ) -> Response {
        let headers = caller_headers(request.headers());
        let id = headers.request_id.clone();
        let body = match self.read_body(&config.limits, job, request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        // Taken before the actor checks whether the caller has left, so that each suspension either
        // ends before that check or comes after these times.
        let (arrived, read) = (uptime_at(origin.socket.arrived()), uptime());
        let _answer = origin.activity.begin_answer();
        let submission = match decode_submission(job, Arc::clone(route), headers, &body) {
            Ok(submission) => submission,
            Err(err) => return self.refuse_undecoded(job, &id, &err),
        };
        drop(body);
        let hold = match self.hold(&submission).await {
            Ok(hold) => hold,
            Err(response) => return response,
        };
        let request_number = self.shared.next_request.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let submission = Box::new(submission);
        let socket = origin.socket.clone();
        let message = Message::Submit {
            request_number,
            arrived,
            read,
            submission,
            hold,
            socket,
            reply: sender,
        };
        let actor = self.shared.actor.clone();
        if actor.cast(message).is_err() {
            return unavailable("the entry has stopped", RETRY_AFTER_S);
        }
        let mut guard = DisconnectGuard { request_number, actor, answered: false };
        let reply = receiver.await.unwrap_or(Reply::GivenUp);
        guard.answered = true;
        self.count(outcome_label(reply));
        reply_response(reply)
    }

    /// Reads the body of a job, or returns the answer to one that cannot be read.
    async fn read_body(
        &self,
        limits: &Limits,
        job: JobId,
        request: Request<Incoming>,
    ) -> Result<WholeBody, Response> {
        let timeout = Duration::from_millis(limits.header_time);
        let mut incoming = request.into_body();
        match self.shared.bodies.read(&mut incoming, limits.body_bytes, timeout).await {
            Ok(body) => Ok(body),
            Err(err) => {
                discard(incoming, limits.body_bytes);
                Err(self.refuse_unread(job, err, limits.body_bytes).await)
            }
        }
    }

    /// Answers a request whose body is not accepted as a job; `id` is that of the request.
    fn refuse_undecoded(&self, job: JobId, id: &str, err: &SubmissionError) -> Response {
        match err {
            SubmissionError::Invalid(error) => {
                self.count("invalid");
                log::info!(job:% = job, request = id, error = error.as_str(); "rejecting an invalid job");
                error_response(StatusCode::BAD_REQUEST, error)
            }
            SubmissionError::Unsupported(feature) => {
                self.count("unsupported");
                log::warn!(job:% = job, request = id, reason:% = feature; "a job is refused");
                unavailable(&feature.to_string(), RETRY_AFTER_S)
            }
        }
    }

    /// Takes the memory and the slot of a job, or returns the refusal if there is neither.
    ///
    /// A copy of a job that has arrived before holds nothing for long, and must not be refused.
    async fn hold(&self, submission: &Submission) -> Result<Option<JobHold>, Response> {
        let bytes = submission.memory_bytes();
        let hold = self.shared.job_limits.try_hold(bytes);
        if hold.is_some() || self.is_known(submission.job).await {
            return Ok(hold);
        }
        let (free_bytes, free_slots) = self.shared.job_limits.free();
        self.count("overloaded");
        log::warn!(
            job:% = submission.job, request = submission.request.as_str(), bytes = bytes,
            free_bytes = free_bytes, free_slots = free_slots;
            "a job is refused: too many are in progress"
        );
        Err(unavailable("not run: too many jobs are in progress", RETRY_AFTER_S))
    }

    /// Answers a request whose body was not read.
    async fn refuse_unread(&self, job: JobId, err: BodyError, max_bytes: usize) -> Response {
        let message = err.to_string();
        if err == BodyError::NoMemory {
            self.shared.metrics.bodies_refused.inc();
        }
        let mut response = match err {
            BodyError::TooLarge => error_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                &format!("the body must not be larger than {max_bytes} bytes"),
            ),
            BodyError::Broken => error_response(StatusCode::BAD_REQUEST, &message),
            BodyError::Late => error_response(StatusCode::REQUEST_TIMEOUT, &message),
            // The status promises that the job never runs, which is not true of a copy of a job that
            // has arrived before.
            BodyError::NoMemory if self.is_known(job).await => reply_response(Reply::GivenUp),
            BodyError::NoMemory => {
                self.count("no_memory");
                log::warn!(job:% = job, free = self.shared.bodies.free(); "a job is refused: {err}");
                unavailable(&message, RETRY_AFTER_S)
            }
        };
        close_connection(&mut response);
        response
    }

    /// Whether the entry runs a job or has answered it.
    async fn is_known(&self, job: JobId) -> bool {
        matches!(self.query(|reply| Message::Status(job, reply)).await, Some(Some(_)))
    }

    async fn pending(&self, route: &Route) -> Response {
        let name = route.name.clone();
        match self.query(|reply| Message::Pending(name, reply)).await {
            Some(pending) => json_response(StatusCode::OK, pending_body(pending)),
            None => unavailable("the entry has stopped", RETRY_AFTER_S),
        }
    }

    async fn status(&self, job: &str) -> Response {
        let Some(job) = parse_job_id(job) else { return unknown_job() };
        match self.query(|reply| Message::Status(job, reply)).await {
            Some(Some(status)) => json_response(StatusCode::OK, status_body(status)),
            Some(None) => unknown_job(),
            None => unavailable("the entry has stopped", RETRY_AFTER_S),
        }
    }

    async fn cancel(&self, job: &str) -> Response {
        let Some(job) = parse_job_id(job) else { return unknown_job() };
        match self.query(|reply| Message::Cancel(job, reply)).await {
            Some(true) => {
                json_response(StatusCode::OK, status_body(Status::Answered(Reply::Cancelled)))
            }
            Some(false) => unknown_job(),
            None => unavailable("the entry has stopped", RETRY_AFTER_S),
        }
    }

    /// Sends the actor a message and waits for the reply; none if the actor has stopped.
    async fn query<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.shared.actor.cast(message(sender)).ok()?;
        receiver.await.ok()
    }

    fn count(&self, outcome: &'static str) {
        self.shared.metrics.answers.get_or_create(&Outcome::new(outcome)).inc();
    }
}

/// Host name from the `Host` header, without the port.
fn host(request: &Request<Incoming>) -> &str {
    let header = request.headers().get(HOST).and_then(|it| it.to_str().ok()).unwrap_or_default();
    header.split(':').next().unwrap_or_default()
}

fn outcome_label(reply: Reply) -> &'static str {
    match reply {
        Reply::Completed => "completed",
        Reply::Failed => "failed",
        Reply::Refused { .. } => "refused",
        Reply::GivenUp => "given_up",
        Reply::Cancelled => "cancelled",
    }
}

fn reply_response(reply: Reply) -> Response {
    match reply {
        Reply::Completed | Reply::Failed | Reply::Cancelled => {
            json_response(StatusCode::OK, status_body(Status::Answered(reply)))
        }
        Reply::Refused { retry_after } => {
            unavailable("not run: there is no room in time", retry_after.div_ceil(1_000))
        }
        Reply::GivenUp => {
            error_response(StatusCode::GATEWAY_TIMEOUT, "given up: parts of the job may have run")
        }
    }
}

fn unknown_job() -> Response {
    error_response(StatusCode::GONE, "no such job is known")
}
