//! Command-line arguments.

use argh::FromArgs;
use ident::RequestId;

/// Operates the primrosemux dispatcher and submits work to it.
#[derive(FromArgs)]
#[argh(
    note = "Settings: --log or PRIMROSEMUX_LOG is the address of the platform's log, \
            --entry or PRIMROSEMUX_ENTRY that of an entry's HTTP port, such as 192.0.2.7:7400.",
    error_code(0, "done"),
    error_code(1, "failed, still running, or may have run"),
    error_code(2, "the arguments or the input are wrong"),
    error_code(3, "not run: nothing has happened"),
    error_code(4, "conflict with another version, or not in force on every node")
)]
pub(crate) struct Cli {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// Sub-commands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// Check a file.
    Check(Check),
    /// Compare a file with the version in force.
    Diff(Diff),
    /// Publish a file.
    Publish(Publish),
    /// Print the inventory in force.
    Show(Show),
    /// List the nodes.
    Status(Status),
    /// Drain an endpoint.
    Drain(Drain),
    /// Make a drained endpoint active again.
    Undrain(Undrain),
    /// Submit a request.
    Submit(Submit),
    /// Submit a job.
    Job(Job),
    /// Query the outcome of a request or job.
    Ask(Ask),
    /// Cancel a request or job.
    Cancel(Cancel),
    /// List the routing decisions about a request.
    Explain(Explain),
}

/// Check an inventory without publishing it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// inventory in TOML
    #[argh(positional)]
    pub(crate) file: String,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Compare an inventory with the version in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// inventory in TOML
    #[argh(positional)]
    pub(crate) file: String,
    /// address of the platform's log
    #[argh(option)]
    pub(crate) log: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Publish an inventory and wait until it is in force on every node.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// inventory in TOML
    #[argh(positional)]
    pub(crate) file: String,
    /// version that the file was edited from; by default the version in force
    #[argh(option)]
    pub(crate) base: Option<u64>,
    /// address of the platform's log
    #[argh(option)]
    pub(crate) log: Option<String>,
    /// address of an entry, which reports the nodes
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// start with an empty state on a log that dropped the version in force while
    /// every process was down
    #[argh(switch)]
    pub(crate) bootstrap: bool,
    /// do not wait until the version is in force
    #[argh(switch)]
    pub(crate) no_wait: bool,
    /// seconds to wait, by default 30
    #[argh(option, default = "30")]
    pub(crate) wait_s: u64,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print the inventory in force, as it was published.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// address of the platform's log
    #[argh(option)]
    pub(crate) log: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// List the nodes and whether the newest version is in force on them.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// address of an entry
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Publish the inventory in force with one endpoint draining, comments kept.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// executor or worker
    #[argh(positional)]
    pub(crate) name: String,
    /// address of the platform's log
    #[argh(option)]
    pub(crate) log: Option<String>,
    /// address of an entry, which reports the nodes
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// do not wait until the version is in force
    #[argh(switch)]
    pub(crate) no_wait: bool,
    /// seconds to wait, by default 30
    #[argh(option, default = "30")]
    pub(crate) wait_s: u64,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Publish the inventory in force with one endpoint active, comments kept.
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
pub(crate) struct Undrain {
    /// executor or worker
    #[argh(positional)]
    pub(crate) name: String,
    /// address of the platform's log
    #[argh(option)]
    pub(crate) log: Option<String>,
    /// address of an entry, which reports the nodes
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// do not wait until the version is in force
    #[argh(switch)]
    pub(crate) no_wait: bool,
    /// seconds to wait, by default 30
    #[argh(option, default = "30")]
    pub(crate) wait_s: u64,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Submit one request and print its outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Submit {
    /// service to call
    #[argh(option)]
    pub(crate) service: String,
    /// kind of the request
    #[argh(option)]
    pub(crate) kind: String,
    /// team of the caller
    #[argh(option)]
    pub(crate) team: String,
    /// id of an earlier submission, a UUIDv7; by default a new one
    #[argh(option)]
    pub(crate) id: Option<RequestId>,
    /// milliseconds until the answer is needed
    #[argh(option)]
    pub(crate) deadline_ms: Option<u64>,
    /// declared run time in milliseconds
    #[argh(option)]
    pub(crate) run_ms: Option<u64>,
    /// body of the request; @FILE reads a file
    #[argh(option, default = "String::new()")]
    pub(crate) body: String,
    /// address of an entry
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Submit a job and wait for its results.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct Job {
    /// job in JSON; the standard input if there is none
    #[argh(positional)]
    pub(crate) file: Option<String>,
    /// do not wait for the results
    #[argh(switch)]
    pub(crate) no_wait: bool,
    /// seconds to wait, by default 300
    #[argh(option, default = "300")]
    pub(crate) wait_s: u64,
    /// address of an entry
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Query the outcome of a request or job.
#[derive(FromArgs)]
#[argh(subcommand, name = "ask")]
pub(crate) struct Ask {
    /// id of the request
    #[argh(positional)]
    pub(crate) id: RequestId,
    /// the id is that of a job
    #[argh(switch)]
    pub(crate) job: bool,
    /// address of an entry
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Cancel a request or job; exit code 0 means that it is cancelled.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct Cancel {
    /// id of the request
    #[argh(positional)]
    pub(crate) id: RequestId,
    /// the id is that of a job
    #[argh(switch)]
    pub(crate) job: bool,
    /// address of an entry
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Explain how a request was routed.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// id of the request
    #[argh(positional)]
    pub(crate) id: RequestId,
    /// address of the entry that accepted the request
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}
