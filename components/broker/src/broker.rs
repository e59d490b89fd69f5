//! The entry's core.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
};

use mesh::{
    Command, Datagram, End, EntryState, Frame, JobId, Notice, Report, RunKey, StartOrder, Uptime,
};
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    agents::{Agent, Agents},
    backlog::Backlog,
    estimate::Estimates,
    job::{Job, Submission, TaskState},
    limits::{
        FORGET_AGENT_MS, IDLE_PROBE_MS, MIN_RETRY_AFTER_MS, PATIENCE_MS, PROBE_MS, REDISCOVERY_MS,
        REMEMBER_MS, RESTARTED_OVER_MS, SEARCH_MS, STOP_LEAST_MS, STOP_LIMIT_MS, STOP_TIMES,
        SUSPENDED_MS,
    },
    place::Candidates,
    queue::{JobKey, Queue},
};

/// What an entry is started with.
#[derive(Debug, Clone)]
pub struct Options {
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Seed of the choices that are left to chance.
    pub seed: u64,
    /// Time since an agent was last heard after which none of its runs can be left, in ms.
    pub runs_over: u64,
}

/// What happens to an entry.
#[derive(Debug)]
pub enum Event {
    /// A caller sends a job.
    Submit {
        /// Number of the caller's request.
        token: u64,
        /// Job.
        submission: Submission,
    },
    /// A caller has left without an answer.
    Gone {
        /// Number of its request.
        token: u64,
    },
    /// A caller cancels a job.
    Cancel {
        /// Job.
        job: JobId,
    },
    /// An agent exists.
    Agent {
        /// Address.
        address: SocketAddrV4,
        /// Availability zone.
        zone: String,
    },
    /// A datagram of an agent.
    Frame {
        /// Agent.
        from: SocketAddrV4,
        /// Datagram.
        frame: Frame<Notice, Report>,
    },
    /// Time passes.
    Tick,
    /// The process is to stop.
    Stop,
}

/// Answer to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// Nothing of the job has run or will; come back after this many ms.
    Refused {
        /// Time to wait, in ms.
        retry_after: u64,
    },
    /// The job was given up after parts of it may have run.
    GivenUp,
    /// The job was cancelled.
    Cancelled,
}

/// State of a job for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No task has started.
    Queued,
    /// Tasks have started.
    Running,
    /// It was answered.
    Answered(Reply),
}

/// What an entry asks of its shell.
#[derive(Debug)]
pub enum Effect {
    /// Answer a caller.
    Answer {
        /// Number of its request.
        token: u64,
        /// Answer.
        reply: Reply,
    },
    /// Send a datagram.
    Send {
        /// Agent.
        to: SocketAddrV4,
        /// Datagram.
        datagram: Datagram,
    },
    /// Nothing is left to do before the process ends.
    Finished,
}

/// What is remembered of a job that was answered.
#[derive(Debug, Clone, Copy)]
struct Answered {
    reply: Reply,
    /// Highest number of a run; notices of these runs may still come.
    runs: u32,
}

/// The entry's core.
#[derive(Debug)]
pub struct Broker {
    options: Options,
    rng: SmallRng,
    agents: Agents,
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<JobId, JobKey>,
    by_token: HashMap<u64, JobKey>,
    queue: Queue,
    estimates: Estimates,
    answered: HashMap<JobId, Answered>,
    forget: VecDeque<(Uptime, JobId)>,
    /// Room or the queue has changed since jobs were last placed.
    changed: bool,
    /// Last time at which an endpoint was known, or the start.
    served: Uptime,
    last: Uptime,
    stopping: Option<Uptime>,
    finished: bool,
    effects: Vec<Effect>,
}

impl Broker {
    /// An entry that knows no agents yet.
    pub fn new(now: Uptime, options: Options) -> Broker {
        Broker {
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            agents: Agents::new(),
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_token: HashMap::new(),
            queue: Queue::default(),
            estimates: Estimates::default(),
            answered: HashMap::new(),
            forget: VecDeque::new(),
            changed: false,
            served: now,
            last: now,
            stopping: None,
            finished: false,
            effects: Vec::new(),
        }
    }

    /// Takes an event in and returns what is to be done.
    pub fn handle(&mut self, now: Uptime, event: Event) -> Vec<Effect> {
        self.note_time(now);
        let mut fresh = None;
        match event {
            Event::Submit { token, submission } => fresh = self.on_submit(now, token, submission),
            Event::Gone { token } => self.on_gone(now, token),
            Event::Cancel { job } => self.on_cancel(now, job),
            Event::Agent { address, zone } => self.on_agent(now, address, zone),
            Event::Frame { from, frame } => self.on_frame(now, from, frame),
            Event::Tick => self.on_tick(now),
            Event::Stop => self.on_stop(now),
        }
        self.place(now);
        if let Some(key) = fresh {
            self.admit(now, key);
        }
        self.send_frames(now);
        self.check_finished(now);
        std::mem::take(&mut self.effects)
    }

    /// State of a job, if it is known.
    pub fn status(&self, job: JobId) -> Option<Status> {
        if let Some(job) = self.by_id.get(&job).and_then(|key| self.jobs.get(*key)) {
            return Some(if job.not_run() { Status::Queued } else { Status::Running });
        }
        self.answered.get(&job).map(|it| Status::Answered(it.reply))
    }

    /// Jobs of a queue of which no task has started.
    pub fn pending(&self, route: &str) -> usize {
        let of_route = |job: &&Job| job.submission.route.name == route;
        self.jobs.values().filter(of_route).filter(|job| job.not_run()).count()
    }

    /// Agents with an endpoint that takes work.
    pub fn open_agents(&self, now: Uptime) -> usize {
        let is_open = |agent: &&Agent| !agent.is_silent(now) && agent.report.endpoint.is_some();
        self.agents.values().filter(is_open).count()
    }

    /// Jobs in progress and those of them that wait for room.
    pub fn load(&self) -> (usize, usize) {
        (self.jobs.len(), self.queue.len())
    }

    /// Gives up what was in progress before the host was suspended.
    ///
    /// Agents have stopped its runs by then, and callers may have gone elsewhere.
    fn note_time(&mut self, now: Uptime) {
        let gap = now.since(self.last);
        self.last = now;
        if gap < SUSPENDED_MS {
            return;
        }
        log::warn!(gap_ms = gap, jobs = self.jobs.len(); "the host was suspended; jobs in progress are given up");
        let keys: Vec<_> = self.jobs.keys().collect();
        for key in keys {
            self.give_up(now, key, "suspended");
        }
    }

    fn on_submit(&mut self, now: Uptime, token: u64, submission: Submission) -> Option<JobKey> {
        let id = submission.job;
        if let Some(key) = self.by_id.get(&id).copied() {
            log::info!(job:% = id, request = submission.request.as_str(); "a job in progress is sent again");
            self.jobs.get_mut(key)?.tokens.push(token);
            self.by_token.insert(token, key);
            return None;
        }
        let earlier = self.answered.get(&id).copied();
        if let Some(Answered { reply, .. }) = earlier
            && matches!(reply, Reply::Completed | Reply::Failed)
        {
            log::info!(job:% = id, request = submission.request.as_str(), reply:? = reply; "an answered job is sent again");
            self.effects.push(Effect::Answer { token, reply });
            return None;
        }
        let runs = earlier.map_or(0, |it| it.runs);
        let job = Job::new(now, submission, token, runs, &self.estimates);
        let chain = job.objective.saturating_sub(job.latest.since(now));
        if let Some(since) = self.stopping
            && now.since(since) + STOP_TIMES * chain >= STOP_LIMIT_MS
        {
            let reply = Reply::Refused { retry_after: MIN_RETRY_AFTER_MS };
            log::info!(job:% = id, request = job.submission.request.as_str(); "a job is refused: the entry stops");
            self.effects.push(Effect::Answer { token, reply });
            return None;
        }
        let latest = job.latest;
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.by_token.insert(token, key);
        self.queue.insert(now, latest, key);
        self.changed = true;
        Some(key)
    }

    /// Refuses a job that has just arrived if its wait would be too long.
    fn admit(&mut self, now: Uptime, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        if !job.waits() || !job.not_run() {
            return;
        }
        let service = job.submission.route.service.clone();
        let candidates = Candidates::new(&self.agents, now, &service, &self.options.zone);
        let ahead = self.queue.before(job.latest).filter(|it| *it != key);
        let ahead = ahead.filter_map(|it| self.jobs.get(it));
        let ahead = ahead.filter(|it| it.submission.route.service == service);
        let work: u64 = ahead.map(|it| it.waiting_work(&self.estimates)).sum();
        let own = self.waiting_work();
        let others = self.agents.values().filter(|it| !it.is_silent(now));
        let others = others.map(|it| u64::from(it.report.waiting) * 1_000).max().unwrap_or(0);
        let backlog = Backlog {
            ahead: work + job.waiting_work(&self.estimates) / 2,
            own,
            others,
            capacity: candidates.capacity(),
        };
        if backlog.capacity > 0 {
            self.served = now;
        } else if now.since(self.served) < REDISCOVERY_MS {
            return;
        }
        let fits = job.submission.steps.iter().all(|step| candidates.suit(step));
        let wait = backlog.wait();
        if fits && wait.is_some_and(|wait| now + wait <= job.latest) {
            return;
        }
        let retry_after = wait.unwrap_or(0).max(MIN_RETRY_AFTER_MS);
        log::info!(
            job:% = job.submission.job, request = job.submission.request.as_str(),
            route = job.submission.route.name.as_str(), wait_ms:? = wait,
            slack_ms = job.latest.since(now), capacity = backlog.capacity, fits = fits;
            "a job is refused: it would not start in time"
        );
        self.answer(now, key, Reply::Refused { retry_after });
    }

    /// Thousandths of a core times ms of all tasks that wait for room.
    fn waiting_work(&self) -> u64 {
        let waiting = self.queue.iter().filter_map(|key| self.jobs.get(key));
        waiting.map(|job| job.waiting_work(&self.estimates)).sum()
    }

    fn on_gone(&mut self, now: Uptime, token: u64) {
        let Some(key) = self.by_token.remove(&token) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.tokens.retain(|it| *it != token);
        if job.tokens.is_empty() {
            log::info!(job:% = job.submission.job, waited_ms = now.since(job.arrived); "a job is cancelled: its caller has left");
            self.answer(now, key, Reply::Cancelled);
        }
    }

    fn on_cancel(&mut self, now: Uptime, job: JobId) {
        if let Some(key) = self.by_id.get(&job).copied() {
            log::info!(job:% = job; "a job is cancelled as asked");
            self.answer(now, key, Reply::Cancelled);
        }
    }

    fn on_agent(&mut self, now: Uptime, address: SocketAddrV4, zone: String) {
        let own = self.options.incarnation;
        self.agents.entry(address).or_insert_with(|| Agent::new(own, now, zone)).learnt = now;
    }

    fn on_frame(&mut self, now: Uptime, from: SocketAddrV4, frame: Frame<Notice, Report>) {
        let Some(agent) = self.agents.get_mut(&from) else { return };
        let report = frame.state.clone();
        let accepted = agent.channel.accept(now, frame);
        if !accepted.current {
            return;
        }
        if agent.lost {
            log::info!(agent:% = from; "an agent is heard");
            agent.lost = false;
            agent.next_probe = agent.next_probe.min(now + PROBE_MS);
        }
        if agent.report.health != report.health {
            log::info!(
                agent:% = from, before:? = agent.report.health, health:? = report.health,
                slowness = report.slowness;
                "an endpoint's health has changed"
            );
        }
        agent.heard = now;
        agent.report = report;
        self.changed = true;
        if accepted.restarted {
            log::warn!(agent:% = from; "an agent was started anew; its runs are lost");
            self.lose_runs(now, from, now + RESTARTED_OVER_MS);
        }
        for notice in accepted.items {
            match notice {
                Notice::Refused { key, refusal } => {
                    log::info!(run:% = key, agent:% = from, refusal:? = refusal; "an agent refused a run");
                    self.on_refused(now, from, key);
                }
                Notice::Ended { key, end, took } => self.on_ended(now, from, key, end, took),
            }
        }
    }

    /// The job and the position of the task that `agent` has as `key`.
    fn placed_task(&self, agent: SocketAddrV4, key: RunKey) -> Option<(JobKey, usize)> {
        let job_key = *self.by_id.get(&key.job)?;
        let job = self.jobs.get(job_key)?;
        let position = job.position(key)?;
        let placed = TaskState::Placed { agent, key };
        (job.tasks[position].state == placed).then_some((job_key, position))
    }

    fn on_refused(&mut self, now: Uptime, agent: SocketAddrV4, key: RunKey) {
        if let Some((job, position)) = self.placed_task(agent, key) {
            self.wait_again(now, job, position);
        }
    }

    fn on_ended(&mut self, now: Uptime, agent: SocketAddrV4, key: RunKey, end: End, took: u32) {
        let Some((job_key, position)) = self.placed_task(agent, key) else { return };
        let job = &mut self.jobs[job_key];
        job.ran = true;
        let task = &mut job.tasks[position];
        match end {
            End::Done => {
                task.state = TaskState::Done;
                let step = &job.submission.steps[usize::from(key.step)];
                let slowness = self.agents.get(&agent).map_or(100, |it| it.report.slowness.max(1));
                let sound = u64::from(took) * 100 / u64::from(slowness);
                let sound = u32::try_from(sound).unwrap_or(u32::MAX);
                self.estimates.learn(&job.submission.route.name, step.declared, sound);
                if job.is_done() {
                    self.answer(now, job_key, Reply::Completed);
                } else if job.submission.steps.len() > 1 {
                    job.unblock();
                    if job.waits() {
                        self.queue.insert(now, job.latest, job_key);
                        self.changed = true;
                    }
                }
            }
            End::Failed => {
                task.failed += 1;
                task.avoid.push(agent);
                let failed = task.failed;
                log::info!(run:% = key, agent:% = agent, failed = failed; "a run failed");
                if failed >= job.submission.route.attempts {
                    self.answer(now, job_key, Reply::Failed);
                } else {
                    self.wait_again(now, job_key, position);
                }
            }
            End::Stalled => {
                task.avoid.push(agent);
                self.wait_again(now, job_key, position);
            }
            End::Stopped | End::Lost => self.wait_again(now, job_key, position),
        }
    }

    /// Puts a task back in the queue.
    fn wait_again(&mut self, now: Uptime, key: JobKey, position: usize) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.tasks[position].state = TaskState::Waiting;
        self.queue.insert(now, job.latest, key);
        self.changed = true;
    }

    /// Takes the runs of an agent for lost; none of them is left after `over`.
    ///
    /// The agent is told to stop them, as an order on its way may still start one.
    fn lose_runs(&mut self, now: Uptime, lost: SocketAddrV4, over: Uptime) {
        let mut hopeless = Vec::new();
        let mut keys = Vec::new();
        for (key, job) in &mut self.jobs {
            for task in &mut job.tasks {
                if let TaskState::Placed { agent, key: run } = task.state
                    && agent == lost
                {
                    keys.push(run);
                    task.state = TaskState::Lost { over };
                    job.ran = true;
                    if over >= job.deadline {
                        hopeless.push(key);
                    }
                }
            }
        }
        if let Some(agent) = self.agents.get_mut(&lost)
            && !keys.is_empty()
        {
            agent.channel.push(Command::Stop(keys));
        }
        for key in hopeless {
            self.give_up(now, key, "agent lost");
        }
    }

    fn on_tick(&mut self, now: Uptime) {
        self.queue.age(now);
        self.check_agents(now);
        self.check_jobs(now);
        while let Some((at, job)) = self.forget.front().copied()
            && at <= now
        {
            self.forget.pop_front();
            self.answered.remove(&job);
        }
        if let Some(since) = self.stopping
            && now.since(since) >= STOP_LIMIT_MS
        {
            let keys: Vec<_> = self.jobs.keys().collect();
            for key in keys {
                self.give_up(now, key, "the entry stops");
            }
        }
    }

    fn check_agents(&mut self, now: Uptime) {
        let silent: Vec<_> = self
            .agents
            .iter_mut()
            .filter(|(_, agent)| !agent.lost && agent.is_silent(now))
            .map(|(address, agent)| {
                agent.lost = true;
                (*address, agent.heard)
            })
            .collect();
        for (address, heard) in silent {
            log::warn!(agent:% = address, silence_ms = now.since(heard); "an agent is silent; its runs are taken for lost");
            self.lose_runs(now, address, heard + self.options.runs_over);
        }
        self.agents.retain(|_, it| now.since(it.heard.max(it.learnt)) < FORGET_AGENT_MS);
    }

    fn check_jobs(&mut self, now: Uptime) {
        let mut back = Vec::new();
        let mut over = Vec::new();
        for (key, job) in &mut self.jobs {
            if now >= job.deadline || job.not_run() && now >= job.useful_until() {
                over.push(key);
                continue;
            }
            for task in &mut job.tasks {
                if matches!(task.state, TaskState::Lost { over } if now >= over) {
                    task.state = TaskState::Waiting;
                    back.push((key, job.latest));
                }
            }
        }
        for (key, latest) in back {
            self.queue.insert(now, latest, key);
            self.changed = true;
        }
        for key in over {
            self.give_up(now, key, "out of time");
        }
    }

    fn on_stop(&mut self, now: Uptime) {
        log::info!(jobs = self.jobs.len(); "the entry stops after its jobs");
        self.stopping = Some(now);
    }

    /// Ends a job without a result; the answer says whether any of it may have run.
    fn give_up(&mut self, now: Uptime, key: JobKey, why: &str) {
        let Some(job) = self.jobs.get(key) else { return };
        let not_run = job.not_run();
        log::warn!(
            job:% = job.submission.job, request = job.submission.request.as_str(),
            waited_ms = now.since(job.arrived), objective_ms = job.objective,
            not_run = not_run, why = why;
            "a job is given up"
        );
        let reply = if not_run {
            Reply::Refused { retry_after: MIN_RETRY_AFTER_MS }
        } else {
            Reply::GivenUp
        };
        self.answer(now, key, reply);
    }

    /// Answers a job, and stops what is left of it.
    fn answer(&mut self, now: Uptime, key: JobKey, reply: Reply) {
        let Some(job) = self.jobs.remove(key) else { return };
        let id = job.submission.job;
        self.queue.remove(job.latest, key);
        self.by_id.remove(&id);
        let mut stops: BTreeMap<SocketAddrV4, Vec<RunKey>> = BTreeMap::new();
        for (agent, run) in job.placed() {
            stops.entry(agent).or_default().push(run);
        }
        for (agent, keys) in stops {
            if let Some(agent) = self.agents.get_mut(&agent) {
                agent.channel.push(Command::Stop(keys));
            }
        }
        log::info!(
            job:% = id, request = job.submission.request.as_str(),
            route = job.submission.route.name.as_str(), reply:? = reply,
            took_ms = now.since(job.arrived), objective_ms = job.objective;
            "a job is answered"
        );
        for token in job.tokens {
            self.by_token.remove(&token);
            self.effects.push(Effect::Answer { token, reply });
        }
        let runs = job.tasks.iter().map(|it| it.runs).max().unwrap_or(0);
        self.answered.insert(id, Answered { reply, runs });
        self.forget.push_back((now + REMEMBER_MS, id));
        self.changed = true;
    }

    /// Places waiting tasks, job by job.
    fn place(&mut self, now: Uptime) {
        if !std::mem::take(&mut self.changed) || self.queue.is_empty() {
            return;
        }
        let mut candidates: HashMap<String, Candidates<'_>> = HashMap::new();
        let mut full: HashSet<String> = HashSet::new();
        let mut placed = Vec::new();
        let mut orders = Vec::new();
        for key in self.queue.iter() {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            let route = Arc::clone(&job.submission.route);
            if full.contains(&route.service) {
                continue;
            }
            let candidates = candidates.entry(route.service.clone()).or_insert_with(|| {
                Candidates::new(&self.agents, now, &route.service, &self.options.zone)
            });
            let (all, mut new) = place_job(job, key, candidates, &mut self.rng);
            orders.append(&mut new);
            if all {
                placed.push((job.latest, key));
            } else {
                full.insert(route.service.clone());
            }
        }
        for (latest, key) in placed {
            self.queue.remove(latest, key);
        }
        for order in orders {
            self.send_order(now, order);
        }
    }

    /// Gives an agent the order to start tasks.
    fn send_order(&mut self, now: Uptime, order: Order) {
        let Order { agent: address, job, step, runs } = order;
        let (Some(agent), Some(job)) = (self.agents.get_mut(&address), self.jobs.get(job)) else {
            return;
        };
        let route = &job.submission.route;
        let it = &job.submission.steps[usize::from(step)];
        log::info!(
            job:% = job.submission.job, request = job.submission.request.as_str(),
            route = route.name.as_str(), step = step, tasks = runs.len(), agent:% = address,
            report_age_ms = now.since(agent.heard), free_cpu = agent.report.cpu,
            slowness = agent.report.slowness, slack_ms = job.latest.since(now);
            "tasks are placed"
        );
        agent.channel.push(Command::Start(StartOrder {
            runs,
            spec: job.submission.spec.clone(),
            cpu: it.cpu,
            memory: it.memory,
            gpus: it.gpus,
            expected: self.estimates.expected(&route.name, it.declared),
            patience: PATIENCE_MS as u32,
            decided: agent.report.now,
        }));
    }

    /// Sends what is due to each agent.
    fn send_frames(&mut self, now: Uptime) {
        let is_due =
            |agent: &Agent| now >= agent.next_probe || !agent.lost && agent.channel.is_due(now);
        if !self.agents.values().any(is_due) {
            return;
        }
        let waiting = u32::try_from(self.waiting_work() / 1_000).unwrap_or(u32::MAX);
        let probes = self.agents.values().any(|agent| now >= agent.next_probe);
        let busy: HashSet<_> = match probes {
            true => self.jobs.values().flat_map(Job::placed).map(|it| it.0).collect(),
            false => HashSet::new(),
        };
        for (address, agent) in self.agents.iter_mut().filter(|(_, agent)| is_due(agent)) {
            let probe = now >= agent.next_probe;
            if probe {
                agent.next_probe = now + probe_pause(agent.lost, busy.contains(address));
            }
            let state = EntryState { probe, waiting, heard: agent.report.now };
            let frame = agent.channel.frame(now, state);
            self.effects.push(Effect::Send { to: *address, datagram: Datagram::Entry(frame) });
        }
    }

    fn check_finished(&mut self, now: Uptime) {
        let Some(since) = self.stopping else { return };
        let stopped = now.since(since);
        let told = self.agents.values().all(|it| it.lost || it.channel.pending().next().is_none());
        let done = stopped >= STOP_LEAST_MS && self.jobs.is_empty() && told;
        if !self.finished && (done || stopped >= STOP_LIMIT_MS + PATIENCE_MS) {
            self.finished = true;
            self.effects.push(Effect::Finished);
        }
    }
}

/// Tasks of a step that an agent is to start.
struct Order {
    agent: SocketAddrV4,
    job: JobKey,
    step: u16,
    runs: Vec<RunKey>,
}

/// Places the tasks of a job for which there is room; tells whether all are placed.
fn place_job(
    job: &mut Job,
    key: JobKey,
    candidates: &mut Candidates<'_>,
    rng: &mut SmallRng,
) -> (bool, Vec<Order>) {
    let mut orders: BTreeMap<(SocketAddrV4, u16), Vec<RunKey>> = BTreeMap::new();
    let mut all = true;
    for position in 0..job.tasks.len() {
        let task = &job.tasks[position];
        if task.state != TaskState::Waiting {
            continue;
        }
        let step = &job.submission.steps[usize::from(task.step)];
        let crowded = crowded(job, task.step, step.spread);
        let Some(agent) = candidates.take(step, task, &crowded, rng) else {
            all = false;
            // Tasks of a step are alike, but their exceptions differ.
            if task.avoid.is_empty() { break } else { continue }
        };
        let task = &mut job.tasks[position];
        task.runs += 1;
        let run =
            RunKey { job: job.submission.job, step: task.step, index: task.index, run: task.runs };
        task.state = TaskState::Placed { agent, key: run };
        orders.entry((agent, task.step)).or_default().push(run);
    }
    let order = |((agent, step), runs)| Order { agent, job: key, step, runs };
    (all, orders.into_iter().map(order).collect())
}

/// Time to the next probe of an agent, in ms.
fn probe_pause(lost: bool, busy: bool) -> u64 {
    match (lost, busy) {
        (true, _) => SEARCH_MS,
        (false, true) => PROBE_MS,
        (false, false) => IDLE_PROBE_MS,
    }
}

/// Agents that have as many tasks of a step as one may have.
fn crowded(job: &Job, step: u16, spread: Option<u16>) -> Vec<SocketAddrV4> {
    let Some(most) = spread else { return Vec::new() };
    let mut counts: HashMap<SocketAddrV4, u16> = HashMap::new();
    for task in job.tasks.iter().filter(|it| it.step == step) {
        if let TaskState::Placed { agent, .. } = task.state {
            *counts.entry(agent).or_default() += 1;
        }
    }
    counts.into_iter().filter(|(_, count)| *count >= most).map(|(agent, _)| agent).collect()
}
