//! Why a request has no result, and what can prove that it has not run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A field of the request is malformed or out of range.
    Invalid,
    /// No such service, request kind or job.
    Unknown,
    /// The team has used up its quota.
    OverQuota,
    /// The predicted wait passes the deadline, or the queue is full.
    Overloaded,
    /// The deadline passed before the request could start.
    DeadlineMissed,
    /// No worker could ever hold the declared size.
    CannotFit,
    /// No endpoint of the service is in reach.
    NoEndpoint,
    /// The node does not decide for this id, or not at present.
    NotOwner,
    /// The owner cannot tell what an earlier owner did with this id.
    OwnerChanged,
    /// The connection was lost with the request on it.
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
/// A proof is made where the evidence is seen and used up by the refusal; it
/// cannot be copied or sent, so a later stage cannot vouch for an earlier one.
#[derive(Debug)]
pub struct Proof {
    _private: (),
}

impl Proof {
    /// The owner of the id has never let it start and has recorded the refusal.
    pub fn owner_never_started() -> Proof {
        Proof { _private: () }
    }

    /// The node that gives the refusal did not start this one attempt.
    ///
    /// It covers the attempt alone: whoever made several, or does not know of
    /// earlier ones, must weaken the refusal.
    pub fn attempt_never_started() -> Proof {
        Proof { _private: () }
    }

    /// The request names no id that an earlier submission could have used.
    pub fn id_never_used() -> Proof {
        Proof { _private: () }
    }

    /// The request was malformed and named no id, so that no process would have let
    /// it start.
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
