//! Reasons for refusals, and proofs that a request has not run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Reason why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A field of the request is malformed or out of range.
    Invalid,
    /// The service, request kind or job does not exist.
    Unknown,
    /// The team has used up its quota.
    OverQuota,
    /// The predicted wait exceeds the deadline, or the queue is full.
    Overloaded,
    /// The deadline passed before the request could start.
    DeadlineMissed,
    /// No worker is large enough for the declared size.
    CannotFit,
    /// No endpoint of the service is reachable.
    NoEndpoint,
    /// The node does not decide for this id, or does not at present.
    NotOwner,
    /// The owner cannot tell what an earlier owner did with this id.
    OwnerChanged,
    /// The connection was lost while the request was in progress.
    ConnectionLost,
    /// The executor did not answer in time.
    TimedOut,
    /// The caller cancelled the request.
    Cancelled,
    /// The process is shutting down.
    ShuttingDown,
    /// A task of the job failed.
    TaskFailed,
    /// The id is older than the window for which answers are kept.
    Expired,
    /// The process has no configuration yet.
    NotConfigured,
}

/// Evidence that no attempt at an id has reached an executor.
///
/// A proof is made where the evidence is known, and is consumed by the refusal. It
/// can be neither copied nor sent, so a later stage cannot attest to an earlier one.
#[derive(Debug)]
pub struct Proof {
    _private: (),
}

impl Proof {
    /// The owner of the id has never started it, and has recorded the refusal.
    pub fn owner_never_started() -> Proof {
        Proof { _private: () }
    }

    /// The node that creates the refusal did not start this one attempt.
    ///
    /// The proof covers this attempt alone. A sender that has made several attempts, or
    /// cannot rule out earlier ones, must weaken the refusal.
    pub fn attempt_never_started() -> Proof {
        Proof { _private: () }
    }

    /// The request names no id that an earlier submission could have used.
    pub fn id_never_used() -> Proof {
        Proof { _private: () }
    }

    /// The request was malformed and named no id, so every process would have rejected
    /// it.
    pub fn rejected_by_every_process() -> Proof {
        Proof { _private: () }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Invalid => "invalid",
            Reason::Unknown => "unknown",
            Reason::OverQuota => "over_quota",
            Reason::Overloaded => "overloaded",
            Reason::DeadlineMissed => "deadline_missed",
            Reason::CannotFit => "cannot_fit",
            Reason::NoEndpoint => "no_endpoint",
            Reason::NotOwner => "not_owner",
            Reason::OwnerChanged => "owner_changed",
            Reason::ConnectionLost => "connection_lost",
            Reason::TimedOut => "timed_out",
            Reason::Cancelled => "cancelled",
            Reason::ShuttingDown => "shutting_down",
            Reason::TaskFailed => "task_failed",
            Reason::Expired => "expired",
            Reason::NotConfigured => "not_configured",
        })
    }
}
