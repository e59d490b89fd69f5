//! Routes of the HTTP API.

use hyper::Method;
use ident::RequestId;

use crate::{error::RequestError, parse::check_name};

/// Hint in the error for an unknown path.
const PATHS_HINT: &str = "its paths begin with /v1/services, /v1/requests, /v1/jobs, \
                     /v1/status or /v1/explain";

/// Operation that a method and path select.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Route {
    /// Run a request of a service.
    Request {
        /// Service of the request.
        service: String,
        /// Kind of the request.
        kind: String,
    },
    /// Get the outcome of a request.
    Ask(RequestId),
    /// Cancel a request.
    Cancel(RequestId),
    /// Run a job.
    Job,
    /// Get the status of a job.
    AskJob(RequestId),
    /// Cancel a job.
    CancelJob(RequestId),
    /// Get the entry's view of the system.
    Status,
    /// Get the decisions about a request.
    Explain(RequestId),
    /// Liveness of the process.
    Health,
    /// Readiness of the node.
    Ready,
    /// Metrics of the node.
    Metrics,
}

/// Matches a method and path to a route.
pub(crate) fn route(method: &Method, path: &str) -> Result<Route, RequestError> {
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "services", service, "kinds", kind, "requests"]) => {
            let service = decode_name("service", service)?;
            let kind = decode_name("kind", kind)?;
            Ok(Route::Request { service, kind })
        }
        ("GET", ["v1", "requests", id]) => Ok(Route::Ask(request_id(id)?)),
        ("DELETE", ["v1", "requests", id]) => Ok(Route::Cancel(request_id(id)?)),
        ("POST", ["v1", "jobs"]) => Ok(Route::Job),
        ("GET", ["v1", "jobs", id]) => Ok(Route::AskJob(request_id(id)?)),
        ("DELETE", ["v1", "jobs", id]) => Ok(Route::CancelJob(request_id(id)?)),
        ("GET", ["v1", "status"]) => Ok(Route::Status),
        ("GET", ["v1", "explain", id]) => Ok(Route::Explain(request_id(id)?)),
        ("GET", ["health"]) => Ok(Route::Health),
        ("GET", ["ready"]) => Ok(Route::Ready),
        ("GET", ["metrics"]) => Ok(Route::Metrics),
        _ => Err(RequestError::unknown(
            "path",
            format!("{method} {path:?} is not part of the API; {PATHS_HINT}."),
        )),
    }
}

/// Decodes a percent-encoded name in a path.
fn decode_name(field: &str, text: &str) -> Result<String, RequestError> {
    let decoded = percent_decode(text).filter(|name| !name.is_empty());
    let name = decoded.ok_or_else(|| {
        RequestError::invalid(
            field,
            format!("The path has {text:?} as {field}; give a name in percent-encoded UTF-8."),
        )
    })?;
    check_name(field, &name)?;
    Ok(name)
}

fn request_id(text: &str) -> Result<RequestId, RequestError> {
    text.parse().map_err(|err| RequestError::invalid("id", format!("In the path, {err}.")))
}

fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => bytes.push(hex_digit(rest.next()?)? * 16 + hex_digit(rest.next()?)?),
            _ => bytes.push(byte),
        }
    }
    String::from_utf8(bytes).ok()
}

fn hex_digit(digit: u8) -> Option<u8> {
    char::from(digit).to_digit(16).map(|value| value as u8)
}
