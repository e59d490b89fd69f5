//! Parses headers and bodies into requests for the core.

use std::{ops::RangeInclusive, time::Duration};

use hyper::HeaderMap;
use ident::RequestId;
use node::{Job, Request};
use serde::Deserialize;

use crate::error::RequestError;

/// Header with the id that the caller chose for its request.
pub(crate) const ID: &str = "primrosemux-id";
/// Header with the team of the caller.
pub(crate) const TEAM: &str = "primrosemux-team";
/// Header with the time until the deadline, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "primrosemux-deadline-ms";
/// Header with the run time that the caller declares, in milliseconds.
pub(crate) const RUN_MS: &str = "primrosemux-run-ms";

/// Accepted deadlines and run times, in milliseconds; at most a day.
const DURATION_MS: RangeInclusive<u64> = 1..=24 * 60 * 60 * 1000;

/// Maximum size of a name, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Parsed headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Head {
    id: Option<RequestId>,
    team: String,
    deadline: Option<Duration>,
    declared: Option<Duration>,
}

/// Id of a job; other fields are ignored, so that it can be read from an invalid job.
#[derive(Deserialize)]
struct IdOnly {
    id: Option<RequestId>,
}

/// Parses the id that the caller chose, if it chose one.
pub(crate) fn parse_id(headers: &HeaderMap) -> Result<Option<RequestId>, RequestError> {
    let Some(text) = header(headers, ID)? else {
        return Ok(None);
    };
    let id = text.parse().map_err(|err| RequestError::invalid(ID, format!("{ID}: {err}.")))?;
    Ok(Some(id))
}

/// Parses the other headers of a request.
pub(crate) fn parse_head(headers: &HeaderMap, id: Option<RequestId>) -> Result<Head, RequestError> {
    let team = header(headers, TEAM)?.filter(|team| !team.is_empty()).ok_or_else(|| {
        RequestError::invalid(TEAM, format!("{TEAM} is missing; send the name of your team."))
    })?;
    check_name(TEAM, team)?;
    Ok(Head {
        id,
        team: team.to_owned(),
        deadline: duration(headers, DEADLINE_MS)?,
        declared: duration(headers, RUN_MS)?,
    })
}

/// Combines headers, path and body into a request.
pub(crate) fn join_request(head: Head, service: String, kind: String, body: Vec<u8>) -> Request {
    Request {
        id: head.id,
        service,
        kind,
        team: head.team,
        deadline: head.deadline,
        declared: head.declared,
        body,
    }
}

/// Parses a job from its JSON body.
pub(crate) fn parse_job(body: &[u8]) -> Result<Job, RequestError> {
    let job: Job = serde_json::from_slice(body).map_err(|err| {
        RequestError::invalid("body", format!("The body is not a job in JSON: {err}."))
            .with_id(read_id(body).into())
    })?;
    check_job(&job).map_err(|err| err.with_id(job.id.into()))?;
    Ok(job)
}

/// Id in the body of an invalid job, if it can be read.
fn read_id(body: &[u8]) -> Option<RequestId> {
    let fields: IdOnly = serde_json::from_slice(body).ok()?;
    fields.id
}

fn check_job(job: &Job) -> Result<(), RequestError> {
    if job.team.is_empty() {
        return Err(RequestError::invalid("team", "team is empty; send the name of your team."));
    }
    check_name("team", &job.team)?;
    check_name("urgency", &job.urgency)?;
    if job.tasks.is_empty() {
        return Err(RequestError::invalid("tasks", "tasks is empty; a job has at least one task."));
    }
    if let Some(millis) = job.deadline_ms {
        check_duration("deadline_ms", millis)?;
    }
    Ok(())
}

/// Checks the length of a name, which is repeated in log lines and messages.
pub(crate) fn check_name(field: &str, name: &str) -> Result<(), RequestError> {
    if name.len() <= MAX_NAME_BYTES {
        return Ok(());
    }
    Err(RequestError::invalid(
        field,
        format!("{field} has {} bytes; a name has at most {MAX_NAME_BYTES}.", name.len()),
    ))
}

fn duration(headers: &HeaderMap, name: &str) -> Result<Option<Duration>, RequestError> {
    let Some(text) = header(headers, name)? else {
        return Ok(None);
    };
    let millis = text.parse().map_err(|_| {
        RequestError::invalid(
            name,
            format!("{name} is {text:?}; send whole milliseconds, such as 500."),
        )
    })?;
    check_duration(name, millis)?;
    Ok(Some(Duration::from_millis(millis)))
}

fn check_duration(field: &str, millis: u64) -> Result<(), RequestError> {
    if DURATION_MS.contains(&millis) {
        return Ok(());
    }
    let (min, max) = (DURATION_MS.start(), DURATION_MS.end());
    Err(RequestError::invalid(field, format!("{field} is {millis}; accepted are {min} to {max}.")))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(RequestError::invalid(
            name,
            format!("{name} is sent more than once; send it once."),
        ));
    }
    let text = value.to_str().map_err(|_| {
        RequestError::invalid(name, format!("{name} is {value:?}; send printable ASCII."))
    })?;
    Ok(Some(text))
}
