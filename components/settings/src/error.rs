//! Settings that are missing or not accepted.

use std::fmt;

/// A setting that is missing or not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Where the setting came from or belongs, such as `--node or PRIMROSEMUX_NODE`.
    pub setting: String,
    /// Its value, if it has one.
    pub value: Option<String>,
    /// What is accepted, as the end of a sentence.
    pub accepted: String,
}

/// Why there is nothing to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartError {
    /// Help was asked for.
    Help(String),
    /// The command line cannot be parsed.
    Usage(String),
    /// A setting is missing or not accepted.
    Setting(SettingError),
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{} is {value:?}; give {}.", self.setting, self.accepted),
            None => write!(f, "{} is missing; give {}.", self.setting, self.accepted),
        }
    }
}

impl std::error::Error for SettingError {}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Help(text) | StartError::Usage(text) => f.write_str(text.trim_end()),
            StartError::Setting(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}
