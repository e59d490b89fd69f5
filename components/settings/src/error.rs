//! Errors of the command line and of settings.

use std::fmt;

/// A setting that is missing or not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Flag or variable that gave the setting, or both, such as `--node or PRIMROSEMUX_NODE`,
    /// if neither did.
    pub setting: String,
    /// Its value, if one was given.
    pub value: Option<String>,
    /// Accepted values, as the end of a sentence.
    pub accepted: String,
}

/// Reason why the arguments give no command to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseError {
    /// Help was requested; holds its text.
    Help(String),
    /// The command line cannot be parsed; holds the message.
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

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ParseError::Help(text) | ParseError::Usage(text) => f.write_str(text.trim_end()),
            ParseError::Setting(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for ParseError {}
