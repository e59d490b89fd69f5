//! The `primrosemuxd entry` command.

use std::process::ExitCode;

use eyre::Result;
use front::Limits;
use primrosemuxd::{EntryListeners, EntryOptions, start_entry};
use settings::{EntrySettings, NodeSettings};

/// Runs an entry.
pub(crate) async fn run(settings: EntrySettings) -> Result<ExitCode> {
    let EntrySettings { node: common, listen } = settings;
    let shares = super::shares(&common);
    let NodeSettings { node, availability_zone, log_service: log, seeds, log_target, .. } = common;
    super::init_logs(&log_target)?;
    let listeners = EntryListeners::bind(node.0, listen).await?;
    let limits = Limits::of(&shares.without_peers().0);
    let seed = rand::random();
    let options = EntryOptions { availability_zone, log, seeds, limits, shares, seed };
    let handle = start_entry(options, listeners).await?;
    log::info!("entry {node} accepts requests on {listen}");
    super::run_node(handle).await
}
