//! Daemon of the primrosemux dispatcher for hosts of the users' platform.

mod agent;
mod callers;
mod cli;
mod clock;
mod cmd;
mod config;
mod datagrams;
mod discovery;
mod entry;
mod evacuations;
mod heartbeats;
mod http;
mod job_limits;
mod metrics;
mod signals;
mod tick;

use std::process::ExitCode;

use tokio::runtime::Builder;

use crate::cli::{Arguments, Role};

/// Maximum number of log lines per second, about 60 KB/s.
const MAX_LOG_LINES_PER_S: u32 = 250;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("Error: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> eyre::Result<()> {
    logs::init_rate_limited(arguments.log_level, MAX_LOG_LINES_PER_S)?;
    // A single thread, since a host may have only a fraction of a core.
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        match arguments.role {
            Role::Entry(_) => cmd::entry::run(arguments).await,
            Role::Agent(_) => cmd::agent::run(arguments).await,
        }
    })
}
