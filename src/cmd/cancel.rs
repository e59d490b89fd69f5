//! `primrosemux cancel`: cancels a request or job.

use hyper::Method;

use crate::{
    Environment,
    cli::Cancel,
    entry::Call,
    input::entry_client,
    outcome::{IdOrigin, Outcome},
    output::{Exit, Failure, Output},
};

pub(crate) async fn run(args: &Cancel, env: Environment<'_>) -> Result<Output, Failure> {
    let entry = entry_client(args.entry.as_deref(), env)?;
    let id = args.id;
    let path = match args.job {
        true => format!("/v1/jobs/{id}"),
        false => format!("/v1/requests/{id}"),
    };
    let outcome = match (entry.call(Call::quick(Method::DELETE, path)).await, args.job) {
        (Ok(response), true) => Outcome::parse_job(id, &response, entry.address()),
        (Ok(response), false) => Outcome::parse(id, &response, entry.address()),
        (Err(err), _) => Outcome::without_answer(id, IdOrigin::Provided, &err),
    };
    let exit = if outcome.is_cancelled() { Exit::Done } else { Exit::Failed };
    Ok(outcome.output(exit, args.json))
}
