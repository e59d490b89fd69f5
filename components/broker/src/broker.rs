//! The state machine of an entry, and the order in which it handles an event.

mod crashes;
mod evacuation;
mod jobs;
mod placement;
mod returned;
mod runs;

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    net::SocketAddrV4,
};

use mesh::{Crashes, Datagram, Frame, JobId, Notice, Report, Uptime};
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    agents::{Agent, Agents, mean_slowdown, watched_capacity},
    crashes::{CrashLedger, VerdictCounts},
    estimate::Estimates,
    job::{Job, Submission},
    limits::{
        MIN_BACKGROUND_PROBE_MS, SETTLE_MS, SHUTDOWN_MIN_MS, SHUTDOWN_TIMEOUT_MS, SUSPENDED_MS,
        WATCH_INTERVAL_MS,
    },
    locality::Locality,
    orders::OrderCounts,
    policy::Policy,
    queue::{JobKey, Queue},
    share::Shares,
    watch::Watch,
};

/// Start-up options of an entry.
#[derive(Debug, Clone)]
pub struct Options {
    /// Incarnation of this process, which tells it from earlier processes at its address.
    pub incarnation: u64,
    /// Availability zone of the entry.
    pub zone: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time since an agent was last heard after which all its runs have ended, in ms.
    pub run_expiry: u64,
    /// Run time of a task away from the rack of its data, in percent of that on the rack; none if
    /// the settings do not give it.
    pub remote_percent: Option<u32>,
    /// Parameters of scheduling and admission.
    pub policy: Policy,
}

/// Input of an entry.
#[derive(Debug)]
pub enum Event {
    /// A caller submits a job.
    Submit {
        /// Number of the caller's request.
        request_number: u64,
        /// Time at which the end of the request arrived at the host, from which its age counts.
        arrived: Uptime,
        /// Time at which the request was read; it may have waited in a queue since.
        read: Uptime,
        /// Job to run.
        submission: Submission,
    },
    /// A caller disconnected before it was answered.
    Disconnected {
        /// Number of the caller's request.
        request_number: u64,
    },
    /// A caller cancels a job.
    Cancel {
        /// Job to cancel.
        job: JobId,
    },
    /// An agent was discovered or has announced itself again.
    Announced {
        /// Address of the agent.
        address: SocketAddrV4,
        /// Availability zone of the agent.
        zone: String,
    },
    /// A datagram arrived from an agent.
    Frame {
        /// Address of the agent.
        from: SocketAddrV4,
        /// Content of the datagram.
        frame: Frame<Notice, Report>,
    },
    /// An agent reports crashes of its endpoint.
    Crashes {
        /// Address of the agent.
        from: SocketAddrV4,
        /// Crashes that have changed.
        crashes: Crashes,
    },
    /// The set of evacuated availability zones has changed.
    Evacuated {
        /// All evacuated zones.
        zones: BTreeSet<String>,
    },
    /// Periodic timer.
    Tick,
    /// The process was asked to shut down.
    Shutdown,
}

/// Final answer to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// All tasks are done.
    Completed,
    /// A task has used up the attempts that its route allows.
    Failed,
    /// No task of the job has run or will run; the caller may retry.
    Refused {
        /// Time to wait before the retry, in ms.
        retry_after: u64,
    },
    /// The job was given up, and some of its tasks may have run.
    GivenUp,
    /// The job was cancelled.
    Cancelled,
}

/// State of a job as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No task has run, and no run is ordered at an agent.
    Queued,
    /// Runs were ordered at agents and may have started.
    Running,
    /// The job was answered.
    Answered(Reply),
}

/// Output of an entry, for the event loop to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Answer a caller.
    Answer {
        /// Number of the caller's request.
        request_number: u64,
        /// Answer to the job.
        reply: Reply,
    },
    /// Send a datagram.
    Send {
        /// Address of the agent.
        to: SocketAddrV4,
        /// Content of the datagram.
        datagram: Datagram,
    },
    /// The process may exit.
    Finished,
}

/// Record of an answered job, kept for repeated submissions.
#[derive(Debug, Clone, Copy)]
struct Answered {
    reply: Reply,
    /// Highest run number of the job's tasks.
    ///
    /// A new submission numbers its runs from the next one, as notices of the earlier runs
    /// may still arrive.
    last_run: u32,
}

/// Scheduler of one entry.
#[derive(Debug)]
pub struct Broker {
    options: Options,
    rng: SmallRng,
    agents: Agents,
    /// Availability zones on whose endpoints no task is placed.
    evacuated_zones: BTreeSet<String>,
    watch: Watch,
    /// When the agents to watch are chosen again.
    next_watch: Uptime,
    /// When further agents may be told that jobs wait.
    next_wait_notice: Uptime,
    /// Interval between probes of an agent that is not watched, in ms.
    background_probe: u64,
    /// Number of channels to agents that were created, those of forgotten agents included.
    channels_created: u64,
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<JobId, JobKey>,
    by_request: HashMap<u64, JobKey>,
    queue: Queue,
    estimates: Estimates,
    /// Mean slowdown of the endpoints, in percent.
    mean_slowdown: u64,
    shares: Shares,
    locality: Locality,
    order_counts: OrderCounts,
    ledger: CrashLedger,
    verdict_counts: VerdictCounts,
    answered: HashMap<JobId, Answered>,
    /// When answered jobs are removed from `answered`, in order.
    expirations: VecDeque<(Uptime, JobId)>,
    /// Free capacity or the queue has changed since the last placement.
    placement_due: bool,
    /// At the last placement, a task found room nowhere.
    room_awaited: bool,
    /// At the last placement, a task waited for the rack of its data only.
    rack_awaited: bool,
    /// Last time at which an endpoint was available, initially the start.
    last_available: Uptime,
    /// Until when agents that are known and not heard yet count as available.
    settles_at: Uptime,
    /// Time of the last event.
    last_event: Uptime,
    /// Time of the first event after the last suspension of the host, if there was any.
    resumed_at: Option<Uptime>,
    /// When the process was asked to shut down.
    shutdown_since: Option<Uptime>,
    finished: bool,
    effects: Vec<Effect>,
}

impl Broker {
    /// Creates an entry that knows no agents yet.
    pub fn new(now: Uptime, options: Options) -> Broker {
        Broker {
            rng: SmallRng::seed_from_u64(options.seed),
            agents: Agents::new(),
            evacuated_zones: BTreeSet::new(),
            watch: Watch::new(now, options.policy.min_watched),
            next_watch: now,
            next_wait_notice: now,
            background_probe: MIN_BACKGROUND_PROBE_MS,
            channels_created: 0,
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_request: HashMap::new(),
            queue: Queue::new(options.policy.order),
            estimates: Estimates::default(),
            mean_slowdown: 100,
            shares: Shares::default(),
            locality: Locality::new(now, options.remote_percent),
            order_counts: OrderCounts::default(),
            ledger: CrashLedger::default(),
            verdict_counts: VerdictCounts::default(),
            answered: HashMap::new(),
            expirations: VecDeque::new(),
            placement_due: false,
            room_awaited: false,
            rack_awaited: false,
            last_available: now,
            settles_at: now + SETTLE_MS,
            last_event: now,
            resumed_at: None,
            shutdown_since: None,
            finished: false,
            effects: Vec::new(),
            options,
        }
    }

    /// Handles an event and returns its effects.
    pub fn handle(&mut self, now: Uptime, event: Event) -> Vec<Effect> {
        self.check_suspended(now);
        let mut submitted = None;
        match event {
            Event::Submit { request_number, arrived, read, submission } => {
                let times = jobs::RequestTimes { arrived, read };
                submitted = self.on_submit(now, request_number, times, submission)
            }
            Event::Disconnected { request_number } => self.on_disconnected(now, request_number),
            Event::Cancel { job } => self.on_cancel(now, job),
            Event::Announced { address, zone } => self.on_announced(now, address, zone),
            Event::Frame { from, frame } => self.on_frame(now, from, frame),
            Event::Crashes { from, crashes } => self.on_crashes(now, from, crashes),
            Event::Evacuated { zones } => self.on_evacuated(now, zones),
            Event::Tick => self.on_tick(now),
            Event::Shutdown => self.on_shutdown(now),
        }
        self.place(now);
        if let Some(key) = submitted {
            self.admit(now, key);
        }
        self.send_frames(now);
        self.check_finished(now);
        std::mem::take(&mut self.effects)
    }

    /// Takes the factor of [`Options::remote_percent`] from changed settings.
    pub fn set_remote_percent(&mut self, remote_percent: Option<u32>) {
        self.locality.set_remote_percent(remote_percent);
    }

    /// State of a job; none for one that is unknown, was refused or was given up.
    pub fn status(&self, job: JobId) -> Option<Status> {
        if let Some(job) = self.by_id.get(&job).and_then(|key| self.jobs.get(*key)) {
            return Some(if job.cannot_have_run() { Status::Queued } else { Status::Running });
        }
        match self.answered.get(&job)?.reply {
            // Submitted again, the job is treated as a new one.
            Reply::Refused { .. } | Reply::GivenUp => None,
            reply => Some(Status::Answered(reply)),
        }
    }

    /// Number of a route's jobs that can't have run yet, as no run of them is ordered at an agent.
    pub fn unstarted_jobs(&self, route: &str) -> usize {
        let of_route = |job: &&Job| job.submission.route.name == route;
        self.jobs.values().filter(of_route).filter(|job| job.cannot_have_run()).count()
    }

    /// Number of responding agents that know their endpoint.
    pub fn available_agents(&self) -> usize {
        let is_available = |agent: &&Agent| !agent.unreachable && agent.report.endpoint.is_some();
        self.agents.values().filter(is_available).count()
    }

    /// Number of agents that are probed often and get tasks.
    pub fn watched_agents(&self) -> usize {
        self.agents.values().filter(|it| it.watched_since.is_some() && !it.unreachable).count()
    }

    /// Number of runs ordered at agents so far, and of refusals by cause.
    pub fn order_counts(&self) -> OrderCounts {
        self.order_counts
    }

    /// Number of times that tasks were judged by the crashes of their endpoints so far.
    pub fn verdict_counts(&self) -> VerdictCounts {
        self.verdict_counts
    }

    /// Number of jobs in progress, and of those among them that wait for free capacity.
    pub fn job_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.queue.len())
    }

    /// Number of tasks that wait for the rack of their data and could run elsewhere.
    pub fn tasks_waiting_for_rack(&self) -> usize {
        if !self.rack_awaited {
            return 0;
        }
        let tasks = self.queue.iter().filter_map(|key| self.jobs.get(key)).flat_map(|it| &it.tasks);
        tasks.filter(|it| it.waits_for_rack.is_some()).count()
    }

    /// Gives up all jobs in progress if the host was suspended since the last event.
    ///
    /// Agents have stopped the runs by then, and callers may have retried at another entry.
    fn check_suspended(&mut self, now: Uptime) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if gap < SUSPENDED_MS {
            return;
        }
        self.resumed_at = Some(now);
        log::warn!(gap_ms = gap, jobs = self.jobs.len(); "the host was suspended; jobs in progress are given up");
        let keys: Vec<_> = self.jobs.keys().collect();
        for key in keys {
            self.give_up(now, key, "suspended");
        }
    }

    fn on_tick(&mut self, now: Uptime) {
        self.queue.demote_late(now);
        self.mean_slowdown = mean_slowdown(&self.agents);
        self.check_agents(now);
        self.expire_crashes(now);
        if now >= self.next_watch {
            self.next_watch = now + WATCH_INTERVAL_MS;
            let capacity = watched_capacity(&self.agents);
            let before = self.watch.size();
            self.watch.adapt(now, capacity, self.agents.len());
            if self.watch.size() != before {
                log::info!(
                    before = before, watched = self.watch.size(), known = self.agents.len(),
                    free_cpu = capacity.free, cpu = capacity.total;
                    "the number of agents to watch changes with their free capacity"
                );
            }
            self.choose_watched(now);
        }
        if self.available_agents() > 0 {
            self.last_available = now;
        }
        self.check_jobs(now);
        // A task gives up the wait for its rack after some time, also without news of room.
        self.placement_due |= self.rack_awaited;
        self.check_returned(now);
        while let Some((at, job)) = self.expirations.front().copied()
            && at <= now
        {
            self.expirations.pop_front();
            self.answered.remove(&job);
        }
        if let Some(since) = self.shutdown_since
            && now.since(since) >= SHUTDOWN_TIMEOUT_MS
        {
            let keys: Vec<_> = self.jobs.keys().collect();
            for key in keys {
                self.give_up(now, key, "the entry stops");
            }
        }
    }

    fn on_shutdown(&mut self, now: Uptime) {
        log::info!(jobs = self.jobs.len(); "the entry stops once its jobs are answered");
        self.shutdown_since = Some(now);
    }

    fn check_finished(&mut self, now: Uptime) {
        let Some(since) = self.shutdown_since else { return };
        let elapsed = now.since(since);
        let acknowledged =
            self.agents.values().all(|it| it.unreachable || it.channel.pending().next().is_none());
        let done = elapsed >= SHUTDOWN_MIN_MS && self.jobs.is_empty() && acknowledged;
        if !self.finished
            && (done || elapsed >= SHUTDOWN_TIMEOUT_MS + u64::from(self.options.policy.agent_wait))
        {
            self.finished = true;
            self.effects.push(Effect::Finished);
        }
    }
}
