//! `primrosemux-load capacity`: growth of processor time, memory and traffic with the
//! size of the system.
//!
//! Most parts drive the cores of the nodes directly, with an injected clock, to measure
//! sizes that do not fit on one machine as processes.

mod cores;
mod fleet;
mod jobs;
mod memory;
mod nodes;
mod requests;
mod simulation;
mod spread;
mod state;
mod usage;

use std::str::FromStr;

use eyre::Result;

use crate::cli::Capacity;

/// Part of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Memory per agent, id, request and task.
    Memory,
    /// Processor time and traffic of an idle entry and agent, and processor time per request.
    Nodes,
    /// Size and processor time of the replicated state, and traffic by way of distribution.
    State,
    /// Placement and coordination of jobs.
    Jobs,
    /// Time until a version is in force on real nodes, and their processor time while idle.
    Spread,
}

impl Part {
    /// Every part; memory first, before others grow the process.
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
            format!("{s:?} is not a part; use one of {}", names.join(", "))
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
