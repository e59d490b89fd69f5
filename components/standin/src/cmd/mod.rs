//! Subcommands, one for each stand-in.

mod executor;
mod log;
mod worker;

use std::{future::pending, net::SocketAddr};

use standin::control::{self, Target};

use crate::cli::Command;

/// Runs a stand-in until the process is ended.
pub(crate) async fn run(command: Command) -> eyre::Result<()> {
    match command {
        Command::Log(args) => log::run(args).await,
        Command::Executor(args) => executor::run(args).await,
        Command::Worker(args) => worker::run(args).await,
    }
}

/// Keeps a stand-in alive, and serves its control port if it has one.
async fn serve_control(target: Target, control: Option<SocketAddr>) -> eyre::Result<()> {
    match control {
        Some(address) => control::serve(target, address).await,
        None => pending().await,
    }
}
