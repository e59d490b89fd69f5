//! Problems in an inventory and their positions.

use std::fmt;

use serde::Serialize;

use crate::locate::{Position, line_starts, position};

/// One problem in an inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Problem {
    /// Line of the text, from 1, where it is known.
    pub line: Option<usize>,
    /// Column of the text, from 1, where it is known.
    pub column: Option<usize>,
    /// Path of the key, such as `executors[2].service`.
    pub key: String,
    /// Description of the problem and of the accepted values.
    pub message: String,
}

/// All problems found in an inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckError {
    /// Problems, sorted by position.
    pub problems: Vec<Problem>,
}

impl Problem {
    pub(crate) fn new(position: Option<Position>, key: String, message: String) -> Problem {
        Problem {
            line: position.map(|it| it.line),
            column: position.map(|it| it.column),
            key,
            message,
        }
    }
}

impl CheckError {
    /// Converts a TOML error, located in its text.
    pub(crate) fn from_toml(text: &str, err: &toml::de::Error) -> CheckError {
        let position = err.span().map(|span| position(text, &line_starts(text), span.start));
        let problem = Problem::new(position, String::new(), err.message().to_owned());
        CheckError { problems: vec![problem] }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let (Some(line), Some(column)) = (self.line, self.column) {
            write!(f, "line {line}, column {column}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for CheckError {}
