//! `primrosemux diff`: compares an inventory with the version in force.

use config::{Change, Inventory, diff};
use serde::Serialize;

use crate::{
    Environment,
    cli::Diff,
    input::{read_inventory, read_log},
    output::{Exit, Failure, Output},
};

#[derive(Serialize)]
struct Report {
    /// Version in force, 0 for none.
    base: u64,
    changes: Vec<Change>,
}

pub(crate) async fn run(args: &Diff, env: Environment<'_>) -> Result<Output, Failure> {
    let source = read_inventory(&args.file)?;
    let log = read_log(args.log.as_deref(), env).await?;
    let in_force = log.config().map(|it| it.inventory.clone()).unwrap_or_default();
    let report = Report { base: log.version(), changes: diff(&in_force, &source.inventory) };
    match args.json {
        true => Ok(Output::json(&report, Exit::Done)),
        false => Ok(Output::text(report.to_text(&in_force), Exit::Done)),
    }
}

impl Report {
    fn to_text(&self, in_force: &Inventory) -> String {
        let base = match in_force == &Inventory::default() {
            true => "nothing, as no version is in force".to_owned(),
            false => format!("version {}", self.base),
        };
        if self.changes.is_empty() {
            return format!("No difference from {base}.");
        }
        format!("Changes from {base}:\n{}", format_changes(&self.changes))
    }
}

/// Formats one change per line.
pub(crate) fn format_changes(changes: &[Change]) -> String {
    changes.iter().map(|it| format!("{it}\n")).collect()
}
