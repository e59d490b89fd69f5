//! HTTP API of the worker.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::{
    protocol::{
        Failure, LeaseBody, StartBody, StopBody, StopCause, Stopped, TaskAnswer, TaskId,
        ThrottleBody,
    },
    running::Control,
    shared::Shared,
};
use crate::{
    fault::Fault,
    serve::{Handler, json},
};

type Answer = Response<Full<Bytes>>;

impl Handler for Shared {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["health"]) => self.health().await,
            (&Method::GET, ["usage"]) => json(StatusCode::OK, &self.lagging_usage()),
            (&Method::POST, ["tasks"]) => self.run(request).await,
            (&Method::POST, ["tasks", job, index, action]) => match task_id(job, index) {
                Some(task) => self.command(task, action, request).await,
                None => failure(StatusCode::BAD_REQUEST, "the path names no task"),
            },
            _ => failure(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Shared {
    async fn health(&self) -> Answer {
        self.faults.delay_answer().await;
        Response::new(Full::default())
    }

    async fn run(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let body: StartBody = match parse(request).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let reservation = match self.start(&body) {
            Ok(reservation) => reservation,
            Err(reason) => return failure(StatusCode::CONFLICT, &reason),
        };
        if self.faults.current() == Fault::FailAll {
            return failure(StatusCode::INTERNAL_SERVER_ERROR, "this worker fails everything");
        }
        let run_time = self.faults.run_time(Duration::from_millis(body.run_ms));
        // A task continues after its client disconnects, as long as its lease is renewed.
        let ended = tokio::spawn(reservation.work(run_time)).await.expect("a task does not panic");
        self.faults.delay_answer().await;
        match ended {
            Ok(()) => json(StatusCode::OK, &self.answer(body)),
            Err(stopped) => json(StatusCode::GONE, &Stopped { stopped }),
        }
    }

    fn answer(&self, body: StartBody) -> TaskAnswer {
        TaskAnswer {
            worker: self.options.name.clone(),
            job: body.job,
            index: body.index,
            body: body.body,
        }
    }

    async fn command(&self, task: TaskId, action: &str, request: Request<Incoming>) -> Answer {
        let result = match action {
            "lease" => parse(request).await.map(|body| self.renew(task, body)),
            "stop" => parse(request).await.map(|body| self.stop(task, body)),
            "throttle" => parse(request).await.map(|body| self.throttle(task, body)),
            _ => Err(failure(StatusCode::NOT_FOUND, "no such path")),
        };
        self.faults.delay_answer().await;
        match result {
            Ok(true) => Response::new(Full::default()),
            Ok(false) => failure(StatusCode::NOT_FOUND, "no such task runs"),
            Err(answer) => answer,
        }
    }

    fn renew(&self, task: TaskId, body: LeaseBody) -> bool {
        let until = Instant::now() + Duration::from_millis(body.lease_ms);
        self.control(task, |control| control.lease_until = until)
    }

    fn stop(&self, task: TaskId, body: StopBody) -> bool {
        let cause = match body.checkpoint {
            true => StopCause::Checkpointed,
            false => StopCause::Requested,
        };
        self.control(task, |control| control.stop = Some(cause))
    }

    fn throttle(&self, task: TaskId, body: ThrottleBody) -> bool {
        self.control(task, |control: &mut Control| control.percent = body.percent.clamp(1, 100))
    }
}

async fn parse<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Answer> {
    let Ok(body) = request.into_body().collect().await else {
        return Err(failure(StatusCode::BAD_REQUEST, "the body ended early"));
    };
    serde_json::from_slice(&body.to_bytes())
        .map_err(|err| failure(StatusCode::BAD_REQUEST, &format!("the body is invalid: {err}")))
}

fn task_id(job: &str, index: &str) -> Option<TaskId> {
    Some(TaskId { job: job.parse().ok()?, index: index.parse().ok()? })
}

fn failure(status: StatusCode, error: &str) -> Answer {
    json(status, &Failure { error: error.to_owned() })
}
