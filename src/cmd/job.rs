//! `primrosemux job`: submits a job.

use std::time::Duration;

use hyper::Method;
use ident::RequestId;
use tokio::time::{Instant, sleep};

use crate::{
    Environment,
    cli::Job,
    cmd::submit::resolve_id,
    entry::{Call, EntryClient},
    input::{STDIN, entry_client, read_file},
    outcome::{IdOrigin, Outcome},
    output::{Exit, Failure, Output},
};

/// Interval between polls of a job's status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a submission that waits for the results.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout of a submission that does not wait for the results: long enough for
/// the entry to forward the job to its owner.
const SUBMIT_ONLY_TIMEOUT: Duration = Duration::from_secs(1);

pub(crate) async fn run(args: &Job, env: Environment<'_>) -> Result<Output, Failure> {
    let entry = entry_client(args.entry.as_deref(), env)?;
    let file = args.file.as_deref().unwrap_or(STDIN);
    let text = read_file(file)?;
    let mut job: node::Job = serde_json::from_str(&text)
        .map_err(|err| Failure::usage(format!("The job {file:?} is not accepted: {err}.")))?;
    let (id, origin) = resolve_id(job.id);
    job.id = Some(id);
    let end = Instant::now() + Duration::from_secs(args.wait_s);
    let mut outcome = match args.no_wait {
        true => submit_only(&entry, &job, id).await,
        false => submit(&entry, &job, id, origin).await,
    };
    while !args.no_wait && is_running(&outcome) && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
        outcome = ask(&entry, id).await;
    }
    let exit = match (&outcome, args.no_wait) {
        (Outcome::Running(_), true) => Exit::Done,
        (_, _) => outcome.exit(),
    };
    Ok(outcome.output(exit, args.json))
}

/// Queries the outcome of a job.
pub(crate) async fn ask(entry: &EntryClient, id: RequestId) -> Outcome {
    let call = Call::quick(Method::GET, format!("/v1/jobs/{id}"));
    match entry.call(call).await {
        Ok(response) => Outcome::parse_job(id, &response, entry.address()),
        Err(err) => Outcome::without_answer(id, IdOrigin::Provided, &err),
    }
}

/// Submits a job without waiting for its results and queries its status.
///
/// The job continues after its connection is closed.
async fn submit_only(entry: &EntryClient, job: &node::Job, id: RequestId) -> Outcome {
    match entry.call(post(job, SUBMIT_ONLY_TIMEOUT)).await {
        Ok(response) => Outcome::parse_job(id, &response, entry.address()),
        Err(_) => ask(entry, id).await,
    }
}

async fn submit(entry: &EntryClient, job: &node::Job, id: RequestId, origin: IdOrigin) -> Outcome {
    match entry.call(post(job, SUBMIT_TIMEOUT)).await {
        Ok(response) => Outcome::parse_job(id, &response, entry.address()),
        Err(err) => Outcome::without_answer(id, origin, &err),
    }
}

fn post(job: &node::Job, timeout: Duration) -> Call {
    Call {
        method: Method::POST,
        path: "/v1/jobs".to_owned(),
        headers: Vec::new(),
        body: serde_json::to_vec(job).expect("a job has only types that JSON can hold"),
        timeout,
    }
}

fn is_running(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Running(_) => true,
        Outcome::Done(_) | Outcome::Complete(_) | Outcome::Refused(_) => false,
    }
}
