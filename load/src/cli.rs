//! Command-line arguments of the load tool.

use argh::FromArgs;

/// Measures primrosemux on loopback against two baselines.
#[derive(Debug)]
#[derive(FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

/// Sub-commands.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Response times, deadlines and messages under load and faults.
    Compare(Compare),
    /// Processor time that each system spends per request.
    Cost(Cost),
    /// Growth of processor time, memory and traffic with the size.
    Capacity(Capacity),
    /// Share of jobs in time, late and refused under several policies, in the model.
    Policies(Policies),
}

/// Compare response times, missed deadlines and messages, side by side.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Compare {
    /// inventory file; its workers are ignored
    #[argh(option, default = "\"inventories/harborlift.toml\".to_owned()")]
    pub inventory: String,

    /// scenario; may be repeated; all of them if there is none
    #[argh(option)]
    pub scenario: Vec<load::scenario::Scenario>,

    /// system; may be repeated; all of them if there is none
    #[argh(option)]
    pub system: Vec<load::system::SystemKind>,

    /// seconds during which requests arrive
    #[argh(option, default = "20")]
    pub seconds: u64,

    /// seed of the arrivals
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Measure the processor time of requests that take no time on the executor.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
pub struct Cost {
    /// requests to send
    #[argh(option, default = "20000")]
    pub requests: u32,

    /// requests in progress at the same time
    #[argh(option, default = "64")]
    pub parallel: u32,
}

/// Measure how processor time, memory and traffic grow with the size.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// part to measure: memory, nodes, state, jobs or spread; may be repeated; all
    /// of them if there is none
    #[argh(option)]
    pub part: Vec<crate::cmd::capacity::Part>,

    /// seed of the nodes' random generators
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Compare policies of the entries in the model of a deployment, on the same arrivals.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "policies")]
pub struct Policies {
    /// work that arrives, in percent of the capacity; may be repeated (default: 60, 80, 100, 130)
    #[argh(option)]
    pub load: Vec<u32>,

    /// seeds to run at each load (default: 3)
    #[argh(option, default = "3")]
    pub seeds: u64,

    /// placement on a fleet of 61 endpoints of 32 and 48 cores and three speeds, for entries of
    /// uneven demand, in place of the comparison of policies
    #[argh(switch)]
    pub placement: bool,

    /// endpoints of 64 cores (default: 14)
    #[argh(option, default = "14")]
    pub endpoints: usize,

    /// entries (default: 3; with --placement 3, 10 and 35)
    #[argh(option)]
    pub entries: Option<usize>,

    /// seconds during which jobs arrive (default: 8)
    #[argh(option, default = "8")]
    pub seconds: u64,

    /// file for a plot, as SVG
    #[argh(option)]
    pub report: Option<std::path::PathBuf>,
}
