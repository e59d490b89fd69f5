//! Published configuration.

use ::config::{CheckError, Inventory};
use serde::{Deserialize, Serialize, Serializer};

/// Published configuration, parsed.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(try_from = "ConfigData")]
pub struct Config {
    /// Offset of the record that published it.
    pub version: u64,
    /// Inventory text, as published.
    pub text: String,
    /// Parsed inventory.
    pub inventory: Inventory,
}

/// Encoded form of a configuration; decoding parses the inventory from the text.
#[derive(Deserialize)]
struct ConfigData {
    version: u64,
    text: String,
}

/// Borrowed form of [`ConfigData`].
#[derive(Serialize)]
struct ConfigDataRef<'a> {
    version: u64,
    text: &'a str,
}

impl Config {
    /// Parses the text that was published as `version`.
    pub fn parse(version: u64, text: &str) -> Result<Config, CheckError> {
        let inventory = Inventory::parse(text)?;
        Ok(Config { version, text: text.to_owned(), inventory })
    }
}

impl TryFrom<ConfigData> for Config {
    type Error = CheckError;

    fn try_from(data: ConfigData) -> Result<Config, CheckError> {
        let inventory = Inventory::parse(&data.text)?;
        Ok(Config { version: data.version, text: data.text, inventory })
    }
}

impl Serialize for Config {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        ConfigDataRef { version: self.version, text: &self.text }.serialize(serializer)
    }
}
