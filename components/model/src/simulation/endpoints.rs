//! Behaviour of endpoints: heartbeats, calls, and the invariants checked on them.

use std::net::SocketAddr;

use guard::{Answer, Call, CallKind, Event as AgentEvent, Heartbeat, HeartbeatState, Rejection};
use mesh::{EndpointInfo, RunKey};
use rand::RngExt;

use super::{Event, HEARTBEAT_MS, Hold, Host, Simulation, address};
use crate::{endpoint::Endpoint, load::SERVICE, report::Violation};

/// Memory of an endpoint, in MB.
const MEMORY_MB: u32 = 1_000_000;

impl Simulation {
    pub(super) fn on_heartbeat(&mut self, agent: usize) {
        self.push(self.now + HEARTBEAT_MS, Event::Heartbeat(agent));
        let endpoint = &self.endpoints[agent];
        if !endpoint.alive || self.agents[agent].is_none() {
            return;
        }
        let info = EndpointInfo {
            service: SERVICE.to_owned(),
            cpu: endpoint.capacity,
            memory: MEMORY_MB,
            ..EndpointInfo::default()
        };
        let beat = Heartbeat {
            instance: endpoint.instance.to_string().into(),
            address: SocketAddr::V4(address(Host::Agent(agent))),
            state: HeartbeatState::Ready,
            info,
        };
        self.run_agent(agent, AgentEvent::Heartbeat(beat));
    }

    /// Sends a call to an endpoint; a late call is executed after a delay and not answered.
    pub(super) fn call(&mut self, agent: usize, id: u64, call: Call) {
        self.report.calls += 1;
        let generation = self.generations[agent];
        let late = self.late_calls > 0.0 && self.rng.random_bool(self.late_calls);
        let answered = !late && !self.endpoints[agent].partitioned;
        if !answered {
            let limit = guard::CALL_TIMEOUT_MS + max_wait(&call.kind);
            let answer = Answer::Unknown;
            self.push(self.now + limit, Event::Answer { agent, generation, id, answer });
        }
        let delay = if late { self.rng.random_range(2_000..12_000) } else { 0 };
        self.push(self.now + delay, Event::Call { agent, generation, id, call, answered });
    }

    pub(super) fn on_call(
        &mut self,
        agent: usize,
        generation: u64,
        id: u64,
        call: &Call,
        answered: bool,
    ) {
        let endpoint = &mut self.endpoints[agent];
        if endpoint.partitioned {
            return;
        }
        let answer = if !endpoint.alive {
            Answer::Unsent
        } else if endpoint.instance.to_string() != *call.instance {
            Answer::Rejected(Rejection::Instance)
        } else {
            endpoint.call(self.now, call.fencing_token, &call.kind, &self.needs)
        };
        if let CallKind::Start { key, .. } | CallKind::Stop { key } = &call.kind {
            self.trace(key.job, || format!("endpoint {agent}: {:?}: {answer:?}", call.kind));
        }
        if let (CallKind::Start { key, .. }, Answer::Accepted { .. }) = (&call.kind, &answer) {
            self.ran.insert(key.job);
        }
        self.check_endpoint(agent);
        if !answered {
            return;
        }
        let wait = max_wait(&call.kind);
        let ended = self.endpoints[agent].has_unacknowledged_ends();
        if matches!(answer, Answer::Seen(_)) && wait > 0 && !ended {
            self.holds.push(Hold { agent, generation, id });
            self.push(self.now + wait, Event::HoldTimeout { agent, generation, id });
            return;
        }
        self.push(self.now, Event::Answer { agent, generation, id, answer });
    }

    pub(super) fn on_hold_timeout(&mut self, agent: usize, generation: u64, id: u64) {
        let is_same = |it: &Hold| it.agent == agent && it.generation == generation && it.id == id;
        if let Some(position) = self.holds.iter().position(is_same) {
            self.holds.swap_remove(position);
            let answer = match self.endpoints[agent].alive {
                true => Answer::Seen(self.endpoints[agent].snapshot(self.now)),
                false => Answer::Unknown,
            };
            self.push(self.now, Event::Answer { agent, generation, id, answer });
        }
    }

    /// Ends due runs on an endpoint, answers the hold calls that wait for them, and checks the
    /// invariants.
    pub(super) fn check_endpoint(&mut self, agent: usize) {
        self.endpoints[agent].advance(self.now);
        if self.endpoints[agent].has_unacknowledged_ends() && !self.endpoints[agent].partitioned {
            let waiting: Vec<_> = self.holds.extract_if(.., |it| it.agent == agent).collect();
            for Hold { agent, generation, id } in waiting {
                let answer = Answer::Seen(self.endpoints[agent].snapshot(self.now));
                self.push(self.now, Event::Answer { agent, generation, id, answer });
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
        let endpoint = &self.endpoints[agent];
        if endpoint.used_cpu() > endpoint.capacity {
            let description = format!("endpoint {agent} is over its capacity");
            self.report.violations.push(Violation { at: self.now, description });
        }
        let runs: Vec<RunKey> = endpoint.runs().collect();
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
                self.report.violations.push(Violation { at: self.now, description });
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
