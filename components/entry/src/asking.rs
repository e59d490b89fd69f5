//! Status queries and cancellations by id.
//!
//! An id does not contain its service, so a query goes to the owner of the id's
//! shard in every group.

use std::time::Duration;

use ident::{Group, NodeId, RequestId, Shard};
use members::Liveness;
use node::{CallerReply, CallerToken, Effect, LinkError, NodeStatus};
use slotmap::new_key_type;
use verdict::{Outcome, Reason, Refusal, Verdict};
use wire::{Call, Cancel, JobStatus, Reply, Status};

use crate::{Entry, request::Pending};

new_key_type! {
    /// Identifies a pending query.
    pub struct QuestionKey;
}

/// Timeout of a query to an owner.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Kind of work that a query is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum About {
    Request,
    Job,
}

/// A pending query.
#[derive(Debug)]
pub struct Question {
    token: CallerToken,
    id: RequestId,
    about: About,
    open: usize,
    silent: usize,
    best: Answer,
}

/// Most conclusive answer so far.
#[derive(Debug, Clone, PartialEq)]
enum Answer {
    Unknown,
    Refused(Refusal),
    Running(Option<JobStatus>),
    Done(Outcome),
}

impl Answer {
    fn weight(&self) -> u8 {
        match self {
            Answer::Unknown => 0,
            Answer::Refused(refusal) => match refusal.verdict() {
                Verdict::NotRun => 1,
                Verdict::MayHaveRun | Verdict::Done => 2,
            },
            Answer::Running(_) => 3,
            Answer::Done(_) => 4,
        }
    }
}

impl From<Outcome> for Answer {
    fn from(outcome: Outcome) -> Answer {
        match outcome {
            Outcome::Done(_) => Answer::Done(outcome),
            Outcome::Refused(refusal) => Answer::Refused(refusal),
        }
    }
}

impl Entry {
    /// Queries the outcome of a request.
    pub(crate) fn on_ask(&mut self, token: CallerToken, id: RequestId) {
        let owners = self.owners(id, |group| *group != Group::Workers);
        self.ask(token, id, About::Request, owners, &Call::Ask(id));
    }

    /// Cancels a request.
    pub(crate) fn on_cancel(&mut self, token: CallerToken, id: RequestId) {
        let mut nodes = self.owners(id, |group| *group != Group::Workers);
        for request in self.requests.values().filter(|request| request.id() == id) {
            nodes.extend(
                request
                    .open
                    .iter()
                    .filter(|node| !nodes.contains(node))
                    .copied()
                    .collect::<Vec<_>>(),
            );
        }
        self.ask(token, id, About::Request, nodes, &Call::Cancel(Cancel { id }));
    }

    /// Queries the status of a job.
    pub(crate) fn on_ask_job(&mut self, token: CallerToken, id: RequestId) {
        let owners = self.owners(id, |group| *group == Group::Workers);
        self.ask(token, id, About::Job, owners, &Call::AskJob(id));
    }

    /// Cancels a job.
    pub(crate) fn on_cancel_job(&mut self, token: CallerToken, id: RequestId) {
        let owners = self.owners(id, |group| *group == Group::Workers);
        self.ask(token, id, About::Job, owners, &Call::Cancel(Cancel { id }));
    }

    fn owners(&self, id: RequestId, wanted: impl Fn(&Group) -> bool) -> Vec<NodeId> {
        let Some(config) = &self.state.config else { return Vec::new() };
        let services = config.inventory.services.iter();
        let mut groups: Vec<Group> =
            services.map(|service| Group::Service(service.name.clone())).collect();
        groups.push(Group::Workers);
        let owners = groups.iter().filter(|group| wanted(group)).filter_map(|group| {
            let assignment = self.state.table.get(group, Shard::of(id))?;
            Some(assignment.owner)
        });
        owners.collect()
    }

    fn ask(
        &mut self,
        token: CallerToken,
        id: RequestId,
        about: About,
        nodes: Vec<NodeId>,
        call: &Call,
    ) {
        let open = nodes.len();
        let question = Question { token, id, about, open, silent: 0, best: Answer::Unknown };
        let key = self.questions.insert(question);
        for node in nodes {
            self.call(Pending::Question { question: key }, node, call.clone(), QUESTION_TIMEOUT);
        }
        if open == 0 {
            self.finish_question(key);
        }
    }

    /// Handles an owner's answer to a query.
    pub(crate) fn on_question_answered(
        &mut self,
        key: QuestionKey,
        reply: Result<Reply, LinkError>,
    ) {
        let Some(question) = self.questions.get_mut(key) else { return };
        question.open -= 1;
        let answer = match reply {
            Ok(Reply::Status(Status::Unknown)) => Answer::Unknown,
            Ok(Reply::Status(Status::Running)) => Answer::Running(None),
            Ok(Reply::Status(Status::Ended(outcome))) => Answer::from(outcome),
            Ok(Reply::Run(run)) => Answer::from(run.outcome),
            Ok(Reply::Job(JobStatus::Ended(outcome))) => Answer::from(outcome),
            Ok(Reply::Job(running @ JobStatus::Running { .. })) => Answer::Running(Some(running)),
            Ok(Reply::Task(_) | Reply::State(_) | Reply::Ack) | Err(_) => {
                question.silent += 1;
                Answer::Unknown
            }
        };
        if answer.weight() > question.best.weight() {
            question.best = answer;
        }
        if question.open == 0 {
            self.finish_question(key);
        }
    }

    fn finish_question(&mut self, key: QuestionKey) {
        let Some(question) = self.questions.remove(key) else { return };
        let id = question.id;
        let silent = question.silent;
        let reply = match question.best {
            Answer::Done(outcome) => ended(question.about, id, outcome),
            Answer::Running(status) => running(question.about, id, status),
            Answer::Refused(refusal) => {
                let refusal = if silent > 0 { refusal.weaken() } else { refusal };
                ended(question.about, id, Outcome::Refused(refusal))
            }
            Answer::Unknown => {
                let message = match silent {
                    0 => format!("id {id} is not known; it may be older than the window."),
                    _ => format!("The owner of id {id} cannot be reached."),
                };
                let reason = if silent == 0 { Reason::Unknown } else { Reason::NotOwner };
                let refusal = Refusal::may_have_run(reason, message);
                ended(question.about, id, Outcome::Refused(refusal))
            }
        };
        self.effects.push(Effect::Respond { token: question.token, reply });
    }

    /// Reports the cluster status as known to this entry.
    pub(crate) fn on_status(&mut self, token: CallerToken) {
        let present = self.members.iter().filter(|it| it.liveness != Liveness::Gone);
        let status = NodeStatus {
            node: self.me.node,
            version: self.state.version(),
            next_offset: self.state.next_offset,
            entries: self.members.peers().map(|it| (it.node, it.next_offset)).collect(),
            agents: present.map(|it| it.report.clone()).collect(),
        };
        let reply = CallerReply::Status(status);
        self.effects.push(Effect::Respond { token, reply });
    }
}

fn ended(about: About, id: RequestId, outcome: Outcome) -> CallerReply {
    match about {
        About::Request => CallerReply::Outcome { id: Some(id), outcome, ran_on: None },
        About::Job => CallerReply::Job { id, status: JobStatus::Ended(outcome) },
    }
}

fn running(about: About, id: RequestId, status: Option<JobStatus>) -> CallerReply {
    match (about, status) {
        (About::Job, Some(status)) => CallerReply::Job { id, status },
        (About::Job, None) => {
            CallerReply::Job { id, status: JobStatus::Running { done: 0, total: 0 } }
        }
        (About::Request, _) => CallerReply::Running(id),
    }
}
