//! `primrosemux publish`: publishes an inventory.

use std::time::Duration;

use config::{Change, Inventory, diff};
use serde::Serialize;

use crate::{
    Environment,
    cli::Publish,
    cmd::diff::lines,
    current::Current,
    entry::Entry,
    input::{current, entry, log, read_inventory},
    output::{Exit, Failure, Output},
    publish::publish,
    rollout::{Node, Rollout, wait},
};

/// How a command waits for a published version to come into force.
#[derive(Debug)]
pub(crate) enum Patience {
    /// Return without waiting.
    None,
    /// Poll an entry until the timeout.
    Entry(Entry, Duration),
}

/// A version that was published, and where it is in force.
#[derive(Serialize)]
pub(crate) struct Report {
    version: u64,
    base: u64,
    changes: Vec<Change>,
    rollout: State,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    stragglers: Vec<Node>,
    /// Human-readable summary of the rollout.
    note: String,
}

/// State of the rollout of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
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
    let patience = Patience::parse(args.no_wait, args.entry.as_deref(), args.wait_s, env)?;
    let mut current = match args.bootstrap {
        true => bootstrap(args, env).await?,
        false => current(args.log.as_deref(), env).await?,
    };
    if current.config().is_some_and(|it| it.text == source.text) {
        let version = current.version();
        let text =
            format!("Nothing to publish: version {version}, which is in force, is the same.");
        return Ok(Output::text(text, Exit::Done));
    }
    let base = args.base.unwrap_or(current.version());
    let changes = changes(&current, &source.inventory);
    let version = publish(&mut current, base, &source.text).await?;
    Ok(finish(Report::new(version, base, changes), &patience).await.output(args.json))
}

/// Starts with an empty state on a log that dropped the state, unless an entry
/// still holds a version.
async fn bootstrap(args: &Publish, env: Environment<'_>) -> Result<Current, Failure> {
    let status = entry(args.entry.as_deref(), env)?.status().await.map_err(Failure::not_run)?;
    if status.version > 0 {
        return Err(Failure::conflict(format!(
            "Nothing is published: the entry holds version {} and will write it to the log \
             again; publish without --bootstrap after that.",
            status.version
        )));
    }
    let mut current = Current::open(log(args.log.as_deref(), env)?);
    current.bootstrap().await.map_err(Failure::not_run)?;
    Ok(current)
}

/// Changes from the version in force to a new inventory.
pub(crate) fn changes(current: &Current, new: &Inventory) -> Vec<Change> {
    match current.config() {
        Some(config) => diff(&config.inventory, new),
        None => diff(&Inventory::default(), new),
    }
}

/// Waits for the version to come into force and adds the result to the report.
pub(crate) async fn finish(mut report: Report, patience: &Patience) -> Report {
    let Patience::Entry(entry, limit) = patience else {
        return report;
    };
    match wait(entry, report.version, *limit).await {
        Rollout::Complete { nodes } => {
            report.rollout = State::InForce;
            report.note = format!("It is in force on all {nodes} nodes.");
        }
        Rollout::Stragglers(stragglers) => {
            let labels: Vec<String> = stragglers.iter().map(Node::label).collect();
            report.rollout = State::Partial;
            report.note = format!(
                "It is not in force yet on {}; they will follow, see `primrosemux status`.",
                labels.join(", ")
            );
            report.stragglers = stragglers;
        }
        Rollout::Unknown(err) => {
            report.rollout = State::Unknown;
            report.note = format!("Whether it is in force on every node is not known. {err}");
        }
    }
    report
}

impl Patience {
    /// Parses the flags of a command that publishes.
    pub(crate) fn parse(
        no_wait: bool,
        flag: Option<&str>,
        wait_s: u64,
        env: Environment<'_>,
    ) -> Result<Patience, Failure> {
        match no_wait {
            true => Ok(Patience::None),
            false => Ok(Patience::Entry(entry(flag, env)?, Duration::from_secs(wait_s))),
        }
    }
}

impl Report {
    pub(crate) fn new(version: u64, base: u64, changes: Vec<Change>) -> Report {
        let note = "Run `primrosemux status` to see where it is in force.".to_owned();
        Report { version, base, changes, rollout: State::NotAwaited, stragglers: Vec::new(), note }
    }

    pub(crate) fn output(&self, json: bool) -> Output {
        let exit = match self.rollout {
            State::InForce | State::NotAwaited => Exit::Done,
            State::Partial | State::Unknown => Exit::Conflict,
        };
        match json {
            true => Output::json(self, exit),
            false => Output::text(self.to_text(), exit),
        }
    }

    fn to_text(&self) -> String {
        let from = match self.base {
            0 => "the first one".to_owned(),
            base => format!("edited from version {base}"),
        };
        let changes = lines(&self.changes);
        format!("Published version {}, {from}.\n{changes}{}", self.version, self.note)
    }
}
