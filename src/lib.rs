//! Command-line tool of the primrosemux dispatcher.
//!
//! Operators check, publish and show inventories with it; callers submit
//! requests and jobs. It talks to the platform's log and to the HTTP port of an
//! entry, and stores no state between runs.

mod cli;
mod cmd;
mod config_log;
mod entry;
mod input;
mod outcome;
mod output;
mod publish;
mod rollout;
mod table;

use argh::FromArgs;

pub use crate::output::{Exit, Finished};
use crate::{cli::Cli, output::Failure};

/// Looks up environment variables by name.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Runs the tool with `args`, which exclude the program's name.
pub async fn run(args: &[String], env: Environment<'_>) -> Finished {
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match Cli::from_args(&["primrosemux"], &words) {
        Ok(cli) => Finished::from(cmd::run(cli.command, env).await),
        Err(exit) if exit.status.is_ok() => Finished::help(exit.output),
        Err(exit) => Finished::from(Err(Failure::usage(exit.output.trim_end()))),
    }
}
