//! Renders replies of the core as HTTP responses.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
    http::response::Builder,
};
use ident::{NodeId, RequestId};
use node::CallerReply;
use serde::Serialize;
use verdict::{Answer, Outcome, Reason, Refusal, Verdict};
use wire::JobStatus;

use crate::{error::RequestError, pages::Readiness, parse::ID};

/// Header with the verdict on a request.
const VERDICT: &str = "primrosemux-verdict";
/// Header with the id of the node whose executor ran the request.
const RAN_ON: &str = "primrosemux-ran-on";

const JSON: &str = "application/json";
const OCTET_STREAM: &str = "application/octet-stream";
const TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Renders a reply of the core.
pub(crate) fn render_reply(reply: CallerReply) -> Response<Full<Bytes>> {
    match reply {
        CallerReply::Outcome { id, outcome: Outcome::Done(answer), ran_on } => {
            render_answer(id, answer, ran_on)
        }
        CallerReply::Outcome { id, outcome: Outcome::Refused(refusal), ran_on: _ } => {
            render_refusal(id, None, &refusal)
        }
        CallerReply::Running(id) => {
            let body = to_json(&RunningBody { id, status: "running" });
            build_response(response_builder(StatusCode::ACCEPTED, Some(id), None), JSON, body)
        }
        CallerReply::Job { id, status } => render_job(id, status),
        CallerReply::Explain(decisions) => json(StatusCode::OK, &decisions),
        CallerReply::Status(status) => json(StatusCode::OK, &status),
    }
}

/// Renders an error in a request.
pub(crate) fn render_error(error: &RequestError) -> Response<Full<Bytes>> {
    render_refusal(error.id(), Some(&error.field), &error.refusal())
}

/// Renders a refusal, with the invalid field if there is one.
pub(crate) fn render_refusal(
    id: Option<RequestId>,
    field: Option<&str>,
    refusal: &Refusal,
) -> Response<Full<Bytes>> {
    let verdict = refusal.verdict();
    let body = ErrorBody {
        error: ErrorFields {
            id,
            verdict,
            reason: refusal.reason,
            field,
            message: &refusal.message,
            retry_after_ms: refusal.retry_after.map(whole_millis),
        },
    };
    let mut builder = response_builder(status_code(refusal.reason), id, Some(verdict));
    if let Some(after) = refusal.retry_after {
        builder = builder.header(RETRY_AFTER, whole_seconds(after));
    }
    build_response(builder, JSON, to_json(&body))
}

/// Renders the readiness of the node; 503 if it is not ready.
pub(crate) fn render_readiness(readiness: &Readiness) -> Response<Full<Bytes>> {
    let status = match readiness.ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    json(status, readiness)
}

/// Renders a plain-text page.
pub(crate) fn render_text(text: String) -> Response<Full<Bytes>> {
    build_response(Response::builder(), TEXT, text.into_bytes())
}

/// HTTP status for a reason.
fn status_code(reason: Reason) -> StatusCode {
    match reason {
        Reason::Invalid => StatusCode::BAD_REQUEST,
        Reason::Unknown => StatusCode::NOT_FOUND,
        Reason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        Reason::Overloaded
        | Reason::NoEndpoint
        | Reason::NotOwner
        | Reason::OwnerChanged
        | Reason::ShuttingDown
        | Reason::NotConfigured => StatusCode::SERVICE_UNAVAILABLE,
        Reason::DeadlineMissed | Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Reason::CannotFit => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::ConnectionLost | Reason::TaskFailed => StatusCode::BAD_GATEWAY,
        Reason::Cancelled => StatusCode::CONFLICT,
        Reason::Expired => StatusCode::GONE,
    }
}

#[derive(Serialize)]
struct RunningBody {
    id: RequestId,
    status: &'static str,
}

#[derive(Serialize)]
struct RunningJobBody {
    id: RequestId,
    status: &'static str,
    done: u32,
    total: u32,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    id: Option<RequestId>,
    verdict: Verdict,
    reason: Reason,
    field: Option<&'a str>,
    message: &'a str,
    retry_after_ms: Option<u64>,
}

fn render_answer(
    id: Option<RequestId>,
    answer: Answer,
    ran_on: Option<NodeId>,
) -> Response<Full<Bytes>> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = response_builder(status, id, Some(Verdict::Done));
    if let Some(node) = ran_on {
        builder = builder.header(RAN_ON, node.to_string());
    }
    build_response(builder, OCTET_STREAM, answer.body)
}

fn render_job(id: RequestId, status: JobStatus) -> Response<Full<Bytes>> {
    match status {
        JobStatus::Running { done, total } => {
            let body = to_json(&RunningJobBody { id, status: "running", done, total });
            build_response(response_builder(StatusCode::ACCEPTED, Some(id), None), JSON, body)
        }
        JobStatus::Ended(Outcome::Done(answer)) => {
            let mut body = format!(r#"{{"id":"{id}","status":"complete","results":"#).into_bytes();
            body.extend_from_slice(&answer.body);
            body.push(b'}');
            build_response(
                response_builder(StatusCode::OK, Some(id), Some(Verdict::Done)),
                JSON,
                body,
            )
        }
        JobStatus::Ended(Outcome::Refused(refusal)) => render_refusal(Some(id), None, &refusal),
    }
}

fn response_builder(
    status: StatusCode,
    id: Option<RequestId>,
    verdict: Option<Verdict>,
) -> Builder {
    let mut builder = Response::builder().status(status);
    if let Some(id) = id {
        builder = builder.header(ID, id.to_string());
    }
    if let Some(verdict) = verdict {
        builder = builder.header(VERDICT, verdict.to_string());
    }
    builder
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Full<Bytes>> {
    build_response(Response::builder().status(status), JSON, to_json(body))
}

fn to_json<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("replies are serializable as JSON")
}

fn build_response(builder: Builder, kind: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let response = builder.header(CONTENT_TYPE, kind).body(Full::new(Bytes::from(body)));
    response.expect("header values are printable ASCII")
}

fn whole_millis(duration: Duration) -> u64 {
    duration.as_micros().div_ceil(1000) as u64
}

fn whole_seconds(duration: Duration) -> u64 {
    duration.as_micros().div_ceil(1_000_000) as u64
}
