//! Random schedules of faults and submissions.

use std::time::Duration;

use proptest::{collection::vec, prelude::*};
use rand::RngExt;
use tenure::TABLE_TERM;

use super::{Defect, Message, SKEW, World, host::random_lag};

/// Number of recent ids that are submitted again after each step.
const RESUBMITTED_IDS: usize = 6;

/// One step of a schedule.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Time passes.
    Wait { millis: u64 },
    /// About as much time passes as the table term, for which a node may rely on its
    /// table.
    LongWait { millis: u64 },
    /// A new id is submitted that was created some time ago.
    Submit { age_millis: u64 },
    /// A new id is cancelled, before or while it is submitted.
    Cancel,
    /// A process is killed.
    Kill { host: usize },
    /// A process is started, if its host has none.
    Start { host: usize },
    /// A process is killed and a new one is started.
    Restart { host: usize },
    /// A process is stopped gracefully.
    Stop { host: usize },
    /// A process is paused, or resumed if it is paused.
    Pause { host: usize },
    /// A host is isolated from its peers, or reconnected.
    Isolate { host: usize },
    /// The link between two hosts is cut, or restored.
    CutLink { host: usize, other: usize },
    /// The link from a host to the log is cut, or restored.
    CutLog { host: usize },
    /// A host wrongly considers another one dead, or no longer does.
    Suspect { host: usize, other: usize },
    /// The log becomes unavailable, or available again.
    Outage,
    /// The clock of a host changes within the skew.
    Drift { host: usize },
}

/// Parameters of a simulation, and its steps.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub hosts: usize,
    pub seed: u64,
    /// Value of [`super::Network::noise`].
    pub noise: u32,
    pub steps: Vec<Step>,
}

/// Strategy for random schedules.
pub fn schedules() -> impl Strategy<Value = Schedule> {
    let noise = prop_oneof![Just(0), Just(5), Just(20), Just(40)];
    (3..=4usize, any::<u64>(), noise, vec(step(), 5..30))
        .prop_map(|(hosts, seed, noise, steps)| Schedule { hosts, seed, noise, steps })
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..4usize;
    let millis = prop_oneof![
        4 => 1..400u64,
        4 => 400..2500u64,
        2 => 2500..6000u64,
        1 => Just(12_000u64),
    ];
    let table_term = TABLE_TERM.as_millis() as u64;
    let usual = prop_oneof![
        8 => millis.prop_map(|millis| Step::Wait { millis }),
        4 => prop_oneof![Just(0u64), 0..800u64, 0..4000u64]
            .prop_map(|age_millis| Step::Submit { age_millis }),
        1 => Just(Step::Cancel),
        2 => host.clone().prop_map(|host| Step::Kill { host }),
        2 => host.clone().prop_map(|host| Step::Start { host }),
        2 => host.clone().prop_map(|host| Step::Restart { host }),
        2 => host.clone().prop_map(|host| Step::Stop { host }),
        3 => host.clone().prop_map(|host| Step::Pause { host }),
        2 => host.clone().prop_map(|host| Step::Isolate { host }),
        2 => host.clone().prop_map(|host| Step::CutLog { host }),
        1 => (host.clone(), host.clone()).prop_map(|(host, other)| Step::Suspect { host, other }),
        2 => (host.clone(), host.clone()).prop_map(|(host, other)| Step::CutLink { host, other }),
        1 => Just(Step::Outage),
        1 => host.prop_map(|host| Step::Drift { host }),
    ];
    prop_oneof![
        300 => usual,
        1 => (table_term - 8_000..table_term + 4_000)
            .prop_map(|millis| Step::LongWait { millis }),
    ]
}

/// Runs a schedule; fails with the first violation.
pub fn run(schedule: &Schedule, defect: Defect) -> Result<(), String> {
    let mut world = World::assigned(schedule.hosts, schedule.seed, defect);
    world.network.noise = schedule.noise;
    for step in &schedule.steps {
        world.step(*step);
        world.resubmit();
        world.advance(Duration::from_millis(5));
        if let Some(violation) = world.audit.violation {
            return Err(violation);
        }
    }
    world.advance(Duration::from_secs(2));
    world.audit.violation.map_or(Ok(()), Err)
}

impl World {
    fn step(&mut self, step: Step) {
        match step {
            Step::Wait { millis } => self.advance(Duration::from_millis(millis)),
            Step::LongWait { millis } => self.advance_slowly(Duration::from_millis(millis)),
            Step::Submit { age_millis } => {
                self.make_id(Duration::from_millis(age_millis));
            }
            Step::Cancel => self.cancel(),
            Step::Kill { host } => self.kill(host % self.hosts.len()),
            Step::Start { host } => self.start(host % self.hosts.len()),
            Step::Restart { host } => {
                self.kill(host % self.hosts.len());
                self.start(host % self.hosts.len());
            }
            Step::Stop { host } => self.stop(host % self.hosts.len()),
            Step::Pause { host } => self.pause(host % self.hosts.len()),
            Step::Isolate { host } => {
                let host = host % self.hosts.len();
                let others = (0..self.hosts.len()).filter(|other| *other != host).collect();
                let cut_links = &mut self.hosts[host].cut_links;
                *cut_links = if cut_links.is_empty() { others } else { Vec::new() };
            }
            Step::CutLog { host } => {
                let host = host % self.hosts.len();
                self.hosts[host].log_unreachable ^= true;
            }
            Step::Suspect { host, other } => {
                let (host, other) = (host % self.hosts.len(), other % self.hosts.len());
                toggle(&mut self.hosts[host].suspected, other);
            }
            Step::CutLink { host, other } => {
                let (host, other) = (host % self.hosts.len(), other % self.hosts.len());
                toggle(&mut self.hosts[host].cut_links, other);
            }
            Step::Outage => self.log.is_up ^= true,
            Step::Drift { host } => {
                let host = host % self.hosts.len();
                self.hosts[host].clock_lag = random_lag(&mut self.rng);
            }
        }
    }

    fn pause(&mut self, host: usize) {
        match self.hosts[host].is_paused {
            true => self.resume(host),
            false => self.hosts[host].is_paused = self.hosts[host].process.is_some(),
        }
    }

    fn cancel(&mut self) {
        let id = self.make_id(Duration::ZERO);
        for host in 0..self.hosts.len() {
            self.network.send(host, Message::Cancel { id }, self.now, &mut self.rng);
        }
    }

    /// Submits the most recent ids again, to every node.
    pub fn resubmit(&mut self) {
        let recent: Vec<_> = self.ids.iter().rev().take(RESUBMITTED_IDS).copied().collect();
        for id in recent {
            for host in 0..self.hosts.len() {
                let attempt = self.rng.random();
                let submitted = self.now + SKEW / 2 - random_lag(&mut self.rng);
                let message = Message::Run { id, attempt, submitted };
                self.network.send(host, message, self.now, &mut self.rng);
            }
        }
    }
}

fn toggle(list: &mut Vec<usize>, item: usize) {
    match list.iter().position(|it| *it == item) {
        Some(index) => drop(list.swap_remove(index)),
        None => list.push(item),
    }
}
