//! Crashes of endpoints, as agents report them to entries.

use serde::{Deserialize, Serialize};

use crate::JobId;

/// Crashes of an agent's endpoint that have changed since the entry last confirmed any.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crashes {
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Session of the entry at the agent; begins anew when the entry restarts.
    pub session: u64,
    /// Number of the last change that is included.
    pub revision: u64,
    /// Crashes in the order of their changes.
    pub crashes: Vec<Crash>,
}

/// Confirms [`Crashes`] by returning their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashesSeen {
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Session of the entry at the agent.
    pub session: u64,
    /// Number of the last change that was received.
    pub revision: u64,
}

/// A crash of an endpoint, or a silence that may be one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// Number of the crash within the incarnation of its agent.
    pub number: u64,
    /// What is known of it.
    pub state: CrashState,
    /// Tasks whose runs the endpoint had, the last started first.
    pub tasks: Vec<CrashedTask>,
}

/// What is known of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CrashState {
    /// The endpoint does not answer.
    Suspected,
    /// Another instance has taken its place without notice.
    Confirmed,
    /// It has not crashed, or that cannot be told any more.
    Dismissed,
}

/// A task that an endpoint was running when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CrashedTask {
    /// Job.
    pub job: JobId,
    /// Step of the job, from 0.
    pub step: u16,
    /// Task of the step, from 0.
    pub index: u16,
    /// Time from its start to the crash, in ms.
    pub age: u32,
}
