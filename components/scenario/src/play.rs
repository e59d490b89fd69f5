//! Executes the steps of the script, and simulates the callers.

use std::{collections::BTreeMap, time::Duration};

use ident::{NodeId, RequestId, Timestamp};
use node::{CallerReply, CallerRequest, CallerToken, Event, Job, Request};
use rand::RngExt;
use verdict::Outcome;
use wire::{JobStatus, TaskSpec};

use crate::{
    World,
    script::{Action, Sending},
    world::Item,
};

/// One-way latency between a caller and an entry.
const CALLER_LATENCY: Duration = Duration::from_millis(3);

/// Default run time of a task.
const TASK_RUN: Duration = Duration::from_millis(100);

/// State of all callers: what they sent, and the answers.
#[derive(Default)]
pub(crate) struct Callers {
    pub ids: BTreeMap<(String, u64), Known>,
    pub sent: BTreeMap<CallerToken, Sent>,
    next: u64,
}

/// A request or job of the script, sent once or more often under the same id.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub id: Option<RequestId>,
    pub what: What,
}

/// What a caller submits.
#[derive(Debug, Clone)]
pub(crate) enum What {
    Request { kind: String, run: Duration },
    Job { tasks: usize, task: TaskSpec },
}

/// One message from a caller to an entry.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub name: String,
    pub index: u64,
    pub entry: NodeId,
    pub at: Timestamp,
    pub purpose: Purpose,
    /// Whether the entry was down when it was sent, or failed before it answered.
    pub entry_lost: bool,
    pub answers: Vec<Answered>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    Submit,
    Cancel,
}

#[derive(Debug, Clone)]
pub(crate) struct Answered {
    pub at: Timestamp,
    pub id: Option<RequestId>,
    pub outcome: Option<Outcome>,
}

impl Callers {
    pub fn lose_entry(&mut self, entry: NodeId) {
        for sent in self.sent.values_mut() {
            if sent.entry == entry && sent.answers.is_empty() {
                sent.entry_lost = true;
            }
        }
    }
}

impl World {
    pub(crate) fn on_step(&mut self, index: usize) {
        let action = self.script.steps[index].action.clone();
        match &action {
            Action::Submit { sending, .. }
            | Action::Resubmit { sending, .. }
            | Action::Job { sending, .. }
            | Action::Cancel { sending, .. } => {
                for number in 0..sending.times {
                    let after = sending.every * number as u32;
                    self.schedule(after, Item::Send { step: index, index: number });
                }
            }
            Action::Publish(change) => self.publish(change),
            Action::Stop(name) => self.stop(name),
            Action::Kill(name) => self.kill(name),
            Action::Restart(name) => self.restart(name),
            Action::Pause(name) => self.pause(name),
            Action::Resume(name) => self.resume(name),
            Action::Cut(left, right) => self.cut(left, right),
            Action::Heal(left, right) => self.heal(left, right),
            Action::Silence(from, to) => self.silence(from, to),
            Action::Hold(from, to, time) => self.hold(from, to, *time),
            Action::Log(fault) => self.log.set_fault(*fault),
            Action::Endpoint(name, fault) => {
                let node = self.names[name];
                self.endpoints.set_fault(node, *fault);
            }
        }
    }

    pub(crate) fn on_send(&mut self, step: usize, index: u64) {
        match self.script.steps[step].action.clone() {
            Action::Submit { name, kind, sending } => {
                let service = self.inventory.services[0].name.clone();
                let known = self.inventory.kind(&service, &kind);
                let default = known.map_or(0, |kind| kind.run_ms);
                let run = sending.run.unwrap_or(Duration::from_millis(default));
                let what = What::Request { kind, run };
                self.learn(&name, index, what, &sending);
                self.submit(&name, index, &sending);
            }
            Action::Job { name, tasks, sending } => {
                let what = What::Job { tasks, task: task(&sending) };
                self.learn(&name, index, what, &sending);
                self.submit(&name, index, &sending);
            }
            Action::Resubmit { name, sending } => self.submit(&name, index, &sending),
            Action::Cancel { name, sending } => self.cancel(&name, index, &sending),
            Action::Publish(_)
            | Action::Stop(_)
            | Action::Kill(_)
            | Action::Restart(_)
            | Action::Pause(_)
            | Action::Resume(_)
            | Action::Cut(..)
            | Action::Heal(..)
            | Action::Silence(..)
            | Action::Hold(..)
            | Action::Log(_)
            | Action::Endpoint(..) => {}
        }
    }

    fn learn(&mut self, name: &str, index: u64, what: What, sending: &Sending) {
        let id = match sending.minted {
            true => None,
            false => Some(RequestId::new(self.now, self.rng.random())),
        };
        self.callers.ids.insert((name.to_owned(), index), Known { id, what });
    }

    fn submit(&mut self, name: &str, index: u64, sending: &Sending) {
        let Some(known) = self.callers.ids.get(&(name.to_owned(), index)).cloned() else {
            return;
        };
        let team = self.inventory.teams[0].name.clone();
        let request = match &known.what {
            What::Request { kind, run } => CallerRequest::Request(Request {
                id: known.id,
                service: self.inventory.services[0].name.clone(),
                kind: kind.clone(),
                team,
                deadline: sending.deadline,
                declared: sending.declared,
                body: run.as_millis().to_string().into_bytes(),
            }),
            What::Job { tasks, task } => CallerRequest::Job(Job {
                id: known.id,
                team,
                urgency: self.inventory.urgencies[0].name.clone(),
                deadline_ms: sending.deadline.map(|it| it.as_millis() as u64),
                tasks: vec![task.clone(); *tasks],
            }),
        };
        self.send_caller(name, index, sending, Purpose::Submit, request);
    }

    fn cancel(&mut self, name: &str, index: u64, sending: &Sending) {
        let Some(known) = self.callers.ids.get(&(name.to_owned(), index)) else { return };
        let Some(id) = known.id else { return };
        let request = match known.what {
            What::Request { .. } => CallerRequest::Cancel(id),
            What::Job { .. } => CallerRequest::CancelJob(id),
        };
        self.send_caller(name, index, sending, Purpose::Cancel, request);
    }

    fn send_caller(
        &mut self,
        name: &str,
        index: u64,
        sending: &Sending,
        purpose: Purpose,
        request: CallerRequest,
    ) {
        let entry = sending.via.as_deref().unwrap_or("entry-1");
        let entry = self.names[entry];
        self.callers.next += 1;
        let token = CallerToken(self.callers.next);
        let sent = Sent {
            name: name.to_owned(),
            index,
            entry,
            at: self.now,
            purpose,
            entry_lost: !self.members[&entry].is_running(),
            answers: Vec::new(),
        };
        self.callers.sent.insert(token, sent);
        let event = Event::CallerRequest { token, request };
        self.schedule(CALLER_LATENCY, Item::Deliver { node: entry, event });
    }

    pub(crate) fn on_answer(&mut self, token: CallerToken, reply: CallerReply) {
        let (id, outcome) = match reply {
            CallerReply::Outcome { id, outcome, .. } => (id, Some(outcome)),
            CallerReply::Job { id, status: JobStatus::Ended(outcome) } => (Some(id), Some(outcome)),
            CallerReply::Job { id, status: JobStatus::Running { .. } }
            | CallerReply::Running(id) => (Some(id), None),
            CallerReply::Explain(_) | CallerReply::Status(_) => (None, None),
        };
        let at = self.now;
        self.report.answers += 1;
        let Some(sent) = self.callers.sent.get_mut(&token) else { return };
        let verdict = outcome.as_ref().map_or("running".to_owned(), |it| it.verdict().to_string());
        let name = sent.name.clone();
        sent.answers.push(Answered { at, id, outcome });
        self.report.note(at, format!("caller of {name}: {verdict}"));
    }
}

/// Task with its declared run time; the body holds the actual one.
fn task(sending: &Sending) -> TaskSpec {
    let run = sending.run.unwrap_or(TASK_RUN);
    TaskSpec {
        cores: sending.cores.unwrap_or(1),
        memory_mb: 512,
        accelerators: 0,
        run_ms: sending.declared.unwrap_or(run).as_millis() as u64,
        body: run.as_millis().to_string(),
    }
}
