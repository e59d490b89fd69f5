//! The `primrosemuxd agent` command.

use std::process::ExitCode;

use eyre::Result;
use primrosemuxd::{AgentListeners, AgentOptions, start_agent};
use settings::{AgentSettings, NodeSettings};

/// Runs an agent.
pub(crate) async fn run(settings: AgentSettings) -> Result<ExitCode> {
    let AgentSettings { node: common, name, group, endpoint, metrics } = settings;
    let shares = super::shares(&common);
    let NodeSettings { node, availability_zone, log_service: log, seeds, log_target, .. } = common;
    super::init_logs(&log_target)?;
    let mut listeners = AgentListeners::bind(node.0).await?;
    if let Some(address) = metrics {
        listeners = listeners.with_pages(address).await?;
    }
    let seed = rand::random();
    let options =
        AgentOptions { name, group, endpoint, availability_zone, log, seeds, shares, seed };
    log::info!("agent {node} of {} serves endpoint {endpoint}", options.name);
    let handle = start_agent(options, listeners).await?;
    super::run_node(handle).await
}
