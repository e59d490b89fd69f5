//! Fault injection for the log.

use std::time::Duration;

/// Faults of the log.
#[derive(Debug, Clone, Default)]
pub(super) struct Faults {
    /// Current outage.
    pub(super) outage: Outage,
    /// Time that each call takes before it has an effect.
    pub(super) delay: Duration,
    /// Number of further calls to refuse.
    pub(super) refused_calls: u32,
    /// Number of further appends that take effect without an answer.
    pub(super) lost_answers: u32,
    /// Maximum rate of appends, per second.
    pub(super) appends_per_s: Option<u32>,
}

/// Way in which the log fails calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Outage {
    /// Serves calls.
    #[default]
    None,
    /// Answers every call with 503.
    Refuse,
    /// Closes connections without an answer.
    Close,
}
