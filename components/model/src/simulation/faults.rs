//! Start and end of faults.

use super::{Event, Host, Simulation};
use crate::fault::FaultKind;

/// Time that a resumed entry takes to notice closed connections, in ms.
const DISCONNECT_DELAY_MS: u64 = 10;

impl Simulation {
    pub(super) fn start_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::KillEntry(entry) => {
                self.entries[entry] = None;
                self.drop_deferred(Host::Entry(entry));
                self.drop_requests(entry);
            }
            FaultKind::KillAgent(agent) => {
                self.agents[agent] = None;
                self.drop_deferred(Host::Agent(agent));
                self.generations[agent] += 1;
            }
            FaultKind::SuspendEntry(entry) => {
                self.suspended.entry(Host::Entry(entry)).or_default();
            }
            FaultKind::SuspendAgent(agent) => {
                self.suspended.entry(Host::Agent(agent)).or_default();
            }
            FaultKind::CrashEndpoint(agent) => {
                self.record_crash(agent);
                self.endpoints[agent].crash();
            }
            FaultKind::RestartEndpoint(agent) => {
                self.record_crash(agent);
                self.endpoints[agent].crash_under_id();
            }
            FaultKind::RemoveEndpoint(agent, remaining) => self.announce_removal(agent, remaining),
            FaultKind::PartitionEndpoint(agent) => self.endpoints[agent].partitioned = true,
            FaultKind::HangEndpoint(agent) => self.endpoints[agent].hangs = true,
            FaultKind::FailEndpoint(agent) => self.endpoints[agent].fails = true,
            FaultKind::SlowEndpoint(agent, times) => self.endpoints[agent].slowness = times,
            FaultKind::Evacuate(zone) => self.write_evacuation(zone, true),
            FaultKind::Uninformed(entry) => {
                self.evacuations.uninformed.insert(entry);
            }
            FaultKind::StoreDown => self.evacuations.store_down = true,
            FaultKind::LoseSent(agent) => {
                self.lost_from.insert(agent);
            }
            FaultKind::LoseReceived(agent) => {
                self.lost_to.insert(agent);
            }
            FaultKind::LateCalls(share) => self.call_faults.late = share,
            FaultKind::Loss(share) => self.loss = share,
            FaultKind::LoseAnswers(share) => self.call_faults.lost = share,
            FaultKind::SlowAnswers => self.call_faults.slow = true,
            FaultKind::SlowHeartbeats => self.call_faults.slow_heartbeats = true,
            FaultKind::RejectStarts(share, rejection) => {
                self.call_faults.rejected = Some((share, rejection));
            }
            FaultKind::UnsentStarts(share) => self.call_faults.unsent = share,
            FaultKind::FailCopies(share) => self.call_faults.failed = share,
            FaultKind::DeadlyJobs { kind, share } => self.deadly = Some((kind, share)),
            FaultKind::ShrinkEndpoint(agent, share) => self.resize(agent, share),
        }
    }

    pub(super) fn end_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::KillEntry(entry) => self.start_entry(entry),
            FaultKind::KillAgent(agent) => self.start_agent(agent),
            FaultKind::SuspendEntry(entry) => self.resume(Host::Entry(entry)),
            FaultKind::SuspendAgent(agent) => self.resume(Host::Agent(agent)),
            FaultKind::CrashEndpoint(agent) => self.endpoints[agent].alive = true,
            FaultKind::RestartEndpoint(agent) => {
                // It may be back already after an overlapping fault.
                if !self.endpoints[agent].alive {
                    self.endpoints[agent].restart(self.now);
                }
            }
            FaultKind::RemoveEndpoint(agent, _) => self.endpoints[agent].alive = true,
            FaultKind::PartitionEndpoint(agent) => self.endpoints[agent].partitioned = false,
            FaultKind::HangEndpoint(agent) => self.endpoints[agent].hangs = false,
            FaultKind::FailEndpoint(agent) => self.endpoints[agent].fails = false,
            FaultKind::SlowEndpoint(agent, _) => {
                self.endpoints[agent].slowness = self.usual_slowness(agent);
            }
            FaultKind::Evacuate(zone) => self.write_evacuation(zone, false),
            FaultKind::Uninformed(entry) => {
                self.evacuations.uninformed.remove(&entry);
            }
            FaultKind::StoreDown => self.evacuations.store_down = false,
            FaultKind::LoseSent(agent) => {
                self.lost_from.remove(&agent);
            }
            FaultKind::LoseReceived(agent) => {
                self.lost_to.remove(&agent);
            }
            FaultKind::LateCalls(_) => self.call_faults.late = 0.0,
            FaultKind::Loss(_) => self.loss = 0.0,
            FaultKind::LoseAnswers(_) => self.call_faults.lost = 0.0,
            FaultKind::SlowAnswers => self.call_faults.slow = false,
            FaultKind::SlowHeartbeats => self.call_faults.slow_heartbeats = false,
            FaultKind::RejectStarts(..) => self.call_faults.rejected = None,
            FaultKind::UnsentStarts(_) => self.call_faults.unsent = 0.0,
            FaultKind::FailCopies(_) => self.call_faults.failed = 0.0,
            FaultKind::DeadlyJobs { .. } => self.deadly = None,
            FaultKind::ShrinkEndpoint(agent, _) => self.resize(agent, 1.0),
        }
    }

    /// Resumes a host and delivers the events that arrived during its suspension, in order; it
    /// notices closed connections only after it has handled its queue.
    pub(super) fn resume(&mut self, host: Host) {
        for event in self.suspended.remove(&host).unwrap_or_default() {
            let is_disconnect = matches!(event, Event::Disconnect { .. });
            let delay = if is_disconnect { DISCONNECT_DELAY_MS } else { 0 };
            self.push(self.now + delay, event);
        }
    }

    /// Drops the deferred events of a killed process.
    pub(super) fn drop_deferred(&mut self, host: Host) {
        if let Some(deferred) = self.suspended.get_mut(&host) {
            deferred.clear();
        }
    }
}
