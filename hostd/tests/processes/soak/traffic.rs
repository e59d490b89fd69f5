//! Simulated callers that submit jobs, keep connections open, disconnect and retry.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use platform_standin::job_text;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, timeout_at},
};

use crate::{deployment::Caller, invariants::ObservedJob};

/// Mean interval between jobs, in ms.
const INTERVAL_MS: u64 = 110;
/// Fraction of jobs whose tasks run for longer than the interval between submissions.
const LONG_FRACTION: f64 = 0.2;
/// Probability that a burst of jobs is submitted instead of a single one.
const BURST_PROBABILITY: f64 = 0.01;
/// Number of jobs in a burst.
const BURST_SIZE: usize = 25;
/// Fraction of callers that disconnect early.
const DISCONNECT_FRACTION: f64 = 0.06;
/// Delay before an unanswered job is submitted again.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);

/// Running callers and the answers that they received.
pub(crate) struct Traffic {
    jobs: Arc<Mutex<Vec<ObservedJob>>>,
    stop: Arc<AtomicBool>,
    task: Mutex<Option<JoinHandle<()>>>,
}

/// A job that a caller submits.
struct Submission {
    /// Index of the job in the list of all jobs.
    position: usize,
    entry: usize,
    /// Duration of each task, in ms.
    work: u64,
    /// Time that the caller waits, in ms.
    timeout: u64,
    /// Time after which the caller disconnects early, in ms.
    disconnect_after: Option<u64>,
}

impl Traffic {
    /// Starts to submit jobs, until [`Traffic::finish`] is called.
    pub(crate) fn start(seed: u64, caller: Caller, entries: usize) -> Traffic {
        let jobs = Arc::default();
        let stop = Arc::default();
        let task = tokio::spawn(submit_jobs(
            SmallRng::seed_from_u64(seed ^ 0x5eed),
            caller,
            entries,
            Arc::clone(&jobs),
            Arc::clone(&stop),
        ));
        Traffic { jobs, stop, task: Mutex::new(Some(task)) }
    }

    /// Stops submitting jobs and waits for all callers.
    pub(crate) async fn finish(&self) {
        self.stop.store(true, Ordering::Relaxed);
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.await.expect("no caller has failed");
        }
    }

    /// All jobs submitted so far.
    pub(crate) fn jobs(&self) -> Vec<ObservedJob> {
        lock(&self.jobs).clone()
    }

    /// Number of jobs by last answer.
    pub(crate) fn summary(&self) -> String {
        let jobs = self.jobs();
        let count = |status: u16| {
            let last = jobs.iter().filter_map(|it| it.answers.last());
            last.filter(|it| it.0 == status).count()
        };
        format!(
            "{} jobs, {} answered, {} refused, {} given up",
            jobs.len(),
            count(200),
            count(503),
            count(504)
        )
    }
}

fn lock(jobs: &Mutex<Vec<ObservedJob>>) -> MutexGuard<'_, Vec<ObservedJob>> {
    jobs.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn submit_jobs(
    mut rng: SmallRng,
    caller: Caller,
    entries: usize,
    jobs: Arc<Mutex<Vec<ObservedJob>>>,
    stop: Arc<AtomicBool>,
) {
    let mut callers = JoinSet::new();
    while !stop.load(Ordering::Relaxed) {
        let count = if rng.random_bool(BURST_PROBABILITY) { BURST_SIZE } else { 1 };
        for _ in 0..count {
            let tasks = rng.random_range(1..5);
            let position = {
                let mut jobs = lock(&jobs);
                let id = jobs.len() as u64 + 1;
                jobs.push(ObservedJob { id, tasks, answers: Vec::new(), finished: false });
                jobs.len() - 1
            };
            let submission = Submission {
                position,
                entry: rng.random_range(0..entries),
                work: match rng.random_bool(LONG_FRACTION) {
                    true => rng.random_range(1_400..2_600),
                    false => rng.random_range(20..400),
                },
                timeout: rng.random_range(1_500..6_000),
                disconnect_after: rng
                    .random_bool(DISCONNECT_FRACTION)
                    .then(|| rng.random_range(1..400)),
            };
            callers.spawn(run_caller(
                caller.clone(),
                entries,
                Arc::clone(&jobs),
                submission,
                tasks,
            ));
        }
        sleep(Duration::from_millis(rng.random_range(0..2 * INTERVAL_MS))).await;
    }
    while let Some(ended) = callers.join_next().await {
        ended.expect("no caller has failed");
    }
}

/// Submits the job of one caller, and again while unanswered, until its timeout.
async fn run_caller(
    caller: Caller,
    entries: usize,
    jobs: Arc<Mutex<Vec<ObservedJob>>>,
    submission: Submission,
    tasks: usize,
) {
    let id = submission.position as u64 + 1;
    let body = job_text(tasks, &submission.work.to_string());
    let end = Instant::now()
        + Duration::from_millis(submission.disconnect_after.unwrap_or(submission.timeout));
    let mut entry = submission.entry;
    loop {
        let left = end.saturating_duration_since(Instant::now()).as_millis();
        let timeout = u64::try_from(left).unwrap_or(u64::MAX).max(1);
        let answer = timeout_at(end, caller.submit(entry, id, timeout, &body)).await;
        // A caller that disconnects gets no answer.
        let answer = answer.unwrap_or_default();
        let again = matches!(answer.0, 0 | 502 | 504) && Instant::now() + RETRY_DELAY < end;
        {
            let mut jobs = lock(&jobs);
            let job = &mut jobs[submission.position];
            job.answers.push(answer);
            job.finished = !again;
        }
        if !again {
            return;
        }
        sleep(RETRY_DELAY).await;
        entry = (entry + 1) % entries;
    }
}
