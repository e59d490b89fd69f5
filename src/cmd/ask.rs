//! `primrosemux ask`: queries the outcome of a request or job.

use hyper::Method;

use crate::{
    Environment,
    cli::Ask,
    cmd::job,
    entry::Call,
    input::entry_client,
    outcome::{IdOrigin, Outcome},
    output::{Failure, Output},
};

pub(crate) async fn run(args: &Ask, env: Environment<'_>) -> Result<Output, Failure> {
    let entry = entry_client(args.entry.as_deref(), env)?;
    let outcome = match args.job {
        true => job::ask(&entry, args.id).await,
        false => {
            let call = Call::quick(Method::GET, format!("/v1/requests/{}", args.id));
            match entry.call(call).await {
                Ok(response) => Outcome::parse(args.id, &response, entry.address()),
                Err(err) => Outcome::without_answer(args.id, IdOrigin::Provided, &err),
            }
        }
    };
    Ok(outcome.output(outcome.exit(), args.json))
}
