//! Faults that strike a deployment.

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// Start, in ms.
    pub at: u64,
    /// Length, in ms.
    pub length: u64,
    /// What happens.
    pub kind: FaultKind,
}

/// What happens. Numbers name entries, agents, or the endpoints beside agents.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// An entry is killed and started anew at the end.
    KillEntry(usize),
    /// An agent is killed and started anew at the end; its endpoint runs on.
    KillAgent(usize),
    /// An entry's host is suspended.
    FreezeEntry(usize),
    /// An agent's process is suspended; its endpoint runs on.
    FreezeAgent(usize),
    /// An endpoint crashes and comes back as a new instance.
    CrashEndpoint(usize),
    /// An endpoint is cut off from its agent and runs on.
    SilenceEndpoint(usize),
    /// Tasks that start on an endpoint never end.
    HangEndpoint(usize),
    /// Tasks that start on an endpoint fail at once.
    FailEndpoint(usize),
    /// Tasks that start on an endpoint take this many times as long.
    SlowEndpoint(usize, f64),
    /// What an agent sends is lost.
    LoseSent(usize),
    /// What is sent to an agent is lost.
    LoseReceived(usize),
    /// This share of the calls of endpoints is not answered and carried out 2 to 12 s later.
    LateCalls(f64),
    /// This share of all datagrams is lost.
    Loss(f64),
}
