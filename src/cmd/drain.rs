//! `primrosemux drain` and `undrain`: change the state of one endpoint.

use config::{Inventory, State, set_state};

use crate::{
    Environment,
    cli::{Drain, Undrain},
    cmd::publish::{Report, WaitMode, await_rollout, changes},
    config_log::ConfigLog,
    input::read_log,
    output::{Exit, Failure, Output},
    publish::{PublishError, publish},
};

/// Attempts to publish when other versions come into force in between.
const MAX_ATTEMPTS: usize = 3;

/// Common arguments of both commands.
pub(crate) struct Args {
    name: String,
    log: Option<String>,
    entry: Option<String>,
    no_wait: bool,
    wait_s: u64,
    json: bool,
}

pub(crate) async fn run(
    args: &Args,
    state: State,
    env: Environment<'_>,
) -> Result<Output, Failure> {
    let wait_mode = WaitMode::parse(args.no_wait, args.entry.as_deref(), args.wait_s, env)?;
    let mut log = read_log(args.log.as_deref(), env).await?;
    let mut attempt = 1;
    loop {
        let Some(edit) = Edit::new(&log, &args.name, state)? else {
            let name = &args.name;
            let text = format!("Nothing to publish: {name} is already {}.", state_name(state));
            return Ok(Output::text(text, Exit::Done));
        };
        match publish(&mut log, edit.base, &edit.text).await {
            Ok(version) => {
                let report = Report::new(version, edit.base, edit.changes);
                return Ok(await_rollout(report, &wait_mode).await.output(args.json));
            }
            // Repeat the edit on the version that came into force in between.
            Err(PublishError::Conflict { .. }) if attempt < MAX_ATTEMPTS => attempt += 1,
            Err(err) => return Err(err.into()),
        }
    }
}

/// The version in force with one endpoint changed.
struct Edit {
    base: u64,
    text: String,
    changes: Vec<config::Change>,
}

impl Edit {
    /// Makes the edit; `None` if the endpoint already has the state.
    fn new(log: &ConfigLog, name: &str, state: State) -> Result<Option<Edit>, Failure> {
        let Some(config) = log.config() else {
            return Err(Failure::not_run(
                "No version is in force; publish one with `primrosemux publish FILE`.",
            ));
        };
        if endpoint_state(&config.inventory, name) == Some(state) {
            return Ok(None);
        }
        let text = set_state(&config.text, name, state)
            .map_err(|err| Failure::usage(format!("Nothing is published: {err}.")))?;
        let inventory = Inventory::parse(&text).map_err(Failure::usage)?;
        let changes = changes(log, &inventory);
        Ok(Some(Edit { base: config.version, text, changes }))
    }
}

fn endpoint_state(inventory: &Inventory, name: &str) -> Option<State> {
    let executor = inventory.executor(name).map(|it| it.state);
    executor.or_else(|| inventory.worker(name).map(|it| it.state))
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Active => "active",
        State::Draining => "draining",
    }
}

impl From<Drain> for Args {
    fn from(args: Drain) -> Args {
        let Drain { name, log, entry, no_wait, wait_s, json } = args;
        Args { name, log, entry, no_wait, wait_s, json }
    }
}

impl From<Undrain> for Args {
    fn from(args: Undrain) -> Args {
        let Undrain { name, log, entry, no_wait, wait_s, json } = args;
        Args { name, log, entry, no_wait, wait_s, json }
    }
}
