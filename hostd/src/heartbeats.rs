//! Receives heartbeats of the endpoint on the same host.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, StatusCode, body::Incoming};
use platform::{RegistryCall, decode_heartbeat, registry_call};
use ractor::ActorRef;
use tokio::time::timeout;

use crate::{
    agent::Message,
    http::{Answer, error, json},
};

/// Largest heartbeat, in bytes.
const MAX_BODY: usize = 4 << 20;
/// Time for a heartbeat to arrive; its sender waits for a second.
const BODY_TIME: Duration = Duration::from_millis(900);
/// Time between two log lines about heartbeats that cannot be read.
const COMPLAINT: Duration = Duration::from_secs(5);

/// Receives heartbeats; clones share everything.
#[derive(Clone)]
pub(crate) struct Heartbeats {
    actor: ActorRef<Message>,
    complained: Arc<Mutex<Option<Instant>>>,
}

impl Heartbeats {
    /// Passes heartbeats on to `actor`.
    pub(crate) fn new(actor: ActorRef<Message>) -> Heartbeats {
        Heartbeats { actor, complained: Arc::default() }
    }

    /// Answers a call of the registry.
    pub(crate) async fn handle(self, request: Request<Incoming>) -> Answer {
        let Some(call) = registry_call(request.method(), request.uri().path()) else {
            return error(StatusCode::NOT_FOUND, "only heartbeats of instances are served here");
        };
        let sent = match call {
            RegistryCall::Heartbeat { instance } => {
                let Some(body) = read(request).await else {
                    return error(StatusCode::BAD_REQUEST, "the heartbeat has not arrived whole");
                };
                match decode_heartbeat(&instance, &body) {
                    Ok(beat) => self.actor.cast(Message::Heartbeat(beat)),
                    Err(err) => {
                        self.complain(&instance, &err.to_string());
                        return error(StatusCode::BAD_REQUEST, &err.to_string());
                    }
                }
            }
            RegistryCall::Leave { instance } => self.actor.cast(Message::Left(instance)),
        };
        match sent {
            Ok(()) => json(StatusCode::OK, b"{}".to_vec()),
            Err(_) => error(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped"),
        }
    }

    /// Logs a heartbeat that names no endpoint, at a bounded rate.
    fn complain(&self, instance: &str, what: &str) {
        let mut last = self.complained.lock().unwrap_or_else(PoisonError::into_inner);
        if last.is_none_or(|at| at.elapsed() >= COMPLAINT) {
            *last = Some(Instant::now());
            log::warn!(instance = instance, error = what; "a heartbeat cannot be read");
        }
    }
}

async fn read(request: Request<Incoming>) -> Option<Bytes> {
    let body = timeout(BODY_TIME, Limited::new(request.into_body(), MAX_BODY).collect()).await;
    Some(body.ok()?.ok()?.to_bytes())
}
