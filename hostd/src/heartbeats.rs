//! HTTP service that receives heartbeats of the endpoint on the same host.

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

/// Maximum size of a heartbeat, in bytes.
const MAX_BODY: usize = 4 << 20;
/// Time limit for the body of a heartbeat; its sender waits for 1 s.
const BODY_TIME: Duration = Duration::from_millis(900);
/// Minimum interval between log lines about invalid heartbeats.
const COMPLAINT: Duration = Duration::from_secs(5);

/// Receives heartbeats; clones share their state.
#[derive(Clone)]
pub(crate) struct Heartbeats {
    actor: ActorRef<Message>,
    complained: Arc<Mutex<Option<Instant>>>,
}

impl Heartbeats {
    /// Creates a service that forwards heartbeats to `actor`.
    pub(crate) fn new(actor: ActorRef<Message>) -> Heartbeats {
        Heartbeats { actor, complained: Arc::default() }
    }

    /// Handles a registry call of the endpoint.
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

    /// Logs an invalid heartbeat, at a limited rate.
    fn complain(&self, instance: &str, what: &str) {
        let mut last = self.complained.lock().unwrap_or_else(PoisonError::into_inner);
        if last.is_none_or(|at| at.elapsed() >= COMPLAINT) {
            *last = Some(Instant::now());
            log::warn!(instance = instance, error = what; "rejecting an invalid heartbeat");
        }
    }
}

async fn read(request: Request<Incoming>) -> Option<Bytes> {
    let body = timeout(BODY_TIME, Limited::new(request.into_body(), MAX_BODY).collect()).await;
    Some(body.ok()?.ok()?.to_bytes())
}
