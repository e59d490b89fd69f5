//! Crashes of the endpoint, and the runs that it had at that moment.
//!
//! A task may crash each endpoint that starts it. The agent outlives its endpoint and is the only
//! process that knows what ran there. Silence alone does not show a crash: one is suspected when an
//! endpoint that is not leaving stops answering, confirmed when another instance takes its place,
//! and dismissed if the same instance answers again or none comes.

use std::{collections::VecDeque, fmt::Write};

use mesh::{RunKey, Uptime};

use crate::{
    instance::Instance,
    limits::{CRASH_RETENTION_MS, MAX_CRASHED_RUNS, MAX_CRASHES, RETURN_TIMEOUT_MS},
};

/// Crashes of the endpoint, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    crashes: VecDeque<Crash>,
    /// Number of confirmed crashes, those without runs and those that were dropped included.
    confirmed: u64,
}

/// A crash of an instance, or a silence that may be one.
#[derive(Debug)]
struct Crash {
    instance: Instance,
    state: CrashState,
    /// Time of the first poll that was not answered.
    since: Uptime,
    /// Time of the last change of its state.
    changed: Uptime,
    runs: Vec<CrashedRun>,
}

/// What is known of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashState {
    /// The instance does not answer.
    Suspected,
    /// Another instance has taken its place.
    Confirmed,
    /// The instance did not crash, or that cannot be told any more.
    Dismissed,
}

/// A run that an instance had when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CrashedRun {
    pub(crate) key: RunKey,
    /// Time from its start to the crash, in ms.
    pub(crate) age: u64,
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
        let state = CrashState::Suspected;
        self.push(Crash { instance: instance.clone(), state, since, changed: now, runs });
    }

    /// Records that another instance has taken the place of one that did not say it would leave;
    /// `runs` are those that it still had.
    pub(crate) fn confirm(&mut self, now: Uptime, instance: &Instance, runs: Vec<CrashedRun>) {
        self.confirmed += 1;
        let position = self.suspected(instance).or_else(|| {
            let state = CrashState::Suspected;
            let runs = youngest(runs);
            let instance = instance.clone();
            (!runs.is_empty()).then(|| {
                self.push(Crash { instance, state, since: now, changed: now, runs });
                self.crashes.len() - 1
            })
        });
        let Some(crash) = position.and_then(|it| self.crashes.get_mut(it)) else {
            log::warn!(instance:% = instance; "the endpoint has crashed; nothing ran on it");
            return;
        };
        crash.state = CrashState::Confirmed;
        crash.changed = now;
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
        let Some(crash) = self.crashes.get_mut(position) else { return };
        crash.state = CrashState::Dismissed;
        crash.changed = now;
        log::warn!(
            instance:% = crash.instance, silence_ms = now.since(crash.since), reason = reason;
            "the endpoint is not taken to have crashed"
        );
    }

    fn push(&mut self, crash: Crash) {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
    }

    /// Position of the suspected crash of an instance.
    fn suspected(&self, instance: &Instance) -> Option<usize> {
        let is_suspected =
            |it: &Crash| it.state == CrashState::Suspected && it.instance == *instance;
        self.crashes.iter().position(is_suspected)
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
