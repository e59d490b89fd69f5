//! The entry's core: its state, and how an event passes through it.

mod jobs;
mod placing;
mod runs;

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddrV4,
};

use mesh::{Datagram, Frame, JobId, Notice, Report, Uptime};
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    agents::{Agent, Agents, usual_slowness},
    estimate::Estimates,
    job::{Job, Submission},
    limits::{STOP_LEAST_MS, STOP_LIMIT_MS, SUSPENDED_MS},
    policy::Policy,
    queue::{JobKey, Queue},
    share::Shares,
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
    /// How it decides.
    pub policy: Policy,
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
    /// Mean slowness of the agents, in percent.
    usual_slowness: u64,
    shares: Shares,
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
            agents: Agents::new(),
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_token: HashMap::new(),
            queue: Queue::new(options.policy.order),
            estimates: Estimates::default(),
            usual_slowness: 100,
            shares: Shares::default(),
            answered: HashMap::new(),
            forget: VecDeque::new(),
            changed: false,
            served: now,
            last: now,
            stopping: None,
            finished: false,
            effects: Vec::new(),
            options,
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
        match self.answered.get(&job)?.reply {
            // The job was not taken, or comes again as a new one.
            Reply::Refused { .. } | Reply::GivenUp => None,
            reply => Some(Status::Answered(reply)),
        }
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

    fn on_tick(&mut self, now: Uptime) {
        self.queue.age(now);
        self.usual_slowness = usual_slowness(&self.agents, now);
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

    fn on_stop(&mut self, now: Uptime) {
        log::info!(jobs = self.jobs.len(); "the entry stops after its jobs");
        self.stopping = Some(now);
    }

    fn check_finished(&mut self, now: Uptime) {
        let Some(since) = self.stopping else { return };
        let stopped = now.since(since);
        let told = self.agents.values().all(|it| it.lost || it.channel.pending().next().is_none());
        let done = stopped >= STOP_LEAST_MS && self.jobs.is_empty() && told;
        if !self.finished
            && (done || stopped >= STOP_LIMIT_MS + u64::from(self.options.policy.patience))
        {
            self.finished = true;
            self.effects.push(Effect::Finished);
        }
    }
}
