//! The workload that callers generate.

use std::{collections::HashMap, sync::Arc};

use broker::{Route, Step, Submission};
use mesh::{JobId, RunKey};
use rand::{Rng, RngExt, rngs::SmallRng};

/// A kind of job.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Name.
    pub name: String,
    /// Arrival rate, in jobs per second.
    pub rate: f64,
    /// Mean number of tasks of a job.
    pub width: f64,
    /// Mean CPU need of a task, in thousandths of a core.
    pub cpu: f64,
    /// Mean run time of a task, in ms.
    pub run_time: f64,
    /// Number of failed runs of a task after which its job fails.
    pub attempts: u32,
    /// Share of the jobs that always fail.
    pub poison: f64,
}

/// A period with a changed arrival rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Start, in ms after arrivals start.
    pub at: u64,
    /// Duration, in ms.
    pub length: u64,
    /// Index of the affected kind, or all kinds if `None`.
    pub kind: Option<usize>,
    /// Factor on the arrival rate.
    pub times: f64,
}

/// A rack that holds the data of all jobs of one kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HotRack {
    /// Index of the kind.
    pub kind: usize,
    /// Number of endpoints on the rack; they are the first ones.
    pub endpoints: usize,
    /// Factor by which a task of the kind takes longer at the other endpoints.
    pub remote_factor: f64,
}

/// Workload of a simulation.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Kinds of jobs.
    pub kinds: Vec<Kind>,
    /// Standard deviation of the logarithm of run times and widths.
    pub spread: f64,
    /// Standard deviation of the logarithm of declared relative to actual run times.
    pub estimate_spread: f64,
    /// Periods with a changed arrival rate.
    pub bursts: Vec<Burst>,
    /// Rack that holds the data of one kind.
    pub hot_rack: Option<HotRack>,
}

/// Actual resource needs of a job.
#[derive(Debug, Clone)]
pub(crate) struct JobNeeds {
    pub(crate) kind: usize,
    /// Run times of its tasks, in ms.
    pub(crate) run_times: Vec<u64>,
    pub(crate) cpu: u32,
    pub(crate) poisoned: bool,
    /// Whether its first task crashes each endpoint that starts it.
    pub(crate) deadly: bool,
    /// Rack of its data, with the factor on its run times elsewhere.
    pub(crate) rack: Option<HotRack>,
    /// Latency objective, in ms.
    pub(crate) objective: u64,
}

impl JobNeeds {
    /// Work of all its tasks, in core-milliseconds.
    pub(crate) fn work(&self) -> f64 {
        let time: u64 = self.run_times.iter().sum();
        time as f64 * f64::from(self.cpu) / 1_000.0
    }
}

/// Actual needs by job.
pub(crate) type NeedsByJob = HashMap<JobId, JobNeeds>;

/// Mean CPU need of a task of [`Load::of_three_kinds`], in thousandths of a core.
const TASK_CPU: f64 = 5_000.0;
/// Mean CPU need of a task of [`Load::of_small_tasks`], in thousandths of a core.
const SMALL_TASK_CPU: f64 = 2_900.0;
/// Value of `Load::spread` and `Load::estimate_spread` in [`Load::of_three_kinds`].
const SPREAD: f64 = 0.4;
/// Factor from the longest run time of a job's tasks to the variable part of its objective.
const OBJECTIVE_FACTOR: f64 = 1.6;
/// Fixed part of the objective, in ms.
const OBJECTIVE_BASE_MS: u64 = 60;

impl Load {
    /// Short, long and medium jobs that make up 19, 33 and 48 % of the work. `offered` is the
    /// total offered work, in thousandths of a core.
    pub fn of_three_kinds(offered: f64) -> Load {
        let kind = |name: &str, share: f64, width: f64, run_time: f64| Kind {
            name: name.to_owned(),
            rate: share * offered * 1_000.0 / (width * TASK_CPU * run_time),
            width,
            cpu: TASK_CPU,
            run_time,
            attempts: 2,
            poison: 0.0,
        };
        let kinds = vec![
            kind("check", 0.19, 8.0, 60.0),
            kind("match", 0.33, 4.0, 900.0),
            kind("order", 0.48, 2.0, 200.0),
        ];
        Load { kinds, spread: SPREAD, estimate_spread: SPREAD, bursts: Vec::new(), hot_rack: None }
    }

    /// Short and wide, long, and medium jobs of small tasks that make up 21, 28 and 51 % of the
    /// work, as on the fleets of docs/design/hard-load.md. `offered` is the total offered work,
    /// in thousandths of a core.
    pub fn of_small_tasks(offered: f64) -> Load {
        let kind = |name: &str, rate: f64, width: f64, run_time: f64| Kind {
            name: name.to_owned(),
            rate,
            width,
            cpu: SMALL_TASK_CPU,
            run_time,
            attempts: 2,
            poison: 0.0,
        };
        let mut kinds = vec![
            kind("wide", 206.0, 8.0, 60.0),
            kind("long", 37.5, 4.0, 900.0),
            kind("medium", 600.0, 2.0, 200.0),
        ];
        let work = |it: &Kind| it.rate * it.width * it.cpu * it.run_time / 1_000.0;
        let total: f64 = kinds.iter().map(work).sum();
        for kind in &mut kinds {
            kind.rate *= offered / total;
        }
        Load { kinds, spread: SPREAD, estimate_spread: SPREAD, bursts: Vec::new(), hot_rack: None }
    }

    /// Arrival rate of a kind in jobs per second, `at` ms after the start of arrivals.
    pub(crate) fn rate(&self, kind: usize, at: u64) -> f64 {
        let is_active = |it: &&Burst| {
            it.kind.is_none_or(|it| it == kind) && (it.at..it.at + it.length).contains(&at)
        };
        let times: f64 = self.bursts.iter().filter(is_active).map(|it| it.times).product();
        self.kinds[kind].rate * times
    }

    /// Samples a job of one kind.
    pub(crate) fn sample(
        &self,
        kind: usize,
        job: JobId,
        rng: &mut SmallRng,
    ) -> (Submission, JobNeeds) {
        let it = &self.kinds[kind];
        let count =
            sample_log_normal(it.width, self.spread, rng).round().clamp(1.0, 4.0 * it.width);
        let base = sample_log_normal(it.run_time, self.spread, rng);
        let run_times = (0..count as usize)
            .map(|_| sample_log_normal(base, 0.15, rng).clamp(1.0, 4.0 * it.run_time) as u64 + 1)
            .collect::<Vec<_>>();
        let cpu = sample_log_normal(it.cpu, 0.2, rng).min(1.5 * it.cpu) as u32;
        let longest = run_times.iter().copied().max().unwrap_or(1);
        let declared = sample_log_normal(longest as f64, self.estimate_spread, rng).max(1.0) as u32;
        let route = Route {
            name: it.name.clone(),
            service: SERVICE.to_owned(),
            attempts: it.attempts,
            objective_factor: OBJECTIVE_FACTOR,
            target: OBJECTIVE_BASE_MS,
            ..Route::default()
        };
        let objective = (OBJECTIVE_FACTOR * longest as f64) as u64 + OBJECTIVE_BASE_MS;
        let rack = self.hot_rack.filter(|it| it.kind == kind);
        let step = Step {
            count: run_times.len() as u16,
            cpu,
            memory: 1,
            declared,
            rack: rack.map(|_| HOT_RACK.to_owned()),
            ..Step::default()
        };
        let submission = Submission {
            job,
            request: String::new(),
            route: Arc::new(route),
            spec: String::new(),
            steps: vec![step],
            timeout: rng.random_range(1_900..4_100),
        };
        let poisoned = rng.random_bool(it.poison);
        (submission, JobNeeds { kind, run_times, cpu, poisoned, deadly: false, rack, objective })
    }
}

/// Label of the endpoints on the hot rack.
pub(crate) const HOT_RACK: &str = "rack";

/// Service that all endpoints provide.
pub(crate) const SERVICE: &str = "service";

/// Actual run time of a run at an endpoint, in ms.
pub(crate) fn run_time_of(all_needs: &NeedsByJob, key: RunKey, on_hot_rack: bool) -> u64 {
    let Some(needs) = all_needs.get(&key.job) else { return 1 };
    let run_time = needs.run_times.get(usize::from(key.index)).copied().unwrap_or(1);
    match needs.rack {
        Some(rack) if !on_hot_rack => (run_time as f64 * rack.remote_factor) as u64,
        Some(_) | None => run_time,
    }
}

/// Samples a log-normal value with the given mean and standard deviation of its logarithm.
fn sample_log_normal(mean: f64, spread: f64, rng: &mut impl Rng) -> f64 {
    // Twelve uniform values sum to an approximately normal one (Irwin-Hall).
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    mean * (spread * normal - spread * spread / 2.0).exp()
}
