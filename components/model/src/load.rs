//! The jobs that callers send.

use std::{collections::HashMap, sync::Arc};

use broker::{Route, Step, Submission};
use mesh::{JobId, RunKey};
use rand::{Rng, RngExt, rngs::SmallRng};

/// A kind of job.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Name.
    pub name: String,
    /// Jobs a second.
    pub rate: f64,
    /// Tasks of a job, in the mean.
    pub width: f64,
    /// Thousandths of a core that a task needs, in the mean.
    pub cpu: f64,
    /// Run time of a task in ms, in the mean.
    pub work: f64,
    /// Failed runs of a task that fail its job.
    pub attempts: u32,
    /// Share of the jobs that always fail.
    pub poison: f64,
}

/// A time of many jobs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Start, in ms from the first callers.
    pub at: u64,
    /// Length, in ms.
    pub length: u64,
    /// Kind, by its position; all kinds if there is none.
    pub kind: Option<usize>,
    /// Jobs a second against the usual ones.
    pub times: f64,
}

/// All jobs of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Kinds.
    pub kinds: Vec<Kind>,
    /// Spread of run times and widths, as the deviation of their logarithm.
    pub spread: f64,
    /// Spread of declared against real run times, likewise.
    pub misjudged: f64,
    /// Times of many jobs.
    pub bursts: Vec<Burst>,
}

/// What a job really needs.
#[derive(Debug, Clone)]
pub(crate) struct Truth {
    pub(crate) kind: usize,
    /// Run times of its tasks, in ms.
    pub(crate) work: Vec<u64>,
    pub(crate) cpu: u32,
    pub(crate) poisoned: bool,
    /// Time within which its caller wants an answer, in ms.
    pub(crate) objective: u64,
}

impl Truth {
    /// Work of all its tasks, in core-milliseconds.
    pub(crate) fn work(&self) -> f64 {
        let time: u64 = self.work.iter().sum();
        time as f64 * f64::from(self.cpu) / 1_000.0
    }
}

/// Jobs by their names.
pub(crate) type Truths = HashMap<JobId, Truth>;

/// Thousandths of a core of a task of [`Load::of_three_kinds`], in the mean.
const TASK_CPU: f64 = 5_000.0;
/// Its spread of sizes and run times, and of declared against real ones, as deviations of
/// their logarithms.
const SPREAD: f64 = 0.4;
/// Part of the objective that grows with the work of a job.
const STRETCH: f64 = 1.6;
/// Fixed part of the objective, in ms.
const TARGET_MS: u64 = 60;

impl Load {
    /// Short, long and middling jobs that take 19, 33 and 48 % of the work; `room` is the work
    /// that arrives, in thousandths of a core.
    pub fn of_three_kinds(room: f64) -> Load {
        let kind = |name: &str, part: f64, width: f64, work: f64| Kind {
            name: name.to_owned(),
            rate: part * room * 1_000.0 / (width * TASK_CPU * work),
            width,
            cpu: TASK_CPU,
            work,
            attempts: 2,
            poison: 0.0,
        };
        let kinds = vec![
            kind("check", 0.19, 8.0, 60.0),
            kind("match", 0.33, 4.0, 900.0),
            kind("order", 0.48, 2.0, 200.0),
        ];
        Load { kinds, spread: SPREAD, misjudged: SPREAD, bursts: Vec::new() }
    }

    /// Jobs of a kind a second, `at` ms after the first callers.
    pub(crate) fn rate(&self, kind: usize, at: u64) -> f64 {
        let strikes = |it: &&Burst| {
            it.kind.is_none_or(|it| it == kind) && (it.at..it.at + it.length).contains(&at)
        };
        let times: f64 = self.bursts.iter().filter(strikes).map(|it| it.times).product();
        self.kinds[kind].rate * times
    }

    /// Draws a job of one kind.
    pub(crate) fn draw(&self, kind: usize, job: JobId, rng: &mut SmallRng) -> (Submission, Truth) {
        let it = &self.kinds[kind];
        let count = draw_around(it.width, self.spread, rng).round().clamp(1.0, 4.0 * it.width);
        let base = draw_around(it.work, self.spread, rng);
        let work = (0..count as usize)
            .map(|_| draw_around(base, 0.15, rng).clamp(1.0, 4.0 * it.work) as u64 + 1)
            .collect::<Vec<_>>();
        let cpu = draw_around(it.cpu, 0.2, rng).min(1.5 * it.cpu) as u32;
        let longest = work.iter().copied().max().unwrap_or(1);
        let declared = draw_around(longest as f64, self.misjudged, rng).max(1.0) as u32;
        let route = Route {
            name: it.name.clone(),
            service: SERVICE.to_owned(),
            attempts: it.attempts,
            stretch: STRETCH,
            target: TARGET_MS,
            ..Route::default()
        };
        let objective = (STRETCH * longest as f64) as u64 + TARGET_MS;
        let step = Step { count: work.len() as u16, cpu, memory: 1, declared, ..Step::default() };
        let submission = Submission {
            job,
            request: String::new(),
            route: Arc::new(route),
            spec: String::new(),
            steps: vec![step],
            timeout: rng.random_range(1_900..4_100),
        };
        let poisoned = rng.random_bool(it.poison);
        (submission, Truth { kind, work, cpu, poisoned, objective })
    }
}

/// Service of all endpoints.
pub(crate) const SERVICE: &str = "service";

/// Run time of a run, in ms.
pub(crate) fn work_of(truths: &Truths, key: RunKey) -> u64 {
    let work = truths.get(&key.job).and_then(|it| it.work.get(usize::from(key.index)));
    work.copied().unwrap_or(1)
}

/// A value around `mean` whose logarithm has the deviation `spread`.
fn draw_around(mean: f64, spread: f64, rng: &mut impl Rng) -> f64 {
    // The sum of twelve uniform values is close to a normal distribution.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    mean * (spread * normal - spread * spread / 2.0).exp()
}
