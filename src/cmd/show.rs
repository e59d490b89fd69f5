//! `primrosemux show`: prints the inventory in force.

use config::Inventory;
use serde::Serialize;

use crate::{
    Environment,
    cli::Show,
    input::read_log,
    output::{Exit, Failure, Output},
};

#[derive(Serialize)]
struct Report<'a> {
    version: u64,
    text: &'a str,
    inventory: &'a Inventory,
}

pub(crate) async fn run(args: &Show, env: Environment<'_>) -> Result<Output, Failure> {
    let log = read_log(args.log.as_deref(), env).await?;
    let Some(config) = log.config() else {
        return Err(Failure::not_run(
            "No version is in force; publish one with `primrosemux publish FILE`.",
        ));
    };
    match args.json {
        true => {
            let report = Report {
                version: config.version,
                text: &config.text,
                inventory: &config.inventory,
            };
            Ok(Output::json(&report, Exit::Done))
        }
        false => Ok(Output::text(&config.text, Exit::Done)),
    }
}
