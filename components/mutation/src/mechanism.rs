//! Mechanisms that can be disabled.

/// A mechanism that a guarantee of the system depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mechanism {
    /// The owner of an id remembers it, so that a copy does not start again.
    Deduplication,
    /// An owner decides for no id generated before its tenure.
    LowerFence,
    /// An owner decides for no id generated after the horizon that its deputy has promised.
    Horizon,
    /// A restarted owner decides for no id that its earlier incarnation may have seen.
    IncarnationFence,
    /// A late copy of a refused attempt is refused too.
    RefusedAttempts,
    /// A published configuration takes effect only if its base version is in force.
    BaseVersion,
    /// No process adopts an older state than its own.
    MonotonicState,
    /// Agents that fail more than others are excluded from routing for a while.
    OutlierEjection,
    /// Agents that are draining or leaving get no new work.
    Draining,
    /// After a lost answer the sender queries the id instead of sending the request again.
    DelegateQuery,
    /// Retries are limited to a share of the traffic.
    RetryBudget,
    /// Urgent requests start before others.
    UrgencyOrder,
    /// A failed job ends at once, and its running tasks are stopped.
    JobTermination,
    /// Leases of running tasks are renewed.
    LeaseRenewal,
}
