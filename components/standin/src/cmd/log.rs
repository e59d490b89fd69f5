//! `standin log`.

use standin::{control::Target, log::LogServer};

use crate::cli::Log;

pub(super) async fn run(args: Log) -> eyre::Result<()> {
    let server = LogServer::start_at(args.listen).await?;
    println!("The log listens on {}.", server.address());
    super::serve_control(Target::Log(server), args.control).await
}
