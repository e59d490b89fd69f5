//! `standin executor`.

use standin::{
    control::Target,
    executor::{ExecutorOptions, ExecutorServer},
};

use crate::cli::Executor;

pub(super) async fn run(args: Executor) -> eyre::Result<()> {
    let Executor { name, listen, slots, connections, control } = args;
    let options = ExecutorOptions { name, slots, connections };
    let server = ExecutorServer::start_at(options, listen).await?;
    println!("The executor listens on {}.", server.address());
    super::serve_control(Target::Executor(server), control).await
}
