//! Results of a run.

use std::{collections::BTreeMap, fmt, time::Duration};

use ident::{NodeId, Timestamp};
use node::Decision;

/// One line of a run's trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Virtual time of the event.
    pub at: Timestamp,
    /// Description of the event.
    pub text: String,
}

/// Totals of all submissions under one name of the script.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Submissions.
    pub sent: u64,
    /// Submissions that were answered `done`.
    pub done: u64,
    /// Sum of the response times of those answered `done`.
    pub time: Duration,
}

/// Results of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Violated invariants and failed expectations.
    pub violations: Vec<String>,
    /// Events of the run, in order.
    pub trace: Vec<Line>,
    /// Messages between nodes, without datagrams.
    pub messages: u64,
    /// Datagrams between nodes.
    pub datagrams: u64,
    /// Totals by the names of the script.
    pub tallies: BTreeMap<String, Tally>,
    /// Records appended to the log.
    pub appends: u64,
    /// Answers given to callers.
    pub answers: u64,
    /// When the last configuration was published.
    pub(crate) published_at: Option<Timestamp>,
    /// When each node last applied a newer configuration.
    pub(crate) in_force: BTreeMap<NodeId, Timestamp>,
    /// Time zero of the script.
    start: Timestamp,
}

impl Report {
    pub(crate) fn new(start: Timestamp) -> Report {
        Report {
            violations: Vec::new(),
            trace: Vec::new(),
            messages: 0,
            datagrams: 0,
            tallies: BTreeMap::new(),
            appends: 0,
            answers: 0,
            published_at: None,
            in_force: BTreeMap::new(),
            start,
        }
    }

    /// Whether all invariants and expectations held.
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }

    /// Trace as text for golden files, with times relative to the script's time zero.
    pub fn trace_text(&self) -> String {
        let lines = self.trace.iter().map(|line| {
            let millis = (line.at.as_micros() as i64 - self.start.as_micros() as i64) / 1000;
            format!("{millis:>6} ms  {}\n", line.text)
        });
        lines.collect()
    }

    pub(crate) fn count_message(&mut self) {
        self.messages += 1;
    }

    pub(crate) fn note(&mut self, at: Timestamp, text: String) {
        self.trace.push(Line { at, text });
    }

    pub(crate) fn note_decision(&mut self, at: Timestamp, name: String, decision: Decision) {
        let step = serde_json::to_string(&decision.step).unwrap_or_default();
        let node = decision.node.map(|node| format!(" on {node}")).unwrap_or_default();
        let verdict = decision.verdict.map(|it| format!(" {it}")).unwrap_or_default();
        let reason = decision.reason.map(|it| format!(" ({it})")).unwrap_or_default();
        let id = decision.id;
        self.note(at, format!("{name}: {step} {id}{node}{verdict}{reason}"));
    }

    pub(crate) fn add_violation(&mut self, at: Timestamp, text: String) {
        let millis = (at.as_micros() as i64 - self.start.as_micros() as i64) / 1000;
        self.violations.push(format!("{millis} ms: {text}"));
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for violation in &self.violations {
            writeln!(f, "violated: {violation}")?;
        }
        writeln!(
            f,
            "{} answers, {} messages between nodes, {} records appended",
            self.answers, self.messages, self.appends
        )
    }
}
