//! Timeouts, intervals and other limits of an entry.

/// Interval between probes of an agent that has runs of this entry, in ms.
///
/// Three fit into each timeout for silence: [`AGENT_SILENCE_MS`], after which runs are considered
/// lost, and the agent's for a silent entry (420), after which it stops the runs.
pub const PROBE_MS: u64 = 100;
/// Interval between probes of an agent without runs of this entry, in ms.
pub(crate) const IDLE_PROBE_MS: u64 = 130;
/// Interval between probes of an unreachable agent, in ms.
pub(crate) const UNREACHABLE_PROBE_MS: u64 = 250;
/// Interval between two choices of the agents to watch, in ms.
pub(crate) const WATCH_INTERVAL_MS: u64 = 100;
/// Time of all probes of an agent that is not watched, in ms for each such agent; limits them to
/// a hundred a second.
pub(crate) const BACKGROUND_PROBE_SPACING_MS: u64 = 10;
/// Shortest interval between probes of an agent that is not watched, in ms.
pub(crate) const MIN_BACKGROUND_PROBE_MS: u64 = 1_000;
/// Longest interval between probes of an agent that is not watched, in ms.
///
/// An agent forgets an entry after 10 s without a datagram, so two probes may be lost.
pub(crate) const MAX_BACKGROUND_PROBE_MS: u64 = 3_000;
/// Silence after which an agent that is not watched is unreachable, in ms: three probes.
pub(crate) const BACKGROUND_SILENCE_MS: u64 = 9_500;
/// Interval at which further agents are told that jobs wait, in ms.
pub(crate) const WAIT_NOTICE_INTERVAL_MS: u64 = 10;
/// Number of agents that are told at a time that jobs wait; each costs a question, a report and a
/// decline.
pub(crate) const WAIT_NOTICE_AGENTS: usize = 4;
/// Silence after which no more tasks are placed on an agent, in ms.
pub(crate) const PLACEMENT_SILENCE_MS: u64 = 300;
/// Age of an unacknowledged order at which no more tasks are placed on an agent, in ms; the
/// order is resent once before.
pub(crate) const ACK_TIMEOUT_MS: u64 = 100;
/// Silence after which the runs of an agent are considered lost, in ms.
pub const AGENT_SILENCE_MS: u64 = 400;
/// Time since an agent was last heard after which all its runs have ended, in ms.
///
/// Sum of limits of the agent, which the crate `guard` defines: the timeout for a silent entry
/// (`ENTRY_SILENCE_MS`, 420), an unanswered stop (`CALL_TIMEOUT_MS`, 80), and the lease
/// (`LEASE_MS`, 500) with its clock drift (13), plus a margin for late timers.
pub const RUN_EXPIRY_MS: u64 = 1_150;
/// Time since a new incarnation of an agent appeared after which all runs of the earlier one
/// have ended, in ms: the lease with its clock drift, plus a margin.
pub(crate) const RESTART_EXPIRY_MS: u64 = 550;
/// Gap between two events from which the host is assumed to have been suspended, in ms.
///
/// A request that was read as long before the end of the suspension is refused. Must stay below the
/// agent's timeout for a silent entry (420), after which it stops the runs.
pub const SUSPENDED_MS: u64 = 350;
/// Time after which an agent that is neither heard nor announced is removed, in ms.
pub const AGENT_RETENTION_MS: u64 = 60_000;
/// Time for which a run may wait for free capacity at an agent, in ms.
///
/// Room is shared out by grants, so an order seldom finds none; one that does is served by the
/// next run that ends, on average after 20 ms. In trials with 10 entries at 80 % load, 7.8 % were
/// refused with a wait of 6 ms and 3.0 % with 25 ms.
pub(crate) const AGENT_WAIT_MS: u32 = 40;
/// Longest predicted wait with which a job is admitted while most jobs find free capacity on
/// arrival, in percent of the time until its latest start.
pub(crate) const BASE_WAIT_PERCENT: u64 = 60;
/// Longest predicted wait with which a job is admitted while no job finds free capacity on
/// arrival, in percent of the time until its latest start; all jobs then wait equally long.
pub(crate) const CONGESTED_WAIT_PERCENT: u64 = 12;
/// Time for which the answer to a job is kept for repeated submissions, in ms.
pub(crate) const ANSWER_RETENTION_MS: u64 = 10_000;
/// Time for which a crash is remembered after the last news of it, in ms.
pub(crate) const CRASH_RETENTION_MS: u64 = 120_000;
/// Time after which a crash that is only suspected does not count any more, in ms. Its agent gives
/// the suspicion up after 20 s, unless it has restarted meanwhile.
pub(crate) const RESOLUTION_TIMEOUT_MS: u64 = 30_000;
/// Time after the last news of a task that seems to crash its endpoints during which other tasks
/// are suspect after a single suspected crash, in ms.
pub(crate) const OUTBREAK_MS: u64 = 30_000;
/// Number of crashes that are remembered.
pub(crate) const MAX_CRASHES: usize = 1_024;
/// Number of tasks that are remembered of a crash, as many as an agent reports.
pub(crate) const MAX_CRASHED_TASKS: usize = 512;
/// Time for which a run that must be alone may wait for its endpoint to be empty, in ms.
pub(crate) const APART_WAIT_MS: u32 = 2_000;
/// Divisor of the number of endpoints for the share on which an entry runs tasks apart.
pub(crate) const APART_DIVISOR: usize = 8;
/// Multiple of a job's objective after which its answer is of no use.
pub(crate) const MAX_OBJECTIVE_MULTIPLE: u64 = 3;
/// Time for which jobs may wait for a first endpoint to be found, in ms, after the start of the
/// entry or after its last endpoint became unavailable.
pub(crate) const DISCOVERY_TIMEOUT_MS: u64 = 1_500;
/// Time after the start of the entry, or after an endpoint was last missing altogether, during
/// which agents that are known and not heard yet count as available, in ms; afterwards they
/// count as gone.
pub const SETTLE_MS: u64 = 2_000;
/// Shortest time after which a refused caller is told to retry, in ms.
pub(crate) const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Time into the shutdown after which an entry gives up its jobs, in ms; the process has 6 s to
/// exit.
pub(crate) const SHUTDOWN_TIMEOUT_MS: u64 = 5_300;
/// Shortest time from the start of the shutdown to the exit of the entry, in ms; callers still
/// send jobs to it.
pub(crate) const SHUTDOWN_MIN_MS: u64 = 2_600;
/// Safety factor on the expected run time of a job that arrives during the shutdown. The job is
/// accepted if its run time times this factor ends before the entry gives up its jobs.
pub(crate) const SHUTDOWN_RUN_FACTOR: u64 = 2;
/// Number of runs that may be ordered at an agent before it acknowledges them, so that one job holds
/// up the orders of others for a few datagrams at most.
pub(crate) const MAX_UNACKNOWLEDGED_RUNS: usize = 256;
/// Number of runs in one order to stop, so that it fits into a datagram.
pub(crate) const MAX_STOPPED_RUNS: usize = 1_024;
