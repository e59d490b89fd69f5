//! Fair sharing of slot time among teams.

use std::{collections::HashMap, time::Duration};

use crate::TeamKey;

/// Slot time by which a team may be ahead of another and still rank equal.
const QUANTUM: Duration = Duration::from_millis(200);

/// Slot time that each team has received, as in start-time fair queueing.
///
/// Teams at or behind the virtual time are not stored.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    clock: Duration,
    teams: HashMap<TeamKey, Duration>,
}

impl Shares {
    /// Quanta by which the team is ahead of the virtual time; fewer go first.
    pub(crate) fn turn(&self, team: TeamKey) -> u64 {
        let ahead = self.received(team).saturating_sub(self.clock);
        (ahead.as_micros() / QUANTUM.as_micros()) as u64
    }

    /// Records the start of a request of the team.
    ///
    /// `waiting` are the teams that have requests in the queue. The one that has
    /// received least sets the virtual time, so that an idle team accumulates no
    /// credit.
    pub(crate) fn on_start(
        &mut self,
        team: TeamKey,
        run_time: Duration,
        waiting: impl Iterator<Item = TeamKey>,
    ) {
        let received = self.received(team) + run_time;
        self.teams.insert(team, received);
        let least = waiting.map(|it| self.received(it)).min().unwrap_or(received);
        self.clock = self.clock.max(least);
        let clock = self.clock;
        self.teams.retain(|_, received| *received > clock);
    }

    fn received(&self, team: TeamKey) -> Duration {
        self.teams.get(&team).copied().unwrap_or_default().max(self.clock)
    }
}
