//! Output and exit codes of commands.

use std::fmt::Display;

use serde::Serialize;

/// Exit status of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed, or it may or may not have taken effect.
    Failed,
    /// The arguments or the input are wrong.
    Usage,
    /// The command had no effect.
    NotRun,
    /// Another version is in force, or the version is not in force everywhere.
    Conflict,
}

/// Output and exit status of a finished command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finished {
    /// Text for the standard output.
    pub stdout: String,
    /// Text for the standard error output.
    pub stderr: String,
    /// Exit status.
    pub exit: Exit,
}

/// Standard output of a command that ran to completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Output {
    pub(crate) text: String,
    pub(crate) exit: Exit,
}

/// Error that ended a command early.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) exit: Exit,
    pub(crate) message: String,
}

impl Exit {
    /// Exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::NotRun => 3,
            Exit::Conflict => 4,
        }
    }
}

impl Output {
    /// Creates an output of text that ends with a line break.
    pub(crate) fn text(text: impl Into<String>, exit: Exit) -> Output {
        let mut text = text.into();
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        Output { text, exit }
    }

    /// Creates an output of pretty-printed JSON.
    pub(crate) fn json(value: &impl Serialize, exit: Exit) -> Output {
        let text = serde_json::to_string_pretty(value)
            .expect("outputs have only types that JSON can hold");
        Output::text(text, exit)
    }
}

impl Failure {
    /// The effect is unknown, or the command failed half-way.
    pub(crate) fn failed(message: impl Display) -> Failure {
        Failure { exit: Exit::Failed, message: message.to_string() }
    }

    /// The operator has to change the command or its input.
    pub(crate) fn usage(message: impl Display) -> Failure {
        Failure { exit: Exit::Usage, message: message.to_string() }
    }

    /// The command had no effect.
    pub(crate) fn not_run(message: impl Display) -> Failure {
        Failure { exit: Exit::NotRun, message: message.to_string() }
    }

    /// Another version is in force.
    pub(crate) fn conflict(message: impl Display) -> Failure {
        Failure { exit: Exit::Conflict, message: message.to_string() }
    }
}

impl Finished {
    /// Help text was requested.
    pub(crate) fn help(stdout: String) -> Finished {
        Finished { stdout, stderr: String::new(), exit: Exit::Done }
    }
}

impl From<Result<Output, Failure>> for Finished {
    fn from(result: Result<Output, Failure>) -> Finished {
        match result {
            Ok(output) => {
                Finished { stdout: output.text, stderr: String::new(), exit: output.exit }
            }
            Err(failure) => Finished {
                stdout: String::new(),
                stderr: format!("{}\n", failure.message),
                exit: failure.exit,
            },
        }
    }
}
