//! Lookup of settings in flags, with environment variables as fallback.

use crate::SettingError;

/// Lookup of an environment variable by name.
pub(crate) type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Setting as given, before its value is validated.
#[derive(Debug, Clone)]
pub(crate) struct Setting {
    /// Flag or variable that gave the setting, or both if neither did.
    pub(crate) origin: String,
    /// Unparsed value, if given.
    pub(crate) text: Option<String>,
}

impl Setting {
    /// Takes the value of the flag or, if it is missing, of the environment variable.
    pub(crate) fn find(name: &str, flag: Option<String>, env: Environment<'_>) -> Setting {
        let variable = variable_name(name);
        if flag.is_some() {
            return Setting { origin: format!("--{name}"), text: flag };
        }
        let text = env(&variable).filter(|text| !text.is_empty());
        match text {
            Some(_) => Setting { origin: variable, text },
            None => Setting { origin: format!("--{name} or {variable}"), text: None },
        }
    }

    /// The unparsed value of a mandatory setting.
    pub(crate) fn required(&self, accepted: &str) -> Result<&str, SettingError> {
        self.text.as_deref().ok_or_else(|| self.error(accepted))
    }

    /// Error for a setting that is missing or whose value is not accepted.
    pub(crate) fn error(&self, accepted: &str) -> SettingError {
        SettingError {
            setting: self.origin.clone(),
            value: self.text.clone(),
            accepted: accepted.to_owned(),
        }
    }
}

fn variable_name(name: &str) -> String {
    format!("PRIMROSEMUX_{}", name.replace('-', "_").to_uppercase())
}
