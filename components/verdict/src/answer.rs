//! Final outcomes of requests.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Proof, Reason, Verdict};

/// Complete answer of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status returned by the executor.
    pub status: u16,
    /// Body returned by the executor.
    pub body: Vec<u8>,
}

/// Answer without a result, with a verdict on which the caller may rely.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    verdict: Verdict,
    /// Reason for the refusal.
    pub reason: Reason,
    /// Complete sentence for the caller.
    pub message: String,
    /// Delay after which the caller may try again, if that can help.
    pub retry_after: Option<Duration>,
}

/// Final outcome of one id.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The executor answered.
    Done(Answer),
    /// There is no answer; the verdict of the refusal states whether the id may have run.
    Refused(Refusal),
}

impl Refusal {
    /// Creates a refusal stating that the id has not run, on the evidence of `proof`.
    pub fn not_run(proof: Proof, reason: Reason, message: impl Into<String>) -> Refusal {
        let Proof { .. } = proof;
        Refusal { verdict: Verdict::NotRun, reason, message: message.into(), retry_after: None }
    }

    /// Creates a refusal stating that the id may have run.
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::MayHaveRun, reason, message: message.into(), retry_after: None }
    }

    /// Sets the delay after which the caller may try again.
    pub fn with_retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }

    /// Downgrades the verdict to `MayHaveRun`.
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
