//! Faults under load: the verdicts that callers get agree with what ran.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{caller, new_id, start, wrap_ticket};
use ident::RequestId;
use load::{Caller, Cluster, Endpoint};
use tokio::{task::JoinHandle, time::sleep};
use verdict::Verdict;

const RUN_TIME: Duration = Duration::from_millis(30);
const CALLERS: u8 = 8;

/// A submitted request and its answer.
struct Submitted {
    id: RequestId,
    verdict: Option<Verdict>,
    body: String,
}

/// Callers that each submit one request after another.
struct CallerLoad {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Submitted>>>,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replacing_every_agent_causes_no_refusal_and_no_double_start() {
    let mut cluster = start(41).await;
    let load = CallerLoad::start(&cluster);

    for name in ["yard-1", "yard-2"] {
        sleep(Duration::from_secs(2)).await;
        let host = cluster.host(name).unwrap();
        assert!(host.stop().await);
        host.restart().await.unwrap();
    }
    sleep(Duration::from_secs(2)).await;
    let submitted = load.finish().await;

    assert_verdicts_match_runs(&cluster, &submitted);
    for Submitted { verdict, body, .. } in &submitted {
        assert_eq!(*verdict, Some(Verdict::Done), "{body}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killing_an_agent_causes_no_double_start_and_moves_its_shards() {
    let mut cluster = start(42).await;
    let load = CallerLoad::start(&cluster);

    sleep(Duration::from_secs(1)).await;
    cluster.host("yard-1").unwrap().kill();
    sleep(Duration::from_secs(1)).await;
    let mut submitted = load.finish().await;
    let mut recovered = false;
    while !recovered {
        let load = CallerLoad::start(&cluster);
        sleep(Duration::from_secs(1)).await;
        let later = load.finish().await;
        recovered = later.iter().all(|it| it.verdict == Some(Verdict::Done));
        submitted.extend(later);
    }

    assert_verdicts_match_runs(&cluster, &submitted);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_to_an_executor_cause_no_double_start() {
    let mut cluster = start(43).await;
    let load = CallerLoad::start(&cluster);

    for _ in 0..3 {
        sleep(Duration::from_secs(1)).await;
        match &cluster.host("yard-2").unwrap().endpoint {
            Endpoint::Executor(executor) => executor.silence_connections(),
            Endpoint::Worker(_) => panic!("yard-2 is an executor"),
        }
    }
    sleep(Duration::from_secs(1)).await;
    let submitted = load.finish().await;

    assert_verdicts_match_runs(&cluster, &submitted);
    assert!(submitted.iter().any(|it| it.verdict == Some(Verdict::Done)));
}

impl CallerLoad {
    /// Starts the callers, half of them on each entry.
    fn start(cluster: &Cluster) -> CallerLoad {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS).map(|number| {
            let caller = caller(cluster, usize::from(number % 2));
            tokio::spawn(submit_until(caller, number, Arc::clone(&stop)))
        });
        CallerLoad { callers: callers.collect(), stop }
    }

    /// Stops the callers and collects their answers.
    async fn finish(self) -> Vec<Submitted> {
        self.stop.store(true, Ordering::Relaxed);
        let mut submitted = Vec::new();
        for caller in self.callers {
            submitted.extend(caller.await.unwrap());
        }
        submitted
    }
}

async fn submit_until(caller: Caller, number: u8, stop: Arc<AtomicBool>) -> Vec<Submitted> {
    let mut submitted = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = new_id(number);
        let answer = caller.submit(&wrap_ticket(id, RUN_TIME)).await.unwrap();
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        submitted.push(Submitted { id, verdict: answer.verdict, body });
    }
    submitted
}

/// Checks every verdict against the executors' counts of starts.
fn assert_verdicts_match_runs(cluster: &Cluster, submitted: &[Submitted]) {
    assert_eq!(cluster.double_starts(), 0);
    assert!(!submitted.is_empty());
    for Submitted { id, verdict, body } in submitted {
        let runs: u32 = cluster.hosts.iter().map(|host| runs(&host.endpoint, *id)).sum();
        match verdict {
            Some(Verdict::Done) => assert_eq!(runs, 1, "{id} is done: {body}"),
            Some(Verdict::NotRun) => assert_eq!(runs, 0, "{id} has not run: {body}"),
            Some(Verdict::MayHaveRun) => assert!(runs <= 1, "{id} may have run: {body}"),
            None => panic!("{id} has no verdict: {body}"),
        }
    }
}

fn runs(endpoint: &Endpoint, id: RequestId) -> u32 {
    match endpoint {
        Endpoint::Executor(executor) => executor.runs(id),
        Endpoint::Worker(_) => 0,
    }
}
