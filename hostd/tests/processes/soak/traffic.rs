//! Callers that hand jobs in, keep connections open, leave, and come again.

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

/// Mean time between two jobs, in ms.
const PAUSE_MS: u64 = 110;
/// Share of the jobs whose tasks run on for longer than callers take to come again.
const LONG: f64 = 0.2;
/// Share of the jobs that come with a burst of others.
const BURSTS: f64 = 0.01;
/// Jobs of a burst.
const BURST: usize = 25;
/// Share of the callers that leave early.
const LEAVE: f64 = 0.06;
/// Time after which a job without an answer is handed in again.
const RESEND: Duration = Duration::from_millis(1_300);

/// Callers in progress and what they have seen.
pub(crate) struct Traffic {
    seen: Arc<Mutex<Vec<SeenJob>>>,
    stop: Arc<AtomicBool>,
    task: Mutex<Option<JoinHandle<()>>>,
}

/// A job that a caller is to hand in.
struct Plan {
    number: usize,
    entry: usize,
    work: u64,
    patience: u64,
    leaves: Option<u64>,
}

impl Traffic {
    /// Hands jobs in until it is finished.
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

    /// Hands no more jobs in and waits for all callers.
    pub(crate) async fn finish(&self) {
        self.stop.store(true, Ordering::Relaxed);
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.await.expect("no caller has failed");
        }
    }

    /// All jobs so far.
    pub(crate) fn jobs(&self) -> Vec<SeenJob> {
        lock(&self.seen).clone()
    }

    /// How many jobs ended how.
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

/// One caller: hands its job in, again after no answer, until its time is over.
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
        // A caller that leaves has no answer.
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
