//! HTTP service that receives heartbeats of the endpoint on the same host.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use hyper::{Request, StatusCode, body::Incoming};
use intake::{Bodies, BodyError, discard};
use platform::{RegistryCall, decode_heartbeat, parse_registry_call, shorten};
use ractor::ActorRef;
use tokio::sync::oneshot;

use crate::{
    agent::Message,
    clock::uptime_at,
    http::{Origin, Response, close_connection, error_response, json_response, unavailable},
    metrics::Metrics,
};

/// Maximum size of a heartbeat, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time limit for the body of a heartbeat; its sender waits for 1 s.
const BODY_TIMEOUT: Duration = Duration::from_millis(900);
/// `Retry-After` of a heartbeat for which there is no memory, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// Maximum size of an id in a log line, in bytes.
const MAX_LOGGED_BYTES: usize = 256;
/// Minimum interval between log lines about invalid heartbeats.
const WARNING_INTERVAL: Duration = Duration::from_secs(5);

/// Receives heartbeats; clones share their state.
#[derive(Clone)]
pub(crate) struct HeartbeatService {
    actor: ActorRef<Message>,
    bodies: Bodies,
    metrics: Arc<Metrics>,
    last_warning: Arc<Mutex<Option<Instant>>>,
}

impl HeartbeatService {
    /// Creates a service that reads heartbeats into `bodies` and forwards them to `actor`.
    pub(crate) fn new(
        actor: ActorRef<Message>,
        bodies: Bodies,
        metrics: Arc<Metrics>,
    ) -> HeartbeatService {
        HeartbeatService { actor, bodies, metrics, last_warning: Arc::default() }
    }

    /// Handles a registry call of the endpoint.
    pub(crate) async fn handle(self, request: Request<Incoming>, origin: Origin) -> Response {
        let Some(call) = parse_registry_call(request.method(), request.uri().path()) else {
            return error_response(
                StatusCode::NOT_FOUND,
                "only heartbeats of instances are served here",
            );
        };
        // The answer waits until the call is handled, so that a connection has one in the queue.
        let (sender, handled) = oneshot::channel();
        let sent = match call {
            RegistryCall::Heartbeat { instance } => {
                let mut incoming = request.into_body();
                let read = self.bodies.read(&mut incoming, MAX_BODY_BYTES, BODY_TIMEOUT).await;
                let body = match read {
                    Ok(body) => body,
                    Err(err) => {
                        self.warn_limited(&instance, &err.to_string());
                        if err == BodyError::NoMemory {
                            self.metrics.bodies_refused.inc();
                        }
                        discard(incoming, MAX_BODY_BYTES);
                        return refusal(err);
                    }
                };
                let arrived = uptime_at(origin.socket.arrived());
                let _answer = origin.activity.begin_answer();
                match decode_heartbeat(&instance, &body) {
                    Ok(heartbeat) => {
                        let message = Message::Heartbeat { heartbeat, arrived, handled: sender };
                        self.actor.cast(message)
                    }
                    Err(err) => {
                        self.warn_limited(&instance, &err.to_string());
                        return error_response(StatusCode::BAD_REQUEST, &err.to_string());
                    }
                }
            }
            RegistryCall::Deregister { instance } => {
                self.actor.cast(Message::Deregistered(instance, sender))
            }
        };
        match (sent, handled.await) {
            (Ok(()), Ok(())) => json_response(StatusCode::OK, b"{}".to_vec()),
            (Err(_), _) | (_, Err(_)) => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped")
            }
        }
    }

    /// Logs an invalid heartbeat, at most once per [`WARNING_INTERVAL`].
    fn warn_limited(&self, instance: &str, error: &str) {
        let mut last = self.last_warning.lock().unwrap_or_else(PoisonError::into_inner);
        if last.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL) {
            *last = Some(Instant::now());
            log::warn!(instance = shorten(instance, MAX_LOGGED_BYTES), error = error; "rejecting an invalid heartbeat");
        }
    }
}

/// Answer to a heartbeat that was not read.
fn refusal(err: BodyError) -> Response {
    let mut response = match err {
        BodyError::TooLarge => error_response(StatusCode::PAYLOAD_TOO_LARGE, &err.to_string()),
        BodyError::Broken | BodyError::Late => {
            error_response(StatusCode::BAD_REQUEST, &err.to_string())
        }
        BodyError::NoMemory => unavailable(&err.to_string(), RETRY_AFTER_S),
    };
    close_connection(&mut response);
    response
}
