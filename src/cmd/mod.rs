//! Sub-commands, one module each.

mod ask;
mod cancel;
mod check;
mod diff;
mod drain;
mod explain;
mod job;
mod publish;
mod show;
mod status;
mod submit;

use config::State;

use crate::{
    Environment,
    cli::Command,
    output::{Failure, Output},
};

/// Runs a sub-command.
pub(crate) async fn run(command: Command, env: Environment<'_>) -> Result<Output, Failure> {
    match command {
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args, env).await,
        Command::Publish(args) => publish::run(&args, env).await,
        Command::Show(args) => show::run(&args, env).await,
        Command::Status(args) => status::run(&args, env).await,
        Command::Drain(args) => drain::run(&args.into(), State::Draining, env).await,
        Command::Undrain(args) => drain::run(&args.into(), State::Active, env).await,
        Command::Submit(args) => submit::run(&args, env).await,
        Command::Job(args) => job::run(&args, env).await,
        Command::Ask(args) => ask::run(&args, env).await,
        Command::Cancel(args) => cancel::run(&args, env).await,
        Command::Explain(args) => explain::run(&args, env).await,
    }
}
