//! Faults that a test can switch on.

use std::time::Duration;

/// What is wrong with the log at present.
#[derive(Debug, Clone, Default)]
pub(super) struct Faults {
    /// How the log fails to serve calls.
    pub(super) outage: Outage,
    /// Time that each call takes before it has an effect.
    pub(super) delay: Duration,
    /// Calls still to come that are refused.
    pub(super) refused_calls: u32,
    /// Appends still to come that take effect but are not answered.
    pub(super) lost_answers: u32,
    /// Appends that the log takes in a second.
    pub(super) appends_per_s: Option<u32>,
}

/// How the log fails to serve calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Outage {
    /// It serves them.
    #[default]
    None,
    /// It answers every call with 503.
    Refuse,
    /// It closes connections without an answer.
    Close,
}
