//! Executes the steps of the script, and simulates the callers.

use std::{collections::BTreeMap, time::Duration};

use ident::{NodeId, RequestId, Timestamp};
use node::{CallerReply, CallerRequest, CallerToken, Event, Job, Request};
use rand::RngExt;
use verdict::Outcome;
use wire::{JobStatus, TaskSpec};

use crate::{
    World,
    script::{Action, SendOptions},
    world::SimEvent,
};

/// One-way latency between a caller and an entry.
const CALLER_LATENCY: Duration = Duration::from_millis(3);

/// Default run time of a task.
const DEFAULT_TASK_TIME: Duration = Duration::from_millis(100);

/// State of all callers: what they sent, and the answers.
#[derive(Default)]
pub(crate) struct Callers {
    pub submissions: BTreeMap<(String, u64), Submission>,
    pub sent: BTreeMap<CallerToken, SentRequest>,
    last_token: u64,
}

/// A request or job of the script, sent once or more often under the same id.
#[derive(Debug, Clone)]
pub(crate) struct Submission {
    pub id: Option<RequestId>,
    pub payload: Payload,
}

/// What a caller submits.
#[derive(Debug, Clone)]
pub(crate) enum Payload {
    Request { kind: String, run: Duration },
    Job { tasks: usize, task: TaskSpec },
}

/// One message from a caller to an entry.
#[derive(Debug, Clone)]
pub(crate) struct SentRequest {
    pub name: String,
    pub index: u64,
    pub entry: NodeId,
    pub at: Timestamp,
    pub purpose: Purpose,
    /// Whether the entry was down when it was sent, or failed before it answered.
    pub entry_lost: bool,
    pub answers: Vec<CallerAnswer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    Submit,
    Cancel,
}

#[derive(Debug, Clone)]
pub(crate) struct CallerAnswer {
    pub at: Timestamp,
    pub id: Option<RequestId>,
    pub outcome: Option<Outcome>,
}

impl Callers {
    pub fn mark_entry_lost(&mut self, entry: NodeId) {
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
            Action::Submit { options, .. }
            | Action::Resubmit { options, .. }
            | Action::Job { options, .. }
            | Action::Cancel { options, .. } => {
                for number in 0..options.times {
                    let after = options.every * number as u32;
                    self.schedule(after, SimEvent::Send { step: index, index: number });
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
            Action::Submit { name, kind, options } => {
                let service = self.inventory.services[0].name.clone();
                let known = self.inventory.kind(&service, &kind);
                let default = known.map_or(0, |kind| kind.run_ms);
                let run = options.run.unwrap_or(Duration::from_millis(default));
                let payload = Payload::Request { kind, run };
                self.add_submission(&name, index, payload, &options);
                self.submit(&name, index, &options);
            }
            Action::Job { name, tasks, options } => {
                let payload = Payload::Job { tasks, task: task_spec(&options) };
                self.add_submission(&name, index, payload, &options);
                self.submit(&name, index, &options);
            }
            Action::Resubmit { name, options } => self.submit(&name, index, &options),
            Action::Cancel { name, options } => self.cancel(&name, index, &options),
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

    fn add_submission(&mut self, name: &str, index: u64, payload: Payload, options: &SendOptions) {
        let id = match options.without_id {
            true => None,
            false => Some(RequestId::new(self.now, self.rng.random())),
        };
        self.callers.submissions.insert((name.to_owned(), index), Submission { id, payload });
    }

    fn submit(&mut self, name: &str, index: u64, options: &SendOptions) {
        let Some(submission) = self.callers.submissions.get(&(name.to_owned(), index)).cloned()
        else {
            return;
        };
        let team = self.inventory.teams[0].name.clone();
        let request = match &submission.payload {
            Payload::Request { kind, run } => CallerRequest::Request(Request {
                id: submission.id,
                service: self.inventory.services[0].name.clone(),
                kind: kind.clone(),
                team,
                deadline: options.deadline,
                declared: options.declared,
                body: run.as_millis().to_string().into_bytes(),
            }),
            Payload::Job { tasks, task } => CallerRequest::Job(Job {
                id: submission.id,
                team,
                urgency: self.inventory.urgencies[0].name.clone(),
                deadline_ms: options.deadline.map(|it| it.as_millis() as u64),
                tasks: vec![task.clone(); *tasks],
            }),
        };
        self.send_request(name, index, options, Purpose::Submit, request);
    }

    fn cancel(&mut self, name: &str, index: u64, options: &SendOptions) {
        let Some(submission) = self.callers.submissions.get(&(name.to_owned(), index)) else {
            return;
        };
        let Some(id) = submission.id else { return };
        let request = match submission.payload {
            Payload::Request { .. } => CallerRequest::Cancel(id),
            Payload::Job { .. } => CallerRequest::CancelJob(id),
        };
        self.send_request(name, index, options, Purpose::Cancel, request);
    }

    fn send_request(
        &mut self,
        name: &str,
        index: u64,
        options: &SendOptions,
        purpose: Purpose,
        request: CallerRequest,
    ) {
        let entry = options.via.as_deref().unwrap_or("entry-1");
        let entry = self.names[entry];
        self.callers.last_token += 1;
        let token = CallerToken(self.callers.last_token);
        let sent = SentRequest {
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
        self.schedule(CALLER_LATENCY, SimEvent::Deliver { node: entry, event });
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
        sent.answers.push(CallerAnswer { at, id, outcome });
        self.report.note(at, format!("caller of {name}: {verdict}"));
    }
}

/// Task with its declared run time; the body holds the actual one.
fn task_spec(options: &SendOptions) -> TaskSpec {
    let run = options.run.unwrap_or(DEFAULT_TASK_TIME);
    TaskSpec {
        cores: options.cores.unwrap_or(1),
        memory_mb: 512,
        accelerators: 0,
        run_ms: options.declared.unwrap_or(run).as_millis() as u64,
        body: run.as_millis().to_string(),
    }
}
