//! Time limits of an agent.
//!
//! A caller that gets no answer sends its job again 1300 ms later, and by then no run of the
//! first submission may be left. [`ENTRY_SILENCE_MS`], one unanswered stop
//! ([`CALL_TIMEOUT_MS`]) and [`LEASE_MS`] with its drift add up to less; docs/DESIGN-HOSTS.md
//! has the sum.

/// Length of the leases of runs, in ms.
pub const LEASE_MS: u64 = 500;
/// Longest time between two renewals of the lease, in ms; ten fit into a lease.
pub const RENEW_MS: u64 = 50;
/// Time for an answer of the endpoint, in ms; it stands on the same host.
pub const CALL_TIMEOUT_MS: u64 = 80;
/// Time since the last report that an entry has heard after which its runs are stopped, in
/// ms; four of its probes.
pub const ENTRY_SILENCE_MS: u64 = 420;
/// Times that a start is sent until its run is stopped.
pub(crate) const MAX_STARTS: u32 = 3;
/// Time after which a start or a look without an answer is sent a second time, in ms; the
/// endpoint stands on the same host and answers within a few.
pub(crate) const HEDGE_MS: u64 = 20;
/// Time without an answered look after which an endpoint gets no more work, in ms.
pub(crate) const SILENT_MS: u64 = 150;
/// Greatest age of what an order was decided on, in ms.
pub const MAX_ORDER_AGE_MS: u64 = 450;
/// Time between two ticks from which the host is taken to have been suspended, in ms.
pub const SUSPENDED_MS: u64 = 300;
/// Slowest rate of an endpoint's clock against this one's, in parts per thousand.
pub(crate) const CLOCK_RATE: u64 = 975;
/// Time without progress after which a run is taken to hang, in ms; two renewals and more.
pub(crate) const STALL_MS: u64 = 320;
/// Time between two reports to an entry whose jobs wait for room, in ms.
pub(crate) const NEWS_MS: u64 = 8;
/// Time after which a silent entry is forgotten, in ms.
pub(crate) const FORGET_ENTRY_MS: u64 = 10_000;
/// Time after which a looked-at endpoint is looked at again while it is being cleared, in ms.
pub(crate) const CLEAR_MS: u64 = 40;
/// Time for which the number of an ended run is remembered, in ms; later than any resend.
pub(crate) const REMEMBER_MS: u64 = 15_000;

/// The limits that together end every run before its job comes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Length of leases, in ms.
    pub lease: u64,
    /// Silence after which an entry's runs are stopped, in ms.
    pub entry_silence: u64,
    /// Greatest age of what an order was decided on, in ms.
    pub order_age: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { lease: LEASE_MS, entry_silence: ENTRY_SILENCE_MS, order_age: MAX_ORDER_AGE_MS }
    }
}

/// Step by which the fencing token rises when another holder has used a higher one.
pub(crate) const TOKEN_STEP: u64 = 3_600_000;
/// Starts that may be tried with higher run numbers when the endpoint knows a later run.
pub(crate) const MAX_RENUMBERED: u32 = 6;
