//! Outcomes of requests, and what callers may conclude from them.
//!
//! A verdict states whether the request with an id may have run. On its way from
//! an executor to the caller, a verdict may only become less certain: the API
//! converts [`Verdict::NotRun`] to [`Verdict::MayHaveRun`], but not back. A
//! `NotRun` can only be made with a [`Proof`]; `docs/VERDICTS.md` lists every place
//! that makes one.

mod answer;
mod reason;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use crate::{
    answer::{Answer, Outcome, Refusal},
    reason::{Proof, Reason},
};

/// Whether the request with an id may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No attempt at this id has reached an executor.
    NotRun,
    /// An attempt was sent to an executor and its result is not known.
    MayHaveRun,
    /// The request ran and its answer is complete.
    Done,
}

impl Verdict {
    /// Combines the verdicts of two attempts at one id.
    pub fn join(self, other: Verdict) -> Verdict {
        match (self, other) {
            (Verdict::Done, _) | (_, Verdict::Done) => Verdict::Done,
            (Verdict::MayHaveRun, _) | (_, Verdict::MayHaveRun) => Verdict::MayHaveRun,
            (Verdict::NotRun, Verdict::NotRun) => Verdict::NotRun,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Done => "done",
        })
    }
}
