//! What is known of one agent.

use std::time::Duration;

use ident::{Group, Incarnation, Timestamp};
use wire::{AgentReport, Suspicion, encode};

use crate::ack::Told;

/// Silence after which an agent is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(3500);
/// Heartbeats after which an agent is held to have settled on sending them here.
const SETTLED_HEARTBEATS: u32 = 4;
/// Time between suspicion and the belief that the agent is gone.
const GONE_AFTER: Duration = Duration::from_millis(2500);
/// Usual times between two reports for which silence of an agent that is not heard
/// directly means nothing.
const PATIENCE: u32 = 10;
/// Longest additional silence of an agent that is not heard directly.
const MAX_PATIENCE: Duration = Duration::from_secs(300);

/// An agent as this node sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Newest report; `leaving` stays set for the rest of the incarnation.
    pub report: AgentReport,
    /// Whether the agent is believed to be alive.
    pub liveness: Liveness,
    /// Time at which the newest report arrived.
    pub heard_at: Timestamp,
    /// Time of the last change of `liveness`.
    pub changed_at: Timestamp,
    /// Newest report that is known to exist; it may be one that a note of silence
    /// names and that never came here.
    newest: (Incarnation, u64),
    /// Time at which the agent itself was last heard, if ever.
    direct_at: Option<Timestamp>,
    /// Heartbeats that came here.
    heartbeats: u32,
    /// Mean time between two reports that brought news.
    interval: Duration,
    /// Silence after which a suspected agent is believed to be gone.
    gone_after: Duration,
    /// What the agent was told of its peers.
    pub(crate) told: Told,
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
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
            changed_at: now,
            newest: (report.incarnation, report.sequence),
            direct_at: (source == Source::Direct).then_some(now),
            heartbeats: u32::from(source == Source::Direct),
            interval: Duration::ZERO,
            gone_after: GONE_AFTER,
            told: Told::new(now),
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
        if (report.incarnation, report.sequence) <= self.newest {
            return Change::Stale;
        }
        self.newest = (report.incarnation, report.sequence);
        let is_restart = report.incarnation > self.report.incarnation;
        let had_left = self.report.leaving && !is_restart;
        let was_silent = self.liveness != Liveness::Alive;
        self.report = report.clone();
        self.report.leaving |= had_left;
        self.interval = (self.interval * 3 + now.since(self.heard_at)) / 4;
        self.heard_at = now;
        if source == Source::Direct {
            self.direct_at = Some(now);
            self.heartbeats = self.heartbeats.saturating_add(1);
        }
        self.set_liveness(Liveness::Alive, now);
        match () {
            () if is_restart => Change::Restarted,
            () if self.report.leaving && !had_left => Change::Leaving,
            () if was_silent => Change::Recovered,
            () => Change::Updated,
        }
    }

    /// Whether the agent has been silent for too long; `relay_time` is the
    /// time for which nothing may come of an agent that is not heard directly.
    pub(crate) fn is_overdue(&self, relay_time: Duration, now: Timestamp) -> bool {
        now.since(self.heard_at) > SUSPECT_AFTER + self.patience(relay_time)
    }

    /// Believes that the agent is dead, as this node has not heard of it.
    pub(crate) fn suspect(&mut self, relay_time: Duration, now: Timestamp) {
        self.gone_after = GONE_AFTER + self.patience(relay_time);
        self.set_liveness(Liveness::Suspected, now);
    }

    /// Believes that the agent is dead, as one that hears it directly says so.
    pub(crate) fn suspect_on_note(&mut self, suspicion: &Suspicion, now: Timestamp) {
        self.newest = self.newest.max((suspicion.incarnation, suspicion.sequence));
        self.gone_after = GONE_AFTER;
        self.set_liveness(Liveness::Suspected, now);
    }

    /// Whether a suspected agent should be believed to be gone.
    pub(crate) fn is_past_hope(&self, now: Timestamp) -> bool {
        now.since(self.changed_at) > self.gone_after
    }

    /// Whether the agent has sent a heartbeat here lately.
    pub(crate) fn is_heard(&self, now: Timestamp) -> bool {
        self.direct_at.is_some_and(|at| now.since(at) <= SUSPECT_AFTER)
    }

    /// Whether the agent sent heartbeats here regularly until the newest report, so
    /// that its silence means something.
    pub(crate) fn is_direct(&self) -> bool {
        self.was_heard() && self.heartbeats >= SETTLED_HEARTBEATS
    }

    /// Whether this node has news on the agent that others may lack.
    pub(crate) fn is_news_here(&self) -> bool {
        match self.liveness {
            Liveness::Alive => self.was_heard(),
            Liveness::Suspected | Liveness::Gone => self.is_direct(),
        }
    }

    /// Whether the agent sent a heartbeat here shortly before the newest report.
    fn was_heard(&self) -> bool {
        self.direct_at.is_some_and(|at| self.heard_at.since(at) <= SUSPECT_AFTER)
    }

    /// Silence that is usual for lack of direct heartbeats.
    fn patience(&self, relay_time: Duration) -> Duration {
        match self.is_direct() {
            true => Duration::ZERO,
            false => relay_time.max(self.interval * PATIENCE).min(MAX_PATIENCE),
        }
    }

    /// Whether nothing newer is known than what the note says.
    pub(crate) fn agrees(&self, suspicion: &Suspicion) -> bool {
        self.newest <= (suspicion.incarnation, suspicion.sequence)
    }

    /// Bytes that the news on the agent takes in a datagram.
    pub(crate) fn news_bytes(&self) -> usize {
        match self.liveness {
            Liveness::Alive => encode(&self.report).len(),
            Liveness::Suspected | Liveness::Gone => encode(&self.suspicion()).len(),
        }
    }

    /// Adds the news on the agent to a datagram.
    pub(crate) fn tell(&self, agents: &mut Vec<AgentReport>, suspicions: &mut Vec<Suspicion>) {
        match self.liveness {
            Liveness::Alive => agents.push(self.report.clone()),
            Liveness::Suspected | Liveness::Gone => suspicions.push(self.suspicion()),
        }
    }

    fn suspicion(&self) -> Suspicion {
        let (incarnation, sequence) = self.newest;
        Suspicion { node: self.report.node, incarnation, sequence }
    }

    pub(crate) fn set_liveness(&mut self, liveness: Liveness, now: Timestamp) {
        if self.liveness != liveness {
            self.liveness = liveness;
            self.changed_at = now;
        }
    }
}
