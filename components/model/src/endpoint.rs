//! A modelled endpoint. It runs tasks under a lease and does not enforce its capacity.

use std::collections::HashMap;

use guard::{Answer, CallKind, EndedRun, Rejection, RunOutcome, RunningRun, Snapshot};
use mesh::{JobId, RunKey};

use crate::load::{Truths, work_of};

/// Time until a stopped run ends, in ms.
const STOP_MS: u64 = 30;
/// Longest lease, in ms.
const MAX_LEASE_MS: u64 = 1_000;
/// Rate of the endpoint's clock relative to simulated time, in parts per thousand.
const CLOCK_RATE: u64 = 980;

/// An endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) instance: u64,
    pub(crate) capacity: u32,
    pub(crate) alive: bool,
    pub(crate) silent: bool,
    pub(crate) hangs: bool,
    pub(crate) fails: bool,
    pub(crate) slowness: f64,
    token: u64,
    lease: u64,
    running: Vec<Row>,
    ended: Vec<EndedRun>,
    next_number: u64,
    /// Highest run of each task that has ended or was stopped.
    over: HashMap<(JobId, u16, u16), u32>,
}

#[derive(Debug)]
struct Row {
    key: RunKey,
    cpu: u32,
    started: u64,
    work: u64,
    end: Option<(u64, RunOutcome)>,
}

impl Endpoint {
    pub(crate) fn new(capacity: u32) -> Endpoint {
        Endpoint {
            instance: 1,
            capacity,
            alive: true,
            silent: false,
            hangs: false,
            fails: false,
            slowness: 1.0,
            token: 0,
            lease: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_number: 1,
            over: HashMap::new(),
        }
    }

    /// Crashes this instance, which ends all its runs.
    pub(crate) fn crash(&mut self) {
        *self = Endpoint {
            instance: self.instance + 1,
            alive: false,
            hangs: self.hangs,
            fails: self.fails,
            slowness: self.slowness,
            ..Endpoint::new(self.capacity)
        };
    }

    /// Runs in progress.
    pub(crate) fn runs(&self) -> impl Iterator<Item = RunKey> {
        self.running.iter().map(|row| row.key)
    }

    /// Thousandths of a core in use.
    pub(crate) fn used(&self) -> u32 {
        self.running.iter().map(|row| row.cpu).sum()
    }

    /// Whether any ended run has not been acknowledged.
    pub(crate) fn has_news(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Time at which the next run ends or the lease lapses, in ms.
    pub(crate) fn next_end(&self) -> Option<u64> {
        let ends = self.running.iter().filter_map(|row| row.end.map(|(at, _)| at));
        let lapse = (!self.running.is_empty()).then(|| self.lease * 1_000 / CLOCK_RATE + 1);
        ends.chain(lapse).min()
    }

    /// Ends the runs that are due at `now`, and all runs if the lease has lapsed.
    pub(crate) fn advance(&mut self, now: u64) {
        let lapsed = clock(now) > self.lease;
        let mut rows = std::mem::take(&mut self.running);
        for row in rows.extract_if(.., |row| lapsed || row.end.is_some_and(|(at, _)| at <= now)) {
            let how = match row.end {
                Some((at, how)) if at <= now => how,
                Some(_) | None => RunOutcome::Lapsed,
            };
            self.ended.push(EndedRun { number: self.next_number, key: row.key, outcome: how });
            self.next_number += 1;
            self.note_over(row.key);
        }
        self.running = rows;
    }

    /// Handles a call from the agent.
    pub(crate) fn call(
        &mut self,
        now: u64,
        token: u64,
        kind: &CallKind,
        truths: &Truths,
    ) -> Answer {
        self.advance(now);
        if token < self.token {
            return Answer::Rejected(Rejection::Fence);
        }
        self.token = token;
        match kind {
            CallKind::Start { key, lease, .. } => self.start(now, *key, *lease, truths),
            CallKind::Stop { key } => {
                self.note_over(*key);
                if let Some(row) = self.running.iter_mut().find(|row| row.key == *key) {
                    let stopped = (now + STOP_MS, RunOutcome::Stopped);
                    if row.end.is_none_or(|(at, _)| at > stopped.0) {
                        row.end = Some(stopped);
                    }
                }
                Answer::Accepted { clock: clock(now) }
            }
            CallKind::Hold { lease, acknowledged, .. } => {
                if let Some(lease) = lease {
                    self.extend(now, *lease);
                }
                self.ended.retain(|it| it.number > *acknowledged);
                Answer::Seen(self.look(now))
            }
        }
    }

    /// Snapshot of the runs at `now`.
    pub(crate) fn look(&self, now: u64) -> Snapshot {
        let percent = |row: &Row| (now - row.started) * 100 / row.work.max(1);
        let rows = self.running.iter().map(|row| RunningRun {
            key: row.key,
            percent: if row.end.is_none() { 0 } else { percent(row).min(99) as u32 },
        });
        Snapshot { clock: clock(now), running: rows.collect(), ended: self.ended.clone() }
    }

    fn start(&mut self, now: u64, key: RunKey, lease: u64, truths: &Truths) -> Answer {
        self.extend(now, lease);
        if lease < clock(now) {
            return Answer::Rejected(Rejection::Late);
        }
        if self.running.iter().any(|row| row.key == key) {
            return Answer::Accepted { clock: clock(now) };
        }
        let over = self.over.get(&(key.job, key.step, key.index)).copied().unwrap_or(0);
        if key.run <= over {
            return Answer::Rejected(Rejection::Old);
        }
        let work = (work_of(truths, key) as f64 * self.slowness) as u64;
        let truth = truths.get(&key.job);
        let failed = self.fails || truth.is_some_and(|it| it.poisoned);
        let end = match (self.hangs, failed) {
            (true, _) => None,
            (false, true) => Some((now + work.min(20), RunOutcome::Failed)),
            (false, false) => Some((now + work, RunOutcome::Done)),
        };
        let cpu = truth.map_or(0, |it| it.cpu);
        self.running.push(Row { key, cpu, started: now, work, end });
        Answer::Accepted { clock: clock(now) }
    }

    fn extend(&mut self, now: u64, lease: u64) {
        self.lease = self.lease.max(lease.min(clock(now) + MAX_LEASE_MS));
    }

    fn note_over(&mut self, key: RunKey) {
        let over = self.over.entry((key.job, key.step, key.index)).or_default();
        *over = key.run.max(*over);
    }
}

/// Endpoint's clock at simulated time `now`.
fn clock(now: u64) -> u64 {
    now * CLOCK_RATE / 1_000
}
