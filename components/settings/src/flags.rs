//! The command line of the daemon.

use argh::FromArgs;

use crate::{
    AgentSettings, Command, EntrySettings, NodeSettings, ParseError, SettingError,
    source::{Environment, Setting},
    value,
};

/// Memory that a process may use, in MB, if it is not set.
const DEFAULT_MEMORY_MB: u32 = 4_096;
/// File descriptors that a process may use if they are not set.
const DEFAULT_FILE_DESCRIPTORS: u32 = 14_000;

/// Parses the arguments after the program name, with `env` as fallback.
pub fn parse(args: &[&str], env: Environment<'_>) -> Result<Command, ParseError> {
    let flags = Flags::from_args(&["primrosemuxd"], args).map_err(|exit| match exit.status {
        Ok(()) => ParseError::Help(exit.output),
        Err(()) => ParseError::Usage(exit.output),
    })?;
    let command = match flags.role {
        Role::Entry(flags) => entry(flags, env),
        Role::Agent(flags) => agent(flags, env),
    };
    command.map_err(ParseError::Setting)
}

/// Dispatcher of sub-second tasks.
#[derive(FromArgs)]
#[argh(
    note = "Each setting can also be given as an environment variable, --availability-zone as \
            PRIMROSEMUX_AVAILABILITY_ZONE and so on. A flag takes precedence over its variable.",
    error_code(0, "Stopped on request; no request in progress was aborted."),
    error_code(1, "Failed; the reason is in the log and on the standard error."),
    error_code(2, "A setting is missing or not accepted."),
    error_code(3, "Stopped by a second signal, which aborted requests in progress.")
)]
struct Flags {
    #[argh(subcommand)]
    role: Role,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Role {
    Entry(EntryFlags),
    Agent(AgentFlags),
}

/// Run an entry, which accepts requests from callers.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
struct EntryFlags {
    /// address for callers' HTTP requests
    #[argh(option)]
    listen: Option<String>,
    /// address of this node for its peers (TCP and UDP)
    #[argh(option)]
    node: Option<String>,
    /// availability zone of this node
    #[argh(option)]
    availability_zone: Option<String>,
    /// address of the platform's log
    #[argh(option)]
    log: Option<String>,
    /// node addresses of other entries, separated by commas
    #[argh(option)]
    seeds: Option<String>,
    /// file for log lines instead of standard output
    #[argh(option)]
    log_file: Option<String>,
    /// memory that the process may use, in MB (default: 4096)
    #[argh(option)]
    memory_mb: Option<String>,
    /// file descriptors that the process may use (default: 14000)
    #[argh(option)]
    file_descriptors: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    check_settings: bool,
}

/// Run the agent of an executor or worker.
#[derive(FromArgs)]
#[argh(subcommand, name = "agent")]
struct AgentFlags {
    /// name of the endpoint in the inventory
    #[argh(option)]
    name: Option<String>,
    /// service of the executor
    #[argh(option)]
    service: Option<String>,
    /// the endpoint is a worker
    #[argh(switch)]
    workers: bool,
    /// address of the executor or worker
    #[argh(option)]
    endpoint: Option<String>,
    /// address of this node for its peers (TCP and UDP)
    #[argh(option)]
    node: Option<String>,
    /// availability zone of this node
    #[argh(option)]
    availability_zone: Option<String>,
    /// address of the platform's log
    #[argh(option)]
    log: Option<String>,
    /// node addresses of entries to announce itself to, separated by commas
    #[argh(option)]
    seeds: Option<String>,
    /// address that serves /health, /ready and /metrics; none by default
    #[argh(option)]
    metrics: Option<String>,
    /// file for log lines instead of standard output
    #[argh(option)]
    log_file: Option<String>,
    /// memory that the process may use, in MB (default: 4096)
    #[argh(option)]
    memory_mb: Option<String>,
    /// file descriptors that the process may use (default: 14000)
    #[argh(option)]
    file_descriptors: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    check_settings: bool,
}

fn entry(flags: EntryFlags, env: Environment<'_>) -> Result<Command, SettingError> {
    let find = |name, flag| Setting::find(name, flag, env);
    let settings = EntrySettings {
        listen: value::address(&find("listen", flags.listen))?,
        node: NodeSettings {
            node: value::node(&find("node", flags.node))?,
            availability_zone: value::name(&find("availability-zone", flags.availability_zone))?,
            log_service: value::address(&find("log", flags.log))?,
            seeds: value::optional_seeds(&find("seeds", flags.seeds))?,
            log_target: value::log_target(&find("log-file", flags.log_file)),
            memory_mb: value::limit(&find("memory-mb", flags.memory_mb), DEFAULT_MEMORY_MB)?,
            file_descriptors: value::limit(
                &find("file-descriptors", flags.file_descriptors),
                DEFAULT_FILE_DESCRIPTORS,
            )?,
        },
    };
    let check = value::switch(&find("check-settings", switch_value(flags.check_settings)))?;
    Ok(match check {
        true => Command::Check,
        false => Command::Entry(settings),
    })
}

fn agent(flags: AgentFlags, env: Environment<'_>) -> Result<Command, SettingError> {
    let find = |name, flag| Setting::find(name, flag, env);
    let service = find("service", flags.service);
    let workers = find("workers", switch_value(flags.workers));
    let settings = AgentSettings {
        name: value::name(&find("name", flags.name))?,
        group: value::group(&service, &workers)?,
        endpoint: value::address(&find("endpoint", flags.endpoint))?,
        node: NodeSettings {
            node: value::node(&find("node", flags.node))?,
            availability_zone: value::name(&find("availability-zone", flags.availability_zone))?,
            log_service: value::address(&find("log", flags.log))?,
            seeds: value::seeds(&find("seeds", flags.seeds))?,
            log_target: value::log_target(&find("log-file", flags.log_file)),
            memory_mb: value::limit(&find("memory-mb", flags.memory_mb), DEFAULT_MEMORY_MB)?,
            file_descriptors: value::limit(
                &find("file-descriptors", flags.file_descriptors),
                DEFAULT_FILE_DESCRIPTORS,
            )?,
        },
        metrics: value::optional_address(&find("metrics", flags.metrics))?,
    };
    let check = value::switch(&find("check-settings", switch_value(flags.check_settings)))?;
    Ok(match check {
        true => Command::Check,
        false => Command::Agent(settings),
    })
}

/// Value of a switch, as if it was given as an option.
fn switch_value(switch: bool) -> Option<String> {
    switch.then(|| "true".to_owned())
}
