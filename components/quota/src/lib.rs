//! Rate limits of teams.
//!
//! Every team has a token bucket that is refilled at the team's rate. Entries
//! enforce a quota without coordination: each has a bucket with an equal share of
//! the rate and of the burst.

mod bucket;

use std::{collections::HashMap, fmt, time::Duration};

use config::Team;
use ident::Timestamp;

use crate::bucket::Bucket;

/// Token buckets of all teams.
#[derive(Debug)]
pub struct Quotas {
    entries: u32,
    teams: HashMap<String, Quota>,
}

/// Why a team may not start anything now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OverQuota {
    /// The inventory has no such team.
    UnknownTeam,
    /// The bucket holds too few tokens.
    Exhausted {
        /// Time after which the bucket holds enough.
        retry_after: Duration,
    },
    /// More starts are requested at once than the team's burst allows.
    TooMany {
        /// Most starts that the team may make at once.
        burst: u32,
    },
}

#[derive(Debug)]
struct Quota {
    team: Team,
    bucket: Bucket,
}

impl Quotas {
    /// Creates quotas without teams, for a single entry.
    pub fn new() -> Quotas {
        Quotas { entries: 1, teams: HashMap::new() }
    }

    /// Applies the teams of an inventory; known teams keep the levels of their buckets.
    pub fn apply(&mut self, teams: &[Team], now: Timestamp) {
        let mut old = std::mem::take(&mut self.teams);
        for team in teams {
            let quota = match old.remove(&team.name) {
                Some(quota) => quota.adjusted(team, self.entries, now),
                None => Quota::new(team, self.entries, now),
            };
            self.teams.insert(team.name.clone(), quota);
        }
    }

    /// Sets the number of entries that share each quota.
    pub fn set_entries(&mut self, entries: usize, now: Timestamp) {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
        if entries == self.entries {
            return;
        }
        self.entries = entries;
        for quota in self.teams.values_mut() {
            quota.bucket.adjust(rate(&quota.team, entries), burst(&quota.team, entries), now);
        }
    }

    /// Takes `n` starts from the team's quota.
    pub fn take(&mut self, team: &str, n: u32, now: Timestamp) -> Result<(), OverQuota> {
        let quota = self.teams.get_mut(team).ok_or(OverQuota::UnknownTeam)?;
        if n > quota.team.burst.max(1) {
            return Err(OverQuota::TooMany { burst: quota.team.burst });
        }
        quota.bucket.take(n, now).map_err(|retry_after| OverQuota::Exhausted { retry_after })
    }

    /// Returns `n` starts that were taken and not used.
    pub fn refund(&mut self, team: &str, n: u32) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.bucket.refund(n);
        }
    }
}

impl Default for Quotas {
    fn default() -> Quotas {
        Quotas::new()
    }
}

impl Quota {
    fn new(team: &Team, entries: u32, now: Timestamp) -> Quota {
        let bucket = Bucket::new(rate(team, entries), burst(team, entries), now);
        Quota { team: team.clone(), bucket }
    }

    fn adjusted(mut self, team: &Team, entries: u32, now: Timestamp) -> Quota {
        self.bucket.adjust(rate(team, entries), burst(team, entries), now);
        self.team = team.clone();
        self
    }
}

impl fmt::Display for OverQuota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OverQuota::UnknownTeam => {
                f.write_str("the team is not declared; add it to the inventory")
            }
            OverQuota::Exhausted { retry_after } => write!(
                f,
                "the team has used up its quota; try again in {} ms",
                retry_after.as_millis()
            ),
            OverQuota::TooMany { burst } => {
                write!(f, "the team may start at most {burst} at once; submit fewer together")
            }
        }
    }
}

impl std::error::Error for OverQuota {}

/// Tokens per second of the bucket of one of `entries` entries.
fn rate(team: &Team, entries: u32) -> f64 {
    f64::from(team.starts_per_s) / f64::from(entries)
}

/// Size of the bucket of one of `entries` entries.
fn burst(team: &Team, entries: u32) -> f64 {
    f64::from(team.burst) / f64::from(entries)
}
