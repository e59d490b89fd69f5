//! Arguments of the load tool.

use argh::FromArgs;

/// Measures primrosemux on loopback against two baselines.
#[derive(Debug)]
#[derive(FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

/// What to measure.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Response times, deadlines and messages under load and faults.
    Compare(Compare),
    /// Processor time that the dispatcher adds to a request.
    Cost(Cost),
    /// Slopes of processor time, memory and bytes against the size.
    Capacity(Capacity),
}

/// Compare response times, missed deadlines and messages, side by side.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Compare {
    /// inventory file; its workers are left out
    #[argh(option, default = "\"inventories/harborlift.toml\".to_owned()")]
    pub inventory: String,

    /// scenario; may be repeated; all of them if there is none
    #[argh(option)]
    pub scenario: Vec<load::scenario::Scenario>,

    /// system; may be repeated; all of them if there is none
    #[argh(option)]
    pub system: Vec<load::system::Kind>,

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

    /// requests in progress at a time
    #[argh(option, default = "64")]
    pub parallel: u32,
}

/// Measure how processor time, memory and bytes grow with the size.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// part to measure: memory, nodes, state, jobs or spread; may be repeated; all
    /// of them if there is none
    #[argh(option)]
    pub part: Vec<crate::cmd::capacity::Part>,

    /// seed of the nodes' randomness
    #[argh(option, default = "1")]
    pub seed: u64,
}
