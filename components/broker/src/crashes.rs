//! Crashes of endpoints that agents have reported, and what they say of the tasks that ran there.
//!
//! Several tasks run on an endpoint when it crashes, and mostly one of them is to blame. A suspect
//! runs with no run of another job beside it, so that the next crash shows whether its job is to
//! blame. That takes a whole endpoint, so a task becomes suspect by a second crash under it, or by
//! the first one if it had started last and the crash is confirmed.
//!
//! Most silent endpoints have not crashed, and most crashes have no task to blame. A suspected crash
//! alone makes suspects only during an outbreak: while a task is known under which two endpoints
//! stopped answering equally long after its start. Chance seldom does that.
//!
//! Endpoints also crash by chance, mostly at another moment of a run than the time before, so that
//! two crashes suffice for a verdict only if they came equally long after the start and at different
//! agents, as an endpoint that has crashed may crash again by itself.
//!
//! Each entry judges by the same reports, whichever entry has ordered the runs.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddrV4,
};

use mesh::{CrashState, CrashedTask, Crashes, JobId, Uptime};

use crate::limits::{
    CRASH_RETENTION_MS, MAX_CRASHED_TASKS, MAX_CRASHES, OUTBREAK_MS, RESOLUTION_TIMEOUT_MS,
};

/// Number of crashes after which a task always runs apart.
const MAX_SHARED_CRASHES: u32 = 2;
/// Number of crashes after which a job is given up in any case.
const MAX_TASK_CRASHES: u32 = 3;
/// Difference of the times from start to crash up to which two crashes are taken to have the same
/// cause, in ms; a poll that is not answered is noticed within that time.
const SAME_CAUSE_MS: u32 = 60;
/// Number of jobs that are suspect after a single crash, those that started last.
const RECENT_JOBS: usize = 2;

/// Crashes by agent.
#[derive(Debug, Default)]
pub(crate) struct CrashLedger {
    crashes: BTreeMap<CrashId, Crash>,
    by_job: HashMap<JobId, BTreeSet<CrashId>>,
    outbreak: Option<Outbreak>,
}

/// A task that seems to crash its endpoints.
#[derive(Debug, Clone, Copy)]
struct Outbreak {
    job: JobId,
    step: u16,
    index: u16,
    /// Time of the last news of its crashes.
    changed: Uptime,
}

/// Agent, its incarnation, and the number of the crash within that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CrashId {
    agent: SocketAddrV4,
    incarnation: u64,
    number: u64,
}

#[derive(Debug)]
struct Crash {
    state: CrashState,
    /// Tasks whose runs the endpoint had, the last started first.
    tasks: Vec<CrashedTask>,
    /// Job that is known to have caused it.
    culprit: Option<JobId>,
    /// Time of the last change of its state.
    changed: Uptime,
}

/// What one crash says of a task.
#[derive(Debug, Clone, Copy)]
struct Witness {
    agent: SocketAddrV4,
    is_confirmed: bool,
    /// Whether its job was alone on the endpoint.
    is_alone: bool,
    /// Whether its job was among the last that had started on the endpoint.
    is_recent: bool,
    /// Time from its start to the crash, in ms.
    age: u32,
}

/// Crashes that count against a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Evidence {
    pub(crate) confirmed: u32,
    pub(crate) suspected: u32,
    /// Whether its job was alone on an endpoint whose crash is confirmed.
    pub(crate) alone: bool,
    /// Whether two confirmed crashes, one of them with its job alone, seem to have the same cause.
    pub(crate) repeats: bool,
    /// Whether that would hold if the suspected crashes were confirmed.
    may_repeat: bool,
    /// Whether two crashes, suspected or not, came equally long after it was one of the last to start.
    recurs: bool,
    /// Whether its job was among the last that had started on an endpoint.
    is_recent: bool,
    /// Whether there is an outbreak.
    in_outbreak: bool,
}

/// Number of times that tasks were judged, by verdict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VerdictCounts {
    /// Tasks that had to run apart.
    pub apart: u64,
    /// Tasks that had to wait.
    pub held: u64,
    /// Jobs that were given up.
    pub culprits: u64,
}

/// How a task may run, by the crashes of its endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Anywhere.
    #[default]
    Clear,
    /// With no run of another job beside it.
    Apart,
    /// Not before suspected crashes are confirmed or dismissed.
    Held,
    /// Not at all: it crashes its endpoints.
    Culprit,
}

impl CrashLedger {
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Takes over what an agent reports; returns the jobs that it concerns.
    pub(crate) fn merge(
        &mut self,
        now: Uptime,
        agent: SocketAddrV4,
        report: Crashes,
    ) -> BTreeSet<JobId> {
        let mut concerned = BTreeSet::new();
        for mut crash in report.crashes {
            crash.tasks.truncate(MAX_CRASHED_TASKS);
            let id = CrashId { agent, incarnation: report.incarnation, number: crash.number };
            let known = self.crashes.get(&id).map(|it| it.state);
            if !is_news(known, crash.state) {
                continue;
            }
            let jobs: BTreeSet<JobId> = crash.tasks.iter().map(|it| it.job).collect();
            log::warn!(
                agent:% = agent, number = crash.number, state:? = crash.state,
                tasks = crash.tasks.len(), jobs = jobs.len();
                "an agent reports a crash of its endpoint"
            );
            let known = self.crashes.entry(id).or_insert_with(|| {
                let state = CrashState::Suspected;
                Crash { state, tasks: crash.tasks, culprit: None, changed: now }
            });
            known.state = crash.state;
            known.changed = now;
            for job in &jobs {
                self.by_job.entry(*job).or_default().insert(id);
            }
            concerned.extend(jobs);
        }
        for job in concerned.clone() {
            concerned.extend(self.attribute(job));
        }
        concerned.extend(self.follow_outbreak(now, &concerned));
        self.drop_oldest();
        concerned
    }

    /// Dismisses crashes that stay suspected and drops old ones; returns the jobs that it concerns.
    pub(crate) fn expire(&mut self, now: Uptime) -> BTreeSet<JobId> {
        let mut concerned = BTreeSet::new();
        let mut expired = Vec::new();
        for (id, crash) in &mut self.crashes {
            let age = now.since(crash.changed);
            let is_unresolved =
                crash.state == CrashState::Suspected && age >= RESOLUTION_TIMEOUT_MS;
            if is_unresolved {
                crash.state = CrashState::Dismissed;
            }
            if age >= CRASH_RETENTION_MS {
                expired.push(*id);
            }
            if is_unresolved || age >= CRASH_RETENTION_MS {
                concerned.extend(crash.tasks.iter().map(|it| it.job));
            }
        }
        for id in expired {
            self.remove(id);
        }
        concerned.extend(self.follow_outbreak(now, &BTreeSet::new()));
        concerned
    }

    /// Begins or ends an outbreak by the crashes under the tasks of `reported` jobs; returns all
    /// jobs with a crash if that has changed.
    fn follow_outbreak(&mut self, now: Uptime, reported: &BTreeSet<JobId>) -> BTreeSet<JobId> {
        let before = self.outbreak;
        let is_over = |it: &Outbreak| {
            now.since(it.changed) >= OUTBREAK_MS || !self.evidence(it.job, it.step, it.index).recurs
        };
        let ongoing = before.filter(|it| !is_over(it));
        let newest = reported.iter().find_map(|job| self.recurring_task(*job));
        let newest =
            newest.map(|it| Outbreak { job: it.job, step: it.step, index: it.index, changed: now });
        self.outbreak = newest.or(ongoing);
        match (before, self.outbreak) {
            (None, Some(it)) => {
                log::warn!(job:% = it.job, step = it.step, index = it.index; "a task seems to crash its endpoints; tasks that start before a suspected crash run apart");
            }
            (Some(it), None) => {
                log::warn!(job:% = it.job; "no task seems to crash its endpoints any more");
            }
            (None, None) | (Some(_), Some(_)) => return BTreeSet::new(),
        }
        self.by_job.keys().copied().collect()
    }

    /// A task of the job under which endpoints crash equally long after its start.
    fn recurring_task(&self, job: JobId) -> Option<CrashedTask> {
        self.tasks_of(job).into_iter().find(|it| self.evidence(job, it.step, it.index).recurs)
    }

    /// Crashes that count against a task.
    pub(crate) fn evidence(&self, job: JobId, step: u16, index: u16) -> Evidence {
        let mut evidence = Evidence { in_outbreak: self.outbreak.is_some(), ..Evidence::default() };
        let mut earlier: Vec<Witness> = Vec::new();
        for (id, crash) in self.of_job(job) {
            let Some(task) = crash.task(job, step, index) else { continue };
            let is_confirmed = match crash.state {
                CrashState::Suspected => false,
                CrashState::Confirmed => true,
                CrashState::Dismissed => continue,
            };
            let is_alone = crash.tasks.iter().all(|it| it.job == job);
            let is_recent = crash.recent_jobs().contains(&job);
            let witness =
                Witness { agent: id.agent, is_confirmed, is_alone, is_recent, age: task.age };
            for other in earlier.iter().filter(|it| it.may_share_cause(witness)) {
                evidence.recurs |= is_recent && other.is_recent;
                if is_alone || other.is_alone {
                    evidence.may_repeat = true;
                    evidence.repeats |= is_confirmed && other.is_confirmed;
                }
            }
            earlier.push(witness);
            evidence.confirmed += u32::from(is_confirmed);
            evidence.suspected += u32::from(!is_confirmed);
            evidence.alone |= is_confirmed && is_alone;
            evidence.is_recent |= is_recent;
        }
        evidence
    }

    /// Whether an endpoint has crashed, or may have, for no reason that is known.
    pub(crate) fn is_unsteady(&self, agent: SocketAddrV4) -> bool {
        let first = CrashId { agent, incarnation: 0, number: 0 };
        let last = CrashId { agent, incarnation: u64::MAX, number: u64::MAX };
        let mut crashes = self.crashes.range(first..=last);
        crashes.any(|(_, it)| it.state != CrashState::Dismissed && it.culprit.is_none())
    }

    /// Whether an endpoint of the agent has crashed under the job, or may have.
    pub(crate) fn has_crashed_under(&self, agent: SocketAddrV4, job: JobId) -> bool {
        self.of_job(job).any(|(id, it)| id.agent == agent && it.state != CrashState::Dismissed)
    }

    /// Whether a task of the job crashes its endpoints, with the evidence.
    pub(crate) fn culprit(&self, job: JobId) -> Option<(CrashedTask, Evidence)> {
        let evidence = |it: CrashedTask| (it, self.evidence(job, it.step, it.index));
        let mut tasks = self.tasks_of(job).into_iter().map(evidence);
        tasks.find(|(_, it)| it.verdict() == Verdict::Culprit)
    }

    /// Tasks of the job that ran on endpoints when they crashed, each of them once.
    fn tasks_of(&self, job: JobId) -> Vec<CrashedTask> {
        let tasks = self.of_job(job).flat_map(|(_, it)| &it.tasks).filter(|it| it.job == job);
        let mut tasks: Vec<_> = tasks.copied().collect();
        tasks.sort_unstable();
        tasks.dedup_by_key(|it| (it.step, it.index));
        tasks
    }

    /// Crashes that the job may have caused.
    fn of_job(&self, job: JobId) -> impl Iterator<Item = (&CrashId, &Crash)> {
        let ids = self.by_job.get(&job).into_iter().flatten();
        let crashes = ids.filter_map(|it| Some((it, self.crashes.get(it)?)));
        crashes.filter(move |(_, it)| it.culprit.is_none_or(|culprit| culprit == job))
    }

    /// Blames a job for the crashes under its task if it was alone on one of the endpoints; returns
    /// the other jobs, against which these count no more.
    fn attribute(&mut self, job: JobId) -> BTreeSet<JobId> {
        let mut cleared = BTreeSet::new();
        let Some((task, _)) = self.culprit(job).filter(|(_, evidence)| evidence.alone) else {
            return cleared;
        };
        for id in self.by_job.get(&job).into_iter().flatten() {
            if let Some(crash) = self.crashes.get_mut(id)
                && crash.culprit.is_none()
                && crash.task(task.job, task.step, task.index).is_some()
            {
                crash.culprit = Some(job);
                cleared.extend(crash.tasks.iter().map(|it| it.job));
            }
        }
        cleared
    }

    fn drop_oldest(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, it)| it.changed).map(|it| *it.0);
            let Some(oldest) = oldest else { return };
            self.remove(oldest);
        }
    }

    fn remove(&mut self, id: CrashId) {
        let Some(crash) = self.crashes.remove(&id) else { return };
        for task in crash.tasks {
            if let Some(ids) = self.by_job.get_mut(&task.job) {
                ids.remove(&id);
                if ids.is_empty() {
                    self.by_job.remove(&task.job);
                }
            }
        }
    }
}

impl Crash {
    fn task(&self, job: JobId, step: u16, index: u16) -> Option<&CrashedTask> {
        self.tasks.iter().find(|it| (it.job, it.step, it.index) == (job, step, index))
    }

    /// The jobs that had started last.
    fn recent_jobs(&self) -> Vec<JobId> {
        let mut jobs = Vec::new();
        for task in &self.tasks {
            if jobs.len() < RECENT_JOBS && !jobs.contains(&task.job) {
                jobs.push(task.job);
            }
        }
        jobs
    }
}

impl Witness {
    /// Whether both crashes may be due to the task: another endpoint, as long after its start.
    fn may_share_cause(self, other: Witness) -> bool {
        self.agent != other.agent && self.age.abs_diff(other.age) <= SAME_CAUSE_MS
    }
}

impl VerdictCounts {
    /// Counts the changed verdict on a task.
    pub(crate) fn record(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Apart => self.apart += 1,
            Verdict::Held => self.held += 1,
            Verdict::Clear | Verdict::Culprit => {}
        }
    }
}

impl Evidence {
    pub(crate) fn verdict(self) -> Verdict {
        let total = self.confirmed + self.suspected;
        if self.repeats || self.confirmed >= MAX_TASK_CRASHES {
            return Verdict::Culprit;
        }
        if self.may_repeat || total >= MAX_TASK_CRASHES {
            return Verdict::Held;
        }
        let one_suffices = self.confirmed > 0 || self.suspected > 0 && self.in_outbreak;
        if total >= MAX_SHARED_CRASHES || one_suffices && self.is_recent {
            return Verdict::Apart;
        }
        Verdict::Clear
    }
}

/// Whether a reported state is later than the known one; a crash is confirmed or dismissed once.
fn is_news(known: Option<CrashState>, reported: CrashState) -> bool {
    match known {
        None => true,
        Some(CrashState::Suspected) => reported != CrashState::Suspected,
        Some(CrashState::Confirmed | CrashState::Dismissed) => false,
    }
}
