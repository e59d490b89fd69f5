//! `primrosemux submit`: submits one request.

use std::time::Duration;

use hyper::Method;
use ident::{RequestId, Timestamp};

use crate::{
    Environment,
    cli::Submit,
    entry::{Call, Header},
    input::{entry_client, read_file},
    outcome::{ID_HEADER, IdOrigin, Outcome},
    output::{Failure, Output},
};

/// Timeout of a request without a deadline.
const DEFAULT_WAIT: Duration = Duration::from_secs(120);
/// Time past the deadline until the answer counts as lost.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

pub(crate) async fn run(args: &Submit, env: Environment<'_>) -> Result<Output, Failure> {
    let entry = entry_client(args.entry.as_deref(), env)?;
    let (id, origin) = resolve_id(args.id);
    let call = Call {
        method: Method::POST,
        path: format!(
            "/v1/services/{}/kinds/{}/requests",
            percent_encode(&args.service),
            percent_encode(&args.kind)
        ),
        headers: headers(args, id),
        body: read_body(&args.body)?,
        timeout: args
            .deadline_ms
            .map_or(DEFAULT_WAIT, |it| Duration::from_millis(it) + ANSWER_GRACE),
    };
    let outcome = match entry.call(call).await {
        Ok(response) => Outcome::parse(id, &response, entry.address()),
        Err(err) => Outcome::without_answer(id, origin, &err),
    };
    Ok(outcome.output(outcome.exit(), args.json))
}

/// The caller's id, or a generated one.
pub(crate) fn resolve_id(given: Option<RequestId>) -> (RequestId, IdOrigin) {
    match given {
        Some(id) => (id, IdOrigin::Provided),
        None => (RequestId::new(Timestamp::now(), rand::random()), IdOrigin::Generated),
    }
}

fn headers(args: &Submit, id: RequestId) -> Vec<Header> {
    let mut headers = vec![
        Header { name: ID_HEADER, value: id.to_string() },
        Header { name: "primrosemux-team", value: args.team.clone() },
    ];
    if let Some(millis) = args.deadline_ms {
        headers.push(Header { name: "primrosemux-deadline-ms", value: millis.to_string() });
    }
    if let Some(millis) = args.run_ms {
        headers.push(Header { name: "primrosemux-run-ms", value: millis.to_string() });
    }
    headers
}

fn read_body(body: &str) -> Result<Vec<u8>, Failure> {
    match body.strip_prefix('@') {
        Some(path) => read_file(path).map(String::into_bytes),
        None => Ok(body.as_bytes().to_vec()),
    }
}

fn percent_encode(name: &str) -> String {
    let mut encoded = String::new();
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
                encoded.push(char::from(byte));
            }
            _ => encoded += &format!("%{byte:02X}"),
        }
    }
    encoded
}
