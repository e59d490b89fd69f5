//! Behaviour of endpoints: heartbeats, calls, and the invariants checked on them.

use std::net::SocketAddr;

use guard::{
    Answer, Call, CallKind, Event as AgentEvent, Heartbeat, HeartbeatState, Instance, Rejection,
    RunOutcome,
};
use mesh::{EndpointInfo, RunKey};
use rand::RngExt;

use super::{Event, HEARTBEAT_MS, Host, PendingCall, Simulation, WARM_UP_MS, address};
use crate::{
    endpoint::Endpoint,
    load::{HOT_RACK, SERVICE},
    report::Violation,
};

/// Memory of an endpoint, in MB.
const MEMORY_MB: u32 = 1_000_000;
/// Longest delay of a slow answer, in ms; shorter than the timeout of a call.
const MAX_ANSWER_DELAY_MS: u64 = 70;
/// Longest delay of a slow heartbeat, in ms; two intervals between heartbeats.
const MAX_HEARTBEAT_DELAY_MS: u64 = 3_000;
/// Longest time until a copy of a start fails beside its run, in ms.
const MAX_FAILURE_DELAY_MS: u64 = 20;

/// Time from the start of a deadly task to the crash of its endpoint, in ms.
const FUSE_MS: u64 = 10;
/// Time for which an endpoint that a deadly task has crashed is down, in ms.
const DOWNTIME_MS: u64 = 3_300;

/// What happens to a start in place of its execution.
#[derive(Debug, Clone, Copy)]
enum StartFault {
    Reject(Rejection),
    Unsent,
}

impl Simulation {
    pub(super) fn on_heartbeat(&mut self, agent: usize) {
        self.push(self.now + HEARTBEAT_MS, Event::Heartbeat(agent));
        self.send_heartbeat(agent);
    }

    /// Starts the time until an endpoint leaves.
    pub(super) fn announce_removal(&mut self, agent: usize, remaining: u64) {
        self.endpoints[agent].leaves = Some(self.now + remaining);
        self.push(self.now + remaining, Event::Remove(agent));
        self.send_heartbeat(agent);
    }

    /// Changes the capacity of an endpoint to a share of the usual one.
    pub(super) fn resize(&mut self, agent: usize, share: f64) {
        let capacity = (f64::from(self.options.endpoints[agent]) * share) as u32;
        self.endpoints[agent].resize(self.now, capacity);
    }

    /// Crashes an endpoint that has the run of a deadly task.
    pub(super) fn on_kill(&mut self, agent: usize, instance: u64, key: RunKey) {
        let endpoint = &mut self.endpoints[agent];
        endpoint.advance(self.now);
        if endpoint.instance != instance || !endpoint.runs().any(|it| it == key) {
            return;
        }
        self.report.lost_beside += endpoint.runs().count() as u64 - 1;
        self.record_crash(agent);
        self.endpoints[agent].crash();
        let instance = self.endpoints[agent].instance;
        *self.report.deadly_crashes.entry((key.job, key.step, key.index)).or_default() += 1;
        self.trace(key.job, || format!("endpoint {agent}: crashes under {key}"));
        self.push(self.now + DOWNTIME_MS, Event::Revive { agent, instance });
    }

    /// Counts a crash that is about to happen for each task that runs on the endpoint.
    pub(super) fn record_crash(&mut self, agent: usize) {
        self.endpoints[agent].advance(self.now);
        for key in self.endpoints[agent].runs() {
            *self.crashes.entry((key.job, key.step, key.index)).or_default() += 1;
        }
    }

    pub(super) fn on_revive(&mut self, agent: usize, instance: u64) {
        let endpoint = &mut self.endpoints[agent];
        if endpoint.instance == instance && !endpoint.alive {
            endpoint.restart(self.now);
            self.send_heartbeat(agent);
        }
    }

    pub(super) fn on_remove(&mut self, agent: usize) {
        self.endpoints[agent].advance(self.now);
        self.report.removed_runs += self.endpoints[agent].runs().count() as u64;
        self.endpoints[agent].crash();
    }

    fn send_heartbeat(&mut self, agent: usize) {
        let endpoint = &mut self.endpoints[agent];
        if !endpoint.alive || self.agents[agent].is_none() {
            return;
        }
        endpoint.sequence += 1;
        let info = EndpointInfo {
            service: SERVICE.to_owned(),
            cpu: endpoint.capacity,
            memory: MEMORY_MB,
            labels: endpoint.on_hot_rack.then(|| HOT_RACK.to_owned()).into_iter().collect(),
            ..EndpointInfo::default()
        };
        let beat = Heartbeat {
            instance: Instance { id: endpoint.instance.to_string().into(), born: endpoint.born() },
            sequence: Some(endpoint.sequence),
            address: SocketAddr::V4(address(Host::Agent(agent))),
            state: match endpoint.leaves {
                Some(_) => HeartbeatState::Draining,
                None => HeartbeatState::Ready,
            },
            time_remaining: endpoint
                .leaves
                .filter(|_| self.options.announce_remaining)
                .map(|it| it.saturating_sub(self.now)),
            cold_remaining: None,
            info,
        };
        if self.call_faults.slow_heartbeats {
            let at = self.now + self.rng.random_range(0..=MAX_HEARTBEAT_DELAY_MS);
            self.push(at, Event::LateHeartbeat(agent, Box::new(beat)));
        } else {
            self.run_agent(agent, AgentEvent::Heartbeat(beat));
        }
    }

    /// Sends a call to an endpoint; a late call is executed after a delay and not answered.
    pub(super) fn call(&mut self, agent: usize, id: u64, call: Call) {
        self.report.calls += 1;
        let generation = self.generations[agent];
        let late = self.draw(self.call_faults.late);
        let answered = !late && !self.endpoints[agent].partitioned;
        let expiry = self.now + guard::CALL_TIMEOUT_MS + max_wait(&call.kind);
        if !answered {
            let answer = Answer::Unknown;
            self.push(expiry, Event::Answer { agent, generation, id, answer });
        }
        let delay = if late { self.rng.random_range(2_000..12_000) } else { 0 };
        let pending = PendingCall { agent, generation, id, expiry };
        self.push(self.now + delay, Event::Call { pending, call, answered });
    }

    pub(super) fn on_call(&mut self, pending: PendingCall, call: &Call, answered: bool) {
        let agent = pending.agent;
        if self.endpoints[agent].partitioned {
            return;
        }
        let fault = self.draw_start_fault(&call.kind);
        let is_copy = self.is_copy(agent, &call.kind);
        let endpoint = &mut self.endpoints[agent];
        endpoint.reached |= endpoint.alive && call.instance.born == endpoint.born();
        let answer = if !endpoint.alive {
            Answer::Unsent
        } else if endpoint.instance.to_string() != *call.instance.id {
            Answer::Rejected(Rejection::Instance)
        } else {
            match (fault, &call.kind) {
                (Some(StartFault::Reject(rejection)), CallKind::Start { lease, .. }) => {
                    endpoint.reject(self.now, *lease, rejection)
                }
                (Some(StartFault::Unsent), _) => Answer::Unsent,
                (Some(StartFault::Reject(_)) | None, _) => {
                    endpoint.call(self.now, call.fencing_token, &call.kind, &self.needs)
                }
            }
        };
        if let CallKind::Start { key, .. } | CallKind::Stop { key } = &call.kind {
            self.trace(key.job, || format!("endpoint {agent}: {:?}: {answer:?}", call.kind));
        }
        if let (CallKind::Start { key, .. }, Answer::Accepted { .. }) = (&call.kind, &answer) {
            self.ran.insert(key.job);
            if !self.endpoints[agent].reached && self.now > pending.expiry {
                self.unfenced.insert((agent, *key));
            }
            if let Some(sent) = self.first_sent.remove(&key.job) {
                self.report.first_start.saturating_record(self.now - sent);
            }
            if is_copy {
                self.fail_copy(agent, *key);
            } else {
                self.check_capacity(agent, *key);
                self.kill_if_deadly(agent, *key);
                self.record_start(agent, *key);
            }
        }
        self.record_acknowledged(agent);
        self.check_endpoint(agent);
        if !answered {
            return;
        }
        let wait = max_wait(&call.kind);
        let ended = self.endpoints[agent].has_unacknowledged_ends();
        if matches!(answer, Answer::Seen(_)) && wait > 0 && !ended {
            self.holds.push(pending);
            self.push(self.now + wait, Event::HoldTimeout(pending));
            return;
        }
        self.answer(pending, answer);
    }

    /// Delivers the answer to a call, unless it is lost.
    fn answer(&mut self, pending: PendingCall, answer: Answer) {
        let PendingCall { agent, generation, id, expiry } = pending;
        if answer != Answer::Unsent && self.draw(self.call_faults.lost) {
            let breaks = self.rng.random_bool(0.5);
            let at = if breaks { self.now + self.rng.random_range(0..=1) } else { expiry };
            self.push(at, Event::Answer { agent, generation, id, answer: Answer::Unknown });
            return;
        }
        let delay = match self.call_faults.slow {
            true => self.rng.random_range(1..=MAX_ANSWER_DELAY_MS),
            false => 0,
        };
        self.push(self.now + delay, Event::Answer { agent, generation, id, answer });
    }

    pub(super) fn draw(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    fn draw_start_fault(&mut self, kind: &CallKind) -> Option<StartFault> {
        let CallKind::Start { .. } = kind else { return None };
        if self.draw(self.call_faults.unsent) {
            return Some(StartFault::Unsent);
        }
        let (share, rejection) = self.call_faults.rejected?;
        self.draw(share).then_some(StartFault::Reject(rejection))
    }

    /// Whether a call starts a run that is in progress.
    fn is_copy(&mut self, agent: usize, kind: &CallKind) -> bool {
        let CallKind::Start { key, .. } = kind else { return false };
        self.endpoints[agent].advance(self.now);
        self.endpoints[agent].runs().any(|it| it == *key)
    }

    fn fail_copy(&mut self, agent: usize, key: RunKey) {
        if self.draw(self.call_faults.failed) {
            let at = self.now + self.rng.random_range(1..=MAX_FAILURE_DELAY_MS);
            self.endpoints[agent].fail_copy(at, key);
        }
    }

    /// Checks that a start does not exceed the capacity of its endpoint.
    fn check_capacity(&mut self, agent: usize, key: RunKey) {
        let endpoint = &self.endpoints[agent];
        let (used, limit) = (endpoint.used_cpu(), endpoint.limit(self.now));
        if used > limit {
            let description = format!("{key} brings endpoint {agent} to {used} of {limit}");
            self.report.violations.push(Violation { at: self.now, description });
        }
    }

    fn kill_if_deadly(&mut self, agent: usize, key: RunKey) {
        if key.index == 0 && self.needs.get(&key.job).is_some_and(|it| it.deadly) {
            let instance = self.endpoints[agent].instance;
            self.push(self.now + FUSE_MS, Event::Kill { agent, instance, key });
        }
    }

    fn record_start(&mut self, agent: usize, key: RunKey) {
        self.report.last_starts[agent] = self.now.saturating_sub(WARM_UP_MS);
        self.check_evacuated(agent, key);
        let sends = self.callers.open.get(&key.job).map(|it| it.sends);
        if self.history.record_start(self.now, key, sends) {
            let description = format!("{key} starts on endpoint {agent} after it was done");
            self.report.repeats.push(Violation { at: self.now, description });
        }
    }

    fn record_acknowledged(&mut self, agent: usize) {
        for end in self.endpoints[agent].take_acknowledged() {
            let (key, outcome) = (end.row.key, end.row.outcome);
            self.trace(key.job, || format!("endpoint {agent}: {key} {outcome:?}: acknowledged"));
            if outcome == RunOutcome::Done && !end.lapsed && self.history.record_done(end.at, key) {
                let description = format!("{key} was done on endpoint {agent} and started again");
                self.report.repeats.push(Violation { at: self.now, description });
            }
        }
    }

    pub(super) fn on_hold_timeout(&mut self, pending: PendingCall) {
        let agent = pending.agent;
        if let Some(position) = self.holds.iter().position(|it| *it == pending) {
            self.holds.swap_remove(position);
            let answer = match self.endpoints[agent].alive {
                true => Answer::Seen(self.endpoints[agent].snapshot(self.now)),
                false => Answer::Unknown,
            };
            self.answer(pending, answer);
        }
    }

    /// Ends due runs on an endpoint, answers the hold calls that wait for them, and checks the
    /// invariants.
    pub(super) fn check_endpoint(&mut self, agent: usize) {
        self.endpoints[agent].advance(self.now);
        if self.endpoints[agent].has_unacknowledged_ends() && !self.endpoints[agent].partitioned {
            let waiting: Vec<_> = self.holds.extract_if(.., |it| it.agent == agent).collect();
            for pending in waiting {
                let answer = Answer::Seen(self.endpoints[agent].snapshot(self.now));
                self.answer(pending, answer);
            }
        }
        if let Some(due) = self.endpoints[agent].next_end()
            && due < self.endpoint_due[agent]
        {
            self.endpoint_due[agent] = due;
            self.push(due.max(self.now + 1), Event::EndpointDue(agent));
        }
        self.check_invariants(agent);
    }

    pub(super) fn check_invariants(&mut self, agent: usize) {
        let runs: Vec<RunKey> = self.endpoints[agent].runs().collect();
        for key in runs {
            let task = (key.job, key.step, key.index);
            let same = |it: &RunKey| (it.job, it.step, it.index) == task;
            for other in 0..self.endpoints.len() {
                if other != agent {
                    self.endpoints[other].advance(self.now);
                }
            }
            let running = self.endpoints.iter().flat_map(Endpoint::runs).filter(same).count();
            if running > 1 && self.overlaps.insert(task) {
                let description = format!("two runs of {key} at the same time");
                let violation = Violation { at: self.now, description };
                let is_unfenced =
                    self.unfenced.iter().any(|(_, it)| (it.job, it.step, it.index) == task);
                match is_unfenced {
                    true => self.report.unfenced.push(violation),
                    false => self.report.violations.push(violation),
                }
            }
        }
    }
}

/// Maximum time for which a call waits at the endpoint, in ms.
fn max_wait(kind: &CallKind) -> u64 {
    match kind {
        CallKind::Hold { wait, .. } => *wait,
        CallKind::Start { .. } | CallKind::Stop { .. } => 0,
    }
}
