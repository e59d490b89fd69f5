//! The roles of the daemon.

pub(crate) mod agent;
pub(crate) mod entry;

use std::{process::ExitCode, time::Duration};

use eyre::{Context, Result};
use log::LevelFilter;
use primrosemuxd::Running;
use settings::LogTarget;
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
};

/// Exit code of a failure.
const FAILED: u8 = 1;
/// Exit code of a stop that a second signal cut short.
const CUT_SHORT: u8 = 3;
/// Time for tasks that still run when the process exits.
const EXIT_LIMIT: Duration = Duration::from_millis(200);

/// Runs a role to its end and turns the result into an exit code.
pub(crate) fn run(role: impl Future<Output = Result<ExitCode>>) -> ExitCode {
    let runtime = match Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => return fail(&eyre::Report::new(err)),
    };
    let code = runtime.block_on(role).unwrap_or_else(|report| fail(&report));
    runtime.shutdown_timeout(EXIT_LIMIT);
    code
}

/// Runs a node until a signal asks it to stop.
pub(crate) async fn run_node(mut running: Running) -> Result<ExitCode> {
    let mut signals = Signals::new()?;
    tokio::select! {
        () = signals.next() => log::info!("the node {} stops as asked", running.node()),
        () = running.failed() => return Err(eyre::eyre!("the node has failed; see the log")),
    }
    let progress = running.progress_handle();
    tokio::select! {
        finished = running.stop() => match finished {
            true => Ok(ExitCode::SUCCESS),
            false => Err(eyre::eyre!("the stop took too long; cut off: {}", progress.read())),
        },
        () = signals.next() => {
            eprintln!("A second signal ended the process; cut off: {}.", progress.read());
            Ok(ExitCode::from(CUT_SHORT))
        }
    }
}

/// Sends log lines where the settings say.
pub(crate) fn init_logs(target: &LogTarget) -> Result<()> {
    match target {
        LogTarget::Stdout => logs::init_stdout(LevelFilter::Info),
        LogTarget::File(path) => logs::init_file(path, LevelFilter::Info),
    }
}

/// Signals that ask the process to stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Signals> {
        let listen = |kind| signal(kind).context("signals cannot be listened for");
        Ok(Signals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

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
    ExitCode::from(FAILED)
}
