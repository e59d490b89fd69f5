//! Runs random schedules of submissions, task results, cancellations and clock advances,
//! and checks the guarantees that jobs give.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    time::Duration,
};

use ident::{NodeId, RequestId, Timestamp};
use jobs::{Action, Jobs, TaskResult};
use proptest::{prelude::*, test_runner::RngSeed};
use support::{BUDGET, CORES, NOW, answer, id, jobs, spec};
use verdict::{Answer, Outcome, Verdict};

/// Number of workers.
const WORKERS: u16 = 3;
/// Number of distinct job ids.
const JOBS: u16 = 6;

/// One step of a schedule.
#[derive(Debug, Clone)]
enum Op {
    Submit {
        job: u16,
        tasks: usize,
        cores: u32,
    },
    Cancel {
        job: u16,
    },
    /// Ends one of the running tasks.
    End {
        pick: prop::sample::Index,
        end: End,
    },
    /// Repeats the result of a task that has ended.
    Repeat {
        pick: prop::sample::Index,
        end: End,
    },
    Advance {
        millis: u64,
    },
}

#[derive(Debug, Clone, Copy)]
enum End {
    Done,
    Failed,
    Refused,
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Task {
    job: RequestId,
    index: u32,
}

/// Events of a job that are visible outside of [`Jobs`].
#[derive(Debug, Default)]
struct Observed {
    total: usize,
    may_have_run: bool,
    done: BTreeSet<u32>,
    outcome: Option<Outcome>,
}

/// Executes the actions of [`Jobs`] and checks them.
struct Harness {
    jobs: Jobs,
    now: Timestamp,
    observed: BTreeMap<RequestId, Observed>,
    running: BTreeMap<Task, NodeId>,
    /// Tasks whose start was not refused.
    started: BTreeSet<Task>,
    ended: Vec<Task>,
}

impl Harness {
    fn new() -> Harness {
        Harness {
            jobs: jobs(WORKERS),
            now: NOW,
            observed: BTreeMap::new(),
            running: BTreeMap::new(),
            started: BTreeSet::new(),
            ended: Vec::new(),
        }
    }

    fn run(&mut self, op: &Op) {
        match op {
            Op::Submit { job, tasks, cores } => {
                // The owner's ledger admits each job once.
                if let Entry::Vacant(entry) = self.observed.entry(id(*job)) {
                    entry.insert(Observed { total: *tasks, ..Observed::default() });
                    let actions = self.jobs.submit(spec(*job, *tasks, *cores), self.now);
                    self.execute(actions);
                }
            }
            Op::Cancel { job } => {
                let actions = self.jobs.cancel(id(*job), self.now);
                self.execute(actions);
            }
            Op::End { pick, end } => {
                let running: Vec<Task> = self.running.keys().copied().collect();
                if !running.is_empty() {
                    self.end(*pick.get(&running), *end);
                }
            }
            Op::Repeat { pick, end } => {
                let idle = |task: &&Task| !self.running.contains_key(task);
                let ended: Vec<Task> = self.ended.iter().filter(idle).copied().collect();
                if !ended.is_empty() {
                    let Task { job, index } = *pick.get(&ended);
                    let actions =
                        self.jobs.on_task_result(job, index, result(index, *end), self.now);
                    self.execute(actions);
                }
            }
            Op::Advance { millis } => {
                self.now = self.now + Duration::from_millis(*millis);
                let actions = self.jobs.tick(self.now);
                self.execute(actions);
            }
        }
    }

    fn end(&mut self, task: Task, end: End) {
        self.running.remove(&task);
        self.ended.push(task);
        let observed = self.observed.get_mut(&task.job).unwrap();
        match end {
            End::Done => {
                observed.done.insert(task.index);
            }
            End::Refused => {
                self.started.remove(&task);
            }
            End::Failed | End::Lost => {}
        }
        observed.may_have_run = self.started.iter().any(|it| it.job == task.job);
        let actions =
            self.jobs.on_task_result(task.job, task.index, result(task.index, end), self.now);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        let mut stopped: Vec<(RequestId, NodeId)> = Vec::new();
        let mut ended_jobs = Vec::new();
        for action in actions {
            match action {
                Action::Start { node, start } => {
                    let task = Task { job: start.job, index: start.index };
                    let observed = self.observed.get_mut(&task.job).unwrap();
                    assert!(
                        observed.outcome.is_none(),
                        "{task:?} was started after its job had ended"
                    );
                    assert!(self.started.insert(task), "{task:?} was started twice");
                    observed.may_have_run = true;
                    self.running.insert(task, node);
                }
                Action::Stop { node, job } => stopped.push((job, node)),
                Action::Ended { job, outcome } => {
                    self.check_outcome(job, &outcome);
                    let observed = self.observed.get_mut(&job).unwrap();
                    assert!(observed.outcome.is_none(), "{job} ended twice");
                    observed.outcome = Some(outcome);
                    ended_jobs.push(job);
                }
                Action::Renew { node, job, .. } => {
                    let runs = |(task, at): (&Task, &NodeId)| task.job == job && *at == node;
                    assert!(
                        self.running.iter().any(runs),
                        "{job} renewed a lease on a node without a running task"
                    );
                }
                Action::LogDecision(_) => {}
            }
        }
        for (task, node) in self.running.iter().filter(|(task, _)| ended_jobs.contains(&task.job)) {
            assert!(
                stopped.contains(&(task.job, *node)),
                "{task:?} was not stopped at the end of its job"
            );
        }
        self.running.retain(|task, _| !ended_jobs.contains(&task.job));
    }

    fn check_outcome(&self, job: RequestId, outcome: &Outcome) {
        let observed = &self.observed[&job];
        match outcome {
            Outcome::Done(answer) => {
                assert_eq!(observed.done.len(), observed.total, "{job} has a partial answer");
                assert_eq!(*answer, joined_answer(observed.total));
            }
            Outcome::Refused(refusal) => {
                let not_run = refusal.verdict() == Verdict::NotRun;
                assert_eq!(not_run, !observed.may_have_run, "{job} has the wrong verdict");
            }
        }
    }

    fn check_final_state(&self) {
        assert!(self.jobs.is_empty());
        for (job, observed) in &self.observed {
            assert!(observed.outcome.is_some(), "{job} has no outcome");
        }
    }
}

fn result(index: u32, end: End) -> TaskResult {
    match end {
        End::Done => TaskResult::Done(answer(&index.to_string())),
        End::Failed => TaskResult::Done(Answer { status: 500, body: Vec::new() }),
        End::Refused => TaskResult::Refused,
        End::Lost => TaskResult::Lost,
    }
}

fn joined_answer(total: usize) -> Answer {
    let results: Vec<String> =
        (0..total).map(|index| format!("{{\"status\":200,\"body\":\"{index}\"}}")).collect();
    answer(&format!("[{}]", results.join(",")))
}

fn ends() -> impl Strategy<Value = End> {
    prop_oneof![8 => Just(End::Done), 1 => Just(End::Failed), 4 => Just(End::Refused), 1 => Just(End::Lost)]
}

fn ops() -> impl Strategy<Value = Op> {
    let any_index = any::<prop::sample::Index>;
    prop_oneof![
        4 => (0..JOBS, 0..5usize, 1..=CORES + 1)
            .prop_map(|(job, tasks, cores)| Op::Submit { job, tasks, cores }),
        1 => (0..JOBS).prop_map(|job| Op::Cancel { job }),
        12 => (any_index(), ends()).prop_map(|(pick, end)| Op::End { pick, end }),
        2 => (any_index(), ends()).prop_map(|(pick, end)| Op::Repeat { pick, end }),
        4 => (0..1500u64).prop_map(|millis| Op::Advance { millis }),
    ]
}

proptest! {
    // PROPTEST_CASES sets the number of schedules, PROPTEST_RNG_SEED another seed.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_job_ends_once_with_a_correct_outcome(ops in prop::collection::vec(ops(), 1..120)) {
        let mut harness = Harness::new();

        for op in &ops {
            harness.run(op);
        }
        harness.run(&Op::Advance { millis: BUDGET.as_millis() as u64 });

        harness.check_final_state();
    }
}
