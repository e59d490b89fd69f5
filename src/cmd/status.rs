//! `primrosemux status`: lists the nodes that an entry knows.

use serde::Serialize;

use crate::{
    Environment,
    cli::Status,
    input::entry_client,
    output::{Exit, Failure, Output},
    rollout::{Node, Progress, nodes, stragglers},
    table::Table,
};

#[derive(Serialize)]
struct Report {
    /// Version in force on the entry, 0 for none.
    version: u64,
    nodes: Vec<Node>,
}

pub(crate) async fn run(args: &Status, env: Environment<'_>) -> Result<Output, Failure> {
    let entry = entry_client(args.entry.as_deref(), env)?;
    let status = entry.status().await.map_err(Failure::failed)?;
    let nodes = nodes(&status, status.version);
    let exit = match nodes.iter().any(|it| it.progress == Progress::Behind) {
        true => Exit::Conflict,
        false => Exit::Done,
    };
    let report = Report { version: status.version, nodes };
    match args.json {
        true => Ok(Output::json(&report, exit)),
        false => Ok(Output::text(report.to_text(), exit)),
    }
}

impl Report {
    fn to_text(&self) -> String {
        let mut table = Table::new(&["NODE", "NAME", "ROLE", "ZONE", "BUSY", "VERSION"]);
        for node in &self.nodes {
            table.row(self.row(node));
        }
        format!("{}\n\n{}", self.headline(), table.render())
    }

    fn headline(&self) -> String {
        let stragglers = stragglers(self.nodes.clone());
        let version = match self.version {
            0 => "No version".to_owned(),
            version => format!("Version {version}"),
        };
        if stragglers.is_empty() {
            return format!("{version} is in force on all {} nodes.", self.nodes.len());
        }
        let labels: Vec<String> = stragglers.iter().map(Node::label).collect();
        format!(
            "{version} is in force, but not yet on {} of {} nodes: {}.",
            stragglers.len(),
            self.nodes.len(),
            labels.join(", ")
        )
    }

    fn row(&self, node: &Node) -> Vec<String> {
        let busy = match (node.slots_busy, node.slots) {
            (Some(busy), Some(slots)) => format!("{busy}/{slots}"),
            (_, _) => "-".to_owned(),
        };
        let version = match node.progress {
            Progress::InForce => self.version.to_string(),
            Progress::Behind => "older".to_owned(),
            Progress::Leaving => "leaving".to_owned(),
        };
        let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".to_owned());
        vec![
            node.node.to_string(),
            text(&node.name),
            node.role.clone(),
            text(&node.availability_zone),
            busy,
            version,
        ]
    }
}
