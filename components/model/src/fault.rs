//! Faults that are injected into a simulation.

use guard::Rejection;

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// Start, in ms after arrivals start.
    pub at: u64,
    /// Duration, in ms.
    pub length: u64,
    /// Kind of fault.
    pub kind: FaultKind,
}

/// Kind of fault. Integers are indices of entries, of agents, or of the agents' endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// An entry is killed, and restarted at the end of the fault.
    KillEntry(usize),
    /// An agent is killed, and restarted at the end of the fault; its endpoint keeps running.
    KillAgent(usize),
    /// An entry's host is suspended.
    SuspendEntry(usize),
    /// An agent's process is suspended; its endpoint keeps running.
    SuspendAgent(usize),
    /// An endpoint crashes, and restarts as a new instance at the end of the fault.
    CrashEndpoint(usize),
    /// An endpoint crashes, and restarts under its id with a clock that begins at 0.
    RestartEndpoint(usize),
    /// An endpoint announces its removal and leaves after this time, in ms; another instance starts
    /// at the end of the fault.
    RemoveEndpoint(usize, u64),
    /// An endpoint is partitioned from its agent and keeps running.
    PartitionEndpoint(usize),
    /// Tasks that start on an endpoint never end.
    HangEndpoint(usize),
    /// Tasks that start on an endpoint fail at once.
    FailEndpoint(usize),
    /// Tasks that start on an endpoint take longer by this factor.
    SlowEndpoint(usize, f64),
    /// The operator evacuates an availability zone, and takes it back at the end of the fault.
    Evacuate(usize),
    /// An entry cannot read the store and gets no datagram about evacuations.
    Uninformed(usize),
    /// No process can read the store.
    StoreDown,
    /// All datagrams from an agent are lost.
    LoseSent(usize),
    /// All datagrams to an agent are lost.
    LoseReceived(usize),
    /// This share of the calls to endpoints is not answered, and is executed 2 to 12 s late.
    LateCalls(f64),
    /// This share of all datagrams is lost.
    Loss(f64),
    /// This share of the calls to endpoints is carried out, and the answer is lost: either the
    /// connection breaks before it, or the call times out.
    LoseAnswers(f64),
    /// Answers of endpoints take up to 70 ms and may overtake each other.
    SlowAnswers,
    /// Heartbeats take up to 3 s and may overtake each other.
    SlowHeartbeats,
    /// This share of the starts is rejected, whatever the endpoint runs.
    RejectStarts(f64, Rejection),
    /// This share of the starts is not sent, as endpoints refuse the connections.
    UnsentStarts(f64),
    /// The first task of this share of the jobs of one kind crashes each endpoint that starts it.
    DeadlyJobs {
        /// Index of the kind.
        kind: usize,
        /// Share of its jobs.
        share: f64,
    },
    /// An endpoint provides this share of its usual capacity.
    ShrinkEndpoint(usize, f64),
    /// This share of the starts of a run in progress makes the endpoint list a failed end under
    /// the run's number, while the run goes on.
    FailCopies(f64),
}

/// Faults of calls to endpoints that are in effect.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CallFaults {
    /// Share of calls that are executed late and not answered.
    pub(crate) late: f64,
    /// Share of answers that are lost.
    pub(crate) lost: f64,
    pub(crate) slow: bool,
    /// Whether heartbeats are slow.
    pub(crate) slow_heartbeats: bool,
    /// Share of starts that are rejected, and the reason.
    pub(crate) rejected: Option<(f64, Rejection)>,
    /// Share of starts that are not sent.
    pub(crate) unsent: f64,
    /// Share of the copies of a start that fail beside their run.
    pub(crate) failed: f64,
}
