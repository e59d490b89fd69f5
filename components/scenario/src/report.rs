//! What a run has shown.

use std::{collections::BTreeMap, fmt, time::Duration};

use ident::{NodeId, Timestamp};
use node::Decision;

/// One line of a run's trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// When it happened.
    pub at: Timestamp,
    /// What happened.
    pub text: String,
}

/// Answers to all submissions under one name of the script.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Submissions.
    pub sent: u64,
    /// Submissions that were answered `done`.
    pub done: u64,
    /// Time from these submissions to their answers, added up.
    pub time: Duration,
}

/// What a run has shown.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Promises and expectations that did not hold.
    pub violations: Vec<String>,
    /// What happened, in order.
    pub trace: Vec<Line>,
    /// Messages between nodes, datagrams left out.
    pub messages: u64,
    /// Datagrams between nodes.
    pub datagrams: u64,
    /// Answers by the names of the script.
    pub tallies: BTreeMap<String, Tally>,
    /// Records appended to the log.
    pub appends: u64,
    /// Answers given to callers.
    pub answers: u64,
    /// When the last configuration was published.
    pub(crate) published_at: Option<Timestamp>,
    /// When each node came to hold that configuration.
    pub(crate) in_force: BTreeMap<NodeId, Timestamp>,
    zero: Timestamp,
}

impl Report {
    pub(crate) fn new(zero: Timestamp) -> Report {
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
            zero,
        }
    }

    /// Whether everything held.
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }

    /// Decision lines alone, for golden files.
    pub fn trace_text(&self) -> String {
        let lines = self.trace.iter().map(|line| {
            let millis = (line.at.as_micros() as i64 - self.zero.as_micros() as i64) / 1000;
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

    pub(crate) fn decision(&mut self, at: Timestamp, name: String, decision: Decision) {
        let step = serde_json::to_string(&decision.step).unwrap_or_default();
        let node = decision.node.map(|node| format!(" on {node}")).unwrap_or_default();
        let verdict = decision.verdict.map(|it| format!(" {it}")).unwrap_or_default();
        let reason = decision.reason.map(|it| format!(" ({it})")).unwrap_or_default();
        let id = decision.id;
        self.note(at, format!("{name}: {step} {id}{node}{verdict}{reason}"));
    }

    pub(crate) fn violation(&mut self, at: Timestamp, text: String) {
        let millis = (at.as_micros() as i64 - self.zero.as_micros() as i64) / 1000;
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
