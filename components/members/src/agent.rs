//! What is known of one agent.

use ident::{Group, Timestamp};
use wire::{AgentReport, Silence};

/// An agent as this node sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Newest report; `leaving` stays set for the rest of the incarnation.
    pub report: AgentReport,
    /// Whether the agent is believed to be alive.
    pub liveness: Liveness,
    /// Time at which the newest report arrived.
    pub heard_at: Timestamp,
    /// How the newest report arrived.
    pub source: Source,
    /// Time of the last change of `liveness`.
    pub changed_at: Timestamp,
}

/// Whether an agent is believed to be alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// It was heard of lately.
    Alive,
    /// It has been silent and gets new work only if no other agent can.
    Suspected,
    /// It has been silent for long and gets no new work.
    Gone,
}

/// How a report arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Source {
    /// From the agent itself.
    Direct,
    /// Passed on by an entry.
    Relayed,
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Change {
    /// The agent was not known.
    Joined,
    /// The agent was known by an earlier incarnation.
    Restarted,
    /// Only its load or offset changed.
    Updated,
    /// It announced that it is leaving.
    Leaving,
    /// It was suspected or gone and is back.
    Recovered,
    /// The report is not newer than what is known.
    Stale,
}

impl Member {
    pub(crate) fn new(report: &AgentReport, source: Source, now: Timestamp) -> Member {
        Member {
            report: report.clone(),
            liveness: Liveness::Alive,
            heard_at: now,
            source,
            changed_at: now,
        }
    }

    /// Whether the agent is alive and takes new work.
    pub fn is_available(&self) -> bool {
        self.liveness == Liveness::Alive && !self.report.leaving
    }

    /// Whether the agent serves the group.
    pub fn serves(&self, group: &Group) -> bool {
        self.report.group == *group
    }

    /// Adopts the report if it is newer than the present one.
    pub(crate) fn update(
        &mut self,
        report: &AgentReport,
        source: Source,
        now: Timestamp,
    ) -> Change {
        let known = (self.report.incarnation, self.report.sequence);
        if (report.incarnation, report.sequence) <= known {
            return Change::Stale;
        }
        let is_restart = report.incarnation > self.report.incarnation;
        let had_left = self.report.leaving && !is_restart;
        let was_silent = self.liveness != Liveness::Alive;
        self.report = report.clone();
        self.report.leaving |= had_left;
        self.heard_at = now;
        self.source = source;
        self.set_liveness(Liveness::Alive, now);
        match () {
            () if is_restart => Change::Restarted,
            () if self.report.leaving && !had_left => Change::Leaving,
            () if was_silent => Change::Recovered,
            () => Change::Updated,
        }
    }

    /// Whether nothing newer is known than what the note says.
    pub(crate) fn agrees(&self, silence: &Silence) -> bool {
        let known = (self.report.incarnation, self.report.sequence);
        known <= (silence.incarnation, silence.sequence)
    }

    pub(crate) fn silence(&self) -> Silence {
        Silence {
            node: self.report.node,
            incarnation: self.report.incarnation,
            sequence: self.report.sequence,
        }
    }

    pub(crate) fn set_liveness(&mut self, liveness: Liveness, now: Timestamp) {
        if self.liveness != liveness {
            self.liveness = liveness;
            self.changed_at = now;
        }
    }
}
