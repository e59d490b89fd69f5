//! Commands of the daemon, one for each role.

pub(crate) mod agent;
pub(crate) mod entry;

use std::{process::ExitCode, time::Duration};

use eyre::{Context, Result};
use intake::{Resources, Shares};
use log::LevelFilter;
use primrosemuxd::NodeHandle;
use settings::{LogTarget, NodeSettings};
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
};

/// Bytes in a megabyte.
const MEGABYTE: usize = 1_000_000;
/// Exit code for a failure.
const EXIT_FAILURE: u8 = 1;
/// Exit code for a graceful stop that a second signal interrupted.
const EXIT_INTERRUPTED: u8 = 3;
/// Longest wait at exit for tasks that are still running.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs a command to completion and returns its exit code.
pub(crate) fn run(role: impl Future<Output = Result<ExitCode>>) -> ExitCode {
    let runtime = match Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => return fail(&eyre::Report::new(err)),
    };
    let code = runtime.block_on(role).unwrap_or_else(|report| fail(&report));
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    code
}

/// Runs a node until SIGTERM or SIGINT, then stops it gracefully; a second signal ends it.
pub(crate) async fn run_node(mut handle: NodeHandle) -> Result<ExitCode> {
    let mut signals = Signals::new()?;
    tokio::select! {
        () = signals.next() => log::info!("node {} received a stop signal", handle.node()),
        () = handle.wait_for_failure() => return Err(eyre::eyre!("the node failed; see the log")),
    }
    let progress = handle.progress_handle();
    tokio::select! {
        finished = handle.stop() => match finished {
            true => Ok(ExitCode::SUCCESS),
            false => Err(eyre::eyre!("the stop timed out; interrupted: {}", progress.read())),
        },
        () = signals.next() => {
            eprintln!("A second signal ended the process; interrupted: {}.", progress.read());
            Ok(ExitCode::from(EXIT_INTERRUPTED))
        }
    }
}

/// What clients may make a process with these settings hold.
pub(crate) fn shares(settings: &NodeSettings) -> Shares {
    Shares::of(Resources {
        memory: settings.memory_mb as usize * MEGABYTE,
        descriptors: settings.file_descriptors as usize,
    })
}

/// Initializes logging to the target from the settings.
pub(crate) fn init_logs(target: &LogTarget) -> Result<()> {
    match target {
        LogTarget::Stdout => logs::init_stdout(LevelFilter::Info),
        LogTarget::File(path) => logs::init_file(path, LevelFilter::Info),
    }
}

/// Signals that request a stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Signals> {
        let listen = |kind| signal(kind).context("cannot install a signal handler");
        Ok(Signals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn fail(report: &eyre::Report) -> ExitCode {
    log::error!("{report:#}");
    eprintln!("Error: {report:#}");
    ExitCode::from(EXIT_FAILURE)
}
