//! `primrosemux publish`: publishes an inventory.

use std::time::Duration;

use config::{Change, Inventory, diff};
use serde::Serialize;

use crate::{
    Environment,
    cli::Publish,
    cmd::diff::format_changes,
    config_log::ConfigLog,
    entry::EntryClient,
    input::{entry_client, log_address, read_inventory, read_log},
    output::{Exit, Failure, Output},
    publish::publish,
    rollout::{Node, Rollout, wait_in_force},
};

/// How a command waits for a published version to come into force.
#[derive(Debug)]
pub(crate) enum WaitMode {
    /// Return without waiting.
    None,
    /// Poll an entry until the timeout.
    Poll(EntryClient, Duration),
}

/// A version that was published, and where it is in force.
#[derive(Serialize)]
pub(crate) struct Report {
    version: u64,
    base: u64,
    changes: Vec<Change>,
    rollout: RolloutState,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    stragglers: Vec<Node>,
    /// Human-readable summary of the rollout.
    note: String,
}

/// State of the rollout of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum RolloutState {
    /// It is in force on every node.
    InForce,
    /// Some nodes are behind.
    Partial,
    /// The command did not wait.
    NotAwaited,
    /// The entry did not report the nodes.
    Unknown,
}

pub(crate) async fn run(args: &Publish, env: Environment<'_>) -> Result<Output, Failure> {
    let source = read_inventory(&args.file)?;
    let wait_mode = WaitMode::parse(args.no_wait, args.entry.as_deref(), args.wait_s, env)?;
    let mut log = match args.bootstrap {
        true => bootstrap(args, env).await?,
        false => read_log(args.log.as_deref(), env).await?,
    };
    if log.config().is_some_and(|it| it.text == source.text) {
        let version = log.version();
        let text = format!("Nothing to publish: version {version} is in force with the same text.");
        return Ok(Output::text(text, Exit::Done));
    }
    let base = args.base.unwrap_or(log.version());
    let changes = changes(&log, &source.inventory);
    let version = publish(&mut log, base, &source.text).await?;
    Ok(await_rollout(Report::new(version, base, changes), &wait_mode).await.output(args.json))
}

/// Starts with an empty state on a log that dropped the state, unless an entry
/// still holds a version.
async fn bootstrap(args: &Publish, env: Environment<'_>) -> Result<ConfigLog, Failure> {
    let status =
        entry_client(args.entry.as_deref(), env)?.status().await.map_err(Failure::not_run)?;
    if status.version > 0 {
        return Err(Failure::conflict(format!(
            "Nothing is published: the entry holds version {} and will write it to the log \
             again; publish without --bootstrap after that.",
            status.version
        )));
    }
    let mut log = ConfigLog::open(log_address(args.log.as_deref(), env)?);
    log.bootstrap().await.map_err(Failure::not_run)?;
    Ok(log)
}

/// Changes from the version in force to a new inventory.
pub(crate) fn changes(log: &ConfigLog, new: &Inventory) -> Vec<Change> {
    match log.config() {
        Some(config) => diff(&config.inventory, new),
        None => diff(&Inventory::default(), new),
    }
}

/// Waits for the version to come into force and adds the result to the report.
pub(crate) async fn await_rollout(mut report: Report, wait_mode: &WaitMode) -> Report {
    let WaitMode::Poll(entry, timeout) = wait_mode else {
        return report;
    };
    match wait_in_force(entry, report.version, *timeout).await {
        Rollout::Complete { nodes } => {
            report.rollout = RolloutState::InForce;
            report.note = format!("It is in force on all {nodes} nodes.");
        }
        Rollout::Stragglers(stragglers) => {
            let labels: Vec<String> = stragglers.iter().map(Node::label).collect();
            report.rollout = RolloutState::Partial;
            report.note = format!(
                "It is not in force yet on {}; they will follow, see `primrosemux status`.",
                labels.join(", ")
            );
            report.stragglers = stragglers;
        }
        Rollout::Unknown(err) => {
            report.rollout = RolloutState::Unknown;
            report.note = format!("Whether it is in force on every node is not known. {err}");
        }
    }
    report
}

impl WaitMode {
    /// Parses the flags of a command that publishes.
    pub(crate) fn parse(
        no_wait: bool,
        flag: Option<&str>,
        wait_s: u64,
        env: Environment<'_>,
    ) -> Result<WaitMode, Failure> {
        match no_wait {
            true => Ok(WaitMode::None),
            false => Ok(WaitMode::Poll(entry_client(flag, env)?, Duration::from_secs(wait_s))),
        }
    }
}

impl Report {
    pub(crate) fn new(version: u64, base: u64, changes: Vec<Change>) -> Report {
        let note = "Run `primrosemux status` to see where it is in force.".to_owned();
        Report {
            version,
            base,
            changes,
            rollout: RolloutState::NotAwaited,
            stragglers: Vec::new(),
            note,
        }
    }

    pub(crate) fn output(&self, json: bool) -> Output {
        let exit = match self.rollout {
            RolloutState::InForce | RolloutState::NotAwaited => Exit::Done,
            RolloutState::Partial | RolloutState::Unknown => Exit::Conflict,
        };
        match json {
            true => Output::json(self, exit),
            false => Output::text(self.to_text(), exit),
        }
    }

    fn to_text(&self) -> String {
        let origin = match self.base {
            0 => "the first one".to_owned(),
            base => format!("edited from version {base}"),
        };
        let changes = format_changes(&self.changes);
        format!("Published version {}, {origin}.\n{changes}{}", self.version, self.note)
    }
}
