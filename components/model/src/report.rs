//! Results of a simulation.

use std::collections::BTreeMap;

use broker::OrderCounts;
use hdrhistogram::Histogram;
use mesh::JobId;

/// Maximum response time that is recorded, in ms; longer ones count as this.
const MAX_MS: u64 = 60_000;

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Simulated time, in ms.
    pub at: u64,
    /// Description.
    pub description: String,
}

/// Results of the jobs of one kind.
#[derive(Debug, Clone)]
pub struct KindReport {
    /// Name of the kind.
    pub name: String,
    /// Number of jobs sent.
    pub sent: u64,
    /// Number of jobs answered correctly within the objective.
    pub in_time: u64,
    /// Number of jobs answered correctly, but late.
    pub late: u64,
    /// Number of jobs refused within a quarter of the objective.
    pub refused_early: u64,
    /// Number of jobs refused later.
    pub refused_late: u64,
    /// Number of jobs with a wrong result or none.
    pub failed: u64,
    /// Response times of correct results, in ms.
    pub times: Histogram<u64>,
}

/// Weighted shares of answered jobs.
///
/// All kinds have equal weight over the whole simulation. Within a kind, seven tenths of the
/// weight are divided in proportion to the jobs' work and three tenths equally, so that small
/// jobs count too.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WeightedShares {
    /// Share answered in time.
    pub in_time: f64,
    /// Share answered late.
    pub late: f64,
    /// Share of the largest tenth of a kind's jobs that was answered in time, relative to that of
    /// the whole kind; the least of all kinds.
    pub largest_tenth: f64,
    /// Upper bound on the share that could have been answered in time.
    ///
    /// It assumes that all jobs are known in advance, selects those with the highest weight
    /// per work, and fills the endpoints without gaps for as long as jobs arrive.
    pub bound: f64,
}

/// Results of all jobs.
#[derive(Debug, Clone)]
pub struct Report {
    /// Results by kind.
    pub kinds: Vec<KindReport>,
    /// Weighted shares of answered jobs.
    pub weighted: WeightedShares,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Starts of a task after a run of the same submission had ended as done, if that end was
    /// acknowledged within the lease.
    ///
    /// They are not violations: a job that is not stored may run again after an agent or its
    /// notices are lost. Faults of calls alone must not cause any.
    pub repeats: Vec<Violation>,
    /// Two runs of a task at the same time, of which one was started by a call to an earlier
    /// instance of its endpoint that was carried out late, before any call to the present instance.
    ///
    /// No agent can prevent these: the endpoint tells calls for its instances apart by nothing, until
    /// the first call with a higher fencing token.
    pub unfenced: Vec<Violation>,
    /// Crashes of endpoints under each deadly task.
    pub deadly_crashes: BTreeMap<(JobId, u16, u16), u32>,
    /// Number of deadly jobs that were answered as failed.
    pub deadly_failed: u64,
    /// Jobs that were answered as failed though they would not fail by themselves and no two
    /// endpoints had crashed under any of their tasks.
    pub sound_failed: Vec<JobId>,
    /// The same after two crashes, with which a job may be given up.
    pub sound_given_up: Vec<JobId>,
    /// Runs that ended with an endpoint that a deadly task crashed, that task excluded.
    pub lost_beside: u64,
    /// Time of the last start on each endpoint, in ms after arrivals start.
    pub last_starts: Vec<u64>,
    /// Runs that were in progress on an endpoint that left after it had announced that.
    pub removed_runs: u64,
    /// Number of datagrams sent between processes, including lost ones.
    pub datagrams: u64,
    /// Number of calls to endpoints.
    pub calls: u64,
    /// Work of correctly answered jobs, in core-milliseconds.
    pub useful_work: u64,
    /// Time from the first submission of a job to its first start, in ms.
    pub first_start: Histogram<u64>,
    /// Tasks placed by the entries that live at the end, and refusals of them.
    pub orders: OrderCounts,
    /// Events of the traced job.
    pub trace: Vec<String>,
}

impl KindReport {
    pub(crate) fn new(name: &str) -> KindReport {
        KindReport {
            name: name.to_owned(),
            sent: 0,
            in_time: 0,
            late: 0,
            refused_early: 0,
            refused_late: 0,
            failed: 0,
            times: KindReport::histogram(),
        }
    }

    pub(crate) fn histogram() -> Histogram<u64> {
        Histogram::new_with_max(MAX_MS, 3).expect("the histogram bounds are valid")
    }

    /// Share of the jobs that were answered in time.
    pub fn share_in_time(&self) -> f64 {
        if self.sent == 0 { 1.0 } else { self.in_time as f64 / self.sent as f64 }
    }
}

impl Report {
    /// Share of all jobs that were answered in time.
    pub fn share_in_time(&self) -> f64 {
        let sent: u64 = self.kinds.iter().map(|it| it.sent).sum();
        let in_time: u64 = self.kinds.iter().map(|it| it.in_time).sum();
        if sent == 0 { 1.0 } else { in_time as f64 / sent as f64 }
    }
}
