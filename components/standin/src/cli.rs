//! Arguments of the stand-ins.

use std::net::SocketAddr;

use argh::FromArgs;

/// Stands in for the platform's log, an executor or a worker.
#[derive(FromArgs)]
pub(crate) struct Cli {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// What to stand in for.
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

/// Run an empty log, which keeps its records in memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
pub(crate) struct Log {
    /// loopback address to listen on
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// loopback address on which faults are switched; none by default
    #[argh(option)]
    pub(crate) control: Option<SocketAddr>,
}

/// Run an executor; the body {"run_ms": 80} makes a request take 80 ms.
#[derive(FromArgs)]
#[argh(subcommand, name = "executor")]
pub(crate) struct Executor {
    /// name that stands in its answers
    #[argh(option)]
    pub(crate) name: String,
    /// loopback address to listen on
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// requests that run at a time, by default 8
    #[argh(option, default = "8")]
    pub(crate) slots: usize,
    /// connections that are accepted, by default 60
    #[argh(option, default = "60")]
    pub(crate) connections: usize,
    /// loopback address on which faults are switched; none by default
    #[argh(option)]
    pub(crate) control: Option<SocketAddr>,
}

/// Run a worker, whose tasks take the time that they declare.
#[derive(FromArgs)]
#[argh(subcommand, name = "worker")]
pub(crate) struct Worker {
    /// name that stands in its answers
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
    /// connections that are accepted, by default 512
    #[argh(option, default = "512")]
    pub(crate) connections: usize,
    /// age of the usage that is reported in milliseconds, by default 1000
    #[argh(option, default = "1000")]
    pub(crate) usage_lag_ms: u64,
    /// loopback address on which faults are switched; none by default
    #[argh(option)]
    pub(crate) control: Option<SocketAddr>,
}
