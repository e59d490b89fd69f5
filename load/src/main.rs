//! Load tool of the primrosemux dispatcher.

mod cli;
mod cmd;

use crate::cli::{Args, Command};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Capacity(args) => cmd::capacity::capacity(&args).await,
        Command::Compare(args) => cmd::compare::compare(&args).await,
        Command::Cost(args) => cmd::cost::cost(&args).await,
        Command::Policies(args) => cmd::policies::policies(&args),
    }
}
