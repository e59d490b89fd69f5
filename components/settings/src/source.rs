//! The fallback from flags to environment variables.

use crate::SettingError;

/// Environment variables by name.
pub(crate) type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// A setting as it was given, before its value is checked.
#[derive(Debug, Clone)]
pub(crate) struct Setting {
    /// Where it came from, or both places where it may be given.
    pub(crate) origin: String,
    /// Its text, if it was given.
    pub(crate) text: Option<String>,
}

impl Setting {
    /// Takes the flag's value, or that of the variable where the flag is missing.
    pub(crate) fn find(name: &str, flag: Option<String>, env: Environment<'_>) -> Setting {
        let variable = variable(name);
        if flag.is_some() {
            return Setting { origin: format!("--{name}"), text: flag };
        }
        let text = env(&variable).filter(|text| !text.is_empty());
        match text {
            Some(_) => Setting { origin: variable, text },
            None => Setting { origin: format!("--{name} or {variable}"), text: None },
        }
    }

    /// The text of a setting that must be given.
    pub(crate) fn required(&self, accepted: &str) -> Result<&str, SettingError> {
        self.text.as_deref().ok_or_else(|| self.error(accepted))
    }

    /// The error that the setting is missing or that its value is not accepted.
    pub(crate) fn error(&self, accepted: &str) -> SettingError {
        SettingError {
            setting: self.origin.clone(),
            value: self.text.clone(),
            accepted: accepted.to_owned(),
        }
    }
}

fn variable(name: &str) -> String {
    format!("PRIMROSEMUX_{}", name.replace('-', "_").to_uppercase())
}
