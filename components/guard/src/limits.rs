//! Time limits of an agent.
//!
//! A caller that gets no answer submits its job again 1300 ms later, and by then no run of the
//! first submission may be left. The sum of [`ENTRY_SILENCE_MS`] (420), one unanswered stop
//! ([`CALL_TIMEOUT_MS`], 80) and [`LEASE_MS`] with clock drift by [`MIN_CLOCK_RATE`] (513) is
//! 1013 ms and thus less than that; see docs/DESIGN-HOSTS.md.

/// Duration of the leases of runs, in ms.
pub const LEASE_MS: u64 = 500;
/// Longest lease that an endpoint grants, in ms. It applies to a call that was meant for an earlier
/// instance, whose clock was ahead of the present one's.
pub(crate) const MAX_HOLD_MS: u64 = 1_000;
/// Longest interval between two renewals of the lease, in ms; ten fit into a lease.
pub const RENEW_MS: u64 = 50;
/// Timeout of a call to the endpoint, in ms; it is on the same host.
pub const CALL_TIMEOUT_MS: u64 = 80;
/// Time since the newest report that an entry has acknowledged after which its runs are stopped,
/// in ms: four probe intervals of the entry (100 ms each) and 20 ms more.
pub const ENTRY_SILENCE_MS: u64 = 420;
/// Timeouts of a start, its hedge included, after which its run is stopped; the start is sent as
/// many times, apart from repeats after a rejection.
pub(crate) const MAX_START_TIMEOUTS: u32 = 3;
/// Number of entries that are known at most.
pub(crate) const MAX_ENTRIES: usize = 1_024;
/// Number of starts that may await their answer, each with a connection to the endpoint; further
/// runs stay queued.
pub const MAX_PENDING_STARTS: usize = 256;
/// Time without an answer after which a start or a poll is sent a second time, in ms; the
/// endpoint is on the same host and answers within a few ms.
pub(crate) const HEDGE_MS: u64 = 20;
/// Time from the failure or timeout of the first of consecutive unanswered polls after which an
/// endpoint gets no more work, in ms.
pub(crate) const ENDPOINT_SILENCE_MS: u64 = 150;
/// Maximum age of the report on which an order was decided, in ms; one of the limits in
/// [`Timing`].
///
/// Must stay below [`ENTRY_SILENCE_MS`]: the runs of an entry are stopped once, when it times out,
/// and a run that starts later would go on for as long as the entry stays silent.
pub const MAX_ORDER_AGE_MS: u64 = 410;
/// Gap between two events from which the host is considered to have been suspended, in ms; a
/// tick of the event loop comes every 10 ms.
pub const SUSPENDED_MS: u64 = 300;
/// Minimum rate of an endpoint's clock relative to this host's, in parts per thousand.
pub(crate) const MIN_CLOCK_RATE: u64 = 975;
/// Time without progress after which a run counts as stalled, in ms; more than six renewals
/// at intervals of [`RENEW_MS`].
pub(crate) const STALL_MS: u64 = 320;
/// Interval between two reports to an entry whose jobs wait for resources, in ms.
pub(crate) const REPORT_INTERVAL_MS: u64 = 3;
/// Time without a datagram after which an entry is removed, in ms.
pub const ENTRY_EXPIRY_MS: u64 = 10_000;
/// Interval between two polls while orphans (runs that an earlier agent started) are being
/// stopped, in ms.
pub(crate) const ORPHAN_POLL_MS: u64 = 40;
/// Time for which the number of an ended run is kept, in ms; longer than any retransmission.
pub(crate) const RUN_NUMBER_EXPIRY_MS: u64 = 15_000;

/// Time for which a crash of the endpoint is remembered after the last news of it, in ms; jobs that
/// were running may be submitted again for that long.
pub(crate) const CRASH_RETENTION_MS: u64 = 120_000;
/// Time after which an endpoint that nothing has replaced is not taken to have crashed, in ms; a
/// crashed one is back after a few seconds.
pub(crate) const RETURN_TIMEOUT_MS: u64 = 20_000;
/// Number of crashes that are remembered.
pub(crate) const MAX_CRASHES: usize = 32;
/// Number of runs that are remembered of a crash.
pub(crate) const MAX_CRASHED_RUNS: usize = 512;
/// Number of tasks in one report of crashes, so that it fits into a datagram.
pub(crate) const MAX_REPORTED_TASKS: usize = 2_000;
/// Interval at which crashes are reported again to an entry that has not confirmed them, in ms.
pub(crate) const CRASH_RESEND_MS: u64 = 100;
/// Time after which they are reported less often, in ms.
pub(crate) const SLOW_CRASH_RESEND_AFTER_MS: u64 = 2_000;
/// Interval from then on, in ms.
pub(crate) const SLOW_CRASH_RESEND_MS: u64 = 1_000;

/// Highest number of a run in an order; leaves room for the numbers of later runs and of retries.
pub(crate) const MAX_RUN_NUMBER: u32 = u32::MAX / 2;

/// The limits that together end every run before its job is submitted again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Duration of leases, in ms.
    pub lease: u64,
    /// Time without an acknowledged report after which an entry's runs are stopped, in ms.
    pub entry_silence: u64,
    /// Maximum age of the report on which an order was decided, in ms.
    pub order_age: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { lease: LEASE_MS, entry_silence: ENTRY_SILENCE_MS, order_age: MAX_ORDER_AGE_MS }
    }
}

/// Minimum increment of the fencing token when another agent has used a higher one, in ms: an
/// hour, as agents start with the Unix time in ms as their token.
pub(crate) const TOKEN_STEP_MS: u64 = 3_600_000;
/// Maximum number of retries of a start under a higher run number, each after the endpoint
/// rejected the number because it has seen a later run.
pub(crate) const MAX_NUMBER_RETRIES: u32 = 6;
