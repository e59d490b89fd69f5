//! Settings and files that commands read.

use std::{
    fs,
    io::{self, Read},
    net::SocketAddr,
};

use config::{CheckError, Inventory};
use settings::parse_address;

use crate::{Environment, config_log::ConfigLog, entry::EntryClient, output::Failure};

/// File name that stands for the standard input.
pub(crate) const STDIN: &str = "-";

/// An inventory and the TOML text that it was parsed from.
pub(crate) struct Source {
    pub(crate) text: String,
    pub(crate) inventory: Inventory,
}

/// Reads and checks an inventory.
pub(crate) fn read_inventory(path: &str) -> Result<Source, Failure> {
    let text = read_file(path)?;
    match Inventory::parse(&text) {
        Ok(inventory) => Ok(Source { text, inventory }),
        Err(err) => Err(Failure::usage(describe(path, &err))),
    }
}

/// Reads a file, or the standard input for `-`.
pub(crate) fn read_file(path: &str) -> Result<String, Failure> {
    let text = match path {
        STDIN => read_stdin(),
        _ => fs::read_to_string(path),
    };
    text.map_err(|err| Failure::usage(format!("The file {path:?} cannot be read: {err}.")))
}

/// Formats the problems of an inventory.
pub(crate) fn describe(path: &str, err: &CheckError) -> String {
    let count = err.problems.len();
    let noun = if count == 1 { "problem" } else { "problems" };
    format!("The inventory {path:?} has {count} {noun}:\n{err}")
}

/// Client of the entry that the flag or the environment names.
pub(crate) fn entry_client(
    flag: Option<&str>,
    env: Environment<'_>,
) -> Result<EntryClient, Failure> {
    parse_address("entry", flag, env).map(EntryClient::new).map_err(Failure::usage)
}

/// Address of the log that the flag or the environment names.
pub(crate) fn log_address(flag: Option<&str>, env: Environment<'_>) -> Result<SocketAddr, Failure> {
    parse_address("log", flag, env).map_err(Failure::usage)
}

/// Reads the state from the log that the flag or the environment names.
pub(crate) async fn read_log(
    flag: Option<&str>,
    env: Environment<'_>,
) -> Result<ConfigLog, Failure> {
    ConfigLog::read(log_address(flag, env)?).await.map_err(Failure::not_run)
}

fn read_stdin() -> io::Result<String> {
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}
