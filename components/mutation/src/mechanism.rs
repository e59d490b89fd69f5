//! Names of the mechanisms.

/// A mechanism that a promise rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mechanism {
    /// The owner of an id remembers it.
    DuplicateRemoval,
    /// An owner decides for no id made before its tenure.
    LowerFence,
    /// An owner decides for no id made after its deputy's promise.
    Horizon,
    /// A restarted owner decides for no id that it may have seen before.
    IncarnationFence,
    /// A refused attempt stays refused when it arrives again.
    RefusalMemory,
    /// A publish names the version that it was edited from.
    BaseVersion,
    /// No process goes back to an older state.
    MonotonicState,
    /// Agents that fail more than others get no requests for a while.
    OutlierEjection,
    /// Agents that are draining or leaving get no new work.
    Draining,
    /// After a lost answer the id is asked for; the request is not sent again.
    AskAgain,
    /// Retries are a share of the traffic.
    RetryBudget,
    /// Urgent requests start before others.
    UrgencyOrder,
    /// A failed job ends at once, with all of its tasks.
    WholeJob,
    /// Leases of running tasks are renewed.
    LeaseRenewal,
}
