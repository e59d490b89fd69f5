//! What became of the jobs.

use hdrhistogram::Histogram;

/// Longest time that is counted, in ms.
const MAX_MS: u64 = 60_000;

/// Something that must never be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Time, in ms.
    pub at: u64,
    /// What was seen.
    pub what: String,
}

/// What became of the jobs of one kind.
#[derive(Debug, Clone)]
pub struct KindReport {
    /// Name of the kind.
    pub name: String,
    /// Jobs that were sent.
    pub sent: u64,
    /// Answered within the objective.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused within a quarter of the objective.
    pub refused_early: u64,
    /// Refused later.
    pub refused_late: u64,
    /// Never answered with a result.
    pub failed: u64,
    /// Time to the result, in ms.
    pub times: Histogram<u64>,
}

/// What became of all jobs.
#[derive(Debug, Clone)]
pub struct Report {
    /// By kind.
    pub kinds: Vec<KindReport>,
    /// What must never be.
    pub violations: Vec<Violation>,
    /// Datagrams sent between processes.
    pub datagrams: u64,
    /// Calls of endpoints.
    pub calls: u64,
    /// Core-milliseconds of work that was done.
    pub useful: u64,
    /// Course of the job that was to be traced.
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
            times: Histogram::new_with_max(MAX_MS, 3).expect("the bounds are in order"),
        }
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
