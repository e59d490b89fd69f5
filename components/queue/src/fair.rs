//! Fair sharing of slot time among teams.

use std::{collections::HashMap, time::Duration};

use crate::TeamKey;

/// Slot time by which a team may be ahead of another and still rank equal.
const QUANTUM: Duration = Duration::from_millis(200);

/// Slot time that each team has received, as in start-time fair queueing.
///
/// Teams at or behind the virtual time are not stored.
#[derive(Debug, Default)]
pub(crate) struct FairShares {
    virtual_time: Duration,
    teams: HashMap<TeamKey, Duration>,
}

impl FairShares {
    /// Quanta by which the team is ahead of the virtual time; fewer go first.
    pub(crate) fn quanta_ahead(&self, team: TeamKey) -> u64 {
        let ahead = self.received(team).saturating_sub(self.virtual_time);
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
        self.virtual_time = self.virtual_time.max(least);
        let virtual_time = self.virtual_time;
        self.teams.retain(|_, received| *received > virtual_time);
    }

    fn received(&self, team: TeamKey) -> Duration {
        self.teams.get(&team).copied().unwrap_or_default().max(self.virtual_time)
    }
}
