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

use crate::{deployment::Caller, promises::SeenJob};

/// Mean interval between jobs, in ms.
const PAUSE_MS: u64 = 110;
/// Fraction of jobs whose tasks run for longer than the interval between submissions.
const LONG: f64 = 0.2;
/// Probability that a burst of jobs is submitted instead of a single one.
const BURSTS: f64 = 0.01;
/// Number of jobs in a burst.
const BURST: usize = 25;
/// Fraction of callers that disconnect early.
const LEAVE: f64 = 0.06;
/// Delay before an unanswered job is submitted again.
const RESEND: Duration = Duration::from_millis(1_300);

/// Running callers and the answers that they received.
pub(crate) struct Traffic {
    seen: Arc<Mutex<Vec<SeenJob>>>,
    stop: Arc<AtomicBool>,
    task: Mutex<Option<JoinHandle<()>>>,
}

/// Plan of a caller to submit one job.
struct Plan {
    number: usize,
    entry: usize,
    work: u64,
    patience: u64,
    leaves: Option<u64>,
}

impl Traffic {
    /// Starts to submit jobs, until [`Traffic::finish`] is called.
    pub(crate) fn start(seed: u64, caller: Caller, entries: usize) -> Traffic {
        let seen = Arc::default();
        let stop = Arc::default();
        let task = tokio::spawn(run(
            SmallRng::seed_from_u64(seed ^ 0x5eed),
            caller,
            entries,
            Arc::clone(&seen),
            Arc::clone(&stop),
        ));
        Traffic { seen, stop, task: Mutex::new(Some(task)) }
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
    pub(crate) fn jobs(&self) -> Vec<SeenJob> {
        lock(&self.seen).clone()
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

fn lock(seen: &Mutex<Vec<SeenJob>>) -> MutexGuard<'_, Vec<SeenJob>> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run(
    mut rng: SmallRng,
    caller: Caller,
    entries: usize,
    seen: Arc<Mutex<Vec<SeenJob>>>,
    stop: Arc<AtomicBool>,
) {
    let mut callers = JoinSet::new();
    while !stop.load(Ordering::Relaxed) {
        let jobs = if rng.random_bool(BURSTS) { BURST } else { 1 };
        for _ in 0..jobs {
            let tasks = rng.random_range(1..5);
            let number = {
                let mut seen = lock(&seen);
                let id = seen.len() as u64 + 1;
                seen.push(SeenJob { id, tasks, answers: Vec::new(), over: false });
                seen.len() - 1
            };
            let plan = Plan {
                number,
                entry: rng.random_range(0..entries),
                work: match rng.random_bool(LONG) {
                    true => rng.random_range(1_400..2_600),
                    false => rng.random_range(20..400),
                },
                patience: rng.random_range(1_500..6_000),
                leaves: rng.random_bool(LEAVE).then(|| rng.random_range(1..400)),
            };
            callers.spawn(call(caller.clone(), entries, Arc::clone(&seen), plan, tasks));
        }
        sleep(Duration::from_millis(rng.random_range(0..2 * PAUSE_MS))).await;
    }
    while let Some(ended) = callers.join_next().await {
        ended.expect("no caller has failed");
    }
}

/// Submits the job of one caller, and again while unanswered, until its timeout.
async fn call(
    caller: Caller,
    entries: usize,
    seen: Arc<Mutex<Vec<SeenJob>>>,
    plan: Plan,
    tasks: usize,
) {
    let id = plan.number as u64 + 1;
    let body = job_text(tasks, &plan.work.to_string());
    let end = Instant::now() + Duration::from_millis(plan.leaves.unwrap_or(plan.patience));
    let mut entry = plan.entry;
    loop {
        let left = end.saturating_duration_since(Instant::now()).as_millis();
        let patience = u64::try_from(left).unwrap_or(u64::MAX).max(1);
        let answer = timeout_at(end, caller.submit(entry, id, patience, &body)).await;
        // A caller that disconnects gets no answer.
        let answer = answer.unwrap_or_default();
        let again = matches!(answer.0, 0 | 502 | 504) && Instant::now() + RESEND < end;
        {
            let mut seen = lock(&seen);
            let job = &mut seen[plan.number];
            job.answers.push(answer);
            job.over = !again;
        }
        if !again {
            return;
        }
        sleep(RESEND).await;
        entry = (entry + 1) % entries;
    }
}
