//! Command-line arguments.

use std::net::SocketAddr;

use argh::FromArgs;

/// Runs a fake of the platform's log, an executor or a worker.
#[derive(FromArgs)]
pub(crate) struct Cli {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// Service to fake.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// The platform's log.
    Log(Log),
    /// An executor.
    Executor(Executor),
    /// A worker.
    Worker(Worker),
}

/// Run an empty log that keeps its records in memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
pub(crate) struct Log {
    /// loopback address to listen on
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// loopback address of the control port for faults; none by default
    #[argh(option)]
    pub(crate) control: Option<SocketAddr>,
}

/// Run an executor; the body {"run_ms": 80} makes a request take 80 ms.
#[derive(FromArgs)]
#[argh(subcommand, name = "executor")]
pub(crate) struct Executor {
    /// name that its answers contain
    #[argh(option)]
    pub(crate) name: String,
    /// loopback address to listen on
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// requests that run concurrently, by default 8
    #[argh(option, default = "8")]
    pub(crate) slots: usize,
    /// maximum number of connections, by default 60
    #[argh(option, default = "60")]
    pub(crate) connections: usize,
    /// loopback address of the control port for faults; none by default
    #[argh(option)]
    pub(crate) control: Option<SocketAddr>,
}

/// Run a worker; its tasks take their declared run time.
#[derive(FromArgs)]
#[argh(subcommand, name = "worker")]
pub(crate) struct Worker {
    /// name that its answers contain
    #[argh(option)]
    pub(crate) name: String,
    /// loopback address to listen on
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// processor cores, by default 64
    #[argh(option, default = "64")]
    pub(crate) cores: u32,
    /// memory in GB, by default 256
    #[argh(option, default = "256")]
    pub(crate) memory_gb: u32,
    /// accelerators, by default none
    #[argh(option, default = "0")]
    pub(crate) accelerators: u32,
    /// maximum number of connections, by default 512
    #[argh(option, default = "512")]
    pub(crate) connections: usize,
    /// age of the reported usage in milliseconds, by default 1000
    #[argh(option, default = "1000")]
    pub(crate) usage_lag_ms: u64,
    /// loopback address of the control port for faults; none by default
    #[argh(option)]
    pub(crate) control: Option<SocketAddr>,
}
