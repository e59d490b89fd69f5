//! Time limits of an entry.

/// Time between two probes of an agent that has runs of this entry, in ms.
///
/// Three fit into the silence that ends runs.
pub const PROBE_MS: u64 = 100;
/// Time between two probes of an agent without runs of this entry, in ms.
pub(crate) const IDLE_PROBE_MS: u64 = 130;
/// Time between two probes of an agent that does not answer, in ms.
pub(crate) const SEARCH_MS: u64 = 250;
/// Silence after which an agent is given no more work, in ms.
pub(crate) const SUSPECT_MS: u64 = 300;
/// Time without acknowledgement of an order after which an agent is given no more work, in
/// ms; an order is sent a second time before.
pub(crate) const OVERDUE_MS: u64 = 100;
/// Silence after which the runs of an agent are taken for lost, in ms.
pub const AGENT_SILENCE_MS: u64 = 400;
/// Time since an agent was last heard after which none of its runs can be left, in ms.
///
/// The agent's patience with a silent entry, an unanswered stop, and the lease with its
/// drift: 420 + 80 + 500 + 13, and a margin for late timers.
pub const RUNS_OVER_MS: u64 = 1_150;
/// Time since a new incarnation of an agent appeared after which no run of the earlier one
/// can be left, in ms: the lease with its drift, and a margin.
pub(crate) const RESTARTED_OVER_MS: u64 = 550;
/// Time between two ticks from which the host is taken to have been suspended, in ms.
///
/// Less than the silence after which agents stop this entry's runs.
pub const SUSPENDED_MS: u64 = 350;
/// Time after which a silent agent is forgotten, in ms.
pub(crate) const FORGET_AGENT_MS: u64 = 60_000;
/// Time for which an agent may let a run wait for room, in ms; a round trip between
/// availability zones and a tick, after which another agent is the better choice.
pub(crate) const PATIENCE_MS: u32 = 6;
/// Part of the time until its latest start for which a job may have to wait while most jobs
/// find room at once, in percent.
pub(crate) const ROOMY_WAIT: u64 = 60;
/// The same while none finds room at once, in percent; the wait is then the same for all.
pub(crate) const CROWDED_WAIT: u64 = 12;
/// Time for which the answer to a job is remembered, in ms.
pub(crate) const REMEMBER_MS: u64 = 10_000;
/// Jobs are of use until this multiple of their objective.
pub(crate) const USEFUL_OBJECTIVES: u64 = 3;
/// Time for which a job may wait for the first endpoint to be heard of, in ms, after the
/// start of the entry or after all endpoints were lost.
pub(crate) const REDISCOVERY_MS: u64 = 1_500;
/// Shortest time to come back that a refused caller is told, in ms.
pub(crate) const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Time after which a stopping entry gives its jobs up, in ms; 6 s are given.
pub(crate) const STOP_LIMIT_MS: u64 = 5_300;
/// Time for which a stopping entry waits at least, in ms; callers still send.
pub(crate) const STOP_LEAST_MS: u64 = 2_600;
/// A stopping entry takes jobs of which this many could follow each other before its end.
pub(crate) const STOP_TIMES: u64 = 2;
