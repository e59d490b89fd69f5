//! Figures of a measured run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use verdict::Verdict;

use crate::workload::Arrival;

/// Histogram units per unit of response time over run time.
const RATIO_UNIT: f64 = 1000.0;

/// Result of a request from the caller's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Verdict of the response, if there is one.
    pub verdict: Option<Verdict>,
    /// Whether the executor answered without an error.
    pub done: bool,
    /// Time from the planned arrival to the response.
    pub response_time: Duration,
}

/// Figures of one run.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Response time over true run time, in thousandths, of answered requests.
    pub ratios: Histogram<u64>,
    /// Requests by urgency class.
    pub classes: BTreeMap<String, UrgencyClass>,
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that an executor answered without an error.
    pub done: u64,
    /// Requests that failed with the verdict `not_run`.
    pub not_run: u64,
    /// Other failed requests, which may have run.
    pub may_have_run: u64,
    /// Messages between nodes on behalf of requests, by type.
    pub messages: BTreeMap<&'static str, u64>,
    /// Cancellations that callers sent.
    pub cancellations: u64,
    /// Datagrams for membership and load that a node sent, on average.
    pub datagrams: u64,
    /// Requests that were started more than once.
    pub double_starts: u64,
    /// Processor time of the whole process.
    pub cpu: Duration,
}

/// Requests of an urgency class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UrgencyClass {
    /// Requests whose deadline is later than their run time.
    pub feasible: u64,
    /// Feasible requests without a result by their deadline.
    pub missed: u64,
}

impl Stats {
    /// Creates empty figures.
    pub fn new() -> Stats {
        Stats {
            ratios: Histogram::new(3).expect("three digits are valid"),
            classes: BTreeMap::new(),
            sent: 0,
            done: 0,
            not_run: 0,
            may_have_run: 0,
            messages: BTreeMap::new(),
            cancellations: 0,
            datagrams: 0,
            double_starts: 0,
            cpu: Duration::ZERO,
        }
    }

    /// Adds the result of one request.
    pub fn add(&mut self, arrival: &Arrival, completion: Completion) {
        self.sent += 1;
        if completion.done {
            self.done += 1;
            let ratio = completion.response_time.as_secs_f64() / arrival.run_time.as_secs_f64();
            let recorded = self.ratios.record((ratio * RATIO_UNIT) as u64);
            recorded.expect("the histogram grows as needed");
        } else {
            match completion.verdict {
                Some(Verdict::NotRun) => self.not_run += 1,
                Some(Verdict::MayHaveRun | Verdict::Done) | None => self.may_have_run += 1,
            }
        }
        let class = self.classes.entry(arrival.kind.urgency.clone()).or_default();
        if arrival.run_time < arrival.deadline {
            class.feasible += 1;
            class.missed +=
                u64::from(!completion.done || completion.response_time > arrival.deadline);
        }
    }

    /// Response time over run time at a quantile.
    pub fn ratio(&self, quantile: f64) -> f64 {
        self.ratios.value_at_quantile(quantile) as f64 / RATIO_UNIT
    }

    /// Messages beyond two per completed request and two per cancellation, in percent
    /// of the messages of completed requests.
    pub fn wasted_percent(&self) -> f64 {
        let needed = 2.0 * self.done as f64;
        let asked = 2.0 * self.cancellations as f64;
        (self.messages.values().sum::<u64>() as f64 - asked - needed).max(0.0) * 100.0
            / needed.max(1.0)
    }

    /// Missed deadlines per thousand feasible requests of all classes.
    pub fn missed_per_mille(&self) -> f64 {
        let feasible: u64 = self.classes.values().map(|class| class.feasible).sum();
        let missed: u64 = self.classes.values().map(|class| class.missed).sum();
        missed as f64 * 1000.0 / feasible.max(1) as f64
    }
}

impl Default for Stats {
    fn default() -> Stats {
        Stats::new()
    }
}
