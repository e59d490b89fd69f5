//! `standin worker`.

use std::time::Duration;

use standin::{
    control::Target,
    worker::{WorkerOptions, WorkerServer},
};

use crate::cli::Worker;

/// Megabytes in a gigabyte of memory.
const MB_PER_GB: u32 = 1024;

pub(super) async fn run(args: Worker) -> eyre::Result<()> {
    let options = WorkerOptions {
        name: args.name,
        cores: args.cores,
        memory_mb: args.memory_gb.saturating_mul(MB_PER_GB),
        accelerators: args.accelerators,
        connections: args.connections,
        usage_lag: Duration::from_millis(args.usage_lag_ms),
    };
    let server = WorkerServer::start_at(options, args.listen).await?;
    println!("The worker listens on {}.", server.address());
    super::serve_control(Target::Worker(server), args.control).await
}
