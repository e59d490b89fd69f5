//! Crashes of the endpoint, and the runs that it had at that moment.
//!
//! A task may crash each endpoint that starts it. The agent outlives its endpoint and is the only
//! process that knows what ran there. Silence alone does not show a crash: one is suspected when an
//! endpoint that is not leaving stops answering, confirmed when another instance takes its place,
//! and dismissed if the same instance answers again or none comes.
//!
//! Every change is reported to all entries until they confirm it, so that a crash counts for a task
//! whichever entry orders it next.

use std::{collections::VecDeque, fmt::Write};

use mesh::{Crash as ReportedCrash, CrashState, CrashedTask, Crashes as Report, RunKey, Uptime};

use crate::{
    instance::Instance,
    limits::{
        CRASH_RESEND_MS, CRASH_RETENTION_MS, MAX_CRASHED_RUNS, MAX_CRASHES, MAX_REPORTED_TASKS,
        RETURN_TIMEOUT_MS, SLOW_CRASH_RESEND_AFTER_MS, SLOW_CRASH_RESEND_MS,
    },
};

/// Crashes of the endpoint, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    crashes: VecDeque<Crash>,
    last_number: u64,
    /// Number of the last change of any crash.
    revision: u64,
    /// Number of confirmed crashes, those without runs and those that were dropped included.
    confirmed: u64,
}

/// A crash of an instance, or a silence that may be one.
#[derive(Debug)]
struct Crash {
    number: u64,
    instance: Instance,
    state: CrashState,
    /// Time of the first poll that was not answered.
    since: Uptime,
    /// Time and number of the last change of its state.
    changed: Uptime,
    revision: u64,
    runs: Vec<CrashedRun>,
}

/// A run that an instance had when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CrashedRun {
    pub(crate) key: RunKey,
    /// Time from its start to the crash, in ms.
    pub(crate) age: u64,
}

/// What one entry has confirmed of the crashes.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    /// Session of the entry; begins anew when it restarts.
    session: u64,
    /// Number of the last change that it has confirmed.
    revision: u64,
    /// Number of the last change that was sent to it, and when that was first done.
    sent: u64,
    sent_since: Uptime,
    next_send: Uptime,
}

impl Confirmation {
    pub(crate) fn new(session: u64) -> Confirmation {
        Confirmation { session, ..Confirmation::default() }
    }

    /// Records what an entry has confirmed, unless it belongs to an earlier session.
    pub(crate) fn confirm(&mut self, session: u64, revision: u64) {
        if session == self.session {
            self.revision = self.revision.max(revision);
        }
    }
}

impl Crashes {
    /// Number of confirmed crashes.
    pub(crate) fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Records that an instance with these runs has not answered since `since`.
    pub(crate) fn suspect(
        &mut self,
        now: Uptime,
        since: Uptime,
        instance: &Instance,
        runs: Vec<CrashedRun>,
    ) {
        if runs.is_empty() || self.suspected(instance).is_some() {
            return;
        }
        let runs = youngest(runs);
        log::warn!(
            instance:% = instance, silence_ms = now.since(since), runs = runs.len(),
            beside = list(&runs).as_str();
            "the endpoint may have crashed"
        );
        self.push(now, since, instance, runs);
    }

    /// Records that another instance has taken the place of one that did not say it would leave;
    /// `runs` are those that it still had.
    pub(crate) fn confirm(&mut self, now: Uptime, instance: &Instance, runs: Vec<CrashedRun>) {
        self.confirmed += 1;
        if self.suspected(instance).is_none() && !runs.is_empty() {
            self.push(now, now, instance, youngest(runs));
        }
        let Some(position) = self.suspected(instance) else {
            log::warn!(instance:% = instance; "the endpoint has crashed; nothing ran on it");
            return;
        };
        let crash = self.change(now, position, CrashState::Confirmed);
        log::warn!(
            instance:% = instance, after_ms = now.since(crash.since), runs = crash.runs.len(),
            beside = list(&crash.runs).as_str();
            "the endpoint has crashed"
        );
    }

    /// Records that an instance answers again.
    pub(crate) fn dismiss(&mut self, now: Uptime, instance: &Instance) {
        if let Some(position) = self.suspected(instance) {
            self.dismiss_at(now, position, "it answers again");
        }
    }

    /// Dismisses crashes of instances that nothing has replaced, and drops old ones.
    pub(crate) fn expire(&mut self, now: Uptime) {
        let has_stayed_away = |it: &Crash| {
            it.state == CrashState::Suspected && now.since(it.since) >= RETURN_TIMEOUT_MS
        };
        while let Some(position) = self.crashes.iter().position(has_stayed_away) {
            self.dismiss_at(now, position, "no other instance has come");
        }
        self.crashes.retain(|it| now.since(it.changed) < CRASH_RETENTION_MS);
    }

    fn dismiss_at(&mut self, now: Uptime, position: usize, reason: &str) {
        let crash = self.change(now, position, CrashState::Dismissed);
        log::warn!(
            instance:% = crash.instance, silence_ms = now.since(crash.since), reason = reason;
            "the endpoint is not taken to have crashed"
        );
    }

    /// The changes that an entry is due, which then count as sent.
    pub(crate) fn due(
        &self,
        now: Uptime,
        incarnation: u64,
        entry: &mut Confirmation,
    ) -> Option<Report> {
        if entry.revision >= self.revision || entry.sent == self.revision && now < entry.next_send {
            return None;
        }
        if entry.sent != self.revision {
            entry.sent = self.revision;
            entry.sent_since = now;
        }
        // An entry of an earlier version never confirms, and logs each datagram.
        let is_slow = now.since(entry.sent_since) >= SLOW_CRASH_RESEND_AFTER_MS;
        entry.next_send = now + if is_slow { SLOW_CRASH_RESEND_MS } else { CRASH_RESEND_MS };
        let mut changed: Vec<_> =
            self.crashes.iter().filter(|it| it.revision > entry.revision).collect();
        changed.sort_unstable_by_key(|it| it.revision);
        let mut tasks = 0;
        // The first is always included; the rest follows once it is confirmed.
        let fits = |it: &&Crash| {
            let is_first = tasks == 0;
            tasks += it.runs.len();
            is_first || tasks <= MAX_REPORTED_TASKS
        };
        let crashes: Vec<_> = changed.into_iter().take_while(fits).collect();
        let revision = crashes.last().map_or(self.revision, |it| it.revision);
        let crashes = crashes.into_iter().map(Crash::report).collect();
        Some(Report { incarnation, session: entry.session, revision, crashes })
    }

    fn push(&mut self, now: Uptime, since: Uptime, instance: &Instance, runs: Vec<CrashedRun>) {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.last_number += 1;
        self.revision += 1;
        self.crashes.push_back(Crash {
            number: self.last_number,
            instance: instance.clone(),
            state: CrashState::Suspected,
            since,
            changed: now,
            revision: self.revision,
            runs,
        });
    }

    fn change(&mut self, now: Uptime, position: usize, state: CrashState) -> &Crash {
        self.revision += 1;
        let crash = &mut self.crashes[position];
        crash.state = state;
        crash.changed = now;
        crash.revision = self.revision;
        crash
    }

    /// Position of the suspected crash of an instance.
    fn suspected(&self, instance: &Instance) -> Option<usize> {
        let is_suspected =
            |it: &Crash| it.state == CrashState::Suspected && it.instance == *instance;
        self.crashes.iter().position(is_suspected)
    }
}

impl Crash {
    fn report(&self) -> ReportedCrash {
        let task = |run: &CrashedRun| {
            let RunKey { job, step, index, .. } = run.key;
            let age = u32::try_from(run.age).unwrap_or(u32::MAX);
            CrashedTask { job, step, index, age }
        };
        let tasks = self.runs.iter().map(task).collect();
        ReportedCrash { number: self.number, state: self.state, tasks }
    }
}

/// The runs that started last, as many as are kept, youngest first.
fn youngest(mut runs: Vec<CrashedRun>) -> Vec<CrashedRun> {
    runs.sort_unstable_by_key(|it| (it.age, it.key));
    runs.truncate(MAX_CRASHED_RUNS);
    runs
}

/// The runs and their ages, for the log.
fn list(runs: &[CrashedRun]) -> String {
    let mut text = String::new();
    for run in runs {
        // Writing to a string never fails.
        let _ = write!(text, "{} {} ms; ", run.key, run.age);
    }
    text
}
