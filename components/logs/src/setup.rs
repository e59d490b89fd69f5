//! Setup of the global logger.

use std::path::Path;

use eyre::{Context, Result};
use log::LevelFilter;
use log4rs::{
    Config,
    append::{
        Append,
        console::{ConsoleAppender, Target},
        file::FileAppender,
    },
    config::{Appender, Root},
    encode::json::JsonEncoder,
};

/// Name of the only appender.
const APPENDER: &str = "lines";

/// Sends log lines to standard output.
pub fn init_stdout(level: LevelFilter) -> Result<()> {
    let encoder = Box::new(JsonEncoder::new());
    let appender = ConsoleAppender::builder().target(Target::Stdout).encoder(encoder).build();
    init(Box::new(appender), level)
}

/// Appends log lines to a file.
pub fn init_file(path: &Path, level: LevelFilter) -> Result<()> {
    let encoder = Box::new(JsonEncoder::new());
    let appender = FileAppender::builder()
        .encoder(encoder)
        .build(path)
        .with_context(|| format!("the log file {} cannot be opened", path.display()))?;
    init(Box::new(appender), level)
}

pub(crate) fn init(appender: Box<dyn Append>, level: LevelFilter) -> Result<()> {
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .build(Root::builder().appender(APPENDER).build(level))
        .context("invalid log configuration")?;
    log4rs::init_config(config).context("the global logger cannot be installed")?;
    Ok(())
}
