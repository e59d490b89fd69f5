//! How processor time, memory and bytes grow with the size of the system.
//!
//! The cores of the nodes are driven directly, with an injected clock, so that
//! sizes can be measured that have no room on one machine as processes.

mod cores;
mod fleet;
mod jobs;
mod memory;
mod nodes;
mod requests;
mod spent;
mod spread;
mod state;
mod world;

use std::str::FromStr;

use eyre::Result;

use crate::cli::Capacity;

/// Something that is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Memory per agent, id, request and task.
    Memory,
    /// Processor time and bytes of an idle entry and agent, and per request.
    Nodes,
    /// Size and cost of the replicated state, and bytes a day by way of spreading.
    State,
    /// Placement and coordination of jobs.
    Jobs,
    /// Time until a version is in force on real nodes, and what these cost idle.
    Spread,
}

impl Part {
    /// Every part, memory first while the process is small.
    const ALL: [Part; 5] = [Part::Memory, Part::Nodes, Part::State, Part::Jobs, Part::Spread];

    fn name(self) -> &'static str {
        match self {
            Part::Memory => "memory",
            Part::Nodes => "nodes",
            Part::State => "state",
            Part::Jobs => "jobs",
            Part::Spread => "spread",
        }
    }
}

impl FromStr for Part {
    type Err = String;

    fn from_str(s: &str) -> std::result::Result<Part, String> {
        Part::ALL.into_iter().find(|it| it.name() == s).ok_or_else(|| {
            let names: Vec<&str> = Part::ALL.into_iter().map(Part::name).collect();
            format!("{s:?} is no part; there are {}", names.join(", "))
        })
    }
}

/// Measures the parts and prints a table for each.
pub async fn capacity(args: &Capacity) -> Result<()> {
    let parts = match args.part.is_empty() {
        true => Part::ALL.to_vec(),
        false => args.part.clone(),
    };
    for part in parts {
        println!("## {}", part.name());
        match part {
            Part::Memory => memory::measure()?,
            Part::Nodes => nodes::measure(args.seed)?,
            Part::State => state::measure()?,
            Part::Jobs => jobs::measure()?,
            Part::Spread => spread::measure(args.seed).await?,
        }
        println!();
    }
    Ok(())
}
