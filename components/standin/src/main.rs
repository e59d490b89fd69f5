//! Runs one stand-in as a process, for manual testing.

mod cli;
mod cmd;

use std::process::ExitCode;

use crate::cli::Cli;

#[tokio::main]
async fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    match cmd::run(cli.command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("Error: {report:#}");
            ExitCode::FAILURE
        }
    }
}
