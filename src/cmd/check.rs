//! `primrosemux check`: checks an inventory.

use config::{Inventory, Problem};
use serde::Serialize;

use crate::{
    cli::Check,
    input::{describe, read_file},
    output::{Exit, Failure, Output},
};

#[derive(Serialize)]
struct Report {
    problems: Vec<Problem>,
}

pub(crate) fn run(args: &Check) -> Result<Output, Failure> {
    let text = read_file(&args.file)?;
    match (Inventory::parse(&text), args.json) {
        (Ok(_), true) => Ok(Output::json(&Report { problems: Vec::new() }, Exit::Done)),
        (Ok(inventory), false) => Ok(Output::text(summary(&args.file, &inventory), Exit::Done)),
        (Err(err), true) => Ok(Output::json(&Report { problems: err.problems }, Exit::Usage)),
        (Err(err), false) => Err(Failure::usage(describe(&args.file, &err))),
    }
}

fn summary(file: &str, inventory: &Inventory) -> String {
    format!(
        "The inventory {file:?} has no problem: {} services, {} kinds, {} executors, {} workers.",
        inventory.services.len(),
        inventory.kinds.len(),
        inventory.executors.len(),
        inventory.workers.len()
    )
}
