//! A modelled endpoint. It runs tasks under a lease and does not enforce its capacity.

use std::collections::HashMap;

use guard::{Answer, CallKind, EndedRun, Rejection, RunOutcome, RunningRun, Snapshot};
use mesh::{JobId, RunKey};

use crate::load::{NeedsByJob, run_time_of};

/// Time until a stopped run ends, in ms.
const STOP_MS: u64 = 30;
/// Longest lease, in ms.
const MAX_LEASE_MS: u64 = 1_000;
/// Time after which a smaller capacity counts, in ms: an agent that is out of contact may act on
/// the earlier one for 3 s, and learns of the change with a heartbeat.
const SHRINK_GRACE_MS: u64 = 4_500;
/// Rate of the endpoint's clock relative to simulated time, in parts per thousand.
const CLOCK_RATE: u64 = 980;

/// An endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) instance: u64,
    /// Time of its start, which is also its birth time.
    started: u64,
    /// Whether heartbeats and lists of runs carry the birth time.
    announces_birth: bool,
    /// Whether a call to this very instance has arrived.
    pub(crate) reached: bool,
    /// Time at which it leaves, once it has announced that.
    pub(crate) leaves: Option<u64>,
    /// Number of its last heartbeat.
    pub(crate) sequence: u64,
    pub(crate) capacity: u32,
    /// Capacity before it shrank, and until when that counts.
    shrunk: Option<(u32, u64)>,
    pub(crate) alive: bool,
    pub(crate) partitioned: bool,
    pub(crate) hangs: bool,
    pub(crate) fails: bool,
    pub(crate) slowness: f64,
    /// Whether it is on the rack of [`HotRack`](crate::HotRack).
    pub(crate) on_hot_rack: bool,
    /// Highest fencing token received.
    token: u64,
    /// End of the lease, on the endpoint's clock.
    lease: u64,
    running: Vec<Run>,
    ended: Vec<End>,
    /// Times at which copies of a start fail beside their run.
    failures: Vec<(u64, RunKey)>,
    /// Ends that were acknowledged since the last [`Endpoint::take_acknowledged`].
    acknowledged: Vec<End>,
    next_number: u64,
    /// Highest run of each task that has ended or was stopped.
    last_ended: HashMap<(JobId, u16, u16), u32>,
}

#[derive(Debug)]
struct Run {
    key: RunKey,
    cpu: u32,
    started: u64,
    run_time: u64,
    /// Time and outcome of its end, or `None` if it never ends by itself.
    end: Option<(u64, RunOutcome)>,
}

/// A listed end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct End {
    pub(crate) row: EndedRun,
    pub(crate) at: u64,
    /// Whether the lease has lapsed since.
    pub(crate) lapsed: bool,
}

impl Endpoint {
    pub(crate) fn new(capacity: u32, announces_birth: bool) -> Endpoint {
        Endpoint {
            instance: 1,
            started: 0,
            announces_birth,
            reached: false,
            leaves: None,
            sequence: 0,
            capacity,
            shrunk: None,
            alive: true,
            partitioned: false,
            hangs: false,
            fails: false,
            slowness: 1.0,
            on_hot_rack: false,
            token: 0,
            lease: 0,
            running: Vec::new(),
            ended: Vec::new(),
            failures: Vec::new(),
            acknowledged: Vec::new(),
            next_number: 1,
            last_ended: HashMap::new(),
        }
    }

    /// Changes the capacity; runs that exceed a smaller one go on.
    pub(crate) fn resize(&mut self, now: u64, capacity: u32) {
        let before = self.limit(now);
        self.shrunk = (capacity < before).then_some((before, now + SHRINK_GRACE_MS));
        self.capacity = capacity;
    }

    /// Capacity that runs must not exceed.
    pub(crate) fn limit(&self, now: u64) -> u32 {
        let (before, until) = self.shrunk.unwrap_or_default();
        if now < until { before.max(self.capacity) } else { self.capacity }
    }

    /// Crashes this instance, which ends all its runs.
    pub(crate) fn crash(&mut self) {
        *self = Endpoint {
            instance: self.instance + 1,
            alive: false,
            hangs: self.hangs,
            fails: self.fails,
            slowness: self.slowness,
            on_hot_rack: self.on_hot_rack,
            ..Endpoint::new(self.capacity, self.announces_birth)
        };
    }

    /// Crashes this instance; the next one has its id.
    pub(crate) fn crash_under_id(&mut self) {
        let (instance, partitioned) = (self.instance, self.partitioned);
        self.crash();
        self.instance = instance;
        self.partitioned = partitioned;
    }

    /// Starts the next instance, with a clock that begins at 0.
    pub(crate) fn restart(&mut self, now: u64) {
        self.alive = true;
        self.reached = false;
        self.started = now;
    }

    /// Birth time, if the endpoint announces it.
    pub(crate) fn born(&self) -> Option<u64> {
        self.announces_birth.then_some(self.started)
    }

    /// Clock at simulated time `now`, in ms.
    fn clock(&self, now: u64) -> u64 {
        (now - self.started) * CLOCK_RATE / 1_000
    }

    /// Runs in progress.
    pub(crate) fn runs(&self) -> impl Iterator<Item = RunKey> {
        self.running.iter().map(|run| run.key)
    }

    /// Thousandths of a core in use.
    pub(crate) fn used_cpu(&self) -> u32 {
        self.running.iter().map(|run| run.cpu).sum()
    }

    /// Whether any ended run has not been acknowledged.
    pub(crate) fn has_unacknowledged_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Time at which the next run ends or the lease lapses, in ms.
    pub(crate) fn next_end(&self) -> Option<u64> {
        let ends = self.running.iter().filter_map(|run| run.end.map(|(at, _)| at));
        let failures = self.failures.iter().map(|(at, _)| *at);
        let lapse =
            (!self.running.is_empty()).then(|| self.started + self.lease * 1_000 / CLOCK_RATE + 1);
        ends.chain(lapse).chain(failures).min()
    }

    /// Ends the runs that are due at `now`, and all runs if the lease has lapsed.
    pub(crate) fn advance(&mut self, now: u64) {
        let lapsed = self.clock(now) > self.lease;
        for end in &mut self.ended {
            end.lapsed |= lapsed;
        }
        let mut failures = std::mem::take(&mut self.failures);
        for (at, key) in failures.extract_if(.., |(at, _)| *at <= now) {
            self.list_end(at, key, RunOutcome::Failed);
        }
        self.failures = failures;
        let mut runs = std::mem::take(&mut self.running);
        for run in runs.extract_if(.., |run| lapsed || run.end.is_some_and(|(at, _)| at <= now)) {
            let (at, outcome) = match run.end {
                Some((at, outcome)) if at <= now => (at, outcome),
                Some(_) | None => (now, RunOutcome::Lapsed),
            };
            self.list_end(at, run.key, outcome);
        }
        self.running = runs;
    }

    /// Rejects a start without carrying it out.
    pub(crate) fn reject(&mut self, now: u64, lease: u64, rejection: Rejection) -> Answer {
        self.advance(now);
        // The lease of a start is taken even if there is no room for it.
        if rejection == Rejection::Room {
            self.extend(now, lease);
        }
        Answer::Rejected(rejection)
    }

    /// Lists a failed end under the number of a run in progress, at a given time.
    pub(crate) fn fail_copy(&mut self, at: u64, key: RunKey) {
        self.failures.push((at, key));
    }

    /// Ends that were acknowledged since the last call of this function.
    pub(crate) fn take_acknowledged(&mut self) -> Vec<End> {
        std::mem::take(&mut self.acknowledged)
    }

    /// Handles a call from the agent.
    pub(crate) fn call(
        &mut self,
        now: u64,
        token: u64,
        kind: &CallKind,
        all_needs: &NeedsByJob,
    ) -> Answer {
        self.advance(now);
        if token < self.token {
            return Answer::Rejected(Rejection::Fence);
        }
        self.token = token;
        match kind {
            CallKind::Start { key, lease, .. } => self.start(now, *key, *lease, all_needs),
            CallKind::Stop { key } => {
                self.record_ended(*key);
                if let Some(run) = self.running.iter_mut().find(|run| run.key == *key) {
                    let stopped = (now + STOP_MS, RunOutcome::Stopped);
                    if run.end.is_none_or(|(at, _)| at > stopped.0) {
                        run.end = Some(stopped);
                    }
                }
                Answer::Accepted { clock: self.clock(now) }
            }
            CallKind::Hold { lease, acknowledged, .. } => {
                if let Some(lease) = lease {
                    self.extend(now, *lease);
                }
                let ends = self.ended.extract_if(.., |it| it.row.number <= *acknowledged);
                self.acknowledged.extend(ends);
                Answer::Seen(self.snapshot(now))
            }
        }
    }

    /// Snapshot of the runs at `now`.
    pub(crate) fn snapshot(&self, now: u64) -> Snapshot {
        let percent = |run: &Run| (now - run.started) * 100 / run.run_time.max(1);
        let runs = self.running.iter().map(|run| RunningRun {
            key: run.key,
            percent: if run.end.is_none() { 0 } else { percent(run).min(99) as u32 },
        });
        let ended = self.ended.iter().map(|it| it.row).collect();
        Snapshot {
            born: self.born(),
            clock: self.clock(now),
            running: runs.collect(),
            ended,
            last_ignored: 0,
        }
    }

    fn start(&mut self, now: u64, key: RunKey, lease: u64, all_needs: &NeedsByJob) -> Answer {
        self.extend(now, lease);
        if lease < self.clock(now) {
            return Answer::Rejected(Rejection::Late);
        }
        if self.running.iter().any(|run| run.key == key) {
            return Answer::Accepted { clock: self.clock(now) };
        }
        let last = self.last_ended.get(&(key.job, key.step, key.index)).copied().unwrap_or(0);
        if key.run <= last {
            return Answer::Rejected(Rejection::Old);
        }
        let run_time = run_time_of(all_needs, key, self.on_hot_rack);
        let run_time = (run_time as f64 * self.slowness) as u64;
        let needs = all_needs.get(&key.job);
        let failed = self.fails || needs.is_some_and(|it| it.poisoned);
        let end = match (self.hangs, failed) {
            (true, _) => None,
            (false, true) => Some((now + run_time.min(20), RunOutcome::Failed)),
            (false, false) => Some((now + run_time, RunOutcome::Done)),
        };
        let cpu = needs.map_or(0, |it| it.cpu);
        self.running.push(Run { key, cpu, started: now, run_time, end });
        Answer::Accepted { clock: self.clock(now) }
    }

    fn extend(&mut self, now: u64, lease: u64) {
        self.lease = self.lease.max(lease.min(self.clock(now) + MAX_LEASE_MS));
    }

    fn list_end(&mut self, at: u64, key: RunKey, outcome: RunOutcome) {
        let row = EndedRun { number: self.next_number, key, outcome };
        self.ended.push(End { row, at, lapsed: false });
        self.next_number += 1;
        self.record_ended(key);
    }

    fn record_ended(&mut self, key: RunKey) {
        let last = self.last_ended.entry((key.job, key.step, key.index)).or_default();
        *last = key.run.max(*last);
    }
}
