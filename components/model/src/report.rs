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

/// What the jobs that were answered in time are worth.
///
/// Each kind is worth as much as the others over the whole time; a job counts for its kind by
/// its work, and by three tenths of the mean work of the kind, so that small jobs count too.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Worth {
    /// Share that was answered in time.
    pub in_time: f64,
    /// Share that was answered late.
    pub late: f64,
    /// Share that at most could have been answered in time.
    ///
    /// The bound knows every job beforehand, takes those that are worth most for their work,
    /// and fills the endpoints without gaps for as long as callers come.
    pub bound: f64,
}

/// What became of all jobs.
#[derive(Debug, Clone)]
pub struct Report {
    /// By kind.
    pub kinds: Vec<KindReport>,
    /// What the jobs are worth.
    pub worth: Worth,
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
