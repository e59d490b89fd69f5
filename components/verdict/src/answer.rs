//! Final answers to a request.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Proof, Reason, Verdict};

/// Whole answer of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status that the executor gave.
    pub status: u16,
    /// Body that the executor gave.
    pub body: Vec<u8>,
}

/// Answer without a result, with the verdict that the caller may rely on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    verdict: Verdict,
    /// What led to it.
    pub reason: Reason,
    /// Whole sentence for the caller.
    pub message: String,
    /// When the caller should come back, if that can help.
    pub retry_after: Option<Duration>,
}

/// Final outcome of one id.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The executor answered.
    Done(Answer),
    /// There is no answer; the refusal says what may have happened.
    Refused(Refusal),
}

impl Refusal {
    /// States that the id has not run, for which `proof` vouches.
    pub fn not_run(proof: Proof, reason: Reason, message: impl Into<String>) -> Refusal {
        let Proof { .. } = proof;
        Refusal { verdict: Verdict::NotRun, reason, message: message.into(), retry_after: None }
    }

    /// States that the id may have run.
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::MayHaveRun, reason, message: message.into(), retry_after: None }
    }

    /// Tells the caller when to come back.
    pub fn with_retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }

    /// Gives up the certainty that the id has not run.
    pub fn weaken(mut self) -> Refusal {
        self.verdict = Verdict::MayHaveRun;
        self
    }

    /// Whether the id may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }
}

impl Outcome {
    /// Whether the id may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Outcome::Done(_) => Verdict::Done,
            Outcome::Refused(refusal) => refusal.verdict(),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}, {})", self.message, self.verdict, self.reason)
    }
}

impl std::error::Error for Refusal {}
