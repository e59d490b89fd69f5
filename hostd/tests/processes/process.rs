//! One of the real programs as a process.

use std::{
    fs::OpenOptions,
    net::SocketAddrV4,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Output, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// A process that is started, ended and started again; ended when it is dropped.
pub(crate) struct Process {
    pub(crate) role: &'static str,
    pub(crate) settings: PathBuf,
    /// Its output goes here.
    pub(crate) log: PathBuf,
    /// Address for datagrams, if the settings name that of a proxy.
    pub(crate) bind: Option<SocketAddrV4>,
    /// Number of times that it was started.
    pub(crate) starts: usize,
    child: Option<Child>,
}

impl Process {
    pub(crate) fn new(
        role: &'static str,
        settings: PathBuf,
        bind: Option<SocketAddrV4>,
    ) -> Process {
        let log = settings.with_extension("log");
        Process { role, settings, log, bind, starts: 0, child: None }
    }

    /// Starts it if it does not run.
    pub(crate) fn start(&mut self) {
        if self.is_running() {
            return;
        }
        let log = OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_primrosemux-hostd"));
        command.arg("--settings").arg(&self.settings);
        if let Some(bind) = self.bind {
            command.args(["--bind", &bind.to_string()]);
        }
        command.arg(self.role).stdout(Stdio::from(log));
        self.child = Some(command.spawn().expect("the program starts"));
        self.starts += 1;
    }

    /// Kills it and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended by itself cannot be killed.
            let _ = child.kill();
            child.wait().expect("the process has ended");
        }
    }

    /// Sends it a signal if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        if let Some(child) = &self.child {
            let id = i32::try_from(child.id()).expect("an id");
            kill(Pid::from_raw(id), signal).expect("a signal");
        }
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.is_some() && self.exit().is_none()
    }

    /// How it ended, if it has.
    pub(crate) fn exit(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().expect("a status")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs an agent whose settings file does not exist.
pub(crate) fn run_without_settings() -> Output {
    Command::new(env!("CARGO_BIN_EXE_primrosemux-hostd"))
        .args(["--settings", "/nonexistent/settings.toml", "agent"])
        .output()
        .expect("the program runs")
}
